//! Starts attempts and health checks, each in its own task, and cancels attempts. Each attempt ends with exactly one
//! [`DriverInput::AttemptEnded`], even if it is not started.

use super::DriverInput;
use super::accounting::RequestAccounting;
use crate::api::{AttemptEnd, Limits, LongAnswerEnd, MemberId, Micros, Outcome, Request, RequestId};
use crate::invariants::Invariant;
use crate::request::Payload;
use crate::upstream::attempt::{self, AttemptOutcome, AttemptRequest, Cancellation};
use crate::upstream::health_check;
use crate::upstream::pool::Pool;
use crate::upstream::reply::ReportedState;
use crate::upstream::send_guard::Purpose;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A request with its attempts.
struct DispatchedRequest {
    request: Request,
    payload: Payload,
    deadline: Instant,
    /// The number of the next attempt.
    next_attempt: u32,
    /// The sender that cancels each attempt in flight, by attempt number. A cancelled attempt is removed before it
    /// ends.
    in_flight: BTreeMap<u32, oneshot::Sender<Cancellation>>,
    /// Shared with the attempts. Once it is set, no further statement is written.
    is_over: Rc<Cell<bool>>,
}

impl DispatchedRequest {
    /// The deadline of an attempt started at `started`: that of the request, or an earlier one if the router set a
    /// timeout. A timeout of 0 is ignored.
    fn attempt_deadline(&self, started: Instant, timeout: Option<Micros>) -> Instant {
        match timeout.filter(|timeout| timeout.0 > 0) {
            Some(timeout) => self.deadline.min(started + Duration::from_micros(timeout.0)),
            None => self.deadline,
        }
    }
}

/// The limits of an attempt, besides the deadline of its request.
#[derive(Clone, Copy, Default)]
pub struct AttemptLimits {
    /// Limit on the duration of the attempt.
    pub timeout: Option<Micros>,
    /// The time by which the last byte of the statement must be written.
    pub written_by: Option<Instant>,
}

/// Identifies the attempt that an outcome belongs to.
#[derive(Clone, Copy)]
struct AttemptId {
    request: RequestId,
    number: u32,
    member: MemberId,
    started: Instant,
}

impl AttemptId {
    /// Converts the outcome of the attempt into an input for the driver.
    fn into_input(self, end: AttemptOutcome) -> DriverInput {
        let AttemptOutcome { outcome, response, position, role, report } = end;
        let ended = AttemptEnd {
            id: self.request,
            attempt: self.number,
            member: self.member,
            outcome,
            latency: Micros(self.started.elapsed().as_micros() as u64),
            is_request_over: false,
            position,
            role,
            report,
        };
        DriverInput::AttemptEnded(ended, response)
    }
}

/// The end of a long answer to `request` from `member`, with what the member has said behind the value.
fn long_answer_end(request: &Request, member: MemberId, state: ReportedState) -> LongAnswerEnd {
    LongAnswerEnd {
        member,
        group: request.group,
        class: request.class,
        session: request.session,
        position: state.position,
        role: state.role,
        report: state.report,
    }
}

/// Dispatches the attempts of requests to members.
pub struct Dispatcher {
    requests: BTreeMap<RequestId, DispatchedRequest>,
    pool: Pool,
    inbox: mpsc::UnboundedSender<DriverInput>,
    accounting: RequestAccounting,
    max_attempts: u32,
    /// Whether several attempts of a request may be in flight at once.
    allows_hedging: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that sends over `pool`, within the limits for each request, and reports the ends of
    /// attempts to `inbox`.
    pub fn new(
        pool: Pool, inbox: mpsc::UnboundedSender<DriverInput>, accounting: RequestAccounting, limits: &Limits,
    ) -> Dispatcher {
        Dispatcher {
            requests: BTreeMap::new(),
            pool,
            inbox,
            accounting,
            max_attempts: limits.max_attempts,
            allows_hedging: limits.hedging,
        }
    }

    /// Registers a request, so that attempts of it can be started.
    pub fn register(&mut self, request: Request, payload: Payload, deadline: Instant) {
        let id = request.id;
        let request = DispatchedRequest {
            request,
            payload,
            deadline,
            next_attempt: 0,
            in_flight: BTreeMap::new(),
            is_over: Rc::default(),
        };
        self.requests.insert(id, request);
    }

