//! Clients of one proxy. As the platform's front assigns clients only to a proxy that has answered an empty query, a
//! session starts with one unless it resends requests. Clients report each written request and its end to the judge.

use super::judge::Judge;
use super::process::Process;
use super::wire;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{self, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Mean pause between two requests of a client.
const THINK_TIME: Duration = Duration::from_millis(150);
/// Pause before a client reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// Time after SIGTERM from which a proxy may refuse new requests.
const REFUSALS_ALLOWED_AFTER: Duration = Duration::from_millis(700);
/// How long a client that stalled within a message waits for the end of its connection.
const STALLED_CLIENT_WAIT: Duration = Duration::from_secs(6);
/// Time after a request's deadline from which a missing answer counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(6);

/// A client of a proxy.
pub struct Client {
    /// The proxy that the client connects to.
    pub process: Rc<Process>,
    /// Receives the client's reports.
    pub judge: Rc<Judge>,
    /// Next request number, shared by all clients.
    pub next_id: Rc<Cell<u64>>,
    /// Number of groups of members.
    pub groups: usize,
    /// Set when no more requests are to be made.
    pub is_over: Rc<Cell<bool>>,
    /// Random source of the client's behaviour.
    pub rng: fastrand::Rng,
}

/// A request to the proxy.
struct Request {
    id: String,
    /// Time from the request's last byte to its deadline.
    time_left: Duration,
    is_write: bool,
    text: Vec<u8>,
}

/// Why a session ended.
enum SessionEnd {
    /// The client closed the session.
    ByClient,
    /// The proxy closed the session, or the connection failed.
    ByProxy {
        /// Requests without an answer.
        unanswered: Vec<Request>,
        /// Whether these requests had already been sent on an earlier connection.
        is_resent: bool,
    },
}

impl Client {
    /// Sends requests until the soak is over.
    pub async fn run(mut self) {
        let mut resend: Vec<Request> = Vec::new();
        while !self.is_over.get() {
            let incarnation = self.process.incarnation.get();
            let Some(address) = self.process.address() else {
                // Requests that were open at the end of a process are lost with it.
                resend.clear();
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            match self.run_session(address, std::mem::take(&mut resend)).await {
                Ok(SessionEnd::ByClient) | Err(_) => {}
                Ok(SessionEnd::ByProxy { unanswered, is_resent })
                    if self.process.incarnation.get() == incarnation =>
                {
                    self.resend_or_report(unanswered, is_resent, &mut resend);
                }
                Ok(SessionEnd::ByProxy { .. }) => {}
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Handles unanswered requests of a connection that a running process closed. The requests may have crossed the
    /// end of an idle connection, so they are sent once more. If that connection ends the same way, they are reported
    /// as lost.
    fn resend_or_report(&self, unanswered: Vec<Request>, is_resent: bool, resend: &mut Vec<Request>) {
        let may_refuse_requests =
            self.process.terminated_at.get().is_some_and(|at| at.elapsed() > REFUSALS_ALLOWED_AFTER);
        if unanswered.is_empty() || may_refuse_requests {
            return;
        }
        if !is_resent {
            resend.extend(unanswered);
            return;
        }
        if self.process.has_crashed() {
            return;
        }
        for request in unanswered {
            let text =
                format!("{} at proxy {} was closed twice without an answer", request.id, self.process.index);
            self.judge.record_violation("lost", text);
        }
    }

    /// Opens a connection, sends requests and reads answers until the session ends.
    async fn run_session(&mut self, address: SocketAddr, resend: Vec<Request>) -> io::Result<SessionEnd> {
        if resend.is_empty() && self.rng.u32(0..14) == 0 {
            self.stall_within_message(address).await?;
            return Ok(SessionEnd::ByClient);
        }
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        wire::write(&mut stream, &wire::startup()).await?;
        wire::read_answer(&mut stream).await?;
        if resend.is_empty() {
            // The front assigns clients only after this answer.
            wire::write(&mut stream, &wire::query("")).await?;
            wire::read_answer(&mut stream).await?;
        }
        // Requests are resent only once.
        let mut is_resent = !resend.is_empty();
        let mut batch = resend;
        loop {
            if batch.is_empty() {
                batch = self.draw_batch();
            }
            if let Some(end) = self.exchange(&mut stream, std::mem::take(&mut batch), is_resent).await {
                return Ok(end);
            }
            is_resent = false;
            let think_time = THINK_TIME.mul_f64(2.0 * self.rng.f64());
            sleep(think_time).await;
            if self.is_over.get() || self.rng.u32(0..30) == 0 {
                return Ok(SessionEnd::ByClient);
            }
        }
    }

    /// Draws one request, or three pipelined ones.
    fn draw_batch(&mut self) -> Vec<Request> {
        let size = if self.rng.u32(0..8) == 0 { 3 } else { 1 };
        (0..size).map(|_| self.draw_request()).collect()
    }

    fn draw_request(&mut self) -> Request {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("{number:016x}");
        let is_write = self.rng.u32(0..3) == 0;
        // One request in twenty has less than 50 ms to its deadline.
        let time_left_ms =
            if self.rng.u32(0..20) == 0 { self.rng.u64(5..50) } else { self.rng.u64(400..2_500) };
        let group = self.rng.usize(0..self.groups);
        let key = self.rng.u64(0..1_000);
        let statement = match is_write {
            true => format!(
                "/* id={id},c=order,d={time_left_ms},k={id},cluster={group} */ INSERT INTO state (uid, val) VALUES ('{key:x}', 'x') RETURNING val"
            ),
            false => format!(
                "/* id={id},c=list,d={time_left_ms},cluster={group} */ SELECT val FROM state WHERE uid = '{key:x}'"
            ),
        };
        Request {
            id,
            time_left: Duration::from_millis(time_left_ms),
            is_write,
            text: wire::query(&statement),
        }
    }

    /// Writes requests and reads their answers. Returns why the session ended, if it did.
    async fn exchange(
        &mut self, stream: &mut TcpStream, batch: Vec<Request>, is_resent: bool,
    ) -> Option<SessionEnd> {
        let disconnect_after = (self.rng.u32(0..25) == 0).then(|| Duration::from_millis(self.rng.u64(0..40)));
        if self.write(stream, &batch).await.is_err() {
            return Some(SessionEnd::ByProxy { unanswered: batch, is_resent });
        }
        if let Some(disconnect_after) = disconnect_after {
            sleep(disconnect_after).await;
            batch.iter().for_each(|request| self.judge.client_disconnected(&request.id));
            return Some(SessionEnd::ByClient);
        }
        let mut open = batch.into_iter();
        let mut previous_answer_at = Instant::now();
        while let Some(request) = open.next() {
            let answer_timeout = request.time_left + LOST_AFTER;
            match timeout(answer_timeout, wire::read_answer(stream)).await {
                Ok(Ok(answer)) => {
                    self.judge_answer(&request, &answer, previous_answer_at);
                    previous_answer_at = Instant::now();
                }
                Ok(Err(_)) => {
                    let unanswered = std::iter::once(request).chain(open).collect();
                    return Some(SessionEnd::ByProxy { unanswered, is_resent });
                }
                Err(_)
                    if !self
                        .judge
                        .suspended_since(self.process.index, Instant::now() - answer_timeout)
                        .is_zero() =>
                {
                    return Some(SessionEnd::ByClient);
                }
                Err(_) => {
                    let text = format!(
                        "{} at proxy {} was not answered within {answer_timeout:?}",
                        request.id, self.process.index
                    );
                    self.judge.record_violation("lost", text);
                    return Some(SessionEnd::ByClient);
                }
            }
        }
        None
    }

    fn judge_answer(&self, request: &Request, answer: &[u8], previous_answer_at: Instant) {
        let is_served = answer.starts_with(b"T");
        if is_served && !contains_bytes(answer, request.id.as_bytes()) {
            self.judge.record_violation(
                "lost",
                format!("{} was answered with the value of another request", request.id),
            );
        }
        self.judge.judge_answer(&request.id, is_served, previous_answer_at);
    }

    /// Writes requests. A single request is sometimes written slowly, in parts.
    async fn write(&mut self, stream: &mut TcpStream, batch: &[Request]) -> io::Result<()> {
        // Only single requests: in a batch the answers to earlier requests would wait for the last one to be written.
        let is_slow = batch.len() == 1 && self.rng.u32(0..12) == 0;
        for request in batch {
            let mut text = &request.text[..];
            while is_slow && text.len() > 20 {
                let (part, remainder) = text.split_at(self.rng.usize(1..text.len() / 2));
                wire::write(stream, part).await?;
                sleep(Duration::from_millis(self.rng.u64(10..150))).await;
                text = remainder;
            }
            // Recorded before the last byte is written, so that no member receives the request earlier.
            self.judge.request_written(&request.id, self.process.index, request.time_left, request.is_write);
            wire::write(stream, text).await?;
        }
        Ok(())
    }

    /// Connects, stalls within the startup message or a request, and waits for the end of the connection.
    async fn stall_within_message(&mut self, address: SocketAddr) -> io::Result<()> {
        let incarnation = self.process.incarnation.get();
        let mut stream = TcpStream::connect(address).await?;
        let startup = wire::startup();
        let messages = [&startup[..], &self.draw_request().text].concat();
        let mut length = self.rng.usize(1..messages.len());
        length = if length == startup.len() { length + 1 } else { length };
        wire::write(&mut stream, &messages[..length]).await?;
        let stalled_at = Instant::now();
        if length > startup.len() {
            wire::read_answer(&mut stream).await?;
        }
        let has_ended = timeout(STALLED_CLIENT_WAIT, stream.read(&mut [0; 1])).await.is_ok();
        if self.process.incarnation.get() == incarnation && self.process.terminated_at.get().is_none() {
            self.judge.judge_stalled_client(self.process.index, stalled_at, has_ended);
        }
        Ok(())
    }
}

fn contains_bytes(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
