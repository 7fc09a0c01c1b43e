//! Handles attempts that take far longer than expected: sends a hedged request where that is allowed and within
//! budget; otherwise cancels the attempt after a longer time, and the request is sent again.
//!
//! The more attempts remain unanswered (lost answers or hung members), the earlier an attempt is cancelled, at the
//! price of starting long work twice. Attempts of requests that must never run twice are neither hedged nor
//! cancelled. A keyed request with a long statement is not hedged, and is cancelled only while the statement is not
//! written: what the member's system has received may run after the window of a repeat.

use super::request::{InFlightAttempt, QueuedRequest};
use super::router::Router;
use crate::api::{Action, Idempotency, MemberId, Micros, RequestId, Time};

/// Number of hedged requests that each arriving request adds to the budget.
const HEDGES_PER_REQUEST: f64 = 0.05;
/// Maximum number of hedged requests saved up in the budget.
const HEDGE_BUDGET_MAX: f64 = 10.0;
/// An attempt is hedged after this many expected latencies.
const HEDGE_AFTER_LATENCIES: f64 = 3.0;
/// An attempt is cancelled after this many expected latencies if no recent attempt remained unanswered.
const CANCEL_AFTER_LATENCIES_MAX: f64 = 10.0;
/// An attempt is cancelled after this many expected latencies if the fraction of unanswered attempts is
/// `UNANSWERED_RATIO_HIGH` or more; the number is interpolated linearly for smaller fractions.
const CANCEL_AFTER_LATENCIES_MIN: f64 = 4.0;
/// Fraction of unanswered attempts from which attempts are cancelled earliest.
const UNANSWERED_RATIO_HIGH: f64 = 0.15;
/// Weight of a new attempt in the smoothed fraction of unanswered attempts.
const UNANSWERED_SMOOTHING: f64 = 0.05;
/// A new attempt is useful only if at least this fraction of its class's mean latency remains.
const USEFUL_MEAN_FRACTION: f64 = 0.7;
/// Expected latency at a primary, in mean latencies of the request's class: above 1, since there is no other member
/// to try.
const PRIMARY_EXPECTED_MEANS: f64 = 2.0;

/// The budget for hedged requests, and the fraction of attempts that remain unanswered.
#[derive(Default)]
pub(super) struct HedgeBudget {
    balance: f64,
    unanswered_ratio: f64,
}

impl HedgeBudget {
    /// Adds the budget that an arriving request brings.
    pub(super) fn accrue_for_request(&mut self) {
        self.balance = (self.balance + HEDGES_PER_REQUEST).min(HEDGE_BUDGET_MAX);
    }

    /// Records whether an ended attempt remained unanswered.
    pub(super) fn record_attempt(&mut self, is_unanswered: bool) {
        let observed = f64::from(u8::from(is_unanswered));
        self.unanswered_ratio += UNANSWERED_SMOOTHING * (observed - self.unanswered_ratio);
    }

    fn is_available(&self) -> bool {
        self.balance >= 1.0
    }

    /// Number of expected latencies after which an attempt is cancelled.
    fn cancel_after(&self) -> f64 {
        let range = CANCEL_AFTER_LATENCIES_MAX - CANCEL_AFTER_LATENCIES_MIN;
        (CANCEL_AFTER_LATENCIES_MAX - range * self.unanswered_ratio / UNANSWERED_RATIO_HIGH)
            .max(CANCEL_AFTER_LATENCIES_MIN)
    }
}

/// Whether the member has answered an attempt sent in the last quarter of the time waited since `sent`.
pub(super) fn has_answered_later_send(last_answered_send: Time, sent: Time, waited: Micros) -> bool {
    last_answered_send > sent + Micros(waited.0 * 3 / 4)
}

impl Router {
    /// Hedges or cancels the attempts that take far longer than expected.
    pub(super) fn hedge_or_cancel_late_attempts(&mut self, out: &mut Vec<Action>) {
        let cancel_after = self.hedging.cancel_after();
        let act_after = HEDGE_AFTER_LATENCIES.min(cancel_after);
        let late = |(id, request): (&RequestId, &QueuedRequest)| {
            let waited = self.expected_latencies_waited(request)?;
            (waited > act_after).then_some((*id, waited))
        };
        let late: Vec<(RequestId, f64)> = self.requests.iter().filter_map(late).collect();
        for (id, waited) in late {
            if self.may_run_after_cancelling(&id) {
                if waited > cancel_after {
                    self.cancel_unwritten_attempt(id, out);
                }
            } else if let Some(member) = self.hedge_target(&id) {
                self.hedging.balance -= 1.0;
                self.send(id, member, out);
            } else if waited > cancel_after {
                self.cancel_sole_attempt(id, out);
            }
        }
    }

