//! A simulated member. It answers statements, reports each attempt to the judge, and hangs or resets connections as
//! the schedule says. It listens at a separate address for each proxy, which identifies the sender of an attempt.

use super::judge::{Judge, ObservedAttempt};
use super::wire;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Time to process a statement.
const PROCESSING_TIME: Duration = Duration::from_millis(4);
/// Time by which the end of an earlier attempt may be observed after the next attempt.
const MAX_END_DELAY: Duration = Duration::from_millis(150);

/// The attempts in flight at all members.
#[derive(Default)]
pub struct OpenAttempts {
    by_request: RefCell<BTreeMap<String, Vec<OpenAttempt>>>,
    opened: Cell<u64>,
}

struct OpenAttempt {
    /// Sequence number in the order in which members received attempts.
    number: u64,
    member: usize,
}

impl OpenAttempts {
    fn open(&self, id: &str, member: usize) -> u64 {
        let number = self.opened.get();
        self.opened.set(number + 1);
        let mut by_request = self.by_request.borrow_mut();
        by_request.entry(id.to_string()).or_default().push(OpenAttempt { number, member });
        number
    }

    fn close(&self, id: &str, number: u64) {
        let mut by_request = self.by_request.borrow_mut();
        if let Some(attempts) = by_request.get_mut(id) {
            attempts.retain(|attempt| attempt.number != number);
            if attempts.is_empty() {
                by_request.remove(id);
            }
        }
    }

    /// Returns the member of an attempt of this request that began before attempt `number`, if one is in flight.
    fn earlier_member(&self, id: &str, number: u64) -> Option<usize> {
        let by_request = self.by_request.borrow();
        let attempts = by_request.get(id)?;
        attempts.iter().find(|attempt| attempt.number < number).map(|attempt| attempt.member)
    }
}

/// A simulated member.
pub struct Member {
    /// Index among the members.
    pub index: usize,
    /// Index of the group.
    pub group: usize,
    /// Whether the member accepts writes.
    pub is_primary: bool,
    /// Address of the member for each proxy.
    pub addresses: Vec<SocketAddr>,
    /// The member sends no answers before this time.
    pub hangs_until: Cell<Option<Instant>>,
    /// Counts resets: each change closes all connections.
    pub resets: watch::Sender<u32>,
    judge: Rc<Judge>,
    open: Rc<OpenAttempts>,
}

impl Member {
    /// Starts a member that listens on one port per proxy.
    ///
    /// # Errors
    /// Fails if a port cannot be bound.
    pub async fn start(
        index: usize, group: usize, is_primary: bool, processes: usize, judge: Rc<Judge>,
        open: Rc<OpenAttempts>,
    ) -> io::Result<Rc<Member>> {
        let mut listeners = Vec::new();
        for _ in 0..processes {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let (resets, _) = watch::channel(0);
        let hangs_until = Cell::default();
        let member =
            Rc::new(Member { index, group, is_primary, addresses, hangs_until, resets, judge, open });
        for (process, listener) in listeners.into_iter().enumerate() {
            spawn_local(member.clone().listen(process, listener));
        }
        Ok(member)
    }

    async fn listen(self: Rc<Member>, process: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let member = self.clone();
            spawn_local(async move {
                let mut resets = member.resets.subscribe();
                tokio::select! {
                    _ = member.serve(process, stream) => {}
                    _ = resets.changed() => {}
                }
            });
        }
    }

    async fn serve(&self, process: usize, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        wire::read_startup(&mut stream).await?;
        self.hang().await;
        wire::write(&mut stream, &wire::startup_response()).await?;
        loop {
            let statement = wire::read_query(&mut stream).await?;
            if statement.is_empty() {
                wire::write(&mut stream, &wire::empty_query_response()).await?;
                continue;
            }
            let Some(id) = wire::comment_field(&statement, "id").map(str::to_string) else {
                let answer = wire::row_response(&self.health_report(), self.is_primary, unix_ms());
                wire::write(&mut stream, &answer).await?;
                continue;
            };
            let _in_flight = self.begin_attempt(process, &id, &statement);
            // A proxy cancels an attempt by closing its connection, which ends the attempt at once.
            tokio::select! {
                () = self.process_statement() => {}
                ended = wait_for_close(&stream) => return ended,
            }
            let answer = match statement.contains("INSERT") && !self.is_primary {
                true => wire::error_response("25006", self.is_primary, unix_ms()),
                false => wire::row_response(&id, self.is_primary, unix_ms()),
            };
            wire::write(&mut stream, &answer).await?;
        }
    }

    /// Reports an attempt to the judge. Records a violation if an earlier attempt of the same request is still in
    /// flight after [`MAX_END_DELAY`].
    fn begin_attempt(&self, process: usize, id: &str, statement: &str) -> InFlightGuard {
        let time_left_ms =
            wire::comment_field(statement, "d").and_then(|left| left.parse().ok()).unwrap_or(0);
        let attempt = ObservedAttempt {
            process,
            member: self.index,
            id: id.to_string(),
            time_left_ms,
            at: Instant::now(),
        };
        self.judge.judge_attempt(&attempt);
        let number = self.open.open(id, self.index);
        if self.open.earlier_member(id, number).is_some() {
            let (open, judge, id) = (self.open.clone(), self.judge.clone(), id.to_string());
            let member = self.index;
            spawn_local(async move {
                sleep(MAX_END_DELAY).await;
                if let Some(earlier) = open.earlier_member(&id, number) {
                    let text =
                        format!("{id} was sent to member {member} while in flight at member {earlier}");
                    judge.record_violation("one-attempt", text);
                }
            });
        }
        InFlightGuard { id: id.to_string(), number, open: self.open.clone() }
    }

    async fn process_statement(&self) {
        sleep(PROCESSING_TIME).await;
        self.hang().await;
    }

    async fn hang(&self) {
        while let Some(until) = self.hangs_until.get().filter(|until| *until > Instant::now()) {
            sleep_until(until).await;
        }
    }

    fn health_report(&self) -> String {
        let now = unix_ms();
        format!("x0={}.{:03},x1={}", now / 1_000, now % 1_000, u8::from(self.is_primary))
    }
}

/// Marks an attempt as in flight until it is dropped, which also happens when the connection's task is cancelled.
struct InFlightGuard {
    id: String,
    number: u64,
    open: Rc<OpenAttempts>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.open.close(&self.id, self.number);
    }
}

/// Returns an error once the peer has closed the connection or sent data, which it must not do before the answer.
async fn wait_for_close(stream: &TcpStream) -> io::Result<()> {
    stream.peek(&mut [0; 1]).await?;
    Err(io::ErrorKind::ConnectionAborted.into())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
