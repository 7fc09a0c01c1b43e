//! One attempt of a request at a member: an exchange that can be cancelled and has a deadline.
//!
//! An attempt ends when it is answered, fails, is cancelled or reaches its deadline, and yields exactly one
//! [`AttemptOutcome`]. It must never write a statement if the request is over, the member accepts no new statements,
//! the list lease has expired, or this proxy has no quota for the attempt. It must not return a connection to the pool
//! while an answer is outstanding on that connection; the rest of a long answer is handed to a forwarding task.

use crate::api::{LoadReport, LogPosition, MemberId, Outcome, Role};
use crate::close_reason::CloseReason;
use crate::request::Payload;
use crate::upstream::connection::{MemberConnection, StreamEvent};
use crate::upstream::exchange::{Exchange, ExchangeProgress, ExchangeReply};
use crate::upstream::pool::Pool;
use crate::upstream::reply::{ReportedState, StatementReply};
use crate::upstream::response::{MemberResponse, ResponseChunk, STREAM_WINDOW_CHUNKS, StreamingResponse};
use crate::upstream::send_guard::{Purpose, SendIntent};
use bytes::Bytes;
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time limit for forwarding a long answer, so that a slow member or client can't occupy the connection indefinitely.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);

/// The parameters of an attempt.
pub struct AttemptRequest {
    /// The member to send to.
    pub member: MemberId,
    /// The statement to send.
    pub payload: Payload,
    /// The time at which the attempt times out.
    pub deadline: Instant,
    /// The time by which the last byte of the statement must be written; `None` for no limit besides `deadline`.
    pub written_by: Option<Instant>,
    /// Whether the request had an earlier attempt. Retries and hedged attempts are subject to the retry budget.
    pub is_retry: bool,
    /// Identifies the request and the attempt in the log.
    pub purpose: Purpose,
    /// Set once the request has its final answer or its client has disconnected. From then on the statement is not
    /// written.
    pub is_request_over: Rc<Cell<bool>>,
}

/// Which attempts a cancellation ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Any attempt, whether its statement was written or not.
    Always,
    /// An attempt of whose statement the last byte is not written, so that it never runs.
    IfUnwritten,
}

/// The result of an attempt.
pub struct AttemptOutcome {
    /// The outcome for the router.
    pub outcome: Outcome,
    /// The response to relay; set when `outcome` is [`Outcome::Ok`].
    pub response: Option<MemberResponse>,
    /// The member's replication position, or the commit position of a write.
    pub position: Option<LogPosition>,
    /// The role that the member reported.
    pub role: Option<Role>,
    /// The load report of the member; empty if it sent none.
    pub report: LoadReport,
}

impl AttemptOutcome {
    /// A result without any data from the member.
    pub fn without_response(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome { outcome, response: None, position: None, role: None, report: LoadReport::default() }
    }
}

/// Runs an attempt until it is answered, fails, is cancelled or reaches its deadline. `on_written` is called once the
/// last byte of the statement is written, and `on_long_answer_end` at the end of a long answer, complete or not, before the end is
/// forwarded.
///
/// When this returns, the connection of the attempt is closed or back in the pool, so nothing of the request is in
/// flight on it. A long answer is the exception: a separate task keeps its connection to forward the rest.
pub async fn run(
    pool: Pool, attempt_request: AttemptRequest, cancelled: oneshot::Receiver<Cancellation>,
    on_written: impl FnOnce(), on_long_answer_end: impl FnOnce(ReportedState) + 'static,
) -> AttemptOutcome {
    let AttemptRequest { member, payload, deadline, written_by, is_retry, purpose, is_request_over } =
        attempt_request;
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
    let sent_by = written_by.map_or(deadline, |written_by| written_by.min(deadline));
    let intent = SendIntent { member, purpose, deadline: sent_by, is_request_over };
    let exchange = Exchange { pool: &pool, intent: &intent, progress: &progress, written_by };
    let running = exchange.run(acquire_quota, render, on_written);
    tokio::pin!(running);
    // Biased: a reply takes precedence over a cancellation or deadline that becomes ready in the same poll.
    tokio::select! {
        biased;
        result = &mut running => match result {
            Ok(exchange_reply) => outcome_from_reply(&pool, member, exchange_reply, on_long_answer_end),
            Err(outcome) => AttemptOutcome::without_response(outcome),
        },
        cancellation = effective_cancellation(cancelled, &progress) => {
            progress.set_close_reason(CloseReason::Cancelled);
            let outcome = match cancellation {
                Cancellation::Always => Outcome::Cancelled,
                Cancellation::IfUnwritten => Outcome::NotSent,
            };
            AttemptOutcome::without_response(outcome)
        }
        () = sleep_until(deadline) => {
            progress.set_close_reason(CloseReason::TimedOut);
            // An incompletely written statement can't have run.
            let outcome = if progress.is_written() { Outcome::TimedOut } else { Outcome::NotSent };
            AttemptOutcome::without_response(outcome)
        }
    }
}