    /// Starts the next attempt of a request. The attempt ends as not sent if the request is over, unknown, past its
    /// deadline, or has reached the maximum number of attempts.
    pub fn start_attempt(&mut self, id: RequestId, member: MemberId, limits: AttemptLimits) {
        let started = Instant::now();
        let Some(request) = self.requests.get_mut(&id) else {
            // The request is unknown or was removed, so this attempt is never sent.
            return self.report_not_sent(AttemptId { request: id, number: 0, member, started });
        };
        let number = request.next_attempt;
        request.next_attempt += 1;
        let attempt_id = AttemptId { request: id, number, member, started };
        if request.is_over.get() || number >= self.max_attempts || started >= request.deadline {
            return self.report_not_sent(attempt_id);
        }
        self.pool.guard().monitor().check(
            Invariant::OneAttempt,
            request.in_flight.is_empty() || self.allows_hedging,
            format_args!(
                "request {id} attempt {number} at member {}, attempts in flight: {:?}",
                member.0,
                request.in_flight.keys()
            ),
        );
        let (cancel, cancelled) = oneshot::channel();
        request.in_flight.insert(number, cancel);
        let attempt_request = AttemptRequest {
            member,
            payload: request.payload.clone(),
            deadline: request.attempt_deadline(started, limits.timeout),
            written_by: limits.written_by,
            is_retry: number > 0,
            purpose: Purpose::Attempt(id, number),
            is_request_over: request.is_over.clone(),
        };
        self.accounting.record_attempt_started();
        let request = request.request.clone();
        self.spawn_attempt(attempt_id, request, attempt_request, cancelled);
    }

    fn spawn_attempt(
        &self, attempt_id: AttemptId, request: Request, attempt_request: AttemptRequest,
        cancelled: oneshot::Receiver<Cancellation>,
    ) {
        let pool = self.pool.clone();
        let inbox = self.inbox.clone();
        let accounting = self.accounting.clone();
        spawn_local(async move {
            let on_written = || accounting.record_statement_written();
            let answers = inbox.clone();
            let on_long_answer_end = move |state| {
                let end = long_answer_end(&request, attempt_id.member, state);
                let _ = answers.send(DriverInput::LongAnswerEnded(end));
            };
            let end = attempt::run(pool, attempt_request, cancelled, on_written, on_long_answer_end).await;
            accounting.record_attempt_outcome(end.outcome);
            let _ = inbox.send(attempt_id.into_input(end));
        });
    }

    /// Reports the end of an attempt that is not started.
    fn report_not_sent(&self, attempt_id: AttemptId) {
        let end = AttemptOutcome::without_response(Outcome::NotSent);
        let _ = self.inbox.send(attempt_id.into_input(end));
    }

    /// Cancels an attempt. Has no effect on the outcome of an attempt that has already ended.
    pub fn cancel_attempt(&mut self, id: RequestId, attempt: u32, cancellation: Cancellation) {
        let cancel = self.requests.get_mut(&id).and_then(|request| request.in_flight.remove(&attempt));
        if let Some(cancel) = cancel {
            let _ = cancel.send(cancellation);
        }
    }

    /// Closes a request that has its final response or whose client has disconnected: no further statement of the
    /// request is written. The request is removed once its attempts in flight have ended.
    pub fn close_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_over.set(true);
            self.remove_if_done(id);
        }
    }

    /// Records that an attempt has ended.
    pub fn record_attempt_end(&mut self, id: RequestId, attempt: u32) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.in_flight.remove(&attempt);
            self.remove_if_done(id);
        }
    }

    fn remove_if_done(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_over.get() && request.in_flight.is_empty()) {
            self.requests.remove(&id);
        }
    }

    /// Starts a health check of a member.
    pub fn start_health_check(&self, member: MemberId) {
        let pool = self.pool.clone();
        let inbox = self.inbox.clone();
        self.accounting.record_health_check();
        spawn_local(async move {
            let (outcome, report) = health_check::run(pool, member).await;
            let _ = inbox.send(DriverInput::HealthCheckEnded(member, outcome, report));
        });
    }

    /// Closes the idle connections to a member.
    pub fn close_idle(&self, member: MemberId) {
        self.pool.close_idle(member);
    }
}
