//! One attempt at a member: obtain a connection, write the statement, read the reply.
//!
//! An attempt ends when it is answered, cancelled or past its deadline, and yields exactly one [`AttemptOutcome`].
//! It must never write a statement whose request is over, whose member accepts nothing new, or for which this proxy
//! holds no quota; and it must never leave a connection open that still owes an answer, except to the task that
//! forwards the rest of a long one.

use crate::api::{LoadReport, LogPosition, MemberId, Outcome, Role};
use crate::close_reason::CloseReason;
use crate::fleet::quota::QuotaUnit;
use crate::list_lease::Withheld;
use crate::request::Payload;
use crate::stages::{Flow, Passed, Value};
use crate::upstream::connection::{MemberConnection, StreamEvent};
use crate::upstream::pool::Pool;
use crate::upstream::reply::StatementReply;
use crate::upstream::report;
use crate::upstream::send_guard::{Purpose, SendIntent};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Chunks of a long answer that may wait for the client to take them.
const STREAM_WINDOW: usize = 4;

/// Time in which a long answer is forwarded, however slow the member or the client: it must not occupy its connection
/// for ever.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);

/// The statement that asks a member for its load report.
const HEALTH_STATEMENT: &[u8] = b"SHOW health";

/// The attempt to make.
pub struct AttemptRequest {
    /// The member to send to.
    pub member: MemberId,
    /// The request to send.
    pub payload: Payload,
    /// When the attempt times out.
    pub deadline: Instant,
    /// Whether the request had an attempt before this one.
    pub is_retry: bool,
    /// Whose attempt it is.
    pub purpose: Purpose,
    /// Set once the request is answered or its client has left. A statement not yet written then is never written.
    pub is_request_over: Rc<Cell<bool>>,
}

/// How an attempt ended.
pub struct AttemptOutcome {
    /// The outcome.
    pub outcome: Outcome,
    /// The response to relay; set when `outcome` is [`Outcome::Ok`].
    pub response: Option<Value>,
    /// The member's replication position, or the commit position of a write.
    pub position: Option<LogPosition>,
    /// The member's role.
    pub role: Option<Role>,
    /// The member's load report.
    pub report: LoadReport,
}

impl AttemptOutcome {
    /// An outcome about which the member said nothing.
    pub fn without_response(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome { outcome, response: None, position: None, role: None, report: LoadReport::default() }
    }
}

/// What the code that ends an exchange from outside needs to know of it.
#[derive(Default)]
struct ExchangeProgress {
    /// Whether the whole statement was written, so that it may have run.
    is_written: Cell<bool>,
    /// The close reason of the connection in use, once there is one.
    close_reason: RefCell<Option<Rc<Cell<CloseReason>>>>,
}

impl ExchangeProgress {
    /// Sets the reason under which the connection in use is logged when the exchange is dropped.
    fn set_close_reason(&self, reason: CloseReason) {
        if let Some(close_reason) = self.close_reason.borrow().as_ref() {
            close_reason.set(reason);
        }
    }
}

/// The reply, and the connection if the rest of a long answer is still to come on it.
type ExchangeReply = (StatementReply, Option<MemberConnection>);

/// One statement to one member.
struct Exchange<'a> {
    pool: &'a Pool,
    intent: &'a SendIntent,
    progress: &'a ExchangeProgress,
}

