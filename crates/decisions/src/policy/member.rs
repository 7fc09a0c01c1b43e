//! State of a member. Plain data; each part belongs to one of the other modules.

use crate::api::{ClassId, GroupId, LogPosition, MemberId, MemberState, RequestId, SessionKey, Time, ZoneId};
use crate::outlier_recovery::EjectedMember;
use crate::zone_health;
use std::collections::BTreeMap;

/// Upper bound of the latency ratio in a member's expected latency; ratios below 1 count as 1.
const EXPECTED_LATENCY_RATIO_MAX: f64 = 4.0;

/// An attempt in flight at a member.
#[derive(Clone, Copy)]
pub(super) struct SentAttempt {
    pub(super) sent: Time,
    pub(super) class: ClassId,
    pub(super) session: Option<SessionKey>,
}

/// Slow-start state of a member.
pub(super) struct SlowStart {
    /// When warm-up began; `None` once the member is warm.
    pub(super) warming_since: Option<Time>,
    /// When this router may send its next request; `None` until one is scheduled.
    pub(super) next_send: Option<Time>,
    /// Factor on the rate of sends, by the utilisation that the member reports.
    pub(super) rate_multiplier: f64,
}

impl SlowStart {
    /// The state of a member that has been warming up since this time, or is warm; no send is scheduled.
    pub(super) fn new(warming_since: Option<Time>) -> SlowStart {
        SlowStart { warming_since, next_send: None, rate_multiplier: 1.0 }
    }
}

/// How far a member has applied the log of its group.
#[derive(Default)]
pub(super) struct ReplicationState {
    /// Highest position that was reported as applied.
    pub(super) position: LogPosition,
    /// When a position was last received, from the member or by gossip.
    pub(super) reported: Time,
    /// Highest position that any router has gossiped.
    pub(super) gossiped: LogPosition,
    /// Target position of the read that the member last rejected because it had not applied the position.
    pub(super) lagging_position: LogPosition,
    /// When the member last rejected a read because it had not applied the position.
    pub(super) lagging_at: Time,
}

/// Evidence of a member's role in its group.
#[derive(Default)]
pub(super) struct RoleEvidence {
    /// Latest time for which there is evidence that the member was primary; zero without evidence.
    pub(super) primary_at: Time,
    /// Latest time for which there is evidence that the member was a replica; zero without evidence.
    pub(super) replica_at: Time,
    /// Whether the last answer to an attempt that carried a role reported the member as primary.
    pub(super) is_confirmed_primary: bool,
}

impl RoleEvidence {
    /// Whether the newest evidence shows the member as primary.
    pub(super) fn claims_primary(&self) -> bool {
        self.primary_at > self.replica_at
    }
}

/// Limits on the attempts in flight at a member.
pub(super) struct ConcurrencyLimit {
    /// Attempts that this router may have in flight at the member; below 1, one attempt with pauses in between.
    pub(super) limit: f64,
    /// When the limit was last reduced.
    pub(super) reduced: Time,
    /// No request is sent to the member before this time.
    pub(super) paced_until: Time,
    /// Latency in means of the class, smoothed.
    pub(super) latency_ratio: f64,
    /// Latency as a fraction of the latency objective, smoothed.
    pub(super) overload_pressure: f64,
    /// Fraction of the processors that the member reports in use, smoothed; `None` if it does not report any.
    pub(super) cpu_utilisation: Option<f64>,
    /// When an attempt was last served.
    pub(super) last_served: Time,
}

impl ConcurrencyLimit {
    /// The state before any answer.
    pub(super) fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            reduced: Time::default(),
            paced_until: Time::default(),
            latency_ratio: 1.0,
            overload_pressure: 0.0,
            cpu_utilisation: None,
            last_served: Time::default(),
        }
    }
}

