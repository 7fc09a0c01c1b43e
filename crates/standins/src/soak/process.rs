//! The proxies of a soak: real processes that are started, killed, suspended and terminated. Signals are sent only to
//! processes that this module started.

use super::discovery::Discovery;
use super::judge::Judge;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval of polling for a process's exit or its listening address.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which a process must exit after SIGTERM: the longest deadline plus a margin.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(8);
/// Text of the log line that precedes the listening address.
const LISTENING_LOG_TEXT: &str = " listens on ";

/// Configuration shared by all proxies of a soak.
pub struct ProcessConfig {
    /// Path of the executable.
    pub program: PathBuf,
    /// Configuration template with the placeholders `@LIST@`, `@DISCOVERY@`, `@INDEX@` and `@FLEET@`.
    pub template: String,
    /// Directory for configurations and logs.
    pub folder: PathBuf,
    /// Number of proxies.
    pub processes: usize,
    /// Fleet size in the proxies' settings.
    pub fleet_size: usize,
}

/// One proxy over all its incarnations. Dropping it kills the process.
pub struct Process {
    /// Index among the proxies.
    pub index: usize,
    config: Rc<ProcessConfig>,
    discovery: Rc<Discovery>,
    judge: Rc<Judge>,
    child: RefCell<Option<Child>>,
    /// Counts starts and ends. Connections and requests do not outlive an incarnation.
    pub incarnation: Cell<u64>,
    address: Cell<Option<SocketAddr>>,
    /// When SIGTERM was sent to the present process.
    pub terminated_at: Cell<Option<Instant>>,
    logs: RefCell<Vec<PathBuf>>,
}

impl Process {
    /// Creates a proxy that is not started yet.
    pub fn new(
        index: usize, config: Rc<ProcessConfig>, discovery: Rc<Discovery>, judge: Rc<Judge>,
    ) -> Rc<Process> {
        Rc::new(Process {
            index,
            config,
            discovery,
            judge,
            child: RefCell::default(),
            incarnation: Cell::default(),
            address: Cell::default(),
            terminated_at: Cell::default(),
            logs: RefCell::default(),
        })
    }

    /// Address for clients, while the proxy runs.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.config.folder.join(format!("n{}-{}.{suffix}", self.index, self.incarnation.get()))
    }

    /// Starts the process with the list last written to it, and waits until it listens.
    ///
    /// # Errors
    /// Fails if a file cannot be written, or if the process cannot be started or exits early.
    pub async fn start(&self) -> io::Result<()> {
        self.incarnation.set(self.incarnation.get() + 1);
        let (version, list) = self.discovery.saved_list(self.index);
        let text = self
            .config
            .template
            .replace("@LIST@", &list)
            .replace("@DISCOVERY@", &self.discovery.addresses[self.index].to_string())
            .replace("@INDEX@", &(self.index * self.config.fleet_size / self.config.processes).to_string())
            .replace("@FLEET@", &self.config.fleet_size.to_string());
        let config_path = self.path("json");
        let log_path = self.path("log");
        std::fs::write(&config_path, text)?;
        let child = Command::new(&self.config.program)
            .env("LB_CONFIG", &config_path)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env_remove("LB_NAME")
            .env_remove("LB_DISCOVERY")
            .env("RUST_LOG", "info")
            .stdout(Stdio::null())
            .stderr(File::create(&log_path)?)
            .spawn()?;
        self.judge.process_started(self.index, version);
        self.child.replace(Some(child));
        self.logs.borrow_mut().push(log_path.clone());
        self.terminated_at.set(None);
        self.address.set(Some(self.wait_for_address(&log_path).await?));
        Ok(())
    }

    async fn wait_for_address(&self, log: &Path) -> io::Result<SocketAddr> {
        loop {
            let text = std::fs::read_to_string(log)?;
            let line = text.lines().find(|line| line.contains(LISTENING_LOG_TEXT));
            if let Some(address) = line.and_then(|line| line.trim().rsplit(' ').next()?.parse().ok()) {
                return Ok(address);
            }
            if self.has_exited()? {
                return Err(io::Error::other(format!(
                    "proxy {} exited before it listened; its log: {text}",
                    self.index
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn has_exited(&self) -> io::Result<bool> {
        match &mut *self.child.borrow_mut() {
            Some(child) => Ok(child.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Whether the process has been started, listens, and has not been killed.
    pub fn is_running(&self) -> bool {
        self.address.get().is_some()
    }

    /// Whether the process has exited without being killed or terminated.
    pub fn has_crashed(&self) -> bool {
        self.is_running() && self.terminated_at.get().is_none() && self.has_exited().unwrap_or(true)
    }

    fn signal(&self, name: &str) {
        let id = self.child.borrow().as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill").args([name, &id.to_string()]).status();
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&self) {
        self.address.set(None);
        self.incarnation.set(self.incarnation.get() + 1);
        self.judge.process_ended(self.index);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.judge.set_suspended(self.index, false);
    }

    /// Sends SIGTERM and waits for the process to exit. After 8 s, plus its suspensions, a process that still runs is
    /// killed and a violation is recorded.
    pub async fn terminate(&self) {
        self.terminated_at.set(Some(Instant::now()));
        self.signal("-TERM");
        let since = Instant::now();
        while !self.has_exited().unwrap_or(true) {
            if since.elapsed() > TERMINATION_TIMEOUT + self.judge.suspended_since(self.index, since) {
                self.judge.record_violation(
                    "end",
                    format!("proxy {} did not exit within its time after SIGTERM", self.index),
                );
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.kill();
    }

    /// Suspends the process for this duration.
    pub async fn suspend(&self, length: Duration) {
        let incarnation = self.incarnation.get();
        self.judge.set_suspended(self.index, true);
        self.signal("-STOP");
        sleep(length).await;
        if self.incarnation.get() == incarnation {
            self.signal("-CONT");
            self.judge.set_suspended(self.index, false);
        }
    }

    /// Returns the lines of the process's logs that contain one of these patterns.
    pub fn log_lines(&self, patterns: &[&str]) -> Vec<String> {
        let texts = self
            .logs
            .borrow()
            .iter()
            .map(|path| std::fs::read_to_string(path).unwrap_or_default())
            .collect::<Vec<_>>();
        let lines = texts.iter().flat_map(|text| text.lines());
        lines
            .filter(|line| patterns.iter().any(|pattern| line.contains(pattern)))
            .map(str::to_string)
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
