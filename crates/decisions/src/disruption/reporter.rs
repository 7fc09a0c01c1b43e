//! What a proxy reports of itself and of members, and the quarantine that it received in turn. Pure.
//!
//! Only changes are reported. Requests are lost, so a change counts as reported once its request was answered.

use super::{Availability, HealthObservation, HealthReport, Quarantine};
use std::collections::BTreeMap;

/// Most members that are reported.
const MAX_OBSERVATIONS: usize = 4_096;
/// Most members in one report, since keepers reject requests that are too long. The others go with the next requests.
const MAX_OBSERVATIONS_PER_REPORT: usize = 512;

/// A report whose answer is awaited.
#[derive(Clone, Debug)]
struct PendingReport {
    /// Number of the request that carried it.
    seq: u64,
    observations: BTreeMap<String, HealthObservation>,
}

/// The reports of one incarnation of a proxy.
#[derive(Clone, Debug, Default)]
pub struct HealthReporter {
    own_availability: i32,
    /// What is observed of members now.
    observations: BTreeMap<String, HealthObservation>,
    /// What the keepers have acknowledged.
    acknowledged: BTreeMap<String, HealthObservation>,
    /// The last report.
    pending: Option<PendingReport>,
    /// The newest quarantine that was received.
    quarantine: Quarantine,
    /// Edition of the newest quarantine that is applied here.
    applied_edition: u64,
}

impl HealthReporter {
    /// Sets the proxy's own availability. Returns whether it changed.
    pub fn set_own_availability(&mut self, availability: Availability) -> bool {
        let has_changed = self.own_availability != availability as i32;
        self.own_availability = availability as i32;
        has_changed
    }

    /// Replaces the observations of all members. Returns whether something is to be reported.
    pub fn observe(&mut self, observations: BTreeMap<String, HealthObservation>) -> bool {
        self.observations = observations.into_iter().take(MAX_OBSERVATIONS).collect();
        // A member that is no longer observed is reported as removed: the keepers would take it for healthy.
        for (member, last) in &self.acknowledged {
            if !self.observations.contains_key(member) && self.observations.len() < MAX_OBSERVATIONS {
                let removed =
                    HealthObservation { availability: Availability::Removed as i32, ..last.clone() };
                self.observations.insert(member.clone(), removed);
            }
        }
        self.observations != self.acknowledged
    }

    /// The report that goes with request number `seq`.
    pub fn next_report(&mut self, seq: u64) -> HealthReport {
        let observations: BTreeMap<String, HealthObservation> = self
            .observations
            .iter()
            .filter(|(member, observed)| self.acknowledged.get(*member) != Some(*observed))
            .take(MAX_OBSERVATIONS_PER_REPORT)
            .map(|(member, observed)| (member.clone(), observed.clone()))
            .collect();
        self.pending = Some(PendingReport { seq, observations: observations.clone() });
        HealthReport {
            own_availability: self.own_availability,
            observations,
            quarantine_edition: self.applied_edition,
        }
    }

    /// Handles the grant that answers request number `seq`. Returns the quarantine that came with it if it is newer than
    /// the last one; the caller applies it and calls [`HealthReporter::quarantine_applied`].
    pub fn handle_grant(&mut self, seq: u64, quarantine: Option<Quarantine>) -> Option<Quarantine> {
        if let Some(answered) = self.pending.take_if(|pending| pending.seq == seq) {
            self.acknowledged.extend(answered.observations);
            self.acknowledged.retain(|_, observed| observed.availability != Availability::Removed as i32);
        }
        let newer = quarantine.filter(|received| received.edition > self.quarantine.edition)?;
        self.quarantine = newer.clone();
        Some(newer)
    }

    /// Notes that nothing new is sent to the members quarantined by that edition.
    pub fn quarantine_applied(&mut self, edition: u64) {
        self.applied_edition = self.applied_edition.max(edition);
    }

    /// Whether the newest quarantine that was received is applied.
    pub fn is_quarantine_applied(&self) -> bool {
        self.applied_edition >= self.quarantine.edition
    }

    /// Starts as another incarnation: everything is reported anew.
    pub fn reset(&mut self) {
        self.acknowledged.clear();
        self.pending = None;
    }
}
