//! A stand-in for discovery: the list and watches on its changes, by the protocol page.

use crate::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: String,
    pub started_ms: u64,
    /// The role in the list, where it shows roles.
    pub recovery: Option<&'static str>,
}

impl Entry {
    pub fn in_service(id: &str, address: SocketAddr, zone: &str) -> Entry {
        Entry {
            id: id.into(),
            address,
            zone: zone.into(),
            state: "in_service".into(),
            started_ms: 0,
            recovery: None,
        }
    }

    pub fn json(&self) -> String {
        let recovery = self.recovery.map_or(String::new(), |role| format!(",\"recovery\":\"{role}\""));
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"std\",\"cell\":1,\"state\":\"{}\",\"weight\":1.0,\"started_ms\":{}{recovery}}}",
            self.id, self.address, self.zone, self.state, self.started_ms
        )
    }
}

/// The whole list as JSON.
pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", entries.join(","))
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    /// The entries changed by each version above the first.
    changes: Vec<(u64, Entry)>,
    /// Time that each call waits for its turn and its answer.
    answer_after: Duration,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(version: u64, entries: Vec<Entry>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery can listen");
        let address = listener.local_addr().unwrap();
        let state = State { version, entries, changes: Vec::new(), answer_after: Duration::ZERO };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (served, record) = (state.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, record) = (served.clone(), record.clone());
                thread::spawn(move || {
                    let ended = watch(stream, &state, &record);
                    record.line(format!("discovery: call ended, {ended:?}"));
                });
            }
        });
        Discovery { address, state }
    }

    /// From now on a call gets its answer after this time.
    pub fn answer_after(&self, time: Duration) {
        self.state.0.lock().unwrap().answer_after = time;
    }

    /// Changes the entry of a member, which goes to all open watches at once.
    pub fn change(&self, changed: Entry) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.entries.retain(|entry| entry.id != changed.id);
        state.entries.push(changed.clone());
        state.changes.push((version, changed));
        self.state.1.notify_all();
    }
}

fn watch(mut stream: TcpStream, state: &(Mutex<State>, Condvar), record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_string();
    record.line(format!("discovery: call {}", head.lines().next().unwrap_or_default()));
    let from: u64 =
        head.split("from=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok()).unwrap_or(0);
    let after = state.0.lock().unwrap().answer_after;
    thread::sleep(after);
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let mut told = {
        let state = state.0.lock().unwrap();
        let line = if from == state.version {
            String::new()
        } else {
            list_json(state.version, true, &state.entries)
        };
        write_line(&mut stream, &line)?;
        record.line(format!("discovery: answered with version {}", state.version));
        state.version
    };
    loop {
        let changed: Vec<(u64, Entry)> = {
            let guard = state.0.lock().unwrap();
            let (guard, _) = state
                .1
                .wait_timeout_while(guard, Duration::from_secs(2), |state| state.version == told)
                .unwrap();
            guard.changes.iter().filter(|(version, _)| *version > told).cloned().collect()
        };
        let Some(version) = changed.iter().map(|(version, _)| *version).max() else {
            write_line(&mut stream, "")?;
            continue;
        };
        let entries: Vec<Entry> = changed.into_iter().map(|(_, entry)| entry).collect();
        write_line(&mut stream, &list_json(version, false, &entries))?;
        record.line(format!("discovery: told version {version}: {entries:?}"));
        told = version;
    }
}

/// One line as one chunk.
fn write_line(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}
