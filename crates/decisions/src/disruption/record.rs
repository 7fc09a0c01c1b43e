//! The table's record of one subject: its permit and the reports of proxies. No I/O; times are microseconds of log
//! time.

use super::liveness::LivenessView;
use super::{Availability, HealthObservation, proxy_name};
use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Permission for a subject to be unavailable.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Permit {
    /// Unique number of the permit.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Name of the requester.
    #[prost(string, tag = "2")]
    pub requested_by: String,
    /// Reason given by the requester.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// The permit was granted without a check of the limits.
    #[prost(bool, tag = "4")]
    pub forced: bool,
    /// When the permit was granted, in log time.
    #[prost(uint64, tag = "5")]
    pub granted_at: u64,
    /// The subject has been unavailable at some time since the grant.
    #[prost(bool, tag = "6")]
    pub was_unavailable: bool,
    /// The return to service was requested: the permit ends once the subject is reported in service.
    #[prost(bool, tag = "7")]
    pub returning: bool,
    /// Members only: first edition of the quarantine that contains the member.
    #[prost(uint64, tag = "8")]
    pub quarantine_edition: u64,
    /// Members only: incarnations of proxies that may still send new requests to the member.
    #[prost(uint64, repeated, tag = "9")]
    pub unconfirmed: Vec<u64>,
}

/// Why a permit was denied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitDenied {
    /// The table contains no such subject: no proxy has reported it, or it was removed.
    UnknownSubject,
    /// Another requester holds a permit for the subject.
    HeldByOther {
        /// Name of the requester that holds the permit.
        by: String,
    },
    /// The member is in service as the primary of its group; another member must become the primary first.
    IsPrimary,
    /// No member of the group is reported as the primary, so this member may be the primary.
    PrimaryUnknown,
    /// One more unavailable subject would violate a limit.
    LimitReached {
        /// What the limit counts, such as `proxies out of the zone`. Shown to operators.
        limit: &'static str,
        /// Keys of the unavailable subjects, with the cause.
        unavailable: Vec<(String, Availability)>,
    },
}

/// The state of one subject.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SubjectRecord {
    /// Proxies only: the zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Members only: the group.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// Proxies only: the proxy's own [`Availability`] according to its last report, as the number of the variant.
    #[prost(enumeration = "Availability", tag = "3")]
    pub own_availability: i32,
    /// Members only: incarnations of proxies that report the member as its group's primary. If proxies disagree, every
    /// member reported as primary by any of them counts as one.
    #[prost(uint64, repeated, tag = "4")]
    pub primary_reporters: Vec<u64>,
    /// Members only: the reported [`Availability`], as the number of the variant, by the incarnation of the proxy.
    /// Reports of a member in service are not stored.
    #[prost(btree_map = "uint64, enumeration(Availability)", tag = "5")]
    pub reports: BTreeMap<u64, i32>,
    /// The permit of the subject, if it has one.
    #[prost(message, optional, tag = "6")]
    pub permit: Option<Permit>,
    /// When the subject was last reported, in log time.
    #[prost(uint64, tag = "7")]
    pub last_reported_at: u64,
}

impl SubjectRecord {
    /// Records an observation of this member by the proxy `incarnation`.
    pub(super) fn record_observation(&mut self, incarnation: u64, observed: &HealthObservation, now: u64) {
        self.group = observed.group;
        self.last_reported_at = now;
        self.primary_reporters.retain(|reporter| *reporter != incarnation);
        if observed.is_primary {
            self.primary_reporters.push(incarnation);
        }
        match Availability::try_from(observed.availability) {
            // A number that only newer versions define counts as in service.
            Ok(Availability::InService) | Err(_) => self.reports.remove(&incarnation),
            Ok(_) => self.reports.insert(incarnation, observed.availability),
        };
    }

    /// Records that the proxy `incarnation` has applied this edition of the quarantine. If the edition contains this
    /// member, the proxy sends no new requests to it.
    pub(super) fn confirm(&mut self, incarnation: u64, quarantine_edition: u64) {
        let Some(permit) = &mut self.permit else { return };
        if quarantine_edition >= permit.quarantine_edition {
            permit.unconfirmed.retain(|waiting| *waiting != incarnation);
        }
    }

    /// Drops the reports of incarnations without a session; their confirmation is no longer required. No confirmation
    /// is required once all grants from before the permit have expired.
    pub(super) fn drop_departed(&mut self, incarnations: &[u64], view: &LivenessView) {
        self.reports.retain(|reporter, _| incarnations.contains(reporter));
        self.primary_reporters.retain(|reporter| incarnations.contains(reporter));
        let Some(permit) = &mut self.permit else { return };
        if view.have_grants_before_expired(permit.granted_at) {
            // Proxies can use only grants made since the permit was granted. These contain the quarantine, and a proxy
            // applies it before it uses them.
            permit.unconfirmed.clear();
        }
        permit.unconfirmed.retain(|waiting| incarnations.contains(waiting));
    }

    /// Whether more than half of the live proxies report the member as removed, and it has no permit.
    pub(super) fn is_removed(&self, view: &LivenessView) -> bool {
        let removed = Availability::Removed as i32;
        let reporters = self.reports.values().filter(|reported| **reported == removed).count();
        self.permit.is_none() && view.is_majority(reporters)
    }

    /// Ends the permit if the subject has returned to service: for a proxy after it was unavailable or its return was
    /// requested, for a member only after its return was requested. Records if the subject is unavailable.
    pub(super) fn end_permit_if_returned(&mut self, availability: Availability, is_member: bool) {
        let Some(permit) = &mut self.permit else { return };
        if availability != Availability::InService {
            permit.was_unavailable = true;
            return;
        }
        if permit.returning || (permit.was_unavailable && !is_member) {
            self.permit = None;
        }
    }

    /// The availability of the subject stored under `key`, regardless of its permit.
    pub(super) fn availability(&self, key: &str, view: &LivenessView) -> Availability {
        if let Some(name) = proxy_name(key) {
            return self.proxy_availability(name, view);
        }
        let reported = || self.reports.values().filter_map(|number| Availability::try_from(*number).ok());
        if let Some(conclusive) = reported().find(|availability| availability.one_report_suffices()) {
            return conclusive;
        }
        let reporters = reported().count();
        if reporters > 0 && view.is_at_least_half(reporters) {
            return Availability::Unresponsive;
        }
        Availability::InService
    }

    fn proxy_availability(&self, name: &str, view: &LivenessView) -> Availability {
        if view.is_live(name) {
            return Availability::try_from(self.own_availability).unwrap_or(Availability::InService);
        }
        if is_injected(Fault::UnresponsiveProxyUncounted) {
            Availability::InService
        } else {
            Availability::NoHeartbeat
        }
    }

    /// The cause for which the subject counts as unavailable. A subject in service counts if it has a permit. `None` if
    /// it does not count.
    pub(super) fn unavailability(&self, key: &str, view: &LivenessView) -> Option<Availability> {
        if is_injected(Fault::ForcedPermitUncounted)
            && self.permit.as_ref().is_some_and(|permit| permit.forced)
        {
            return None;
        }
        let availability = self.availability(key, view);
        if availability != Availability::InService {
            return Some(availability);
        }
        self.permit.as_ref()?;
        let planned =
            if proxy_name(key).is_some() { Availability::Standby } else { Availability::OperatorBan };
        Some(planned)
    }
}