impl Exchange<'_> {
    /// Writes a statement and reads the reply. `acquire_permit` and `render` are called right before the statement is
    /// written, `on_written` right after. An error is the outcome of a statement that has not run.
    async fn run(
        &self, acquire_permit: impl FnOnce() -> Option<QuotaUnit>, render: impl FnOnce() -> (Bytes, Bytes),
        on_written: impl FnOnce(),
    ) -> Result<ExchangeReply, Outcome> {
        self.check_sendable()?;
        let member = self.intent.member;
        let mut connection = open_or_reuse(self.pool, member).await?;
        // While the connection came up, a list may have announced a drain, the request may have ended, or the process
        // may have been stopped.
        let Some(permit) = self.pool.guard().permit(self.pool, self.intent.clone()).await else {
            // The connection itself is good where only the request is over.
            if self.pool.is_accepting(member) {
                self.pool.put_back(member, connection);
            }
            return Err(Outcome::NotSent);
        };
        *self.progress.close_reason.borrow_mut() = Some(connection.close_reason());
        // The member may have ended the connection while the permit was waited for.
        if permit.has_waited()
            && let Some(reason) = connection.unusable_reason_now()
        {
            connection.close_reason().set(reason);
            return Err(Outcome::ConnectError);
        }
        // The quota is checked at the moment of use: a process that was stopped finds its lease expired here.
        let Some(_quota) = acquire_permit() else {
            self.pool.put_back(member, connection);
            return Err(Outcome::NotSent);
        };
        let (head, tail) = render();
        connection.write_statement(permit, head, tail).await?;
        self.progress.is_written.set(true);
        on_written();
        let reply = connection.read_reply().await;
        if reply.is_streaming {
            return Ok((reply, Some(connection)));
        }
        if reply.is_reusable {
            self.pool.put_back(member, connection);
        }
        Ok((reply, None))
    }

    /// Whether a connection is worth its price. Ending it here needs no permission to cancel, since nothing has
    /// reached the member.
    fn check_sendable(&self) -> Result<(), Outcome> {
        let is_expired = self.pool.guard().check() == Err(Withheld::Expired);
        let is_over = self.intent.is_request_over.get();
        let sendable = self.pool.is_accepting(self.intent.member) && !is_over && !is_expired;
        if sendable { Ok(()) } else { Err(Outcome::NotSent) }
    }
}

/// An idle connection of the pool, or else a new one.
async fn open_or_reuse(pool: &Pool, member: MemberId) -> Result<MemberConnection, Outcome> {
    if let Some(connection) = pool.checkout(member) {
        return Ok(connection);
    }
    let address = pool.address(member).ok_or(Outcome::ConnectError)?;
    // A proxy without a free descriptor or quota learns nothing about the member.
    let descriptor = pool.reserve_descriptor().ok_or(Outcome::NotSent)?;
    let permit = pool.connection_permit(member).ok_or(Outcome::NotSent)?;
    let mut connection = MemberConnection::open(address, descriptor, pool.connect_timeout()).await?;
    // Bytes that a member sends before the statement would be taken for the reply.
    if let Some(reason) = connection.unusable_reason_now() {
        connection.close_reason().set(reason);
        return Err(Outcome::ConnectError);
    }
    connection.hold_permit(permit);
    Ok(connection)
}

/// Runs an attempt until it is answered, cancelled or past its deadline. `on_written` is called once the last byte
/// of the statement is written.
///
/// When this returns, the attempt's connection is closed or back in the pool, so the request has nothing in flight
/// there. The exception is a long answer, whose connection is passed to a task that forwards the rest.
pub async fn run(
    pool: Pool, attempt_request: AttemptRequest, cancelled: oneshot::Receiver<()>, on_written: impl FnOnce(),
) -> AttemptOutcome {
    let AttemptRequest { member, payload, deadline, is_retry, purpose, is_request_over } = attempt_request;
    let progress = ExchangeProgress::default();
    let acquire_permit = || {
        if is_retry && !pool.quota().try_spend_retry() {
            return None;
        }
        pool.attempt_permit(member)
    };
    let render = || {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left_ms = time_left.as_millis() as u64;
        payload.pieces(time_left_ms.max(1))
    };
    let intent = SendIntent { member, purpose, deadline, is_request_over };
    let exchange = Exchange { pool: &pool, intent: &intent, progress: &progress };
    let running = exchange.run(acquire_permit, render, on_written);
    tokio::pin!(running);
    // Biased: a reply that is ready in the same turn as the cancellation or the deadline counts.
    tokio::select! {
        biased;
        result = &mut running => match result {
            Ok(reply) => answered(&pool, member, reply),
            Err(outcome) => AttemptOutcome::without_response(outcome),
        },
        _ = cancelled => {
            progress.set_close_reason(CloseReason::Cancelled);
            AttemptOutcome::without_response(Outcome::Cancelled)
        }
        () = sleep_until(deadline) => {
            progress.set_close_reason(CloseReason::TimedOut);
            // A statement that was not written to its end can't have run.
            let outcome = if progress.is_written.get() { Outcome::TimedOut } else { Outcome::NotSent };
            AttemptOutcome::without_response(outcome)
        }
    }
}

