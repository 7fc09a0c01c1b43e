//! The table of what is out, the same at every keeper, changed only by entries of the agreed log. Time and who is heard of
//! come from the [`Membership`]. Pure: no clock, no chance, no order but the keys'.

use super::{
    Availability, DisruptionPolicy, HealthReport, MAX_SUBJECTS, MAX_TEXT_BYTES, Quarantine, Subject,
};
use crate::fault_injection::{Fault, is_injected};
use crate::membership::{LeaseTerms, Membership};
use std::collections::BTreeMap;

/// Leave to be out.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Permit {
    /// Its number; none is given twice.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Who asked for it.
    #[prost(string, tag = "2")]
    pub requested_by: String,
    /// What for.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// It was given against the limits.
    #[prost(bool, tag = "4")]
    pub forced: bool,
    /// When, in log time.
    #[prost(uint64, tag = "5")]
    pub granted_at: u64,
    /// The thing was seen out since.
    #[prost(bool, tag = "6")]
    pub was_out: bool,
    /// It is to come back: the permit ends once it is seen in service.
    #[prost(bool, tag = "7")]
    pub returning: bool,
    /// A member's: the edition of the fence that holds it.
    #[prost(uint64, tag = "8")]
    pub quarantine_edition: u64,
    /// Incarnations of proxies that may still send to the member.
    #[prost(uint64, repeated, tag = "9")]
    pub unconfirmed: Vec<u64>,
}

/// What is known of a thing.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct SubjectRecord {
    /// A proxy's zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// A member's group.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// A proxy's own word on itself: [`Availability`].
    #[prost(enumeration = "Availability", tag = "3")]
    pub own_availability: i32,
    /// Who takes a member for its group's primary, by incarnation. While they differ, each of them counts as one.
    #[prost(uint64, repeated, tag = "4")]
    pub primary_reporters: Vec<u64>,
    /// Who says that a member is out, by incarnation, and why.
    #[prost(btree_map = "uint64, enumeration(Availability)", tag = "5")]
    pub reported_availability: BTreeMap<u64, i32>,
    /// Leave to be out.
    #[prost(message, optional, tag = "6")]
    pub permit: Option<Permit>,
    /// When it was last spoken of, in log time.
    #[prost(uint64, tag = "7")]
    pub last_reported_at: u64,
}

/// Why no permit is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitDenied {
    /// Nobody has spoken of this thing.
    UnknownSubject,
    /// Somebody else has leave for it already.
    HeldByOther {
        /// Who.
        by: String,
    },
    /// It is a group's primary: it hands over first.
    IsPrimary,
    /// Nobody knows the group's primary, so it may be this one.
    PrimaryUnknown,
    /// As many are out as may be, or as few in service.
    LimitReached {
        /// Which limit.
        what: &'static str,
        /// Who is out, with the cause.
        out: Vec<(String, Availability)>,
    },
}

/// The table.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct DisruptionTable {
    /// What operators allow; without it nothing is bounded here, and nothing is fenced.
    #[prost(message, optional, tag = "1")]
    pub policy: Option<DisruptionPolicy>,
    /// Things by key.
    #[prost(btree_map = "string, message", tag = "2")]
    pub subjects: BTreeMap<String, SubjectRecord>,
    /// Permits that were ever given.
    #[prost(uint64, tag = "3")]
    pub permits_granted: u64,
    /// The edition of the fence.
    #[prost(uint64, tag = "4")]
    pub quarantine_edition: u64,
}

/// Who is heard of: what an entry sees of the membership.
pub struct LivenessView<'a> {
    membership: &'a Membership,
    lease: u64,
    /// For so long a proxy serves under what it was last granted, in log time.
    membership_span: u64,
    /// Proxies that are.
    alive: usize,
}

impl<'a> LivenessView<'a> {
    /// Whoever spoke within a lease is heard of.
    pub fn new(membership: &'a Membership, terms: &LeaseTerms) -> LivenessView<'a> {
        let (lease, membership_span) =
            (terms.with_drift_margin(terms.lease_us), terms.with_drift_margin(terms.membership_us));
        let alive = membership.sessions.keys().filter(|name| membership.is_live_within(name, lease)).count();
        LivenessView { membership, lease, membership_span, alive }
    }
}

/// How one proxy or member counts among others.
struct Counted {
    all: u64,
    out: Vec<(String, Availability)>,
}

impl DisruptionTable {
    /// Operators allow this from now on. What is out stays out.
    pub fn set_policy(&mut self, limits: Option<DisruptionPolicy>) {
        self.policy = limits;
    }

