//! Configuration of an instance: classes of requests, tenants, the actions that the router may take and their costs,
//! and the platform's rules.

use super::{Micros, ZoneId};

/// Required freshness of the data behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadLevel {
    /// A write, which only the primary accepts.
    Write,
    /// A read that must see every commit made before it arrived.
    Fresh,
    /// A read that must see the writes of its session.
    Session,
    /// A read that accepts data up to this age, measured when the read is sent to a member.
    Bounded(Micros),
    /// A read that accepts data of any age.
    Any,
}

/// Members that recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All members.
    All,
    /// The members of the request's group.
    Group,
}

/// Effect of running a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No further effect: may be repeated at any time.
    Idempotent,
    /// The members in `scope` discard repeats, for `window` after the start of the first attempt that may have run.
    Keyed {
        /// Members that discard repeats.
        scope: DeduplicationScope,
        /// How long these members discard repeats.
        window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time from the client's first attempt within which an answer earns the full weight.
    pub latency_objective: Micros,
    /// Total time after which clients give up, including their retries; zero if unknown.
    pub client_timeout: Micros,
    /// Effect of running a request a second time.
    pub idempotency: Idempotency,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective earns.
    pub late_weight: f64,
    /// Required freshness.
    pub read_level: ReadLevel,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in requests per second, over all instances.
    pub allowance_per_s: f64,
}

/// How membership changes arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery sends changes without being polled.
    Pushed,
    /// Discovery sends changes only in reply to [`Action::Subscribe`](super::Action::Subscribe).
    OnRequest,
}

/// How a member handles a read whose position it has not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionCheck {
    /// Answers from the data that it has, so the router must check the position.
    None,
    /// Rejects the read at once.
    Reject,
    /// Waits for the position up to this time, then rejects the read.
    Wait(Micros),
}

/// Source of the position that a session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPositions {
    /// The request carries the age of the session's last write.
    CarriedByRequest,
    /// The router keeps the commit positions of the writes served through it.
    Remembered,
}

/// Actions that the router may take, and limits on them.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Whether [`Action::Cancel`](super::Action::Cancel) may be used.
    pub cancel: bool,
    /// Whether [`Action::CheckHealth`](super::Action::CheckHealth) may be used.
    pub health_checks: bool,
    /// Whether [`Action::GossipPosition`](super::Action::GossipPosition) may be used.
    pub gossip: bool,
    /// Whether a request may have two attempts in flight.
    pub hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Micros,
    /// Members close connections that have been idle for this long.
    pub idle_close: Micros,
    /// Whether rejections carry a Retry-After time.
    pub retry_after: bool,
    /// Maximum Retry-After time that clients follow.
    pub max_retry_after: Micros,
}

/// Costs of actions, as fractions of the site's service objective per request.
#[derive(Clone, Debug)]
pub struct Costs {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A position sent to one other instance.
    pub gossip: f64,
}

/// Rules of the platform.
#[derive(Clone, Debug)]
pub struct Rules {
    /// With [`Discovery::OnRequest`], the platform assumes that an instance that has not polled for this long has
    /// received all list changes.
    pub poll_within: Micros,
    /// Time after the notification of a drain or removal during which new requests may still reach the member.
    pub drain_grace: Micros,
    /// Minimum fraction of its full capacity that a member has when it starts.
    pub slow_start_floor: f64,
    /// Maximum time from the start of a member until it has its full capacity.
    pub slow_start: Micros,
    /// A member in slow start fails if its load exceeds this multiple of its present capacity for
    /// `overload_duration`.
    pub overload_multiple: f64,
    /// Time for which the load must exceed `overload_multiple` before a member in slow start fails.
    pub overload_duration: Micros,
    /// Whether a member that is listed as gone, or missing from a complete list, may still be used if it was not
    /// listed as draining before.
    pub removed_members_stay_usable: bool,
}

/// Weights of the terms of the site's service objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of the fraction served over all classes.
    pub total: f64,
    /// Weight of the fraction served of the worst-served class.
    pub worst_class: f64,
}

/// Configuration of an instance, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Minimum time between two batches of events.
    pub tick: Micros,
    /// Number of instances that share the members.
    pub fleet_size: u32,
    /// Index of this instance in the fleet, from 0; `None` if unknown.
    pub fleet_index: Option<u32>,
    /// Zone of this instance.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Factor on the weight of a request over its tenant's quota.
    pub over_quota_weight: f64,
    /// Weights of the service objective.
    pub objective_weights: ObjectiveWeights,
    /// How membership changes arrive.
    pub discovery: Discovery,
    /// Actions that the router may take, and limits on them.
    pub limits: Limits,
    /// Costs of actions.
    pub costs: Costs,
    /// Rules of the platform.
    pub rules: Rules,
    /// How members handle reads whose position they have not applied.
    pub position_check: PositionCheck,
    /// Source of the positions that sessions must see.
    pub session_positions: SessionPositions,
    /// Whether the list names primaries; the names may be out of date.
    pub list_names_primary: bool,
}
