//! The proxies of a soak: real processes that are started, killed, suspended and terminated. Signals go to the ids of
//! processes that this module started, and to no others.

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

/// How often a process's end, or its address, is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A process ends within this time after SIGTERM: the longest deadline, and a margin.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(8);
/// What a process logs before its address once it listens.
const LISTENING_LOG: &str = " listens on ";

/// What all proxies of a soak share.
pub struct ProcessConfig {
    /// The program.
    pub program: PathBuf,
    /// The configuration, with `@LIST@`, `@DISCOVERY@`, `@INDEX@` and `@FLEET@` in it.
    pub template: String,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// How many proxies there are.
    pub processes: usize,
    /// The size of the fleet that their settings name.
    pub fleet_size: usize,
}

/// One proxy under its name, over all its incarnations. Dropping it kills the process.
pub struct Process {
    /// Its place in the fleet.
    pub index: usize,
    config: Rc<ProcessConfig>,
    discovery: Rc<Discovery>,
    judge: Rc<Judge>,
    child: RefCell<Option<Child>>,
    /// Counts starts and ends: what was open across one is lost with the process.
    pub incarnation: Cell<u64>,
    address: Cell<Option<SocketAddr>>,
    /// When it got SIGTERM.
    pub terminated_at: Cell<Option<Instant>>,
    logs: RefCell<Vec<PathBuf>>,
}

impl Process {
    /// A proxy that is not started yet.
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

    /// Where clients connect, while it runs.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.config.folder.join(format!("n{}-{}.{suffix}", self.index, self.incarnation.get()))
    }

    /// Starts it with the list that it had last, and waits until it listens.
    ///
    /// # Errors
    /// A file could not be written, or the process could not be started or has ended.
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
            let line = text.lines().find(|line| line.contains(LISTENING_LOG));
            if let Some(address) = line.and_then(|line| line.trim().rsplit(' ').next()?.parse().ok()) {
                return Ok(address);
            }
            if self.has_ended()? {
                return Err(io::Error::other(format!("proxy {} has not started: {text}", self.index)));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn has_ended(&self) -> io::Result<bool> {
        match &mut *self.child.borrow_mut() {
            Some(child) => Ok(child.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Whether it runs.
    pub fn is_alive(&self) -> bool {
        self.address.get().is_some()
    }

    /// Whether it has ended without being killed or terminated.
    pub fn has_crashed(&self) -> bool {
        self.is_alive() && self.terminated_at.get().is_none() && self.has_ended().unwrap_or(true)
    }

    fn signal(&self, name: &str) {
        let id = self.child.borrow().as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill").args([name, &id.to_string()]).status();
        }
    }

    /// Kills it.
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

    /// Sends SIGTERM and waits until the process has ended. One that has not after 8 s, and its suspensions, is killed and
    /// reported.
    pub async fn terminate(&self) {
        self.terminated_at.set(Some(Instant::now()));
        self.signal("-TERM");
        let since = Instant::now();
        while !self.has_ended().unwrap_or(true) {
            if since.elapsed() > TERMINATION_TIMEOUT + self.judge.suspended_since(self.index, since) {
                self.judge.report("end", format!("proxy {} has not ended after SIGTERM", self.index));
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.kill();
    }

    /// Suspends it for this long.
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

    /// Lines of its logs that contain one of these patterns.
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
