//! Detects zones that no longer answer, from the last answer of each zone and the attempts in flight there.
//!
//! A router of a large fleet sends each member one request every few seconds. After the loss of a zone it would detect
//! the failure one member at a time, each at the cost of a request. The attempts in flight in the zone, taken together,
//! show the failure much sooner: if the zone were healthy, each attempt would be answered at a rate of one per expected
//! latency, so the probability of no answer decreases exponentially with the sum of their waits, each in units of the
//! attempt's expected latency.

use crate::api::{MemberId, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Sum of relative waits at which a zone counts as unresponsive. In a healthy zone, about one gap in 3,000 between
/// answers reaches this sum.
const UNRESPONSIVE_THRESHOLD: f64 = 8.0;
/// Fewest members with an overdue attempt: one or two may have a fault of their own.
const OVERDUE_MEMBERS_MIN: usize = 3;
/// Bound on the zones that are tracked; beyond it the zone that answered longest ago is dropped.
const ZONES_MAX: usize = 64;
/// Upper bound on the relative wait of one attempt, since a single long-running request is weak evidence.
const RELATIVE_WAIT_MAX: f64 = 4.0;

/// An attempt that was sent and has no answer yet.
pub struct InFlightAttempt {
    /// Zone of the member.
    pub zone: ZoneId,
    /// Member to which it was sent.
    pub member: MemberId,
    /// When it was sent.
    pub sent: Time,
    /// Expected latency of an answer, in microseconds.
    pub usual: f64,
}

/// The time of the last answer from each zone.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    last_answers: BTreeMap<ZoneId, Time>,
}

/// Evidence from the attempts in flight that a zone is unresponsive.
#[derive(Default)]
struct UnresponsiveEvidence {
    /// Sum of the waits since the zone's last answer, each in units of the attempt's expected latency and at most
    /// [`RELATIVE_WAIT_MAX`].
    relative_waits: f64,
    /// Members with an attempt that has waited for its expected latency or longer since the zone's last answer.
    overdue_members: BTreeSet<MemberId>,
}

impl UnresponsiveEvidence {
    fn add(&mut self, member: MemberId, relative_wait: f64) {
        self.relative_waits += relative_wait.min(RELATIVE_WAIT_MAX);
        if relative_wait >= 1.0 {
            self.overdue_members.insert(member);
        }
    }

    fn is_conclusive(&self) -> bool {
        self.relative_waits >= UNRESPONSIVE_THRESHOLD && self.overdue_members.len() >= OVERDUE_MEMBERS_MIN
    }
}

impl ZoneHealth {
    /// Records an answer from a member of the zone.
    pub fn record_answer(&mut self, zone: ZoneId, now: Time) {
        let last_answer = self.last_answers.entry(zone).or_default();
        *last_answer = (*last_answer).max(now);
        if self.last_answers.len() > ZONES_MAX {
            let oldest = self.last_answers.iter().min_by_key(|(_, at)| **at).map(|(zone, _)| *zone);
            oldest.and_then(|zone| self.last_answers.remove(&zone));
        }
    }

    /// The zones that are unresponsive according to the attempts in flight. Only a zone that has answered before can be
    /// unresponsive, and only if another zone has answered since: if no zone answers, the fault is probably at
    /// this router.
    pub fn unresponsive_zones(
        &self, now: Time, in_flight: impl Iterator<Item = InFlightAttempt>,
    ) -> Vec<ZoneId> {
        let mut evidence_by_zone: BTreeMap<ZoneId, UnresponsiveEvidence> = BTreeMap::new();
        for attempt in in_flight {
            let Some(last_answer) = self.last_answers.get(&attempt.zone) else { continue };
            let waited = now.saturating_since(attempt.sent.max(*last_answer)).as_f64();
            let evidence = evidence_by_zone.entry(attempt.zone).or_default();
            evidence.add(attempt.member, waited / attempt.usual.max(1.0));
        }
        let is_unresponsive = |(zone, evidence): &(ZoneId, UnresponsiveEvidence)| {
            evidence.is_conclusive() && self.another_answered_since(*zone)
        };
        evidence_by_zone.into_iter().filter(is_unresponsive).map(|(zone, _)| zone).collect()
    }

    /// Whether another zone has answered since the last answer of this one.
    fn another_answered_since(&self, zone: ZoneId) -> bool {
        let Some(last_answer) = self.last_answers.get(&zone) else { return false };
        self.last_answers.iter().any(|(other, at)| *other != zone && at > last_answer)
    }
}
