//! One attempt of a request at a member: an exchange that can be cancelled and has a deadline.
//!
//! An attempt ends when it is answered, cancelled or past its deadline, and yields exactly one [`AttemptOutcome`].
//! It must never write a statement whose request is over, whose member accepts nothing new, or for which this proxy
//! holds no quota; and it must never leave a connection open that still owes an answer, except to the task that
//! forwards the rest of a long one.

use crate::api::{LoadReport, LogPosition, MemberId, Outcome, Role};
use crate::close_reason::CloseReason;
use crate::request::Payload;
use crate::upstream::connection::{MemberConnection, StreamEvent};
use crate::upstream::exchange::{Exchange, ExchangeProgress, ExchangeReply};
use crate::upstream::pool::Pool;
use crate::upstream::reply::StatementReply;
use crate::upstream::response::{MemberResponse, ResponseChunk, StreamingResponse};
use crate::upstream::send_guard::{Purpose, SendIntent};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Chunks of a long answer that may wait for the client to take them.
const STREAM_WINDOW_CHUNKS: usize = 4;

/// Time in which a long answer is forwarded, however slow the member or the client: it must not occupy its connection
/// for ever.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);

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
    pub response: Option<MemberResponse>,
    /// The member's replication position, or the commit position of a write.
    pub position: Option<LogPosition>,
    /// The member's role.
    pub role: Option<Role>,
    /// The member's load report.
    pub report: LoadReport,
}

impl AttemptOutcome {
    /// An outcome without a response, position or report of the member.
    pub fn without_response(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome { outcome, response: None, position: None, role: None, report: LoadReport::default() }
    }
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
    let acquire_quota = || {
        if is_retry && !pool.quota().try_spend_retry() {
            return None;
        }
        pool.acquire_attempt_quota(member)
    };
    let render = || {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left_ms = time_left.as_millis() as u64;
        payload.render_parts(time_left_ms.max(1))
    };
    let intent = SendIntent { member, purpose, deadline, is_request_over };
    let exchange = Exchange { pool: &pool, intent: &intent, progress: &progress };
    let running = exchange.run(acquire_quota, render, on_written);
    tokio::pin!(running);
    // Biased: a reply that is ready in the same turn as the cancellation or the deadline counts.
    tokio::select! {
        biased;
        result = &mut running => match result {
            Ok(exchange_reply) => outcome_from_reply(&pool, member, exchange_reply),
            Err(outcome) => AttemptOutcome::without_response(outcome),
        },
        _ = cancelled => {
            progress.set_close_reason(CloseReason::Cancelled);
            AttemptOutcome::without_response(Outcome::Cancelled)
        }
        () = sleep_until(deadline) => {
            progress.set_close_reason(CloseReason::TimedOut);
            // A statement that was not written to its end can't have run.
            let outcome = if progress.is_written() { Outcome::TimedOut } else { Outcome::NotSent };
            AttemptOutcome::without_response(outcome)
        }
    }
}

/// The outcome of an attempt that has a reply. A connection in `exchange_reply` carries the rest of a long answer,
/// which a new task forwards.
fn outcome_from_reply(pool: &Pool, member: MemberId, exchange_reply: ExchangeReply) -> AttemptOutcome {
    let ExchangeReply { reply, streaming_connection } = exchange_reply;
    let StatementReply { outcome, raw, position, role, report, .. } = reply;
    let response = (outcome == Outcome::Ok).then(|| match streaming_connection {
        None => MemberResponse::Complete(raw),
        Some(connection) => {
            let (chunks, rest) = mpsc::channel(STREAM_WINDOW_CHUNKS);
            tokio::task::spawn_local(forward_rest(pool.clone(), member, connection, chunks));
            MemberResponse::Streaming(StreamingResponse { first: raw, rest })
        }
    });
    AttemptOutcome { outcome, response, position, role, report }
}

/// Forwards the rest of a long answer as the member sends it and the client takes it, then puts the connection back.
/// The attempt has its outcome already: a stream that breaks here is visible to the client only.
async fn forward_rest(
    pool: Pool, member: MemberId, mut connection: MemberConnection, chunks: mpsc::Sender<ResponseChunk>,
) {
    let deadline = Instant::now() + STREAM_TIMEOUT;
    loop {
        let chunk = match connection.next_chunk().await {
            StreamEvent::Chunk(bytes) => ResponseChunk::More(bytes),
            StreamEvent::End(bytes) => ResponseChunk::Last(bytes),
            StreamEvent::Ready => return pool.put_back(member, connection),
            StreamEvent::Broken => return,
        };
        let is_end = matches!(chunk, ResponseChunk::Last(_));
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
