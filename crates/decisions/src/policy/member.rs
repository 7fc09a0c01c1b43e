//! The record of a member. Plain data in the parts that the modules beside it decide on.

use crate::api::{ClassId, GroupId, LogPosition, MemberId, MemberState, RequestId, SessionKey, Time, ZoneId};
use crate::outlier_recovery::EjectedMember;
use crate::zone_health;
use std::collections::BTreeMap;

/// A latency ratio below 1 or over this does not change what is usual for a member.
const EXPECTED_LATENCY_RATIO_MAX: f64 = 4.0;

/// An attempt in flight at a member.
#[derive(Clone, Copy)]
pub(super) struct SentAttempt {
    pub(super) sent: Time,
    pub(super) class: ClassId,
    pub(super) session: Option<SessionKey>,
}

/// What slow start knows of a member.
pub(super) struct SlowStart {
    /// It has been warming up since then; `None` once it is warm.
    pub(super) warming_since: Option<Time>,
    /// This router's next send; `None` until one is scheduled.
    pub(super) next_send: Option<Time>,
    /// How much faster than others it is given requests, by the utilisation it reports.
    pub(super) rate_multiplier: f64,
}

impl SlowStart {
    /// Warming up since then, or warm, with nothing scheduled.
    pub(super) fn new(warming_since: Option<Time>) -> SlowStart {
        SlowStart { warming_since, next_send: None, rate_multiplier: 1.0 }
    }
}

/// How far a member has applied the log of its group.
#[derive(Default)]
pub(super) struct ReplicationState {
    /// The furthest position that is known to be applied.
    pub(super) position: LogPosition,
    /// When a position was last learned.
    pub(super) reported: Time,
    /// The furthest position that any router has gossiped.
    pub(super) gossiped: LogPosition,
    /// The position for which it last rejected a read, and when.
    pub(super) lagging_position: LogPosition,
    pub(super) lagging_at: Time,
}

/// What speaks for a member as its group's primary.
#[derive(Default)]
pub(super) struct RoleEvidence {
    /// It was primary then, by the newest evidence; zero without any.
    pub(super) primary_at: Time,
    /// It was a replica then; zero without evidence.
    pub(super) replica_at: Time,
    /// The role that came with its last answer was primary.
    pub(super) is_confirmed_primary: bool,
}

impl RoleEvidence {
    /// Whether the newest evidence says that it is primary.
    pub(super) fn claims_primary(&self) -> bool {
        self.primary_at > self.replica_at
    }
}

/// What limits the attempts in flight at a member.
pub(super) struct ConcurrencyLimit {
    /// Attempts that this router may have in flight there.
    pub(super) limit: f64,
    /// The limit was last reduced then.
    pub(super) reduced: Time,
    /// Nothing is sent before then.
    pub(super) paced_until: Time,
    /// Latency in class means, smoothed.
    pub(super) latency_ratio: f64,
    /// Latency as a part of the latency objective, smoothed.
    pub(super) overload_pressure: f64,
    /// Share of its processors that it reports in use, smoothed; `None` where it does not report.
    pub(super) cpu_utilisation: Option<f64>,
    /// An attempt was last served then.
    pub(super) last_served: Time,
}

impl ConcurrencyLimit {
    /// Nothing is known yet but the first limit.
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

/// The connections to a member.
#[derive(Default)]
pub(super) struct Connections {
    /// When one was last known to be established; `None` while there is none.
    pub(super) last_connected: Option<Time>,
    /// Failures to connect in a row.
    pub(super) consecutive_failures: u32,
}

/// Health checks of a member.
#[derive(Default)]
pub(super) struct HealthCheck {
    pub(super) is_in_flight: bool,
    pub(super) last_sent: Time,
}

/// A member, listed or of late.
pub(super) struct Member {
    pub(super) zone: Option<ZoneId>,
    pub(super) group: Option<GroupId>,
    pub(super) listed_state: MemberState,
    /// When its process started; zero if that is long ago.
    pub(super) started: Time,
    /// It is missing from the list since then.
    pub(super) absent_since: Option<Time>,
    pub(super) slow_start: SlowStart,
    pub(super) replication: ReplicationState,
    pub(super) role: RoleEvidence,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) connections: Connections,
    pub(super) health_check: HealthCheck,
    pub(super) attempts_in_flight: BTreeMap<(RequestId, u32), SentAttempt>,
    /// When the latest send that was answered was sent.
    pub(super) last_answered_send: Time,
    /// An attempt was last served then.
    pub(super) last_response: Time,
    /// Answers with an error, in a row.
    pub(super) consecutive_errors: u32,
    /// Set while it gets no ordinary requests.
    pub(super) ejected: Option<EjectedMember>,
}

impl Member {
    /// A member that was listed for the first time.
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

    /// Listed as serving, and not ejected.
    pub(super) fn is_healthy(&self) -> bool {
        self.listed_state == MemberState::InService && self.ejected.is_none()
    }

    /// Healthy, or ejected and due for one trial request.
    pub(super) fn may_receive_trial(&self) -> bool {
        let is_due = self.ejected.as_ref().is_none_or(|ejected| ejected.trial_ready);
        self.listed_state == MemberState::InService && is_due
    }

    /// A health check is new work, too: none while one is in flight, or the member drains or is gone.
    pub(super) fn may_be_checked(&self) -> bool {
        self.listed_state == MemberState::InService && !self.health_check.is_in_flight
    }

    /// When something was last learned from it: an answer or a position.
    pub(super) fn last_response_or_report(&self) -> Time {
        self.last_response.max(self.replication.reported)
    }

    /// How long it usually takes for a class whose mean is this, in microseconds.
    pub(super) fn expected_latency(&self, class_mean: f64) -> f64 {
        class_mean * self.concurrency.latency_ratio.clamp(1.0, EXPECTED_LATENCY_RATIO_MAX)
    }

    /// The attempts in flight here, as the health of its zone is judged by them.
    pub(super) fn in_flight(
        &self, id: MemberId, mean: impl Fn(ClassId) -> f64,
    ) -> impl Iterator<Item = zone_health::InFlightAttempt> {
        let usual = move |class: ClassId| self.expected_latency(mean(class));
        self.attempts_in_flight.values().filter_map(move |attempt| {
            Some(zone_health::InFlightAttempt {
                zone: self.zone?,
                member: id,
                sent: attempt.sent,
                usual: usual(attempt.class),
            })
        })
    }
}
