//! A simulated discovery service with one versioned list. Each proxy watches it at an address of its own. The
//! schedule makes the service unavailable, overloaded, slow or unresponsive, and it reports each written list to the
//! judge.

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

/// Interval of empty lines on a watch without changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which an overloaded service rejects a call.
const REJECTION_DELAY: Duration = Duration::from_secs(2);
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How the service handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Calls are answered after this delay.
    Serving(Duration),
    /// Calls wait and are then rejected with status 503.
    Overloaded,
    /// Calls and watches are closed.
    Down,
}

/// A member's state in one version of the list.
#[derive(Clone, Copy, Debug)]
struct Entry {
    version: u64,
    state: &'static str,
    started_ms: u64,
}

/// Interruptions of watches, which are numbered in the order in which they open.
#[derive(Clone, Copy, Debug, Default)]
struct Interruptions {
    /// Watches up to this number send no more data.
    stalled_up_to: u64,
    /// Watches up to this number are closed.
    reset_up_to: u64,
    /// Counts outages of the service: each change closes all calls and watches.
    outages: u64,
}

/// The simulated discovery service.
pub struct Discovery {
    /// Address of the service for each proxy.
    pub addresses: Vec<SocketAddr>,
    /// How the service handles calls at present.
    pub condition: Cell<Condition>,
    interruptions: watch::Sender<Interruptions>,
    watches: Cell<u64>,
    version: watch::Sender<u64>,
    /// For each member, its states in the versions that changed it, oldest first.
    entries: RefCell<Vec<Vec<Entry>>>,
    members: Vec<Rc<Member>>,
    judge: Rc<Judge>,
    /// The last version written to each proxy.
    written_versions: RefCell<Vec<u64>>,
}

impl Discovery {
    /// Starts the service for this many proxies. All members are in service.
    ///
    /// # Errors
    /// Fails if a port cannot be bound.
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

    /// Stops all data on open watches, without closing them.
    pub fn stall_watches(&self) {
        let opened = self.watches.get();
        self.interruptions.send_modify(|interruptions| interruptions.stalled_up_to = opened);
    }

    /// Closes all open watches.
    pub fn reset_watches(&self) {
        let opened = self.watches.get();
        self.interruptions.send_modify(|interruptions| interruptions.reset_up_to = opened);
    }

    /// Changes how calls are handled. [`Condition::Down`] also closes all open watches.
    pub fn set_condition(&self, condition: Condition) {
        self.condition.set(condition);
        let is_reachable = matches!(condition, Condition::Serving(_));
        self.judge.set_discovery_reachable(is_reachable);
        if condition == Condition::Down {
            self.interruptions.send_modify(|interruptions| interruptions.outages += 1);
        }
    }

    /// Whether a member is in service in the newest version of the list.
    pub fn is_in_service(&self, member: usize) -> bool {
        self.newest_entry(member).state == "in_service"
    }

    /// Changes a member's state in the list. A member that returns to service gets a new start time.
    pub fn change_member(&self, member: usize, state: &'static str) {
        let version = *self.version.borrow() + 1;
        let started_ms = match state {
            "in_service" => {
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64)
            }
            _ => self.newest_entry(member).started_ms,
        };
        self.entries.borrow_mut()[member].push(Entry { version, state, started_ms });
        self.judge.member_changed(member, version, state == "in_service");
        self.version.send_replace(version);
    }

    fn newest_entry(&self, member: usize) -> Entry {
        *self.entries.borrow()[member].last().expect("every member has an entry of version 1")
    }

    /// Returns the version last written to a proxy, and the full list of that version for the proxy's configuration.
    pub fn saved_list(&self, process: usize) -> (u64, String) {
        let version = self.written_versions.borrow()[process];
        let entries = self.entries.borrow();
        let listed = entries.iter().enumerate().map(|(member, history)| {
            let entry = history
                .iter()
                .rfind(|entry| entry.version <= version)
                .expect("every member has an entry of version 1");
            self.list_entry(process, member, *entry)
        });
        let servers: Vec<String> = listed.collect();
        let servers = servers.join(",");
        (version, format!(r#"{{"version":{version},"full":true,"servers":[{servers}]}}"#))
    }

    /// A member's JSON list entry, with the member's address for this proxy.
    fn list_entry(&self, process: usize, member: usize, entry: Entry) -> String {
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
            Condition::Overloaded => {
                sleep(REJECTION_DELAY).await;
                return stream.write_all(UNAVAILABLE_RESPONSE.as_bytes()).await;
            }
            Condition::Serving(delay) => sleep(delay).await,
        }
        stream.write_all(RESPONSE_HEAD.as_bytes()).await?;
        // From here on the call is a watch that later interruptions may stall or close.
        let number = self.watches.get() + 1;
        self.watches.set(number);
        let mut interruptions = self.interruptions.subscribe();
        tokio::select! {
            ended = self.watch(process, number, from, stream) => ended,
            _ = interruptions.wait_for(|now| now.reset_up_to >= number) => Ok(()),
        }
    }

    async fn watch(
        &self, process: usize, number: u64, mut from: u64, mut stream: TcpStream,
    ) -> io::Result<()> {
        let incarnation = self.judge.incarnation(process);
        let mut version = self.version.subscribe();
        loop {
            if self.interruptions.borrow().stalled_up_to >= number {
                return std::future::pending().await;
            }
            let newest_version = *version.borrow_and_update();
            let line = if newest_version > from {
                self.changes_since(process, from, newest_version)
            } else {
                String::new()
            };
            from = newest_version;
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            // Recorded before the write: a proxy counts as notified from the first byte on.
            if !self.judge.list_written(process, incarnation, newest_version) {
                return Ok(());
            }
            self.written_versions.borrow_mut()[process] = newest_version;
            stream.write_all(chunk.as_bytes()).await?;
            let _ = timeout(KEEPALIVE_INTERVAL, version.changed()).await;
        }
    }

    fn changes_since(&self, process: usize, from: u64, version: u64) -> String {
        let entries = (0..self.members.len()).map(|member| (member, self.newest_entry(member)));
        let changed = entries.filter(|(_, entry)| entry.version > from);
        let servers: Vec<String> =
            changed.map(|(member, entry)| self.list_entry(process, member, entry)).collect();
        format!(r#"{{"version":{version},"full":false,"servers":[{}]}}"#, servers.join(","))
    }
}