/// The outcome of an attempt that has a reply. A connection that came with it carries the rest of a long answer,
/// which a new task forwards.
fn answered(pool: &Pool, member: MemberId, (reply, connection): ExchangeReply) -> AttemptOutcome {
    let StatementReply { outcome, raw, position, role, report, .. } = reply;
    let response = (outcome == Outcome::Ok).then(|| match connection {
        None => Value::Whole(raw),
        Some(connection) => {
            let (chunks, rest) = mpsc::channel(STREAM_WINDOW);
            tokio::task::spawn_local(forward_rest(pool.clone(), member, connection, chunks));
            Value::Passing(Flow { first: raw, rest })
        }
    });
    AttemptOutcome { outcome, response, position, role, report }
}

/// Forwards the rest of a long answer as the member sends it and the client takes it, then puts the connection back.
/// The attempt has its outcome already: a stream that breaks here is visible to the client only.
async fn forward_rest(
    pool: Pool, member: MemberId, mut connection: MemberConnection, chunks: mpsc::Sender<Passed>,
) {
    let deadline = Instant::now() + STREAM_TIMEOUT;
    loop {
        let chunk = match connection.next_chunk().await {
            StreamEvent::Chunk(bytes) => Passed::Part(bytes),
            StreamEvent::End(bytes) => Passed::Whole(bytes),
            StreamEvent::Ready => return pool.put_back(member, connection),
            StreamEvent::Broken => return,
        };
        let is_end = matches!(chunk, Passed::Whole(_));
        let delivery = timeout_at(deadline, chunks.send(chunk)).await;
        let is_late = delivery.is_err() || Instant::now() >= deadline;
        let is_delivered = matches!(delivery, Ok(Ok(())));
        // After the end only the member's readiness is awaited, whether the client took the end or not.
        if is_end || (is_delivered && !is_late) {
            continue;
        }
        let reason = if is_late { CloseReason::TimedOut } else { CloseReason::Cancelled };
        connection.close_reason().set(reason);
        return;
    }
}

/// Asks a member for its load report. Takes as long as a new connection may take, at most.
pub async fn probe(pool: Pool, member: MemberId) -> (Outcome, LoadReport) {
    let progress = ExchangeProgress::default();
    let deadline = Instant::now() + pool.connect_timeout();
    let intent = SendIntent { member, purpose: Purpose::Probe, deadline, is_request_over: Rc::default() };
    let acquire_permit = || pool.quota().try_spend_health_check().then(QuotaUnit::default);
    let render = || (Bytes::from_static(HEALTH_STATEMENT), Bytes::new());
    let exchange = Exchange { pool: &pool, intent: &intent, progress: &progress };
    let running = exchange.run(acquire_permit, render, || ());
    let Ok(result) = tokio::time::timeout(pool.connect_timeout(), running).await else {
        return (Outcome::TimedOut, LoadReport::default());
    };
    match result {
        // No report is long enough to be streamed.
        Ok((reply, _)) if reply.is_streaming => (Outcome::MalformedReply, LoadReport::default()),
        Ok((reply, _)) => (reply.outcome, probe_report(reply)),
        Err(outcome) => (outcome, LoadReport::default()),
    }
}

/// The report in the reply's column, or else the one that a parameter gave.
fn probe_report(reply: StatementReply) -> LoadReport {
    let column = reply.column.and_then(|column| String::from_utf8(column.to_vec()).ok());
    column.map_or(reply.report, |text| report::parse(&text))
}
