//! Which zones have gone silent: a pure record of when each was last heard of, against what is out there.
//!
//! A router of a large fleet has a request out at a member once in seconds. If a zone is lost, it would learn so one
//! member at a time, each at the price of a request. What it has out in the whole zone tells much sooner: were the
//! zone alive, each attempt would be answered at a rate of one in its usual time, so the chance that none of them was
//! falls with the sum of the times they have waited, each in units of its usual one.

use crate::api::{MemberId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The sum from which a zone counts as silent: by chance alone one silence in about 3,000 lasts as long.
const DOUBT: f64 = 8.0;
/// At least so many members must be silent: one or two are their own trouble, not their zone's.
const MEMBERS: usize = 3;
/// Of so many zones it is kept when they were heard of; beyond that the one silent longest is forgotten.
const ZONES_MOST: usize = 64;
/// One attempt counts for this at most: work that is long by itself says little.
const DOUBT_EACH: f64 = 4.0;

/// An attempt that is out.
pub struct InFlightAttempt {
    /// Where.
    pub zone: ZoneId,
    /// At which member.
    pub member: MemberId,
    /// Since when, in microseconds.
    pub sent: u64,
    /// How long it usually takes, in microseconds.
    pub usual: f64,
}

/// What is known of the zones.
#[derive(Default)]
pub struct ZoneHealth {
    heard: BTreeMap<ZoneId, u64>,
}

impl ZoneHealth {
    /// A member there has answered.
    pub fn heard(&mut self, zone: ZoneId, now: u64) {
        let at = self.heard.entry(zone).or_default();
        *at = (*at).max(now);
        if self.heard.len() > ZONES_MOST {
            let oldest = self.heard.iter().min_by_key(|(_, at)| **at).map(|(zone, _)| *zone);
            oldest.and_then(|zone| self.heard.remove(&zone));
        }
    }

    /// The zones that are silent, going by what is out there, while another zone was heard of: where nobody answers
    /// at all, the fault lies nearer by. A zone never heard of is not judged.
    pub fn silent(&self, now: u64, out: impl Iterator<Item = InFlightAttempt>) -> Vec<ZoneId> {
        let mut doubts: BTreeMap<ZoneId, (f64, BTreeSet<MemberId>)> = BTreeMap::new();
        for o in out {
            let Some(heard) = self.heard.get(&o.zone) else { continue };
            let waited = now.saturating_sub(o.sent.max(*heard)) as f64 / o.usual.max(1.0);
            let (sum, members) = doubts.entry(o.zone).or_default();
            *sum += waited.min(DOUBT_EACH);
            if waited >= 1.0 {
                members.insert(o.member);
            }
        }
        let elsewhere = |zone: &ZoneId| self.heard.iter().any(|(z, at)| z != zone && *at > self.heard[zone]);
        let silent = |(zone, (sum, members)): &(ZoneId, (f64, BTreeSet<MemberId>))| {
            *sum >= DOUBT && members.len() >= MEMBERS && elsewhere(zone)
        };
        doubts.into_iter().filter(silent).map(|(zone, _)| zone).collect()
    }
}