    /// A proxy that holds a seat speaks of itself and of members.
    pub fn record_report(
        &mut self, seen: &LivenessView, name: &str, incarnation: u64, zone: &str, report: &HealthReport,
    ) {
        if self.policy.is_none() {
            return;
        }
        let now = seen.membership.now;
        if let Some(own) = self.entry(Subject::Proxy(name.to_string()).key()) {
            (own.zone, own.own_availability, own.last_reported_at) =
                (zone.to_string(), report.own_availability, now);
        }
        let most = MAX_SUBJECTS;
        for (member, sight) in report.observations.iter().take(most) {
            let key = Subject::Member(member.clone()).key();
            // Of what is forgotten already, the last ones still tell that it is gone.
            if sight.availability == Availability::Removed as i32 && !self.subjects.contains_key(&key) {
                continue;
            }
            let Some(known) = self.entry(key) else { continue };
            (known.group, known.last_reported_at) = (sight.group, now);
            known.primary_reporters.retain(|other| *other != incarnation);
            if sight.is_primary {
                known.primary_reporters.push(incarnation);
            }
            match Availability::try_from(sight.availability) {
                Ok(Availability::InService) | Err(_) => _ = known.reported_availability.remove(&incarnation),
                Ok(_) => _ = known.reported_availability.insert(incarnation, sight.availability),
            }
        }
        for known in self.subjects.values_mut() {
            let Some(permit) = &mut known.permit else { continue };
            if report.quarantine_edition >= permit.quarantine_edition {
                permit.unconfirmed.retain(|other| *other != incarnation);
            }
        }
    }

    fn entry(&mut self, key: String) -> Option<&mut SubjectRecord> {
        if key.len() > MAX_TEXT_BYTES
            || !self.subjects.contains_key(&key) && self.subjects.len() >= MAX_SUBJECTS
        {
            return None;
        }
        Some(self.subjects.entry(key).or_default())
    }

    /// Time went on: permits of what is back end, and whoever holds no seat any more says and confirms nothing.
    pub fn expire(&mut self, seen: &LivenessView) {
        if self.policy.is_none() {
            return;
        }
        let seats: Vec<u64> = seen.membership.sessions.values().map(|s| s.incarnation).collect();
        let keys: Vec<String> = self.subjects.keys().cloned().collect();
        for key in keys {
            if let Some(known) = self.subjects.get_mut(&key) {
                known.reported_availability.retain(|incarnation, _| seats.contains(incarnation));
                known.primary_reporters.retain(|incarnation| seats.contains(incarnation));
                if let Some(permit) = &mut known.permit {
                    // Every grant since then tells of the fence, and is not gone by before the fence is carried out.
                    let over = seen.membership.now >= permit.granted_at.saturating_add(seen.membership_span);
                    permit.unconfirmed.retain(|incarnation| !over && seats.contains(incarnation));
                }
            }
            let cause = self.availability(&key, seen);
            let gone = |k: &SubjectRecord| {
                k.reported_availability.values().filter(|c| **c == Availability::Removed as i32).count()
            };
            let member = key.starts_with("member/");
            if member
                && self.subjects.get(&key).is_some_and(|k| k.permit.is_none() && 2 * gone(k) > seen.alive)
            {
                self.subjects.remove(&key);
                continue;
            }
            let Some(known) = self.subjects.get_mut(&key) else { continue };
            let Some(permit) = &mut known.permit else { continue };
            permit.was_out |= cause != Availability::InService;
            if cause == Availability::InService && (permit.returning || permit.was_out && !member) {
                known.permit = None;
            }
        }
    }

    /// Why a thing is out, if it is; a permit that was not used yet is no cause.
    pub fn availability(&self, key: &str, seen: &LivenessView) -> Availability {
        let Some(known) = self.subjects.get(key) else { return Availability::InService };
        if let Some(name) = key.strip_prefix("proxy/") {
            if !seen.membership.is_live_within(name, seen.lease) {
                return if is_injected(Fault::DeadUncounted) {
                    Availability::InService
                } else {
                    Availability::NoHeartbeat
                };
            }
            return Availability::try_from(known.own_availability).unwrap_or(Availability::InService);
        }
        let said = || known.reported_availability.values().filter_map(|c| Availability::try_from(*c).ok());
        if let Some(fact) = said().find(|c| c.is_fact()) {
            return fact;
        }
        let ill = said().count();
        if ill > 0 && 2 * ill >= seen.alive { Availability::Unresponsive } else { Availability::InService }
    }

    /// Those of one kind, and who of them is out or has leave to be.
    fn count(&self, seen: &LivenessView, among: impl Fn(&str, &SubjectRecord) -> bool) -> Counted {
        let mut counted = Counted { all: 0, out: Vec::new() };
        for (key, known) in self.subjects.iter().filter(|(key, known)| among(key, known)) {
            counted.all += 1;
            let cause = self.availability(key, seen);
            let forced = known.permit.as_ref().is_some_and(|p| p.forced);
            if forced && is_injected(Fault::ForceUncounted) {
                continue;
            }
            let leave = known.permit.is_some();
            if cause != Availability::InService || leave {
                let left =
                    if key.starts_with("proxy/") { Availability::Standby } else { Availability::OperatorBan };
                counted.out.push((key.clone(), if cause == Availability::InService { left } else { cause }));
            }
        }
        counted
    }

