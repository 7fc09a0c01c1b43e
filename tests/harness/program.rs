//! The process of the program: how it is started, signalled and watched by its log.

use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// The program; dropping it kills the process and waits for its end.
pub struct Program {
    child: RefCell<Child>,
    /// The file with its configuration.
    pub config: PathBuf,
    /// What it has logged so far.
    pub log: Arc<Mutex<String>>,
    /// Reads the log, to its end.
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
        let log = self.log.lock().expect("the log").clone();
        let line = log.lines().find(|line| line.contains(text)).expect("a line");
        line.trim().rsplit(' ').next().and_then(|address| address.parse().ok()).expect("an address")
    }

    /// Sends a signal, by its name as `kill` takes it.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.borrow().id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Stops the process and returns once it has stopped: everything that it still does by then is done. `-CONT` lets it
    /// go on.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.borrow().id());
        let state = || std::fs::read_to_string(&stat).expect("a process");
        while !state().contains(") T ") {
            assert!(!state().contains(") Z "), "it has ended");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits until the log contains this text.
    pub async fn wait_for_log(&self, text: &str) {
        while !self.log.lock().expect("the log").contains(text) {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the process has ended and its whole log is read.
    pub async fn wait_for_exit(&self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.borrow_mut().try_wait().expect("a child") {
                if let Some(log_reader) = self.log_reader.take() {
                    log_reader.join().expect("the log");
                }
                return status;
            }
            tokio::task::yield_now().await;
        }
    }
}

/// Writes a file under the build's own folder for temporary files; the name is made unique for this process.
pub fn write_test_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// The command that starts the program with this configuration, at a free port of loopback.
pub fn program_command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    command.env("LB_CONFIG", config).env("LB_LISTEN", "127.0.0.1:0").env("RUST_LOG", "info");
    command.env_remove("LB_NAME").env_remove("LB_DISCOVERY").stderr(Stdio::piped());
    command
}

/// The same with `socket` as its descriptor 5, and `number` as the descriptor that it is told to inherit.
pub fn inheriting_command(config: &Path, socket: &TcpListener, number: &str) -> Command {
    let plain = program_command(config);
    let mut command = Command::new("sh");
    command.args(["-c", "exec 5<&0 </dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_linenhill")]);
    command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().expect("a copy"))));
    for (name, value) in plain.get_envs() {
        match value {
            Some(value) => command.env(name, value),
            None => command.env_remove(name),
        };
    }
    command.env("LB_INHERITED_FD", number).stderr(Stdio::piped());
    command
}

/// Starts the program and reads its log, up to the line that names its listening address.
pub fn start_program(mut command: Command, config: PathBuf) -> Program {
    wait_until_listening(command.spawn().expect("the program"), config)
}

/// Takes over a process that was started, and reads its log up to the line that names its listening address.
pub fn wait_until_listening(child: Child, config: PathBuf) -> Program {
    try_wait_until_listening(child, config).expect("the program has ended")
}

/// The same; `None` where the process ends before it listens.
pub fn try_wait_until_listening(mut child: Child, config: PathBuf) -> Option<Program> {
    let mut stderr = BufReader::new(child.stderr.take().expect("a pipe"));
    let log = Arc::new(Mutex::new(String::new()));
    let program =
        Program { child: RefCell::new(child), config, log: log.clone(), log_reader: RefCell::default() };
    while !log.lock().expect("the log").contains(" listens on ") {
        let mut line = String::new();
        if !stderr.read_line(&mut line).is_ok_and(|length| length > 0) {
            return None;
        }
        log.lock().expect("the log").push_str(&line);
    }
    let log_reader = std::thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            log.lock().expect("the log").push_str(&(line + "\n"));
        }
    });
    program.log_reader.replace(Some(log_reader));
    Some(program)
}