/// Waits for a cancellation that ends the attempt in its present state.
async fn effective_cancellation(
    cancelled: oneshot::Receiver<Cancellation>, progress: &ExchangeProgress,
) -> Cancellation {
    match cancelled.await {
        Ok(Cancellation::IfUnwritten) if progress.is_written() => pending().await,
        cancellation => cancellation.unwrap_or(Cancellation::Always),
    }
}

/// Converts a reply into the result of the attempt. If the reply is the beginning of a long answer, starts a task that
/// forwards the rest.
fn outcome_from_reply(
    pool: &Pool, member: MemberId, exchange_reply: ExchangeReply,
    on_long_answer_end: impl FnOnce(ReportedState) + 'static,
) -> AttemptOutcome {
    let ExchangeReply { reply, streaming_connection } = exchange_reply;
    let StatementReply { outcome, raw, state, memory, .. } = reply;
    let response = (outcome == Outcome::Ok).then(|| match streaming_connection {
        None => MemberResponse::Complete(raw),
        Some(connection) => {
            let (chunks, rest) = mpsc::channel(STREAM_WINDOW_CHUNKS);
            tokio::task::spawn_local(forward_rest(
                pool.clone(),
                member,
                connection,
                chunks,
                on_long_answer_end,
            ));
            MemberResponse::Streaming(StreamingResponse { first: raw, rest, memory })
        }
    });
    let ReportedState { position, role, report } = state;
    AttemptOutcome { outcome, response, position, role, report }
}

/// Forwards the rest of a long answer at the pace of the member and the client. Returns the connection to the pool
/// after a complete answer, and closes it otherwise. The outcome of the attempt is already reported, so only the client
/// observes a failure here.
async fn forward_rest(
    pool: Pool, member: MemberId, mut connection: MemberConnection, chunks: mpsc::Sender<ResponseChunk>,
    on_end: impl FnOnce(ReportedState),
) {
    let deadline = Instant::now() + STREAM_TIMEOUT;
    let completion = forward_value(&mut connection, &chunks, deadline).await;
    // What the member says of itself may come behind the completion.
    let is_ready = completion.is_some() && matches!(connection.next_chunk().await, StreamEvent::Ready);
    // Before the client has its answer, after which its session may rely on what the member has said.
    on_end(connection.take_trailing_state());
    if is_ready {
        pool.put_back(member, connection);
    } else {
        drop(connection);
    }
    if let Some(completion) = completion {
        let _ = timeout_at(deadline, chunks.send(ResponseChunk::Last(completion))).await;
    }
}

/// Forwards the chunks of a long value; returns the completion behind it. `None`, with the close reason set, if the member
/// or the client ends the answer before.
async fn forward_value(
    connection: &mut MemberConnection, chunks: &mpsc::Sender<ResponseChunk>, deadline: Instant,
) -> Option<Bytes> {
    loop {
        let chunk = match connection.next_chunk().await {
            StreamEvent::Chunk(bytes) => ResponseChunk::More(bytes),
            StreamEvent::End(completion) => return Some(completion),
            StreamEvent::Ready | StreamEvent::Broken => return None,
        };
        let delivery = timeout_at(deadline, chunks.send(chunk)).await;
        let is_late = delivery.is_err() || Instant::now() >= deadline;
        if matches!(delivery, Ok(Ok(()))) && !is_late {
            continue;
        }
        let reason = if is_late { CloseReason::TimedOut } else { CloseReason::Cancelled };
        connection.close_reason().set(reason);
        return None;
    }
}
