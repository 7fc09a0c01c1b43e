//! The table of what is unavailable, the same at every keeper, and changed only by entries of the agreed log. Time and
//! liveness come from the [`crate::membership::Membership`]. It must stay deterministic: no clock, no random numbers, no
//! order but that of keys.

pub use super::liveness::LivenessView;
pub use super::record::{Permit, PermitDenied, SubjectRecord};

use super::{
    Availability, DisruptionPolicy, HealthReport, MAX_SUBJECTS, MAX_TEXT_BYTES, Quarantine, Subject,
    member_id, proxy_name,
};
use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Longest name and reason that a permit keeps, in characters. A character takes up to four bytes.
const MAX_TEXT_CHARS: usize = MAX_TEXT_BYTES / 4;

/// The subjects that are known, and the permits.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct DisruptionTable {
    /// The limits that operators set. Without them nothing is limited, and no member is quarantined.
    #[prost(message, optional, tag = "1")]
    pub policy: Option<DisruptionPolicy>,
    /// Subjects by key, see [`Subject::key`].
    #[prost(btree_map = "string, message", tag = "2")]
    pub subjects: BTreeMap<String, SubjectRecord>,
    /// Number of permits ever granted.
    #[prost(uint64, tag = "3")]
    pub permits_granted: u64,
    /// Edition of the quarantine.
    #[prost(uint64, tag = "4")]
    pub quarantine_edition: u64,
}

/// How many subjects a set has, and which of them count as unavailable.
struct Census {
    total: u64,
    unavailable: Vec<(String, Availability)>,
}

impl Census {
    /// Checks that one more, the subject of `key`, may be unavailable: at most `most` of the set, with at least `least`
    /// left in service.
    fn check(self, key: &str, what: &'static str, most: u64, least: u64) -> Result<(), PermitDenied> {
        // A subject that is unavailable already takes nothing more away.
        let others = self.unavailable.iter().filter(|(other, _)| other != key).count() as u64;
        let left = self.total.saturating_sub(others + 1);
        if others < most && left >= least {
            return Ok(());
        }
        Err(PermitDenied::LimitReached { limit: what, unavailable: self.unavailable })
    }
}

impl DisruptionTable {
    /// Replaces the limits. Permits that were granted stay.
    pub fn set_policy(&mut self, policy: Option<DisruptionPolicy>) {
        self.policy = policy;
    }

    /// Records the report of a proxy that holds a session.
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
            // The last proxies still report a removed member after it was forgotten.
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

    /// The record of a key, which is added if there is room.
    fn record_mut(&mut self, key: String) -> Option<&mut SubjectRecord> {
        let is_full = self.subjects.len() >= MAX_SUBJECTS;
        if key.len() > MAX_TEXT_BYTES || (is_full && !self.subjects.contains_key(&key)) {
            return None;
        }
        Some(self.subjects.entry(key).or_default())
    }

    /// Applies the passage of log time: permits of subjects that are back end, and incarnations without a session
    /// neither report nor confirm anything any more.
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
            record.end_permit_if_back(availability, is_member);
            true
        });
    }

    /// Requests a permit for a subject to be unavailable. A repeated request of the same `requested_by` returns the same
    /// permit. With `force` the limits do not apply, and a permit that somebody else holds is returned.
    ///
    /// # Errors
    ///
    /// [`PermitDenied`] says why there is none. Nothing has changed then.
    pub fn request_permit(
        &mut self, view: &LivenessView, subject: &Subject, requested_by: &str, reason: &str, force: bool,
    ) -> Result<Permit, PermitDenied> {
        let key = subject.key();
        let record = self.subjects.get(&key).ok_or(PermitDenied::UnknownSubject)?;
        if let Some(held) = &record.permit {
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

    /// A permit with the next number, for a proxy.
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
        let fleet = self.census(view, |other, _| proxy_name(other).is_some());
        let most = policy.fleet.max_out_of(fleet.total);
        fleet.check(key, "proxies out of the fleet", most, policy.min_in_service)?;
        let zone = self.census(view, |other, r| proxy_name(other).is_some() && r.zone == record.zone);
        let most = policy.zone.max_out_of(zone.total);
        zone.check(key, "proxies out of the zone", most, 0)
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
        let group = self.census(view, is_in_group);
        let most = policy.group.max_out_of(group.total);
        group.check(key, "members out of the group", most, policy.group_min_in_service)
    }

    /// Counts the subjects for which `is_counted` holds.
    fn census(&self, view: &LivenessView, is_counted: impl Fn(&str, &SubjectRecord) -> bool) -> Census {
        let mut census = Census { total: 0, unavailable: Vec::new() };
        for (key, record) in self.subjects.iter().filter(|(key, record)| is_counted(key, record)) {
            census.total += 1;
            if let Some(cause) = record.unavailability(key, view) {
                census.unavailable.push((key.clone(), cause));
            }
        }
        census
    }

    /// Requests the return of a subject: its permit ends once it is seen in service, and proxies may send requests to a
    /// member at once. Returns whether it had a permit.
    pub fn request_return(&mut self, subject: &Subject) -> bool {
        let record = self.subjects.get_mut(&subject.key());
        let Some(permit) = record.and_then(|record| record.permit.as_mut()) else { return false };
        permit.returning = true;
        if matches!(subject, Subject::Member(_)) {
            self.quarantine_edition += 1;
        }
        true
    }

    /// Removes a subject and its permit, whatever was reported of it. For operators. Returns whether it was known.
    pub fn forget(&mut self, subject: &Subject) -> bool {
        let was_known = self.subjects.remove(&subject.key()).is_some();
        if was_known && matches!(subject, Subject::Member(_)) {
            self.quarantine_edition += 1;
        }
        was_known
    }

    /// The members to which nothing new may be sent.
    pub fn quarantine(&self) -> Quarantine {
        let is_out = |record: &SubjectRecord| record.permit.as_ref().is_some_and(|p| !p.returning);
        let out = self.subjects.iter().filter(|(_, record)| is_out(record));
        let members = out.filter_map(|(key, _)| member_id(key).map(str::to_string)).collect();
        Quarantine { edition: self.quarantine_edition, members }
    }

    /// The keys of all subjects that are unavailable or have a permit, with the cause.
    pub fn unavailable(&self, view: &LivenessView) -> Vec<(String, Availability)> {
        self.census(view, |_, _| true).unavailable
    }
}
