//! What the cases 6 to 10 share: stand-ins for clients, members and discovery, and the start and end of the program.
//! Standard library only; one thread for each connection. Every address is a loopback address.

pub mod client;
pub mod discovery;
pub mod member;
pub mod process;
pub mod relay;
pub mod settings;
pub mod wire;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a case ends with: the rule held, was broken, or the case couldn't run.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// The file `record.txt` of a case, with the seconds since its start on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record in the folder that `CASE_DIR` names.
    pub fn create() -> Record {
        let folder = std::env::var("CASE_DIR").expect("CASE_DIR names the folder of the case");
        let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Runs a case and ends the process with its exit code: 0 held, 1 broken, 2 couldn't run.
pub fn run_case(case: impl FnOnce(&Record, bool) -> Verdict) -> ! {
    let record = Record::create();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("disruption: {}", if trouble { "yes" } else { "no" }));
    let verdict = case(&record, trouble);
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}

/// A new empty folder for the files of a run; removed when dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> TemporaryFolder {
        let name = format!("review-{}-{}", std::process::id(), unix_us());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder can be created");
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("a bound socket has an address")
}

pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

pub fn unix_ms() -> u64 {
    unix_us() / 1_000
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
