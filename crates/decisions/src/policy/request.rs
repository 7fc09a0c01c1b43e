//! State of a request that has no final answer yet. Plain data; the decisions are in the other modules.

use crate::api::{ClassId, GroupId, LogPosition, MemberId, SessionKey, Time};
use std::collections::BTreeMap;

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    /// Number of the attempt within its request, from 0.
    pub(super) number: u32,
    pub(super) member: MemberId,
    pub(super) sent: Time,
    /// Whether the attempt was cancelled, if only as an unwritten one; its end has not arrived yet.
    pub(super) is_cancelled: bool,
}

/// A request without a final answer: waiting in its group's queue, or with attempts in flight, after which it may be
/// queued again.
pub(super) struct QueuedRequest {
    pub(super) class: ClassId,
    pub(super) group: GroupId,
    pub(super) session: Option<SessionKey>,
    pub(super) arrived: Time,
    /// An answer up to this time earns `weight` in full.
    pub(super) objective_at: Time,
    /// When the client gives up.
    pub(super) deadline: Time,
    /// Position that a session or fresh read must see, fixed at arrival.
    pub(super) required_position: LogPosition,
    /// When a read may first run on the primary.
    pub(super) primary_fallback_at: Time,
    /// Weight of an answer, by the class, the tenant's quota, the site's service objective and `is_past_objective`.
    pub(super) weight: f64,
    /// Whether the client is retrying and an answer is expected after its latency objective, so that it earns only
    /// the late weight.
    pub(super) is_past_objective: bool,
    /// Earliest send time of the ended attempts that may have run.
    pub(super) first_possible_execution: Option<Time>,
    /// Whether the member's system may hold all of the statement for seconds before the member has read it.
    pub(super) is_statement_long: bool,
    /// Whether an ended attempt may still run: its connection was closed without a complete reply, while the member's
    /// system may have held all of a long statement.
    pub(super) may_run_later: bool,
    /// Whether an ended attempt reached a member.
    pub(super) has_reached_member: bool,
    /// Attempts started, including ended ones.
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

    /// The earliest send time of the attempts that may have run; `None` if the request can't have run.
    pub(super) fn first_execution(&self) -> Option<Time> {
        let in_flight = self.attempts_in_flight.iter().map(|attempt| attempt.sent);
        self.first_possible_execution.into_iter().chain(in_flight).min()
    }

    /// The only attempt in flight; `None` if there are several or it was cancelled.
    pub(super) fn sole_attempt(&self) -> Option<&InFlightAttempt> {
        match self.attempts_in_flight.as_slice() {
            [attempt] if !attempt.is_cancelled => Some(attempt),
            _ => None,
        }
    }
}
