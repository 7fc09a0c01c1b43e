//! Limits the attempts that a router has in flight at a member, and the rate at which it sends them, by the member's
//! latency and this router's share of fleet-wide limits.
//!
//! The limit is never reduced below this router's share of the cores of a small member, or below 1 if that share is
//! larger than 1.

use super::fleet_divisor::FleetDivisor;
use super::member::{ConcurrencyLimit, Member};
use super::router::Router;
use super::slow_start::TARGET_CPU_UTILISATION;
use super::{MEMBER_SMOOTHING, TICK};
use crate::api::{ClassId, MemberId, Micros, RequestId, Time};

/// Initial limit at a member for all routers together, and number of members that all routers together health-check
/// at once.
const FLEET_LIMIT_INITIAL: f64 = 16.0;
/// Minimum limit for all routers together: the cores of a small member. The minimum of one router is at most 1.
const FLEET_LIMIT_MIN: f64 = 3.0;
/// Increase of the limit per served attempt, for all routers together. A router's share is divided by the router's
/// limit, if that limit exceeds 1.
const FLEET_LIMIT_STEP: f64 = 2.0;
/// Maximum initial limit of one router.
const ROUTER_LIMIT_INITIAL: f64 = 6.0;
/// Maximum limit of one router.
const ROUTER_LIMIT_MAX: f64 = 64.0;
/// Maximum increase of one router's limit per served attempt.
const ROUTER_LIMIT_STEP_MAX: f64 = 0.5;
/// Factor by which a limit is reduced.
const REDUCE_FACTOR: f64 = 0.85;
/// Minimum time between two reductions of a member's limit.
const REDUCE_INTERVAL_MIN: Micros = Micros::from_millis(200);
/// Time for which no request is sent to a member after a rejection for lack of capacity or a failed read.
const ERROR_PAUSE: Micros = Micros(2 * TICK.0);
/// Smoothed latency above which a busy member is paced, as a fraction of the latency objective, before the allowance
/// for noise.
const PRESSURE_HIGH: f64 = 0.133;
/// A busy member's limit is reduced above this multiple of the smoothed latency above which it is paced.
const PRESSURE_REDUCE_FACTOR: f64 = 1.5;
/// Allowance for noise in the thresholds for pacing and reduction, in standard deviations of the smoothed latency;
/// the standard deviation of one latency is assumed to equal the mean.
const PRESSURE_NOISE: f64 = 2.0;
/// Upper bound of one attempt's latency in the overload pressure, in latency objectives.
const PRESSURE_SAMPLE_MAX: f64 = 2.0;
/// Upper bound of one attempt's latency in the latency ratio, in means of its class.
const RATIO_SAMPLE_MAX: f64 = 10.0;
/// Time without a served attempt after which earlier observations of a member have decayed to 1/e, in microseconds.
const SAMPLE_DECAY_US: f64 = 6_000_000.0;
/// Weight of a new utilisation report in the smoothed utilisation of a member.
const CPU_UTILISATION_SMOOTHING: f64 = 0.2;

/// The initial limit of a member at one router.
pub(super) fn initial_limit(fleet_divisor: FleetDivisor) -> f64 {
    fleet_divisor.share_of(FLEET_LIMIT_INITIAL).min(ROUTER_LIMIT_INITIAL)
}

/// How many members one router health-checks at once: at least one, but few enough that the routers of a large fleet
/// don't each check every member.
pub(super) fn health_checks_at_once(fleet_divisor: FleetDivisor) -> usize {
    fleet_divisor.share_of(FLEET_LIMIT_INITIAL).max(1.0) as usize
}

impl ConcurrencyLimit {
    /// Updates the smoothed utilisation, if the member reported one.
    pub(super) fn record_cpu_utilisation(&mut self, reported: Option<f64>) {
        let Some(reported) = reported else { return };
        let smoothed = |utilisation: f64| utilisation + CPU_UTILISATION_SMOOTHING * (reported - utilisation);
        self.cpu_utilisation = Some(self.cpu_utilisation.map_or(reported, smoothed));
    }

    /// Paces a member with a limit below 1 after an attempt that took `taken` microseconds, so that it is in use for
    /// that fraction of the time.
    fn pace_after(&mut self, now: Time, taken: f64) {
        let pause = taken * (1.0 / self.limit - 1.0).max(0.0);
        self.paced_until = self.paced_until.max(now + Micros::from_f64(pause));
    }

    /// Whether the member's processors may be busy; assumed if it reports no utilisation. High latency alone is no
    /// proof, since many routers with one attempt in flight each can cause queueing at a member with low utilisation.
    fn is_busy(&self) -> bool {
        self.cpu_utilisation.is_none_or(|utilisation| utilisation > TARGET_CPU_UTILISATION)
    }
}

