//! A proxy's reports on itself and on members, and the quarantine that the proxy received. No I/O.
//!
//! Of the members, only changes are reported. Since requests may be lost, a change is included in every report until
//! the last request that was sent with it is granted.

use super::{Availability, HealthObservation, HealthReport, Quarantine};
use std::collections::BTreeMap;

/// Most members that are observed.
const MAX_OBSERVATIONS: usize = 4_096;
/// Most members in one report, since keepers reject longer requests. The others follow in later reports.
const MAX_OBSERVATIONS_PER_REPORT: usize = 512;

/// A report that has not been acknowledged.
#[derive(Clone, Debug)]
struct PendingReport {
    /// Sequence number of the request that carried it.
    seq: u64,
    observations: BTreeMap<String, HealthObservation>,
}

/// The reports of one incarnation of a proxy.
#[derive(Clone, Debug, Default)]
pub struct HealthReporter {
    own_availability: i32,
    /// Current observations, by the member's id.
    observations: BTreeMap<String, HealthObservation>,
    /// The last acknowledged observations.
    acknowledged: BTreeMap<String, HealthObservation>,
    /// The last report, until it is acknowledged.
    pending: Option<PendingReport>,
    /// The newest quarantine received.
    quarantine: Quarantine,
    /// Edition of the newest quarantine applied.
    applied_edition: u64,
}

impl HealthReporter {
    /// Sets the proxy's own availability. Returns whether it changed.
    pub fn set_own_availability(&mut self, availability: Availability) -> bool {
        let has_changed = self.own_availability != availability as i32;
        self.own_availability = availability as i32;
        has_changed
    }

    /// Replaces the observations of all members. Returns whether any of them must be reported.
    pub fn observe(&mut self, observations: BTreeMap<String, HealthObservation>) -> bool {
        self.observations = observations.into_iter().take(MAX_OBSERVATIONS).collect();
        // A member that is no longer observed is reported as removed; the keepers would otherwise count it as healthy.
        for (member, last) in &self.acknowledged {
            if !self.observations.contains_key(member) && self.observations.len() < MAX_OBSERVATIONS {
                let removed =
                    HealthObservation { availability: Availability::Removed as i32, ..last.clone() };
                self.observations.insert(member.clone(), removed);
            }
        }
        self.observations != self.acknowledged
    }

    /// Builds the report to send with the request of sequence number `seq`, and records it as pending in place of the
    /// previous one.
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

    /// Handles the grant for the request of sequence number `seq`. Returns the quarantine if its edition is newer than
    /// that of the last one received; the caller must apply it and then call [`HealthReporter::quarantine_applied`].
    pub fn handle_grant(&mut self, seq: u64, quarantine: Option<Quarantine>) -> Option<Quarantine> {
        if let Some(answered) = self.pending.take_if(|pending| pending.seq == seq) {
            self.acknowledged.extend(answered.observations);
            self.acknowledged.retain(|_, observed| observed.availability != Availability::Removed as i32);
        }
        let newer = quarantine.filter(|received| received.edition > self.quarantine.edition)?;
        self.quarantine = newer.clone();
        Some(newer)
    }

    /// Records that no new requests are sent to the members of the quarantine with this edition.
    pub fn quarantine_applied(&mut self, edition: u64) {
        self.applied_edition = self.applied_edition.max(edition);
    }

    /// Whether the newest received quarantine has been applied.
    pub fn is_quarantine_applied(&self) -> bool {
        self.applied_edition >= self.quarantine.edition
    }

    /// Restarts the reports for a new incarnation: all observations are reported again.
    pub fn reset(&mut self) {
        self.acknowledged.clear();
        self.pending = None;
    }
}
