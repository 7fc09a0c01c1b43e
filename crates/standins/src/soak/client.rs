//! Clients at one proxy, which the platform's front assigns only once the proxy has answered an empty query. Each client
//! reports to the judge what it wrote and how that ended.

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

/// The pause between two requests of a client, on average.
const THINK_TIME: Duration = Duration::from_millis(150);
/// The pause before a client reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// From this time after SIGTERM on a proxy may refuse new requests.
const STOP_REFUSES_AFTER: Duration = Duration::from_millis(700);
/// How long a client that stopped in a message waits for its connection's end.
const STOPPED_CLIENT_WAIT: Duration = Duration::from_secs(6);
/// How long an answer is waited for past its time before it counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(6);

/// One client.
pub struct Client {
    /// The proxy that it was assigned to.
    pub process: Rc<Process>,
    /// Judges what the client sees.
    pub judge: Rc<Judge>,
    /// Numbers requests over all clients.
    pub next_id: Rc<Cell<u64>>,
    /// Number of groups of members.
    pub groups: usize,
    /// Set once no more requests are to be made.
    pub is_over: Rc<Cell<bool>>,
    /// Draws what it does.
    pub rng: fastrand::Rng,
}

/// A request that was or will be written.
struct Request {
    id: String,
    /// Its deadline, from its last byte on.
    time_left: Duration,
    is_write: bool,
    text: Vec<u8>,
}

/// Why a session ended.
enum SessionEnd {
    /// The client closed it.
    ByClient,
    /// The proxy closed it, or it broke.
    ByProxy {
        /// The requests that were not answered.
        unanswered: Vec<Request>,
        /// Whether they had been sent on an earlier connection as well.
        is_resent: bool,
    },
}

impl Client {
    /// Makes requests until the soak is over.
    pub async fn run(mut self) {
        let mut resend: Vec<Request> = Vec::new();
        while !self.is_over.get() {
            let incarnation = self.process.incarnation.get();
            let Some(address) = self.process.address() else {
                // What a process that died had open is lost with it.
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

    /// After a connection that ended with unanswered requests though the process lives: they may have crossed the end of an
    /// idle connection, so they are sent once more. A second such end is reported.
    fn resend_or_report(&self, unanswered: Vec<Request>, is_resent: bool, resend: &mut Vec<Request>) {
        let is_late_in_stop =
            self.process.terminated_at.get().is_some_and(|at| at.elapsed() > STOP_REFUSES_AFTER);
        if unanswered.is_empty() || is_late_in_stop {
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
            let text = format!("{} at proxy {} was closed without an answer", request.id, self.process.index);
            self.judge.report("lost", text);
        }
    }

    /// Opens a connection and exchanges requests and answers on it until it ends.
    async fn run_session(&mut self, address: SocketAddr, resend: Vec<Request>) -> io::Result<SessionEnd> {
        if resend.is_empty() && self.rng.u32(0..14) == 0 {
            self.stop_within_message(address).await?;
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
        // What was sent before is not sent a third time.
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
            let think = THINK_TIME.mul_f64(2.0 * self.rng.f64());
            sleep(think).await;
            if self.is_over.get() || self.rng.u32(0..30) == 0 {
                return Ok(SessionEnd::ByClient);
            }
        }
    }

    /// Draws one request, or a few that are pipelined.
    fn draw_batch(&mut self) -> Vec<Request> {
        let size = if self.rng.u32(0..8) == 0 { 3 } else { 1 };
        (0..size).map(|_| self.draw_request()).collect()
    }

    fn draw_request(&mut self) -> Request {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("{number:016x}");
        let is_write = self.rng.u32(0..3) == 0;
        // Some have very little time.
        let left_ms = if self.rng.u32(0..20) == 0 { self.rng.u64(5..50) } else { self.rng.u64(400..2_500) };
        let group = self.rng.usize(0..self.groups);
        let key = self.rng.u64(0..1_000);
        let statement = match is_write {
            true => format!(
                "/* id={id},c=order,d={left_ms},k={id},cluster={group} */ INSERT INTO state (uid, val) VALUES ('{key:x}', 'x') RETURNING val"
            ),
            false => format!(
                "/* id={id},c=list,d={left_ms},cluster={group} */ SELECT val FROM state WHERE uid = '{key:x}'"
            ),
        };
        Request { id, time_left: Duration::from_millis(left_ms), is_write, text: wire::query(&statement) }
    }

    /// Writes requests and reads their answers; an end if the session is over with that.
    async fn exchange(
        &mut self, stream: &mut TcpStream, batch: Vec<Request>, is_resent: bool,
    ) -> Option<SessionEnd> {
        let leaves_after = (self.rng.u32(0..25) == 0).then(|| Duration::from_millis(self.rng.u64(0..40)));
        if self.write(stream, &batch).await.is_err() {
            return Some(SessionEnd::ByProxy { unanswered: batch, is_resent });
        }
        if let Some(leaves_after) = leaves_after {
            sleep(leaves_after).await;
            batch.iter().for_each(|request| self.judge.client_left(&request.id));
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
                    let text = format!("{} at proxy {} got no answer", request.id, self.process.index);
                    self.judge.report("lost", text);
                    return Some(SessionEnd::ByClient);
                }
            }
        }
        None
    }

    fn judge_answer(&self, request: &Request, answer: &[u8], previous_answer_at: Instant) {
        let is_served = answer.starts_with(b"T");
        if is_served && !contains(answer, request.id.as_bytes()) {
            self.judge.report("lost", format!("{} was answered with another's value", request.id));
        }
        self.judge.judge_answer(&request.id, is_served, previous_answer_at);
    }

    /// Writes requests, some of them slowly, in pieces.
    async fn write(&mut self, stream: &mut TcpStream, batch: &[Request]) -> io::Result<()> {
        // The answers of those written before must not wait for the last one to be written.
        let is_slow = batch.len() == 1 && self.rng.u32(0..12) == 0;
        for request in batch {
            let mut text = &request.text[..];
            while is_slow && text.len() > 20 {
                let (piece, rest) = text.split_at(self.rng.usize(1..text.len() / 2));
                wire::write(stream, piece).await?;
                sleep(Duration::from_millis(self.rng.u64(10..150))).await;
                text = rest;
            }
            // Recorded before the last byte is written: no member may see the request earlier.
            self.judge.request_written(&request.id, self.process.index, request.time_left, request.is_write);
            wire::write(stream, text).await?;
        }
        Ok(())
    }

    /// Connects, stops at some byte of the startup message or of a request, and waits for the connection's end.
    async fn stop_within_message(&mut self, address: SocketAddr) -> io::Result<()> {
        let incarnation = self.process.incarnation.get();
        let mut stream = TcpStream::connect(address).await?;
        let startup = wire::startup();
        let messages = [&startup[..], &self.draw_request().text].concat();
        let mut length = self.rng.usize(1..messages.len());
        length = if length == startup.len() { length + 1 } else { length };
        wire::write(&mut stream, &messages[..length]).await?;
        let stopped_at = Instant::now();
        if length > startup.len() {
            wire::read_answer(&mut stream).await?;
        }
        let has_ended = timeout(STOPPED_CLIENT_WAIT, stream.read(&mut [0; 1])).await.is_ok();
        if self.process.incarnation.get() == incarnation && self.process.terminated_at.get().is_none() {
            self.judge.judge_stopped_client(self.process.index, stopped_at, has_ended);
        }
        Ok(())
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
