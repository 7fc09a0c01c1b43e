//! A stand-in discovery: one list with versions, which each proxy watches at an address of its own. It is down, crowded,
//! slow or silent as the schedule says, and reports to the judge what it wrote and when.

use super::judge::Judge;
use super::member::Member;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How often a watch gets an empty line while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// After which time a crowded service rejects a call.
const REJECTED_AFTER: Duration = Duration::from_secs(2);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How discovery treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It answers after this delay.
    Serving(Duration),
    /// It lets all calls wait, and rejects them.
    Crowded,
    /// It closes all calls and watches.
    Down,
}

/// What a version of the list says of a member.
#[derive(Clone, Copy, Debug)]
struct Entry {
    version: u64,
    state: &'static str,
    started_ms: u64,
}

/// What ends or silences watches, which are numbered as they are opened.
#[derive(Clone, Copy, Debug, Default)]
struct Interruptions {
    /// Watches up to this number are silent.
    silent_before: u64,
    /// Watches up to this number are reset.
    reset_before: u64,
    /// Counts failures of the whole service: each change ends all calls and watches.
    outages: u64,
}

/// The stand-in service.
pub struct Discovery {
    /// Where each proxy calls.
    pub addresses: Vec<SocketAddr>,
    /// How it treats calls now.
    pub condition: Cell<Condition>,
    interruptions: watch::Sender<Interruptions>,
    watches: Cell<u64>,
    version: watch::Sender<u64>,
    /// By member: what each version of the list that changed it says, the newest last.
    entries: RefCell<Vec<Vec<Entry>>>,
    members: Vec<Rc<Member>>,
    judge: Rc<Judge>,
    /// The version that was written last to each proxy.
    written_versions: RefCell<Vec<u64>>,
}

impl Discovery {
    /// Starts a service with these members, all in service, for this many proxies.
    ///
    /// # Errors
    /// A port could not be bound.
    pub async fn start(
        members: Vec<Rc<Member>>, processes: usize, judge: Rc<Judge>,
    ) -> io::Result<Rc<Discovery>> {
        let mut listeners = Vec::new();
        for _ in 0..processes {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let first = Entry { version: 1, state: "in_service", started_ms: 0 };
        let entries = vec![vec![first]; members.len()];
        let discovery = Rc::new(Discovery {
            addresses,
            condition: Cell::new(Condition::Serving(Duration::ZERO)),
            interruptions: watch::channel(Interruptions::default()).0,
            watches: Cell::new(0),
            version: watch::channel(1).0,
            entries: RefCell::new(entries),
            members,
            judge,
            written_versions: RefCell::new(vec![1; processes]),
        });
        for (process, listener) in listeners.into_iter().enumerate() {
            spawn_local(discovery.clone().listen(process, listener));
        }
        Ok(discovery)
    }

    /// Silences all open watches for good.
    pub fn silence_watches(&self) {
        let opened = self.watches.get();
        self.interruptions.send_modify(|interruptions| interruptions.silent_before = opened);
    }

    /// Ends all open watches.
    pub fn reset_watches(&self) {
        let opened = self.watches.get();
        self.interruptions.send_modify(|interruptions| interruptions.reset_before = opened);
    }

    /// Changes how it treats calls. A service that goes down ends all open watches.
    pub fn set_condition(&self, condition: Condition) {
        self.condition.set(condition);
        let is_reachable = matches!(condition, Condition::Serving(_));
        self.judge.set_discovery_reachable(is_reachable);
        if condition == Condition::Down {
            self.interruptions.send_modify(|interruptions| interruptions.outages += 1);
        }
    }

    /// Whether a member is in service.
    pub fn is_in_service(&self, member: usize) -> bool {
        self.newest(member).state == "in_service"
    }

    /// Changes a member's state in the list. A member that is in service again has started anew.
    pub fn change_member(&self, member: usize, state: &'static str) {
        let version = *self.version.borrow() + 1;
        let started_ms = match state {
            "in_service" => {
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64)
            }
            _ => self.newest(member).started_ms,
        };
        self.entries.borrow_mut()[member].push(Entry { version, state, started_ms });
        self.judge.member_changed(member, version, state == "in_service");
        self.version.send_replace(version);
    }

