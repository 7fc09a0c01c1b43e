//! The life of one attempt: a connection, the statement, the answer; or its end before that.

use crate::api::{LoadReport, MemberId, Outcome, Role, Time};
use crate::close_reason::CloseReason;
use crate::fleet::Unit;
use crate::request::Payload;
use crate::stages::{Flow, Passed, Value};
use crate::upstream::connection::{MemberConnection, StatementReply, StreamEvent};
use crate::upstream::pool::Pool;
use crate::upstream::report;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Parts of a long answer that may wait for the client to take them.
const STREAM_WINDOW: usize = 4;

/// A long answer has passed by then, however slowly it is given or taken: its connection is not held for ever.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);

/// What is to be done.
pub struct AttemptRequest {
    /// Where.
    pub member: MemberId,
    /// What is sent.
    pub payload: Payload,
    /// When waiting ends.
    pub deadline: Instant,
    /// It is not the request's first attempt.
    pub is_retry: bool,
    /// The request is over: answered, or its client has left. What is not written by then is not written any more.
    pub is_request_over: Rc<Cell<bool>>,
}

/// How it ended.
pub struct AttemptOutcome {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer to relay, when served.
    pub value: Option<Value>,
    /// The member's position, or a write's commit.
    pub position: Option<Time>,
    /// Its role.
    pub role: Option<Role>,
    /// Its report.
    pub report: LoadReport,
}

impl AttemptOutcome {
    /// An ending that tells nothing more.
    pub fn without_response(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome { outcome, value: None, position: None, role: None, report: LoadReport::default() }
    }
}

/// What the outside may need to know of a run: whether the statement is written, and whose end to explain.
#[derive(Default)]
struct Progress {
    written: Cell<bool>,
    reason: RefCell<Option<Rc<Cell<CloseReason>>>>,
}

impl Progress {
    fn explain(&self, why: CloseReason) {
        if let Some(reason) = self.reason.borrow().as_ref() {
            reason.set(why);
        }
    }
}

/// A connection: an idle one, or a new one.
async fn open_or_reuse(pool: &Pool, member: MemberId) -> Result<MemberConnection, Outcome> {
    if let Some(link) = pool.checkout(member) {
        return Ok(link);
    }
    let addr = pool.address(member).ok_or(Outcome::ConnectError)?;
    // Without a descriptor left nothing is known against the member.
    let place = pool.reserve_descriptor().ok_or(Outcome::Ignored)?;
    let unit = pool.connection_permit(member).ok_or(Outcome::Ignored)?;
    let mut link = MemberConnection::open(addr, place, pool.connect_timeout()).await?;
    // Whatever a member says before it was asked would be taken for the answer.
    if let Some(reason) = link.unusable_now() {
        link.close_reason().set(reason);
        return Err(Outcome::ConnectError);
    }
    link.hold_permit(unit);
    Ok(link)
}

async fn exchange(
    pool: &Pool, member: MemberId, is_request_over: &Cell<bool>, statement: impl FnOnce() -> (Bytes, Bytes),
    progress: &Progress, unit: impl FnOnce() -> Option<Unit>, written: impl FnOnce(),
) -> Result<(StatementReply, Option<MemberConnection>), Outcome> {
    // The list may tell of a drain while a connection comes up: what was decided before it is not sent after it. Nor is
    // what nobody waits for any more: that takes no leave to call off work at a member, where there is none yet.
    let open =
        || if pool.is_accepting(member) && !is_request_over.get() { Ok(()) } else { Err(Outcome::Ignored) };
    open()?;
    let mut link = open_or_reuse(pool, member).await?;
    if is_request_over.get() && pool.is_accepting(member) {
        pool.put_back(member, link);
        return Err(Outcome::Ignored);
    }
    open()?;
    *progress.reason.borrow_mut() = Some(link.close_reason());
    // The shares are asked at the moment of use: a process that was stopped finds its lease over here.
    let Some(_unit) = unit() else {
        pool.put_back(member, link);
        return Err(Outcome::Ignored);
    };
    let (head, tail) = statement();
    link.write_statement(head, tail).await?;
    progress.written.set(true);
    written();
    let reply = link.read_reply().await;
    if reply.is_streaming {
        return Ok((reply, Some(link)));
    }
    if reply.is_reusable {
        pool.put_back(member, link);
    }
    Ok((reply, None))
}

