//! The record of a request that has no final answer yet. Plain data; the decisions on it are in the modules beside.

use crate::api::{ClassId, GroupId, LogPosition, MemberId, SessionKey, Time};
use std::collections::BTreeMap;

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    /// Which attempt of the request, from 0.
    pub(super) number: u32,
    pub(super) member: MemberId,
    pub(super) sent: Time,
    /// It was cancelled, and its end has not arrived yet.
    pub(super) is_cancelled: bool,
}

/// A request that has no final answer: queued, or with attempts in flight.
pub(super) struct QueuedRequest {
    pub(super) class: ClassId,
    pub(super) group: GroupId,
    pub(super) session: Option<SessionKey>,
    pub(super) arrived: Time,
    /// Until then an answer earns its full weight.
    pub(super) objective_at: Time,
    /// The client gives up then.
    pub(super) deadline: Time,
    /// The position that a session or fresh read must see, fixed at arrival.
    pub(super) required_position: LogPosition,
    /// From then on a read may run on the primary.
    pub(super) primary_fallback_at: Time,
    /// What an answer earns, by its class, its tenant and the site's objective.
    pub(super) weight: f64,
    /// The client began so long ago that an answer earns only the late weight.
    pub(super) is_past_objective: bool,
    /// When the first attempt was sent that may have run.
    pub(super) first_possible_execution: Option<Time>,
    /// A member has received an attempt.
    pub(super) has_reached_member: bool,
    /// Attempts started, ended ones included.
    pub(super) attempts_started: u32,
    pub(super) attempts_in_flight: Vec<InFlightAttempt>,
    /// When the latest unsuccessful attempt at each member ended.
    pub(super) last_failures: BTreeMap<MemberId, Time>,
}

impl QueuedRequest {
    /// Whether an attempt at this member is in flight.
    pub(super) fn is_in_flight_at(&self, member: MemberId) -> bool {
        self.attempts_in_flight.iter().any(|attempt| attempt.member == member)
    }

    /// The only attempt in flight, if there is just one and it was not cancelled.
    pub(super) fn sole_attempt(&self) -> Option<&InFlightAttempt> {
        match self.attempts_in_flight.as_slice() {
            [attempt] if !attempt.is_cancelled => Some(attempt),
            _ => None,
        }
    }
}
