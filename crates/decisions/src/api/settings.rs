//! What an instance is told at its start: the classes of requests, what it may do, what that costs, and the rules.

use super::{Micros, ZoneId};

/// How fresh the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadLevel {
    /// A write: only the primary takes it.
    Write,
    /// Must see every commit from before the request arrived.
    Fresh,
    /// Must see what its session has written.
    Session,
    /// Data at most this old when the request is sent.
    Bounded(Micros),
    /// Any member's data will do.
    Any,
}

/// Which members recognise repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All members.
    All,
    /// The members of the request's group.
    Group,
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat and to reject at any time.
    Idempotent,
    /// Repeats are dropped inside `scope`, for `window` from the first send that might have run.
    Keyed {
        /// Who drops repeats.
        scope: DeduplicationScope,
        /// For how long.
        window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer earns the full weight up to here, counted from arrival.
    pub latency_objective: Micros,
    /// Clients give up after this long, over all their attempts; zero where that is not known.
    pub client_timeout: Micros,
    /// What a second execution would do.
    pub idempotency: Idempotency,
    /// What an answer within the latency objective earns.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a later answer earns.
    pub late_weight: f64,
    /// Freshness needed.
    pub read_level: ReadLevel,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all instances, inside its quota.
    pub allowance_per_s: f64,
}

/// How membership changes arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Without being asked for.
    Pushed,
    /// Only after [`Action::Subscribe`](super::Action::Subscribe).
    OnRequest,
}

/// What a member does with a read whose position it has not applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionCheck {
    /// Answers from the data it has: the router must check.
    None,
    /// Rejects it at once.
    Reject,
    /// Waits until the position is applied, up to this long, then rejects it.
    Wait(Micros),
}

/// Where the position that a session must see comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPositions {
    /// The request carries the age of the session's last write.
    CarriedByRequest,
    /// The router remembers the commits it has answered.
    Remembered,
}

/// What the router may do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// [`Action::Cancel`](super::Action::Cancel) may be used.
    pub cancel: bool,
    /// [`Action::CheckHealth`](super::Action::CheckHealth) may be used.
    pub health_checks: bool,
    /// [`Action::GossipPosition`](super::Action::GossipPosition) may be used.
    pub gossip: bool,
    /// A request may have two attempts in flight.
    pub hedging: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// A connection that is not established by then counts as failed.
    pub connect_timeout: Micros,
    /// Idle connections are closed after this.
    pub idle_close: Micros,
    /// Rejections say when the client may come back.
    pub retry_after: bool,
    /// Longest wait that clients follow.
    pub max_retry_after: Micros,
}

/// What actions cost, as fractions of the site's result per request.
#[derive(Clone, Debug)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A position sent to one other instance.
    pub gossip: f64,
}

/// The platform's rules, in figures.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Where lists come on request: an instance that has not asked for longer counts as notified.
    pub poll_within: Micros,
    /// Nothing new reaches a member later than this after the notice that it drains or is gone.
    pub drain_grace: Micros,
    /// A member starts with at least this share of its capacity.
    pub slow_start_floor: f64,
    /// A member has its full capacity this long after its start at the latest.
    pub slow_start: Micros,
    /// A member in slow start fails if it is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_duration: Micros,
    /// Only a listed drain forbids sends: a member that is removed without one may still be used.
    pub removed_members_stay_usable: bool,
}

/// How the site's result is put together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of everything served.
    pub total: f64,
    /// Weight of the part served of the class that is served worst.
    pub worst_class: f64,
}

/// Everything an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shortest time between two rounds of events.
    pub tick: Micros,
    /// Instances that share the members.
    pub fleet_size: u32,
    /// The place of this one among them, from 0, if it is known.
    pub fleet_index: Option<u32>,
    /// Where this instance runs.
    pub zone: ZoneId,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The weight of a request over its tenant's quota, as a fraction of the class's.
    pub over_quota_weight: f64,
    /// How the result is put together.
    pub objective_weights: ObjectiveWeights,
    /// How lists arrive.
    pub discovery: Discovery,
    /// What is allowed.
    pub limits: Limits,
    /// What actions cost.
    pub costs: Costs,
    /// The rules' figures.
    pub rules: Rules,
    /// What members do with reads whose position they have not applied.
    pub position_check: PositionCheck,
    /// Where the positions of sessions come from.
    pub session_positions: SessionPositions,
    /// The list marks primaries, if late.
    pub list_names_primary: bool,
}
