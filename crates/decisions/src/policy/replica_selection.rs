//! Selects the replica for a read: a random draw among those that are fresh enough and have capacity, weighted by
//! latency, load and distance.
//!
//! A replica that, by the evidence, has not applied the target position must never be selected.

use super::group::Group;
use super::member::Member;
use super::read_position::ANY_POSITION;
use super::request::QueuedRequest;
use super::router::Router;
use super::{POSITION_WAIT_MAX, REPORT_DELAY_MAX};
use crate::api::{LogPosition, MemberId, MemberState, Micros, PositionCheck, ReadLevel};

/// Minimum time after a failed attempt at a replica before the same request is sent to that replica again.
const REPLICA_RETRY_PAUSE: Micros = Micros::from_millis(60);
/// How long a read rejected by a replica is evidence that the replica has not applied the read's target position or
/// any later one.
const REJECTION_EVIDENCE_MAX_AGE: Micros = Micros::from_millis(120);
/// Exponent of the inverse cost in a replica's weight, except for reads of [`ReadLevel::Any`]. With 1 the weight would
/// be inversely proportional to latency x (in flight + 1); a higher exponent sends fewer reads to replicas with a
/// higher cost.
const COST_EXPONENT: f64 = 2.5;
/// Exponent of the relative lag in the weight: concentrates reads of [`ReadLevel::Any`], which accept stale data, on
/// the replica with the largest lag.
const LAG_PREFERENCE_EXPONENT: i32 = 24;
/// Lower bound of a replica's latency ratio in its selection cost.
const LATENCY_RATIO_MIN: f64 = 0.2;
/// Factor on the cost of another zone in a replica's selection cost.
const CROSS_ZONE_FACTOR: f64 = 10.0;
/// Factor on the weight of an ejected replica.
const TRIAL_WEIGHT: f64 = 0.3;
/// Fraction of a member's limit that a request short of time may use; at least one attempt is allowed.
const SHORT_OF_TIME_LIMIT_FRACTION: f64 = 0.5;

/// The criteria of one selection.
struct ReplicaSelection<'a> {
    request: &'a QueuedRequest,
    target: LogPosition,
    /// Whether the read is of [`ReadLevel::Any`].
    is_any_read: bool,
    /// Largest possible lag of a healthy replica, in microseconds; at least 1.
    max_lag: f64,
    /// Whether only replicas with a lag of at least half the largest are eligible.
    requires_lagging: bool,
    /// Whether ejected replicas are eligible only if their trial is due.
    only_healthy: bool,
}

impl Router {
    /// Whether a member can take one more request, by its limit and pacing and, in slow start, by its reduced
    /// capacity and this router's schedule.
    pub(super) fn has_capacity(&self, request: &QueuedRequest, member: &Member) -> bool {
        let capacity_fraction = self.capacity_fraction(member);
        let limit_fraction = if self.is_short_of_time(request) { SHORT_OF_TIME_LIMIT_FRACTION } else { 1.0 };
        let limit = (member.concurrency.limit * capacity_fraction * limit_fraction).max(1.0);
        let is_full = member.attempts_in_flight.len() as f64 >= limit;
        if is_full || self.now < member.concurrency.paced_until {
            return false;
        }
        capacity_fraction >= 1.0 || member.slow_start.next_send.is_some_and(|next_send| self.now >= next_send)
    }

    /// [`Router::has_capacity`] for a member by its id; false for an unknown member.
    pub(super) fn has_capacity_at(&self, request: &QueuedRequest, member: MemberId) -> bool {
        self.members.get(&member).is_some_and(|member| self.has_capacity(request, member))
    }

    /// Whether a member is expected not to reach the position within `wait`: by a recent report, even if the member
    /// has applied the log in real time since then, or because it has just rejected a read with this or an earlier
    /// position.
    pub(super) fn is_lagging(&self, member: &Member, target: LogPosition, wait: Micros) -> bool {
        let replication = &member.replication;
        let age = self.now - replication.reported;
        let reachable = replication.position + age + REPORT_DELAY_MAX + wait;
        let lags_by_report = age < POSITION_WAIT_MAX && reachable < target;
        let has_just_rejected = self.now < replication.lagging_at + REJECTION_EVIDENCE_MAX_AGE;
        lags_by_report || (has_just_rejected && replication.lagging_position <= target)
    }

    /// Whether a replica has reported that it has applied the target. Where members check positions, a replica that
    /// is not expected to lag suffices.
    fn is_fresh_enough(&self, member: &Member, target: LogPosition) -> bool {
        if target == ANY_POSITION || member.replication.position >= target {
            return true;
        }
        let members_check = self.settings.position_check != PositionCheck::None;
        members_check && !self.is_lagging(member, target, Micros(0))
    }

