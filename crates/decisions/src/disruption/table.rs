//! The table of subjects and permits, replicated at every keeper and changed only by entries of the replicated log.
//! Time and liveness come from the [`crate::membership::Membership`]. The table must be deterministic: it reads no
//! clock, draws no random numbers, and depends on no order but that of keys.

pub use super::liveness::LivenessView;
pub use super::record::{Permit, PermitDenied, SubjectRecord};

use super::{
    Availability, DisruptionPolicy, HealthReport, MAX_SUBJECTS, MAX_TEXT_BYTES, Quarantine, Subject,
    member_id, proxy_name,
};
use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Longest requester and reason in a permit, in characters of up to four bytes.
const MAX_TEXT_CHARS: usize = MAX_TEXT_BYTES / 4;

/// The subjects and their permits.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct DisruptionTable {
    /// The limits that operators set. Without them, no reports are recorded and no limits apply.
    #[prost(message, optional, tag = "1")]
    pub policy: Option<DisruptionPolicy>,
    /// Subjects by [`Subject::key`].
    #[prost(btree_map = "string, message", tag = "2")]
    pub subjects: BTreeMap<String, SubjectRecord>,
    /// Total number of permits granted; the number of the last permit.
    #[prost(uint64, tag = "3")]
    pub permits_granted: u64,
    /// Current edition of the quarantine.
    #[prost(uint64, tag = "4")]
    pub quarantine_edition: u64,
}

/// The size of a set of subjects, and those that count as unavailable.
struct SubjectCount {
    total: u64,
    unavailable: Vec<(String, Availability)>,
}

impl SubjectCount {
    /// Checks that the subject `key` may be unavailable as well: at most `max_unavailable` subjects of the set may be,
    /// and at least `min_in_service` must stay in service.
    fn check(
        self, key: &str, limit: &'static str, max_unavailable: u64, min_in_service: u64,
    ) -> Result<(), PermitDenied> {
        // The subject itself may already count as unavailable.
        let others = self.unavailable.iter().filter(|(other, _)| other != key).count() as u64;
        let left = self.total.saturating_sub(others + 1);
        if others < max_unavailable && left >= min_in_service {
            return Ok(());
        }
        Err(PermitDenied::LimitReached { limit, unavailable: self.unavailable })
    }
}

impl DisruptionTable {
    /// Replaces the limits. Permits already granted remain in force.
    pub fn set_policy(&mut self, policy: Option<DisruptionPolicy>) {
        self.policy = policy;
    }

    /// Records the report of a proxy that holds a session. Does nothing while no limits are set.
    pub fn record_report(
        &mut self, view: &LivenessView, name: &str, incarnation: u64, zone: &str, report: &HealthReport,
    ) {
        if self.policy.is_none() {
            return;
        }
        let now = view.now();
        if let Some(proxy) = self.record_mut(Subject::Proxy(name.to_string()).key()) {
            proxy.zone = zone.to_string();
            proxy.own_availability = report.own_availability;
            proxy.last_reported_at = now;
        }
        for (member, observed) in report.observations.iter().take(MAX_SUBJECTS) {
            let key = Subject::Member(member.clone()).key();
            // A removed member is dropped before all proxies have reported it, so later reports must not add it again.
            let is_removed = observed.availability == Availability::Removed as i32;
            if is_removed && !self.subjects.contains_key(&key) {
                continue;
            }
            if let Some(record) = self.record_mut(key) {
                record.record_observation(incarnation, observed, now);
            }
        }
        for record in self.subjects.values_mut() {
            record.confirm(incarnation, report.quarantine_edition);
        }
    }

    /// The record of a key, added if it is missing. `None` if the key is too long or the table is full.
    fn record_mut(&mut self, key: String) -> Option<&mut SubjectRecord> {
        let is_full = self.subjects.len() >= MAX_SUBJECTS;
        if key.len() > MAX_TEXT_BYTES || (is_full && !self.subjects.contains_key(&key)) {
            return None;
        }
        Some(self.subjects.entry(key).or_default())
    }

    /// Updates the table to the membership: drops the reports and pending confirmations of incarnations without a
    /// session, removes members that more than half of the live proxies report as removed, and ends the permits of
    /// subjects that have returned to service. Does nothing while no limits are set.
    pub fn expire(&mut self, view: &LivenessView) {
        if self.policy.is_none() {
            return;
        }
        let incarnations = view.incarnations();
        self.subjects.retain(|key, record| {
            let is_member = member_id(key).is_some();
            record.drop_departed(&incarnations, view);
            if is_member && record.is_removed(view) {
                return false;
            }
            let availability = record.availability(key, view);
            record.end_permit_if_returned(availability, is_member);
            true
        });
    }

