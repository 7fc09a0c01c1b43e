//! Admission by deadline: whether an answer can still be useful to the client, and when a request must be sent now or
//! not at all.
//!
//! Decided from the request's times, the mean latency of its class, and whether its primary is available.

use super::ANSWER_MARGIN;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::{Action, ClassId, Micros, RequestId};

/// A request is short of time when less than this many mean latencies remain, or less than this fraction of its
/// objective if that is shorter. The second bound admits new requests while latencies are high, so that clients that
/// give up are still observed.
const SHORT_OF_TIME_MEANS: f64 = 2.0;
const SHORT_OF_TIME_OBJECTIVE_FRACTION: f64 = 0.7;
/// Fraction of the mean latency in which the fastest answers arrive.
const FASTEST_ANSWER_MEAN_FRACTION: f64 = 0.3;

impl Router {
    /// Whether the wait for a replica is over and too little time remains for a good chance, in a class without
    /// weight for late answers: the request is sent now, to a member with spare capacity, or is given up.
    pub(super) fn is_short_of_time(&self, request: &QueuedRequest) -> bool {
        let lead_by_mean = self.latencies.mean(request.class) * SHORT_OF_TIME_MEANS;
        let objective = request.objective_at - request.arrived;
        let lead = lead_by_mean.min(objective.as_f64() * SHORT_OF_TIME_OBJECTIVE_FRACTION);
        let last_start = request.objective_at.saturating_sub(Micros::from_f64(lead));
        let is_late = self.now >= request.primary_fallback_at.max(last_start);
        let is_late_worthless = self.class(request.class).late_weight == 0.0;
        (is_late || request.is_past_objective) && is_late_worthless
    }

    /// Whether an answer can still be useful to the client.
    pub(super) fn can_still_succeed(&self, request: &QueuedRequest) -> bool {
        let fastest_answer =
            Micros::from_f64(self.latencies.mean(request.class) * FASTEST_ANSWER_MEAN_FRACTION);
        let soonest = self.now + ANSWER_MARGIN + fastest_answer;
        let is_late_answer_useful = self.class(request.class).late_weight > 0.0;
        let meets_objective = soonest < request.objective_at + ANSWER_MARGIN;
        let is_in_time = soonest < request.deadline && (is_late_answer_useful || meets_objective);
        is_in_time && !self.has_no_primary_past_half_time(request) && self.may_repeat(request)
    }

    /// Whether half of the request's time has passed, it has reached no member, and its primary is unavailable or
    /// warming up. Such a request is given up so that its client can retry. Trade-off: an election may end just
    /// after.
    fn has_no_primary_past_half_time(&self, request: &QueuedRequest) -> bool {
        let half_time = request.arrived.0.midpoint(request.deadline.0);
        let is_past_half = (self.now + ANSWER_MARGIN + ANSWER_MARGIN).0 >= half_time;
        let primary = self.usable_primary(request.group).and_then(|primary| self.members.get(&primary));
        let is_primary_away = primary.is_none_or(|primary| primary.slow_start.warming_since.is_some());
        is_past_half && !request.has_reached_member && is_primary_away
    }

    /// The time in which an answer earns its full weight, in microseconds: the class's latency objective, or less
    /// where clients leave earlier.
    pub(super) fn latency_objective(&self, class: ClassId) -> f64 {
        self.latencies.effective_objective(class, self.class(class).latency_objective)
    }

    /// Handles a client that left. Leaving before the deadline shows how long the clients of its class wait.
    /// Trade-off: a few impatient clients shorten the objective for all.
    pub(super) fn on_client_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&id)
            && self.now + ANSWER_MARGIN < request.deadline
        {
            self.latencies.record_client_gone(request.class, self.now - request.arrived);
        }
        self.remove_request(id, out);
    }
}
