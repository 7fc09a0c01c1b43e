//! The proxy process: starting it, sending signals to it, and reading its log.

use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// A running `linenhill` process. Dropping it kills the process and waits for its exit.
pub struct Program {
    child: RefCell<Child>,
    /// Path of its configuration file.
    pub config: PathBuf,
    /// Its log so far.
    pub log: Arc<Mutex<String>>,
    /// Reads the log until the process closes it.
    log_reader: RefCell<Option<JoinHandle<()>>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.get_mut().kill();
        let _ = self.child.get_mut().wait();
    }
}

impl Program {
    /// The address at the end of the first log line that contains this text.
    pub fn logged_address(&self, text: &str) -> SocketAddr {
        let log = self.log.lock().expect("lock the log").clone();
        let line = log.lines().find(|line| line.contains(text)).expect("a log line with the text");
        line.trim()
            .rsplit(' ')
            .next()
            .and_then(|address| address.parse().ok())
            .expect("an address at the end of the log line")
    }

    /// A size in KiB from the status of the process, such as `RssAnon`.
    pub fn memory_kib(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.borrow().id());
        let status = std::fs::read_to_string(path).expect("read the status of the process");
        let line = status.lines().find(|line| line.starts_with(field)).expect("a line of the status");
        line.split_whitespace().nth(1).and_then(|size| size.parse().ok()).expect("a size in KiB")
    }

    /// Sends a signal, given as an argument of `kill`, for example `-TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.borrow().id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Suspends the process and waits until the kernel reports it as stopped: from then on it runs no code until
    /// `-CONT` is sent.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.borrow().id());
        let state = || std::fs::read_to_string(&stat).expect("read the state of the process");
        while !state().contains(") T ") {
            assert!(!state().contains(") Z "), "the process exited before it was suspended");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits until the log contains the text.
    pub async fn wait_for_log(&self, text: &str) {
        while !self.log.lock().expect("lock the log").contains(text) {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the process has exited and its complete log is read.
    pub async fn wait_for_exit(&self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.borrow_mut().try_wait().expect("status of the process") {
                if let Some(log_reader) = self.log_reader.take() {
                    log_reader.join().expect("join the log reader");
                }
                return status;
            }
            tokio::task::yield_now().await;
        }
    }
}

/// Writes a file into Cargo's folder for temporary files of tests, with a name that is unique to this process.
pub fn write_test_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("write a test file");
    path
}

/// The command that starts the proxy with this configuration, at a free loopback port.
pub fn program_command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    command.env("LB_CONFIG", config).env("LB_LISTEN", "127.0.0.1:0").env("RUST_LOG", "info");
    command.env_remove("LB_NAME").env_remove("LB_DISCOVERY").stderr(Stdio::piped());
    command
}

/// Same as [`program_command`], with `socket` as descriptor 5 and `number` as the value of `LB_INHERITED_FD`.
pub fn inheriting_command(config: &Path, socket: &TcpListener, number: &str) -> Command {
    let plain = program_command(config);
    let mut command = Command::new("sh");
    command.args(["-c", "exec 5<&0 </dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_linenhill")]);
    command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().expect("duplicate the socket"))));
    for (name, value) in plain.get_envs() {
        match value {
            Some(value) => command.env(name, value),
            None => command.env_remove(name),
        };
    }
    command.env("LB_INHERITED_FD", number).stderr(Stdio::piped());
    command
}

/// Starts the proxy and reads its log up to the line with its listening address.
pub fn start_program(mut command: Command, config: PathBuf) -> Program {
    wait_until_listening(command.spawn().expect("start the proxy"), config)
}

/// Wraps a process that was started, and reads its log up to the line with its listening address.
pub fn wait_until_listening(child: Child, config: PathBuf) -> Program {
    try_wait_until_listening(child, config).expect("the process exited before it listened")
}

/// Same as [`wait_until_listening`]; `None` if the process exits before it listens.
pub fn try_wait_until_listening(mut child: Child, config: PathBuf) -> Option<Program> {
    let mut stderr = BufReader::new(child.stderr.take().expect("piped standard error"));
    let log = Arc::new(Mutex::new(String::new()));
    let program =
        Program { child: RefCell::new(child), config, log: log.clone(), log_reader: RefCell::default() };
    while !log.lock().expect("lock the log").contains(" listens on ") {
        let mut line = String::new();
        if !stderr.read_line(&mut line).is_ok_and(|length| length > 0) {
            return None;
        }
        log.lock().expect("lock the log").push_str(&line);
    }
    let log_reader = std::thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            log.lock().expect("lock the log").push_str(&(line + "\n"));
        }
    });
    program.log_reader.replace(Some(log_reader));
    Some(program)
}
