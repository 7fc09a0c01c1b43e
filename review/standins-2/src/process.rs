//! Starts the project's own program with the command `run` of the deploy file, and ends what was started.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The root of the repository, from `REVIEW_ROOT`.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT names the root of the repository"))
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let file = root().join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&file).map_err(|error| format!("{}: {error}", file.display()))?;
    let line = text.lines().find(|line| line.starts_with("run = ")).ok_or("the deploy file has no `run`")?;
    line.split('"').nth(1).map(str::to_string).ok_or("`run` is no text".to_string())
}

/// Adds a process to the file that `run.sh` reads, should this program be ended before its processes.
fn note_started(id: u32) {
    let Ok(path) = std::env::var("STARTED") else { return };
    if let Ok(mut file) = std::fs::OpenOptions::new().append(true).create(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// A process of the program; it is killed when dropped.
pub struct Process {
    child: Child,
    pub log: PathBuf,
}

impl Process {
    /// Starts `run`, with further arguments, in the root of the repository. The log goes to `folder`/`name`.log.
    pub fn start(
        folder: &Path, name: &str, arguments: &str, variables: &[(&str, &str)],
    ) -> Result<Process, String> {
        let command = run_command()?;
        let program = command.split(' ').next_back().unwrap_or_default();
        if !root().join(program).exists() {
            return Err(format!("{program} is not built"));
        }
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).map_err(|error| error.to_string())?;
        let temporary = folder.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(format!("{command} {arguments}")).current_dir(root());
        for variable in
            ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LB_INHERITED_FD", "RUST_LOG"]
        {
            shell.env_remove(variable);
        }
        shell.env("TMPDIR", &temporary).envs(variables.iter().copied());
        shell
            .stdin(Stdio::null())
            .stdout(output.try_clone().map_err(|error| error.to_string())?)
            .stderr(output);
        let child = shell.spawn().map_err(|error| error.to_string())?;
        note_started(child.id());
        Ok(Process { child, log })
    }

    /// The process id: `run` ends in `exec`.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, as `kill` does.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One call of operators: status and text.
pub fn operators_call(address: SocketAddr, method: &str, path: &str) -> Result<(u16, String), String> {
    let call = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(
            format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = call().map_err(|error| error.to_string())?;
    let status =
        text.split(' ').nth(1).and_then(|code| code.parse().ok()).ok_or(format!("no status: {text:?}"))?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).trim().to_string();
    Ok((status, body))
}

/// Repeats an operators' call until it is answered with 2xx.
pub fn wait_for_call(
    address: SocketAddr, method: &str, path: &str, time: Duration,
) -> Result<String, String> {
    let until = Instant::now() + time;
    loop {
        let result = operators_call(address, method, path);
        match result {
            Ok((200..300, text)) => return Ok(text),
            _ if Instant::now() >= until => return Err(format!("{method} {path}: {result:?}")),
            _ => crate::sleep_ms(50),
        }
    }
}