    /// The members of a group except its primary.
    pub(super) fn replicas<'a>(
        &'a self, group: &'a Group,
    ) -> impl Iterator<Item = (&'a MemberId, &'a Member)> {
        let replicas = group.members.iter().filter(|id| Some(**id) != group.primary);
        replicas.filter_map(|id| Some((id, self.members.get(id)?)))
    }

    /// Selects a replica for a read at random; `None` if no replica can take the read. With `only_healthy`, ejected
    /// replicas are eligible only if their trial is due.
    pub(super) fn select_replica(&self, request: &QueuedRequest, only_healthy: bool) -> Option<MemberId> {
        let group = self.groups.get(&request.group)?;
        let selection = self.replica_selection(request, group, only_healthy);
        let mut total = 0.0;
        let mut selected = None;
        let mut rng = self.rng.borrow_mut();
        for (id, replica) in self.replicas(group) {
            if !self.is_eligible(&selection, *id, replica) {
                continue;
            }
            let weight = self.selection_weight(&selection, replica);
            total += weight;
            if selected.is_none() || rng.f64() * total < weight {
                selected = Some(*id);
            }
        }
        selected
    }

    fn replica_selection<'a>(
        &self, request: &'a QueuedRequest, group: &Group, only_healthy: bool,
    ) -> ReplicaSelection<'a> {
        let is_any_read = self.class(request.class).read_level == ReadLevel::Any;
        let healthy = self.replicas(group).map(|(_, replica)| replica).filter(|replica| replica.is_healthy());
        let max_lag = healthy.map(|replica| self.current_lag(replica)).max().unwrap_or_default();
        let max_lag = Micros(max_lag.0.max(1)).as_f64();
        let has_large_lag = max_lag > POSITION_WAIT_MAX.as_f64();
        ReplicaSelection {
            request,
            target: self.target_position(request),
            is_any_read,
            max_lag,
            requires_lagging: is_any_read && has_large_lag && self.now < request.primary_fallback_at,
            only_healthy,
        }
    }

    /// Upper bound of a member's lag: the time since its last reported position.
    fn current_lag(&self, member: &Member) -> Micros {
        self.now.saturating_since(member.replication.position.as_time())
    }

    fn is_eligible(&self, selection: &ReplicaSelection, id: MemberId, replica: &Member) -> bool {
        let last_failure = selection.request.last_failures.get(&id);
        let is_retry_pause_over =
            last_failure.is_none_or(|last_failure| self.now >= *last_failure + REPLICA_RETRY_PAUSE);
        let is_usable = if selection.only_healthy {
            replica.may_receive_trial()
        } else {
            replica.listed_state == MemberState::InService
        };
        let is_too_fresh =
            selection.requires_lagging && self.current_lag(replica).as_f64() < selection.max_lag / 2.0;
        is_retry_pause_over
            && is_usable
            && !selection.request.is_in_flight_at(id)
            && !is_too_fresh
            && self.has_capacity(selection.request, replica)
            && self.is_fresh_enough(replica, selection.target)
    }

    /// Reads of [`ReadLevel::Any`] are concentrated on the replica with the largest lag, which is the same for all
    /// routers: a long read can stall a replica's log, and spreading such reads would make all replicas lag.
    /// Trade-off: that replica is slow to promote. Other reads without a target position prefer a larger lag by a
    /// factor of at most 2.
    fn selection_weight(&self, selection: &ReplicaSelection, replica: &Member) -> f64 {
        let cost = self.selection_cost(replica);
        let lag = self.current_lag(replica).as_f64() / selection.max_lag;
        let weight = if selection.is_any_read {
            lag.powi(LAG_PREFERENCE_EXPONENT) / cost
        } else {
            let lag_preference = if selection.target == ANY_POSITION { 1.0 + lag } else { 1.0 };
            cost.powf(-COST_EXPONENT) * lag_preference
        };
        weight * if replica.ejected.is_some() { TRIAL_WEIGHT } else { 1.0 }
    }

    /// The cost of a read at a replica, from its latency, its load, its capacity in slow start, the distance, and
    /// whether a connection must be established.
    fn selection_cost(&self, replica: &Member) -> f64 {
        let is_other_zone = replica.zone != Some(self.settings.zone);
        let distance =
            f64::from(u8::from(is_other_zone)) * CROSS_ZONE_FACTOR * self.settings.costs.cross_zone;
        let ratio = replica.concurrency.latency_ratio.max(LATENCY_RATIO_MIN);
        let in_flight = replica.attempts_in_flight.len() as f64;
        let load = ratio * (in_flight + 1.0) / self.capacity_fraction(replica).powf(1.0 / COST_EXPONENT);
        let idle_close = self.settings.limits.idle_close;
        let last_connected = replica.connections.last_connected;
        let is_connected = last_connected.is_some_and(|connected| self.now < connected + idle_close);
        let connecting = if is_connected { 1.0 } else { self.connection_cost.relative_cost() };
        load * (1.0 + distance) * connecting
    }
}