/// Connections to a member.
#[derive(Default)]
pub(super) struct Connections {
    /// When an answer last arrived over a connection; `None` before the first answer, and after a failure to connect
    /// or the closing of idle connections.
    pub(super) last_connected: Option<Time>,
    /// Connection failures of attempts and health checks since the last answer to an attempt.
    pub(super) consecutive_failures: u32,
}

/// Health-check state of a member.
#[derive(Default)]
pub(super) struct HealthCheck {
    pub(super) is_in_flight: bool,
    pub(super) last_sent: Time,
}

/// A member that is listed now or was listed recently.
pub(super) struct Member {
    pub(super) zone: Option<ZoneId>,
    pub(super) group: Option<GroupId>,
    pub(super) listed_state: MemberState,
    /// When the member's process started; zero if not listed, which counts as long ago.
    pub(super) started: Time,
    /// When the member was first missing from the list; `None` while it is listed.
    pub(super) absent_since: Option<Time>,
    pub(super) slow_start: SlowStart,
    pub(super) replication: ReplicationState,
    pub(super) role: RoleEvidence,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) connections: Connections,
    pub(super) health_check: HealthCheck,
    pub(super) attempts_in_flight: BTreeMap<(RequestId, u32), SentAttempt>,
    /// Latest send time among the attempts that were answered.
    pub(super) last_answered_send: Time,
    /// When an attempt was last served, or the primary was readmitted because its group's log advanced.
    pub(super) last_response: Time,
    /// Failed reads since the last served attempt.
    pub(super) consecutive_errors: u32,
    /// Set while the member is ejected.
    pub(super) ejected: Option<EjectedMember>,
}

impl Member {
    /// A member that is listed for the first time.
    pub(super) fn new(started: Time, slow_start: SlowStart, initial_limit: f64) -> Member {
        Member {
            zone: None,
            group: None,
            listed_state: MemberState::default(),
            started,
            absent_since: None,
            slow_start,
            replication: ReplicationState::default(),
            role: RoleEvidence::default(),
            concurrency: ConcurrencyLimit::new(initial_limit),
            connections: Connections::default(),
            health_check: HealthCheck::default(),
            attempts_in_flight: BTreeMap::new(),
            last_answered_send: Time::default(),
            last_response: Time::default(),
            consecutive_errors: 0,
            ejected: None,
        }
    }

    /// Whether the member is listed as in service and not ejected.
    pub(super) fn is_healthy(&self) -> bool {
        self.listed_state == MemberState::InService && self.ejected.is_none()
    }

    /// Whether the member is healthy, or ejected and due for one trial request.
    pub(super) fn may_receive_trial(&self) -> bool {
        let is_due = self.ejected.as_ref().is_none_or(|ejected| ejected.trial_ready);
        self.listed_state == MemberState::InService && is_due
    }

    /// Whether a health check may be sent. It counts as new work: none while another is in flight, or while the
    /// member drains or is gone.
    pub(super) fn may_be_checked(&self) -> bool {
        self.listed_state == MemberState::InService && !self.health_check.is_in_flight
    }

    /// When an attempt was last served, or a position was last received from the member or by gossip.
    pub(super) fn last_response_or_report(&self) -> Time {
        self.last_response.max(self.replication.reported)
    }

    /// Expected latency for a class with this mean latency, in microseconds.
    pub(super) fn expected_latency(&self, class_mean: f64) -> f64 {
        class_mean * self.concurrency.latency_ratio.clamp(1.0, EXPECTED_LATENCY_RATIO_MAX)
    }

    /// The attempts in flight at the member, as input for the health of its zone; none without a zone.
    pub(super) fn in_flight(
        &self, id: MemberId, mean: impl Fn(ClassId) -> f64,
    ) -> impl Iterator<Item = zone_health::InFlightAttempt> {
        let expected = move |class: ClassId| self.expected_latency(mean(class));
        self.attempts_in_flight.values().filter_map(move |attempt| {
            Some(zone_health::InFlightAttempt {
                zone: self.zone?,
                member: id,
                sent: attempt.sent,
                usual: expected(attempt.class),
            })
        })
    }
}