    fn hedge_target(&self, id: &RequestId) -> Option<MemberId> {
        let is_allowed = self.settings.limits.hedging && self.hedging.is_available();
        let request = self.requests.get(id).filter(|_| is_allowed)?;
        self.select_replica(request, true)
    }

    /// Whether an attempt of the request must not run beside or after a repeat, and may do so after it was cancelled.
    fn may_run_after_cancelling(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some_and(|request| {
            let is_keyed = matches!(self.class(request.class).idempotency, Idempotency::Keyed { .. });
            is_keyed && request.is_statement_long
        })
    }

    fn cancel_unwritten_attempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !self.settings.limits.cancel {
            return;
        }
        let Some(attempt) = self.mark_cancelled(id) else { return };
        out.push(Action::CancelIfUnwritten { id, attempt });
    }

    fn cancel_sole_attempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !self.settings.limits.cancel {
            return;
        }
        let Some(attempt) = self.mark_cancelled(id) else { return };
        out.push(Action::Cancel { id, attempt });
    }

    /// Marks the only attempt of a request as cancelled, and returns its number.
    fn mark_cancelled(&mut self, id: RequestId) -> Option<u32> {
        let attempt = self.requests.get_mut(&id)?.attempts_in_flight.first_mut()?;
        attempt.is_cancelled = true;
        Some(attempt.number)
    }

    /// Number of expected latencies that a request's only attempt has been in flight; infinite if the attempt's
    /// replica has been ejected since. `None` if another attempt would be the last one, is not allowed or would not
    /// help. The expected latency is the mean of the class, and more at a primary.
    fn expected_latencies_waited(&self, request: &QueuedRequest) -> Option<f64> {
        let attempt = request.sole_attempt()?;
        let class = self.class(request.class);
        if class.idempotency == Idempotency::NotIdempotent || !self.may_repeat(request) {
            return None;
        }
        let is_last_attempt = request.attempts_started + 1 >= self.settings.limits.max_attempts;
        if is_last_attempt {
            return None;
        }
        if self.prefers_primary(request.class) {
            return self.expected_latencies_waited_at_primary(request, attempt);
        }
        let member = self.members.get(&attempt.member)?;
        let was_ejected_since = member.ejected.as_ref().is_some_and(|ejected| attempt.sent < ejected.since);
        if was_ejected_since {
            return Some(f64::INFINITY);
        }
        let mean = self.latencies.mean(request.class).max(1.0);
        self.is_new_attempt_useful(request, mean).then(|| (self.now - attempt.sent).as_f64() / mean)
    }

    /// Number of expected latencies that an attempt at the primary has been in flight; `None` unless the primary has
    /// answered a much later attempt, so that this answer is lost rather than slow.
    fn expected_latencies_waited_at_primary(
        &self, request: &QueuedRequest, attempt: &InFlightAttempt,
    ) -> Option<f64> {
        let primary = self.members.get(&attempt.member)?;
        let waited = self.now - attempt.sent;
        let is_lost = has_answered_later_send(primary.last_answered_send, attempt.sent, waited);
        let mean = self.latencies.mean(request.class).max(1.0);
        let is_useful = is_lost && self.is_new_attempt_useful(request, mean);
        is_useful.then(|| waited.as_f64() / (mean * PRIMARY_EXPECTED_MEANS))
    }

    /// Whether an attempt sent now can still be answered in time.
    fn is_new_attempt_useful(&self, request: &QueuedRequest, mean: f64) -> bool {
        let is_late_answer_useful = self.class(request.class).late_weight > 0.0;
        let latest = if is_late_answer_useful { request.deadline } else { request.objective_at };
        self.now + Micros::from_f64(mean * USEFUL_MEAN_FRACTION) <= latest
    }
}