/// Runs an attempt until it is answered, called off or out of time. Its connection is closed, or back in the
/// pool, before this returns: nothing of a request is out once its ending is known. `written` is told once its last byte is.
pub async fn run(
    pool: Pool, attempt_request: AttemptRequest, called_off: oneshot::Receiver<()>, written: impl FnOnce(),
) -> AttemptOutcome {
    let AttemptRequest { member, payload, deadline, is_retry, is_request_over } = attempt_request;
    let progress = Progress::default();
    let statement = || {
        let left = deadline.saturating_duration_since(Instant::now());
        payload.pieces((left.as_millis() as u64).max(1))
    };
    let unit = || if is_retry && !pool.shares().repeat() { None } else { pool.attempt_permit(member) };
    let work = exchange(&pool, member, &is_request_over, statement, &progress, unit, written);
    tokio::pin!(work);
    tokio::select! {
        biased;
        done = &mut work => match done {
            Ok((StatementReply { outcome, raw, position, role, report, .. }, link)) => {
                let value = (outcome == Outcome::Ok).then(|| match link {
                    None => Value::Whole(raw),
                    Some(link) => {
                        let (give, rest) = mpsc::channel(STREAM_WINDOW);
                        tokio::task::spawn_local(pass(pool.clone(), member, link, give));
                        Value::Passing(Flow { first: raw, rest })
                    }
                });
                AttemptOutcome { outcome, value, position, role, report }
            }
            Err(outcome) => AttemptOutcome::without_response(outcome),
        },
        _ = called_off => {
            progress.explain(CloseReason::Cancelled);
            AttemptOutcome::without_response(Outcome::Cancelled)
        }
        () = sleep_until(deadline) => {
            progress.explain(CloseReason::TimedOut);
            // What was never written whole can't have run.
            AttemptOutcome::without_response(if progress.written.get() { Outcome::TimedOut } else { Outcome::Ignored })
        }
    }
}

/// Passes the rest of a long answer on as it comes and as it is taken. The request has its answer already: what
/// breaks here is for the client to see.
async fn pass(pool: Pool, member: MemberId, mut link: MemberConnection, give: mpsc::Sender<Passed>) {
    let by = Instant::now() + STREAM_TIMEOUT;
    loop {
        let passed = match link.next_chunk().await {
            StreamEvent::Chunk(part) => Passed::Part(part),
            StreamEvent::End(end) => Passed::Whole(end),
            StreamEvent::Ready => return pool.put_back(member, link),
            StreamEvent::Broken => return,
        };
        let whole = matches!(passed, Passed::Whole(_));
        let given = timeout_at(by, give.send(passed)).await;
        let late = given.is_err() || Instant::now() >= by;
        if (late || !matches!(given, Ok(Ok(())))) && !whole {
            link.close_reason().set(if late { CloseReason::TimedOut } else { CloseReason::Cancelled });
            return;
        }
    }
}

/// Asks a member for its report.
pub async fn probe(pool: Pool, member: MemberId) -> (Outcome, LoadReport) {
    let progress = Progress::default();
    let statement = || (Bytes::from_static(b"SHOW health"), Bytes::new());
    let unit = || pool.shares().probe().then(Unit::default);
    let never = Cell::new(false);
    let work = exchange(&pool, member, &never, statement, &progress, unit, || ());
    let Ok(done) = tokio::time::timeout(pool.connect_timeout(), work).await else {
        return (Outcome::TimedOut, LoadReport::default());
    };
    match done {
        // No report is that long.
        Ok((StatementReply { is_streaming: true, .. }, _)) => (Outcome::Garbled, LoadReport::default()),
        Ok((StatementReply { outcome, column, report: told, .. }, _)) => {
            let column = column.and_then(|c| String::from_utf8(c.to_vec()).ok());
            (outcome, column.map_or(told, |text| report::parse(&text)))
        }
        Err(outcome) => (outcome, LoadReport::default()),
    }
}
