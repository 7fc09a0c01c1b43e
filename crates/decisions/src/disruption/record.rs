//! What the table keeps of one subject: its permit, and what proxies report of it. Pure; times are microseconds of log
//! time.

use super::liveness::LivenessView;
use super::{Availability, HealthObservation, proxy_name};
use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Permission for a subject to be unavailable.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Permit {
    /// Number of the permit; no number is used twice.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Who requested it.
    #[prost(string, tag = "2")]
    pub requested_by: String,
    /// Why it was requested.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// It was granted without regard to the limits.
    #[prost(bool, tag = "4")]
    pub forced: bool,
    /// When it was granted.
    #[prost(uint64, tag = "5")]
    pub granted_at: u64,
    /// The subject has been unavailable since.
    #[prost(bool, tag = "6")]
    pub was_out: bool,
    /// The subject is to return: the permit ends once it is seen in service.
    #[prost(bool, tag = "7")]
    pub returning: bool,
    /// Members only: edition of the quarantine that contains the member.
    #[prost(uint64, tag = "8")]
    pub quarantine_edition: u64,
    /// Members only: incarnations of proxies that may still send requests to the member.
    #[prost(uint64, repeated, tag = "9")]
    pub unconfirmed: Vec<u64>,
}

/// Why no permit is granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitDenied {
    /// No proxy has reported this subject.
    UnknownSubject,
    /// Somebody else has a permit for it.
    HeldByOther {
        /// Who requested that permit.
        by: String,
    },
    /// The member is its group's primary, which must hand over first.
    IsPrimary,
    /// The primary of the group is not known, so it may be this member.
    PrimaryUnknown,
    /// As many are unavailable as the limits allow, or as few are in service.
    LimitReached {
        /// What the limit counts, in the operators' words.
        limit: &'static str,
        /// The keys of those that are unavailable, with the cause.
        unavailable: Vec<(String, Availability)>,
    },
}

/// What is known of one subject.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SubjectRecord {
    /// Proxies only: the zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Members only: the group.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// Proxies only: number of the [`Availability`] that the proxy reports of itself.
    #[prost(enumeration = "Availability", tag = "3")]
    pub own_availability: i32,
    /// Incarnations of proxies that take the member for its group's primary. While they disagree, each member that is
    /// named by any counts as the primary.
    #[prost(uint64, repeated, tag = "4")]
    pub primary_reporters: Vec<u64>,
    /// Numbers of the [`Availability`] that proxies report of the member, by their incarnation. Proxies that find it in
    /// service are left out.
    #[prost(btree_map = "uint64, enumeration(Availability)", tag = "5")]
    pub reports: BTreeMap<u64, i32>,
    /// Permission to be unavailable.
    #[prost(message, optional, tag = "6")]
    pub permit: Option<Permit>,
    /// When it was last reported.
    #[prost(uint64, tag = "7")]
    pub last_reported_at: u64,
}

impl SubjectRecord {
    /// Records what the proxy `incarnation` observes of this member.
    pub(super) fn record_observation(&mut self, incarnation: u64, observed: &HealthObservation, now: u64) {
        self.group = observed.group;
        self.last_reported_at = now;
        self.primary_reporters.retain(|reporter| *reporter != incarnation);
        if observed.is_primary {
            self.primary_reporters.push(incarnation);
        }
        match Availability::try_from(observed.availability) {
            // A number of a newer version is taken for a member in service.
            Ok(Availability::InService) | Err(_) => self.reports.remove(&incarnation),
            Ok(_) => self.reports.insert(incarnation, observed.availability),
        };
    }

    /// The proxy `incarnation` applies the quarantine of that edition, so it sends nothing more to this member.
    pub(super) fn confirm(&mut self, incarnation: u64, quarantine_edition: u64) {
        let Some(permit) = &mut self.permit else { return };
        if quarantine_edition >= permit.quarantine_edition {
            permit.unconfirmed.retain(|waiting| *waiting != incarnation);
        }
    }

    /// Forgets the reports of incarnations without a session, and waits for their confirmation no longer.
    pub(super) fn drop_departed(&mut self, incarnations: &[u64], view: &LivenessView) {
        self.reports.retain(|reporter, _| incarnations.contains(reporter));
        self.primary_reporters.retain(|reporter| incarnations.contains(reporter));
        let Some(permit) = &mut self.permit else { return };
        if view.has_outlived_grants_of(permit.granted_at) {
            // Every grant since then carries the quarantine, and is not used before the quarantine is applied.
            permit.unconfirmed.clear();
        }
        permit.unconfirmed.retain(|waiting| incarnations.contains(waiting));
    }

    /// Whether most live proxies report that the member no longer exists, and it has no permit.
    pub(super) fn is_removed(&self, view: &LivenessView) -> bool {
        let removed = Availability::Removed as i32;
        let reporters = self.reports.values().filter(|reported| **reported == removed).count();
        self.permit.is_none() && view.is_majority(reporters)
    }

    /// Ends the permit once the subject is back: a proxy's when it is in service after it was unavailable, a member's only
    /// when it is in service after its return was requested.
    pub(super) fn end_permit_if_back(&mut self, availability: Availability, is_member: bool) {
        let Some(permit) = &mut self.permit else { return };
        if availability != Availability::InService {
            permit.was_out = true;
            return;
        }
        if permit.returning || (permit.was_out && !is_member) {
            self.permit = None;
        }
    }

    /// The availability of the subject stored under `key`. A permit that is not used yet does not change it.
    pub(super) fn availability(&self, key: &str, view: &LivenessView) -> Availability {
        if let Some(name) = proxy_name(key) {
            return self.proxy_availability(name, view);
        }
        let reported = || self.reports.values().filter_map(|number| Availability::try_from(*number).ok());
        if let Some(fact) = reported().find(|availability| availability.is_fact()) {
            return fact;
        }
        let reporters = reported().count();
        if reporters > 0 && view.is_half(reporters) {
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

    /// Why the subject counts as unavailable: its availability, or its permit although it is still in service. `None`
    /// if it does not count.
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