/// Weight of a served attempt in a member's statistics: higher after a pause, since earlier observations decay.
fn sample_weight(since_last: Micros) -> f64 {
    MEMBER_SMOOTHING.max(1.0 - (-since_last.as_f64() / SAMPLE_DECAY_US).exp())
}

impl Router {
    /// Handles an attempt that was served after `latency`.
    pub(super) fn on_served(&mut self, id: RequestId, member_id: MemberId, class: ClassId, latency: Micros) {
        self.record_request_served(&id);
        let taken = Micros(latency.0.max(1)).as_f64();
        let objective = self.latency_objective(class);
        let step = self.fleet_divisor.share_of(FLEET_LIMIT_STEP).min(ROUTER_LIMIT_STEP_MAX);
        let class_objective = self.class(class).latency_objective;
        let mean = self.latencies.record_served(class, taken, class_objective);
        let now = self.now;
        let Some(member) = self.members.get_mut(&member_id) else { return };
        member.consecutive_errors = 0;
        let in_flight = member.attempts_in_flight.len() as f64;
        let concurrency = &mut member.concurrency;
        let weight = sample_weight(now - concurrency.last_served);
        concurrency.last_served = now;
        let ratio_sample = (taken / mean).min(RATIO_SAMPLE_MAX);
        concurrency.latency_ratio += weight * (ratio_sample - concurrency.latency_ratio);
        let pressure_sample = (taken / objective).min(PRESSURE_SAMPLE_MAX);
        concurrency.overload_pressure += weight * (pressure_sample - concurrency.overload_pressure);
        let high = PRESSURE_HIGH * (1.0 + PRESSURE_NOISE * (weight / (2.0 - weight)).sqrt());
        let is_busy = concurrency.is_busy();
        if is_busy && concurrency.overload_pressure > high {
            concurrency.pace_after(now, taken);
        } else if in_flight + 1.0 >= concurrency.limit / 2.0 {
            let raised = concurrency.limit + step / concurrency.limit.max(1.0);
            concurrency.limit = raised.min(ROUTER_LIMIT_MAX);
        }
        if is_busy && concurrency.overload_pressure > high * PRESSURE_REDUCE_FACTOR {
            self.reduce_limit(member_id);
        }
    }

    /// Counts the weight earned by a served request, for the priority weights of later requests.
    fn record_request_served(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let class = &self.settings.classes[request.class.0];
        let is_late = self.now > request.objective_at;
        let weight = if is_late { class.late_weight } else { 1.0 };
        self.service_objective.request_served(request.class, weight);
    }

    /// Handles an attempt that timed out or was cancelled after `latency`: can only raise the overload pressure, and
    /// pauses sends to a member with a limit below 1.
    pub(super) fn on_unfinished(&mut self, member: MemberId, class: ClassId, latency: Micros) {
        let taken = latency.as_f64();
        let objective = self.latency_objective(class);
        let now = self.now;
        let Some(member) = self.members.get_mut(&member) else { return };
        let concurrency = &mut member.concurrency;
        let pressure_sample = (taken / objective).min(PRESSURE_SAMPLE_MAX);
        let rise = (pressure_sample - concurrency.overload_pressure).max(0.0);
        concurrency.overload_pressure += MEMBER_SMOOTHING * rise;
        concurrency.pace_after(now, taken.min(objective));
    }

    /// Reduces a member's limit and paces it, after a rejection for lack of capacity or a failed read.
    pub(super) fn pace_after_error(&mut self, member: MemberId) {
        self.reduce_limit(member);
        if let Some(member) = self.members.get_mut(&member) {
            member.concurrency.paced_until = self.now + ERROR_PAUSE;
        }
    }

    /// Reduces a member's limit, by a factor, below its attempts in flight, including the one that has just ended,
    /// but not below the minimum. Does nothing if the last reduction was less than `REDUCE_INTERVAL_MIN` ago.
    pub(super) fn reduce_limit(&mut self, member: MemberId) {
        let limit_min = self.fleet_divisor.share_of(FLEET_LIMIT_MIN).min(1.0);
        let now = self.now;
        let is_due = |member: &&mut Member| now >= member.concurrency.reduced + REDUCE_INTERVAL_MIN;
        let Some(member) = self.members.get_mut(&member).filter(is_due) else { return };
        let in_flight = member.attempts_in_flight.len() as f64;
        let concurrency = &mut member.concurrency;
        concurrency.limit = (concurrency.limit.min(in_flight + 1.0) * REDUCE_FACTOR).max(limit_min);
        concurrency.reduced = now;
    }
}