    fn newest(&self, member: usize) -> Entry {
        *self.entries.borrow()[member].last().expect("a first entry")
    }

    /// The list as a proxy had it last, for its configuration, and its version.
    pub fn saved_list(&self, process: usize) -> (u64, String) {
        let version = self.written_versions.borrow()[process];
        let entries = self.entries.borrow();
        let listed = entries.iter().enumerate().map(|(member, history)| {
            let entry = history.iter().rfind(|entry| entry.version <= version).expect("a first entry");
            self.list_line(process, member, *entry)
        });
        let servers: Vec<String> = listed.collect();
        let servers = servers.join(",");
        (version, format!(r#"{{"version":{version},"full":true,"servers":[{servers}]}}"#))
    }

    /// A member's entry in the JSON of the list, with the address at which this proxy reaches it.
    fn list_line(&self, process: usize, member: usize, entry: Entry) -> String {
        let Member { group, addresses, .. } = &*self.members[member];
        let address = addresses[process];
        let Entry { state, started_ms, .. } = entry;
        format!(
            r#"{{"id":"m-{member}","addr":"{address}","zone":"a","kind":"soak","cell":{group},"state":"{state}","started_ms":{started_ms}}}"#
        )
    }

    async fn listen(self: Rc<Discovery>, process: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let discovery = self.clone();
            spawn_local(async move {
                let mut interruptions = discovery.interruptions.subscribe();
                let outages = interruptions.borrow().outages;
                tokio::select! {
                    _ = discovery.answer(process, stream) => {}
                    _ = interruptions.wait_for(|now| now.outages != outages) => {}
                }
            });
        }
    }

    async fn answer(&self, process: usize, mut stream: TcpStream) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let from =
            head.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap_or(0);
        match self.condition.get() {
            Condition::Down => return Ok(()),
            Condition::Crowded => {
                sleep(REJECTED_AFTER).await;
                return stream.write_all(BUSY.as_bytes()).await;
            }
            Condition::Serving(delay) => sleep(delay).await,
        }
        stream.write_all(HEAD.as_bytes()).await?;
        // From here on it is a watch, and may fall silent or be reset with the others.
        let number = self.watches.get() + 1;
        self.watches.set(number);
        let mut interruptions = self.interruptions.subscribe();
        tokio::select! {
            ended = self.watch(process, number, from, stream) => ended,
            _ = interruptions.wait_for(|now| now.reset_before >= number) => Ok(()),
        }
    }

    async fn watch(
        &self, process: usize, number: u64, mut from: u64, mut stream: TcpStream,
    ) -> io::Result<()> {
        let incarnation = self.judge.incarnation(process);
        let mut version = self.version.subscribe();
        loop {
            if self.interruptions.borrow().silent_before >= number {
                return std::future::pending().await;
            }
            let newest = *version.borrow_and_update();
            let line = if newest > from { self.changes(process, from, newest) } else { String::new() };
            from = newest;
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            // A proxy counts as notified from the first byte on.
            if !self.judge.list_written(process, incarnation, newest) {
                return Ok(());
            }
            self.written_versions.borrow_mut()[process] = newest;
            stream.write_all(chunk.as_bytes()).await?;
            let _ = timeout(KEEPALIVE_INTERVAL, version.changed()).await;
        }
    }

    fn changes(&self, process: usize, from: u64, version: u64) -> String {
        let newest = (0..self.members.len()).map(|member| (member, self.newest(member)));
        let changed = newest.filter(|(_, entry)| entry.version > from);
        let servers: Vec<String> =
            changed.map(|(member, entry)| self.list_line(process, member, entry)).collect();
        format!(r#"{{"version":{version},"full":false,"servers":[{}]}}"#, servers.join(","))
    }
}
