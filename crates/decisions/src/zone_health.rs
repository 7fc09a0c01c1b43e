//! Which zones have gone silent: a pure record of when each zone last answered, compared with the attempts in
//! flight there.
//!
//! A router of a large fleet sends each member a request once in seconds. If a zone is lost, the router would
//! learn of it one member at a time, each at the price of a request. All attempts in flight in the zone tell
//! much sooner. If the zone were alive, each attempt would be answered at a rate of one in its usual time, so
//! the probability that none was falls with the sum of the times they have waited, each in units of its usual
//! time.

use crate::api::{MemberId, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A zone counts as silent from this sum of relative waits on: by chance alone, one silence in about 3,000
/// lasts as long.
const SILENT_FROM: f64 = 8.0;
/// At least this many members must be silent: one or two have a fault of their own.
const SILENT_MEMBERS_MIN: usize = 3;
/// Bound on the zones whose last answer is remembered; beyond it the one that answered longest ago is
/// forgotten.
const ZONES_MAX: usize = 64;
/// The most that one attempt adds to the sum: work that takes long by itself says little.
const RELATIVE_WAIT_MAX: f64 = 4.0;

/// An attempt that was sent and not answered yet.
pub struct InFlightAttempt {
    /// The zone of the member.
    pub zone: ZoneId,
    /// The member it was sent to.
    pub member: MemberId,
    /// When it was sent.
    pub sent: Time,
    /// How long an answer usually takes. Microseconds.
    pub usual: f64,
}

/// When each zone last answered.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    last_answers: BTreeMap<ZoneId, Time>,
}

/// What the attempts in flight in one zone say against it.
#[derive(Default)]
struct Suspicion {
    /// The sum of the waits, each in units of its usual time.
    relative_waits: f64,
    silent_members: BTreeSet<MemberId>,
}

impl Suspicion {
    fn add(&mut self, member: MemberId, relative_wait: f64) {
        self.relative_waits += relative_wait.min(RELATIVE_WAIT_MAX);
        if relative_wait >= 1.0 {
            self.silent_members.insert(member);
        }
    }

    fn is_confirmed(&self) -> bool {
        self.relative_waits >= SILENT_FROM && self.silent_members.len() >= SILENT_MEMBERS_MIN
    }
}

impl ZoneHealth {
    /// A member of the zone answered.
    pub fn record_answer(&mut self, zone: ZoneId, now: Time) {
        let last_answer = self.last_answers.entry(zone).or_default();
        *last_answer = (*last_answer).max(now);
        if self.last_answers.len() > ZONES_MAX {
            let oldest = self.last_answers.iter().min_by_key(|(_, at)| **at).map(|(zone, _)| *zone);
            oldest.and_then(|zone| self.last_answers.remove(&zone));
        }
    }

    /// The zones that are silent, judged by the attempts in flight. A zone is judged only if it has ever
    /// answered, and if another zone has answered since: where no zone answers at all, the fault lies nearer
    /// by.
    pub fn unresponsive_zones(
        &self, now: Time, in_flight: impl Iterator<Item = InFlightAttempt>,
    ) -> Vec<ZoneId> {
        let mut suspicions: BTreeMap<ZoneId, Suspicion> = BTreeMap::new();
        for attempt in in_flight {
            let Some(last_answer) = self.last_answers.get(&attempt.zone) else { continue };
            let waited = now.saturating_since(attempt.sent.max(*last_answer)).as_f64();
            let suspicion = suspicions.entry(attempt.zone).or_default();
            suspicion.add(attempt.member, waited / attempt.usual.max(1.0));
        }
        let is_silent = |(zone, suspicion): &(ZoneId, Suspicion)| {
            suspicion.is_confirmed() && self.another_answered_since(*zone)
        };
        suspicions.into_iter().filter(is_silent).map(|(zone, _)| zone).collect()
    }

    /// Whether any other zone has answered after the last answer of this one.
    fn another_answered_since(&self, zone: ZoneId) -> bool {
        let Some(last_answer) = self.last_answers.get(&zone) else { return false };
        self.last_answers.iter().any(|(other, at)| *other != zone && at > last_answer)
    }
}