    /// Grants a permit for a subject to be unavailable, if the limits allow it and the subject is not a primary in
    /// service. A repeated request by the same requester returns the same permit, unless its return was requested: then
    /// it is replaced. With `force` neither condition applies, and a permit held by another requester is returned as it is.
    ///
    /// # Errors
    ///
    /// [`PermitDenied`] if no permit is granted; the table is unchanged.
    pub fn request_permit(
        &mut self, view: &LivenessView, subject: &Subject, requested_by: &str, reason: &str, force: bool,
    ) -> Result<Permit, PermitDenied> {
        let key = subject.key();
        let record = self.subjects.get(&key).ok_or(PermitDenied::UnknownSubject)?;
        // A permit whose return was requested allows nothing any more: the subject may be in use already.
        if let Some(held) = record.permit.as_ref().filter(|held| !held.returning) {
            if held.requested_by == requested_by || force {
                return Ok(held.clone());
            }
            return Err(PermitDenied::HeldByOther { by: held.requested_by.clone() });
        }
        if !force {
            self.check_limits(view, &key, record)?;
        }
        let mut permit = self.next_permit(view, requested_by, reason, force);
        if matches!(subject, Subject::Member(_)) {
            self.quarantine_edition += 1;
            permit.quarantine_edition = self.quarantine_edition;
            if !is_injected(Fault::QuarantineUnconfirmed) {
                permit.unconfirmed = view.incarnations();
            }
        }
        if let Some(record) = self.subjects.get_mut(&key) {
            record.permit = Some(permit.clone());
        }
        Ok(permit)
    }

    /// A permit with the next number, without the fields that only permits of members use.
    fn next_permit(&mut self, view: &LivenessView, requested_by: &str, reason: &str, forced: bool) -> Permit {
        self.permits_granted += 1;
        Permit {
            number: self.permits_granted,
            requested_by: requested_by.chars().take(MAX_TEXT_CHARS).collect(),
            reason: reason.chars().take(MAX_TEXT_CHARS).collect(),
            forced,
            granted_at: view.now(),
            ..Permit::default()
        }
    }

    fn check_limits(
        &self, view: &LivenessView, key: &str, record: &SubjectRecord,
    ) -> Result<(), PermitDenied> {
        let policy = self.policy.unwrap_or_default();
        if proxy_name(key).is_some() {
            return self.check_proxy_limits(view, key, record, &policy);
        }
        self.check_member_limits(view, key, record, &policy)
    }

    fn check_proxy_limits(
        &self, view: &LivenessView, key: &str, record: &SubjectRecord, policy: &DisruptionPolicy,
    ) -> Result<(), PermitDenied> {
        let fleet = self.count_subjects(view, |other, _| proxy_name(other).is_some());
        let max_unavailable = policy.fleet.max_unavailable(fleet.total);
        fleet.check(key, "proxies out of the fleet", max_unavailable, policy.min_in_service)?;
        let zone = self.count_subjects(view, |other, r| proxy_name(other).is_some() && r.zone == record.zone);
        let max_unavailable = policy.zone.max_unavailable(zone.total);
        zone.check(key, "proxies out of the zone", max_unavailable, 0)
    }

    fn check_member_limits(
        &self, view: &LivenessView, key: &str, record: &SubjectRecord, policy: &DisruptionPolicy,
    ) -> Result<(), PermitDenied> {
        let is_primary = !record.primary_reporters.is_empty();
        if is_primary && record.availability(key, view) == Availability::InService {
            return Err(PermitDenied::IsPrimary);
        }
        let is_in_group =
            |other: &str, r: &SubjectRecord| member_id(other).is_some() && r.group == record.group;
        let has_primary =
            self.subjects.iter().any(|(other, r)| is_in_group(other, r) && !r.primary_reporters.is_empty());
        if !has_primary {
            return Err(PermitDenied::PrimaryUnknown);
        }
        let group = self.count_subjects(view, is_in_group);
        let max_unavailable = policy.group.max_unavailable(group.total);
        group.check(key, "members out of the group", max_unavailable, policy.group_min_in_service)
    }

    /// Counts the subjects for which `is_counted` holds.
    fn count_subjects(
        &self, view: &LivenessView, is_counted: impl Fn(&str, &SubjectRecord) -> bool,
    ) -> SubjectCount {
        let mut count = SubjectCount { total: 0, unavailable: Vec::new() };
        for (key, record) in self.subjects.iter().filter(|(key, record)| is_counted(key, record)) {
            count.total += 1;
            if let Some(cause) = record.unavailability(key, view) {
                count.unavailable.push((key.clone(), cause));
            }
        }
        count
    }

    /// Records that a subject is to return to service. The permit ends once the subject is reported in service; a
    /// member leaves the quarantine at once. Returns whether the subject had a permit.
    pub fn request_return(&mut self, subject: &Subject) -> bool {
        let record = self.subjects.get_mut(&subject.key());
        let Some(permit) = record.and_then(|record| record.permit.as_mut()) else { return false };
        permit.returning = true;
        if matches!(subject, Subject::Member(_)) {
            self.quarantine_edition += 1;
        }
        true
    }

    /// Removes a subject and its permit on behalf of operators, regardless of its reports. Returns whether the subject
    /// was in the table.
    pub fn forget(&mut self, subject: &Subject) -> bool {
        let was_known = self.subjects.remove(&subject.key()).is_some();
        if was_known && matches!(subject, Subject::Member(_)) {
            self.quarantine_edition += 1;
        }
        was_known
    }

    /// The current quarantine: members with a permit whose return to service has not been requested.
    pub fn quarantine(&self) -> Quarantine {
        let is_quarantined = |record: &SubjectRecord| record.permit.as_ref().is_some_and(|p| !p.returning);
        let quarantined = self.subjects.iter().filter(|(_, record)| is_quarantined(record));
        let members = quarantined.filter_map(|(key, _)| member_id(key).map(str::to_string)).collect();
        Quarantine { edition: self.quarantine_edition, members }
    }

    /// The keys of all subjects that are unavailable or have a permit, with the cause.
    pub fn unavailable(&self, view: &LivenessView) -> Vec<(String, Availability)> {
        self.count_subjects(view, |_, _| true).unavailable
    }
}
