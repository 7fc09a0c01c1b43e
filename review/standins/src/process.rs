//! The project's own programs as separate processes, started with the `run` command of the deploy file. Dropping a
//! process ends it.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// The ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case with exit code 2, and all processes that it started, if it takes longer than this.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("the case took longer than {limit:?}");
        for id in RUNNING.lock().map(|running| running.clone()).unwrap_or_default() {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
        }
        std::process::exit(2);
    });
}

/// A running process. Its log is `NAME.log` in the case's temporary folder.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|id| *id != self.id());
        }
    }
}

impl Process {
    /// Starts `command` with `/bin/sh -c` from the repository's root, with these variables.
    pub fn start(
        command: &str, name: &str, folder: &Path, variables: &[(&str, String)],
    ) -> io::Result<Process> {
        let log = File::create(folder.join(format!("{name}.log")))?;
        let temporary = folder.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&temporary)?;
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", command]).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        shell.env("TMPDIR", temporary);
        for (name, value) in variables {
            shell.env(name, value);
        }
        let child = shell.spawn()?;
        if let Ok(mut running) = RUNNING.lock() {
            running.push(child.id());
        }
        Ok(Process { child })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.id())]).status();
    }

    /// A size in KiB from the process's status, such as `VmRSS` or `VmHWM`.
    pub fn memory_kib(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// The `run` command of the deploy file; the working folder is the repository's root.
pub fn run_command() -> io::Result<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    command.map(str::to_string).ok_or_else(|| io::Error::other("the deploy file has no run command"))
}

/// A free loopback address.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The case's folder, and a new temporary folder, from the variables that `run.sh` sets.
pub fn folders() -> io::Result<(PathBuf, PathBuf)> {
    let variable =
        |name: &str| std::env::var(name).map_err(|_| io::Error::other(format!("{name} is not set")));
    Ok((PathBuf::from(variable("CASE_FOLDER")?), PathBuf::from(variable("CASE_TEMP")?)))
}

/// The settings of a small deployment like `repeats-main`, with these replacements of texts.
pub fn write_config(
    path: &Path, name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str,
    replacements: &[(&str, &str)],
) -> io::Result<()> {
    let mut text = CONFIG.to_string();
    for (from, to) in replacements {
        if !text.contains(from) {
            return Err(io::Error::other(format!("the settings do not contain {from}")));
        }
        text = text.replace(from, to);
    }
    text = text.replace("@NAME", name).replace("@LISTEN", &listen.to_string());
    text = text.replace("@DISCOVERY", &discovery.to_string()).replace("@KNOWN", known);
    std::fs::write(path, text)
}

const CONFIG: &str = r#"{"name": "@NAME", "listen": "@LISTEN", "discovery": "@DISCOVERY", "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
 "known": @KNOWN,
 "settings": {
  "classes": [
   {"name": "list-read", "giveUp": 3000000, "slo": 800000, "semantics": "read_like", "group": "all", "window": 5000000, "points": 3.0, "lateWorth": 0.0},
   {"name": "own-read", "giveUp": 3000000, "slo": 800000, "semantics": "read_like", "group": "all", "window": 5000000, "points": 1.0, "lateWorth": 0.0},
   {"name": "order-write", "giveUp": 5000000, "slo": 500000, "semantics": "idempotency_key", "group": "cell", "window": 5000000, "points": 4.0, "lateWorth": 0.7}],
  "discovery": "on_request", "fleetSize": 1, "me": 0, "tick": 5000, "zone": "ebene", "zones": ["ebene", "plaine-lauzun"], "tenants": [],
  "limits": {"cancel": true, "mayProbe": true, "maxAttempts": 6, "maxOpen": 20000, "connectTimeout": 250000,
   "idleClose": 15000000, "retryAfter": true, "maxRetryAfter": 2000000, "secondCopies": false},
  "prices": {"crossZone": 0.04, "probe": 0.011, "waste": 0.061, "lateFail": 0.1},
  "goal": {"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
  "report": {"how": "inline", "names": ["x0", "x1", "util"]},
  "rules": {"askWithin": 10000000, "cold": 16000000, "coldFrom": 0.17, "drainGrace": 2000000, "fall": 3000000,
   "fallMultiple": 3.0, "graceToAnswer": 20000},
  "specifics": {"classBound": [3000000, 0, 0], "countedFrom": 0, "readLevel": ["lag_bound", "causal", "mutate"],
   "serverChecks": "await", "showsRole": "off", "wait": 50000, "synchronous": true, "progressTold": true, "writeMarks": "brought"}}}
"#;
