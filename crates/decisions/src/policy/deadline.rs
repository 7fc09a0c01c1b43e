//! Admission control by deadline: whether an answer can still be useful to the client, and whether a request must be
//! sent now or not at all.
//!
//! The decisions depend on the request's times, the mean latency of its class, the attempts left, and whether its
//! group has a primary.

use super::ANSWER_MARGIN;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::{Action, ClassId, Micros, RequestId};

/// A request is short of time when less than this many mean latencies of its class remain of its objective.
const SHORT_OF_TIME_MEANS: f64 = 2.0;
/// Upper bound of the remaining time at which a request is short of time, as a fraction of its objective. Admits new
/// requests while latencies are high, so that clients that give up are still observed.
const SHORT_OF_TIME_OBJECTIVE_FRACTION: f64 = 0.7;
/// Fraction of the mean latency after which the fastest answers are assumed to arrive.
const FASTEST_ANSWER_MEAN_FRACTION: f64 = 0.3;

impl Router {
    /// Whether a request must be sent now, to a member with spare capacity, or given up: its wait for a replica is
    /// over and too little of its objective remains, or a retrying client's objective is past. False in classes with
    /// a late weight.
    pub(super) fn is_short_of_time(&self, request: &QueuedRequest) -> bool {
        let lead_by_mean = self.latencies.mean(request.class) * SHORT_OF_TIME_MEANS;
        let objective = request.objective_at - request.arrived;
        let lead = lead_by_mean.min(objective.as_f64() * SHORT_OF_TIME_OBJECTIVE_FRACTION);
        let last_start = request.objective_at.saturating_sub(Micros::from_f64(lead));
        let is_late = self.now >= request.primary_fallback_at.max(last_start);
        let is_late_worthless = self.class(request.class).late_weight == 0.0;
        (is_late || request.is_past_objective) && is_late_worthless
    }

    /// Whether another attempt is allowed and its answer can still be useful to the client.
    pub(super) fn can_still_succeed(&self, request: &QueuedRequest) -> bool {
        let fastest_answer =
            Micros::from_f64(self.latencies.mean(request.class) * FASTEST_ANSWER_MEAN_FRACTION);
        let soonest = self.now + ANSWER_MARGIN + fastest_answer;
        let is_late_answer_useful = self.class(request.class).late_weight > 0.0;
        let meets_objective = soonest < request.objective_at + ANSWER_MARGIN;
        let is_in_time = soonest < request.deadline && (is_late_answer_useful || meets_objective);
        is_in_time && !self.has_no_primary_past_half_time(request) && self.may_repeat(request)
    }

    /// Whether half of the request's time has almost passed, no attempt has reached a member, and its primary is
    /// unavailable or warming up. Such a request is given up so that its client can retry. Trade-off: a primary may
    /// be elected just afterwards.
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

    /// Handles a client that left. A client that leaves before its deadline shows how long the clients of its class
    /// wait. Trade-off: a few impatient clients shorten the objective for all.
    pub(super) fn on_client_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&id)
            && self.now + ANSWER_MARGIN < request.deadline
        {
            self.latencies.record_client_gone(request.class, self.now - request.arrived);
        }
        self.remove_request(id, out);
    }
}