    /// Somebody asks for leave for a thing to be out. Asked again by the same, it is the same permit.
    pub fn request_permit(
        &mut self, seen: &LivenessView, thing: &Subject, by: &str, reason: &str, force: bool,
    ) -> Result<Permit, PermitDenied> {
        let key = thing.key();
        let known = self.subjects.get(&key).ok_or(PermitDenied::UnknownSubject)?;
        if let Some(held) = &known.permit {
            let same = held.requested_by == by || force;
            return if same {
                Ok(held.clone())
            } else {
                Err(PermitDenied::HeldByOther { by: held.requested_by.clone() })
            };
        }
        let limits = self.policy.unwrap_or_default();
        if !force {
            self.allowed(seen, &key, known, &limits)?;
        }
        self.permits_granted += 1;
        let member = matches!(thing, Subject::Member(_));
        if member {
            self.quarantine_edition += 1;
        }
        let seats = || seen.membership.sessions.values().map(|s| s.incarnation).collect();
        let acknowledged_early = is_injected(Fault::FenceUnconfirmed);
        let permit = Permit {
            number: self.permits_granted,
            requested_by: by.chars().take(MAX_TEXT_BYTES / 4).collect(),
            reason: reason.chars().take(MAX_TEXT_BYTES / 4).collect(),
            forced: force,
            granted_at: seen.membership.now,
            was_out: false,
            returning: false,
            quarantine_edition: if member { self.quarantine_edition } else { 0 },
            unconfirmed: if member && !acknowledged_early { seats() } else { Vec::new() },
        };
        if let Some(known) = self.subjects.get_mut(&key) {
            known.permit = Some(permit.clone());
        }
        Ok(permit)
    }

    fn allowed(
        &self, seen: &LivenessView, key: &str, known: &SubjectRecord, limits: &DisruptionPolicy,
    ) -> Result<(), PermitDenied> {
        let within = |what, counted: Counted, most: u64, least: u64| {
            // What is out already takes nothing more away.
            let others = counted.out.iter().filter(|(other, _)| other != key).count() as u64;
            let left = counted.all.saturating_sub(others + 1);
            if others < most && left >= least {
                return Ok(());
            }
            Err(PermitDenied::LimitReached { what, out: counted.out })
        };
        if key.starts_with("proxy/") {
            let fleet = self.count(seen, |other, _| other.starts_with("proxy/"));
            let most = limits.fleet.max_out_of(fleet.all);
            within("proxies out of the fleet", fleet, most, limits.min_in_service)?;
            let zone = self.count(seen, |other, k| other.starts_with("proxy/") && k.zone == known.zone);
            let most = limits.zone.max_out_of(zone.all);
            return within("proxies out of the zone", zone, most, 0);
        }
        if !known.primary_reporters.is_empty() && self.availability(key, seen) == Availability::InService {
            return Err(PermitDenied::IsPrimary);
        }
        let same = |other: &str, k: &SubjectRecord| other.starts_with("member/") && k.group == known.group;
        if !self.subjects.iter().any(|(other, k)| same(other, k) && !k.primary_reporters.is_empty()) {
            return Err(PermitDenied::PrimaryUnknown);
        }
        let group = self.count(seen, same);
        let most = limits.group.max_out_of(group.all);
        within("members out of the group", group, most, limits.group_min_in_service)
    }

    /// A thing is to come back: its permit ends once it is seen in service; a member may be sent to at once.
    pub fn request_return(&mut self, thing: &Subject) -> bool {
        let member = matches!(thing, Subject::Member(_));
        let Some(permit) = self.subjects.get_mut(&thing.key()).and_then(|k| k.permit.as_mut()) else {
            return false;
        };
        permit.returning = true;
        if member {
            self.quarantine_edition += 1;
        }
        true
    }

    /// Operators say that a thing is no more, or that nothing is known of it: its permit ends, whatever was seen.
    pub fn forget(&mut self, thing: &Subject) -> bool {
        let fenced = matches!(thing, Subject::Member(_));
        let gone = self.subjects.remove(&thing.key()).is_some();
        self.quarantine_edition += u64::from(gone && fenced);
        gone
    }

    /// To whom nothing new may be sent.
    pub fn quarantine(&self) -> Quarantine {
        let fenced = |(key, known): (&String, &SubjectRecord)| {
            known.permit.as_ref().filter(|p| !p.returning)?;
            key.strip_prefix("member/").map(str::to_string)
        };
        Quarantine {
            edition: self.quarantine_edition,
            members: self.subjects.iter().filter_map(fenced).collect(),
        }
    }

    /// Everything that is out or has leave to be, with the cause.
    pub fn unavailable(&self, seen: &LivenessView) -> Vec<(String, Availability)> {
        self.count(seen, |_, _| true).out
    }
}
