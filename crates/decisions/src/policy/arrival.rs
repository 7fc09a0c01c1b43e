//! Handles an arriving request: determines the weight of its answer, its time limits, and the position that a read
//! must see.
//!
//! Dispatch decides whether the request can be served.

use super::POSITION_WAIT_MAX;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::{Action, ClassId, Micros, Request, SessionPositions, TenantId};
use std::collections::BTreeMap;

/// Lower bound of the fraction of a read's remaining latency objective after which the primary may serve the read. The
/// fraction is drawn at random, so that waits that begin together do not end together.
const POSITION_WAIT_FRACTION_MIN: f64 = 0.25;
/// Upper bound of the fraction of a read's remaining latency objective after which the primary may serve the read.
const POSITION_WAIT_FRACTION_MAX: f64 = 0.55;

/// What remains of a request's latency objective.
struct RemainingObjective {
    /// Time from now to the end of the objective, but not beyond the client's deadline; all of the objective if
    /// `is_past`.
    time: Micros,
    /// Whether the client is retrying and an answer is expected after its objective, so that it earns only the late
    /// weight.
    is_past: bool,
}

impl Router {
    pub(super) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let is_known_class = request.class.0 < self.settings.classes.len();
        if !is_known_class || self.requests.contains_key(&request.id) {
            return;
        }
        self.budgets.accrue_for_request(&self.settings.costs, self.fleet_divisor);
        self.hedging.accrue_for_request();
        let weight = self.priority_weight(request.class, request.tenant);
        let queued = self.queued_request(&request, weight);
        self.requests.insert(request.id, queued);
        self.dispatch_or_queue(request.id, out);
    }

    /// Counts a request towards its class and its tenant's quota, and returns the weight of an answer in time.
    fn priority_weight(&mut self, class: ClassId, tenant: Option<TenantId>) -> f64 {
        let weight = self.service_objective.request_arrived(self.now, class);
        if tenant.is_some_and(|tenant| self.exceeds_quota(tenant)) {
            return weight * self.settings.over_quota_weight;
        }
        weight
    }

    /// Counts a request towards its tenant's quota, and returns whether it exceeds this router's share of the quota.
    fn exceeds_quota(&mut self, tenant: TenantId) -> bool {
        let rate = self.fleet_divisor.share_of(self.settings.tenants[tenant.0].allowance_per_s);
        self.tenant_limits.get_mut(tenant.0).is_some_and(|limiter| limiter.exceeds(self.now, rate))
    }

    fn queued_request(&mut self, request: &Request, weight: f64) -> QueuedRequest {
        let random = self.rng.get_mut().f64();
        let wait_fraction =
            POSITION_WAIT_FRACTION_MIN + (POSITION_WAIT_FRACTION_MAX - POSITION_WAIT_FRACTION_MIN) * random;
        let objective = self.remaining_objective(request.class, request.time_left);
        let wait = Micros::from_f64(objective.time.as_f64() * wait_fraction).min(POSITION_WAIT_MAX);
        let weight = if objective.is_past { weight * self.class(request.class).late_weight } else { weight };
        let remembers_sessions = self.settings.session_positions == SessionPositions::Remembered;
        QueuedRequest {
            class: request.class,
            group: request.group,
            session: request.session.filter(|_| remembers_sessions),
            arrived: self.now,
            objective_at: self.now + objective.time,
            deadline: self.now + request.time_left,
            required_position: self.required_position(request),
            primary_fallback_at: self.now + wait,
            weight,
            is_past_objective: objective.is_past,
            first_possible_execution: None,
            is_statement_long: request.is_statement_long,
            may_run_later: false,
            has_reached_member: false,
            attempts_started: 0,
            attempts_in_flight: Vec::new(),
            last_failures: BTreeMap::new(),
        }
    }

    /// Records the request's timeout, from which retries are recognised. The latency objective runs from the client's
    /// first attempt, so a retry has only the remainder.
    fn remaining_objective(&mut self, class: ClassId, time_left: Micros) -> RemainingObjective {
        let objective = Micros::from_f64(self.latency_objective(class));
        let mean = self.latencies.mean(class);
        let left = self.client_retries.objective_left(class.0, time_left.0, objective.0, mean);
        let time = time_left.min(left.map_or(objective, Micros));
        RemainingObjective { time, is_past: left.is_none() }
    }
}
