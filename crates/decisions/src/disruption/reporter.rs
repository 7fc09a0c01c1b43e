//! What a proxy has to tell of itself and of members, and what it was told in turn. Pure.
//!
//! Only what changed is told; it counts as told once an answer to that request came, since requests are lost.

use super::{Availability, HealthObservation, HealthReport, Quarantine};
use std::collections::BTreeMap;

/// The members that are spoken of at most.
const MAX_OBSERVATIONS: usize = 4_096;
/// And in one request, which keepers refuse when it is too long; the others go with the next ones.
const MAX_OBSERVATIONS_PER_REPORT: usize = 512;

/// One incarnation of a proxy.
#[derive(Clone, Debug, Default)]
pub struct HealthReporter {
    own_availability: i32,
    sights: BTreeMap<String, HealthObservation>,
    told: BTreeMap<String, HealthObservation>,
    /// The last request with what it told.
    pending: Option<(u64, BTreeMap<String, HealthObservation>)>,
    fence: Quarantine,
    /// The edition that is carried out here.
    applied_edition: u64,
}

impl HealthReporter {
    /// How this proxy is now; whether that is news.
    pub fn set_own_availability(&mut self, cause: Availability) -> bool {
        let news = self.own_availability != cause as i32;
        self.own_availability = cause as i32;
        news
    }

    /// How members are seen now, all of them; whether that is news.
    pub fn observe(&mut self, sights: BTreeMap<String, HealthObservation>) -> bool {
        self.sights = sights.into_iter().take(MAX_OBSERVATIONS).collect();
        // Whoever is not seen any more is not forgotten: the keepers would take it for well.
        for (member, sight) in &self.told {
            if !self.sights.contains_key(member) && self.sights.len() < MAX_OBSERVATIONS {
                let gone = HealthObservation { availability: Availability::Removed as i32, ..sight.clone() };
                self.sights.insert(member.clone(), gone);
            }
        }
        self.sights != self.told
    }

    /// The report that goes with a request of that number.
    pub fn next_report(&mut self, seq: u64) -> HealthReport {
        let news = |(member, sight): &(&String, &HealthObservation)| self.told.get(*member) != Some(sight);
        let sights: BTreeMap<String, HealthObservation> = self
            .sights
            .iter()
            .filter(news)
            .take(MAX_OBSERVATIONS_PER_REPORT)
            .map(|(m, s)| (m.clone(), s.clone()))
            .collect();
        self.pending = Some((seq, sights.clone()));
        HealthReport {
            own_availability: self.own_availability,
            observations: sights,
            quarantine_edition: self.applied_edition,
        }
    }

    /// That request was granted; with it may have come a newer fence, which is returned to be carried out.
    pub fn handle_grant(&mut self, seq: u64, fence: Option<Quarantine>) -> Option<Quarantine> {
        if let Some((_, sights)) = self.pending.take_if(|(asked, _)| *asked == seq) {
            self.told.extend(sights);
            self.told.retain(|_, sight| sight.availability != Availability::Removed as i32);
        }
        let newer = fence.filter(|f| f.edition > self.fence.edition)?;
        self.fence = newer.clone();
        Some(newer)
    }

    /// Nothing new goes to whoever is fenced by that edition.
    pub fn quarantine_applied(&mut self, edition: u64) {
        self.applied_edition = self.applied_edition.max(edition);
    }

    /// Whether the newest fence that was told is carried out.
    pub fn is_quarantine_applied(&self) -> bool {
        self.applied_edition >= self.fence.edition
    }

    /// Another incarnation begins: all is told anew.
    pub fn reset(&mut self) {
        (self.told, self.pending) = (BTreeMap::new(), None);
    }
}
