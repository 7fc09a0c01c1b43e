//! The table of what is out, the same at every keeper, changed only by entries of the agreed log. Time and who is heard of
//! come from the [`Membership`]. Pure: no clock, no chance, no order but the keys'.

use super::{Cause, Fence, Limits, Report, THINGS_MOST, Thing, WORDS_MOST};
use crate::membership::{LeaseTerms, Membership};
use crate::planted::{Fault, planted};
use std::collections::BTreeMap;

/// Leave to be out.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Permit {
    /// Its number; none is given twice.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Who asked for it.
    #[prost(string, tag = "2")]
    pub by: String,
    /// What for.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// It was given against the limits.
    #[prost(bool, tag = "4")]
    pub forced: bool,
    /// When, in log time.
    #[prost(uint64, tag = "5")]
    pub given: u64,
    /// The thing was seen out since.
    #[prost(bool, tag = "6")]
    pub left: bool,
    /// It is to come back: the permit ends once it is seen in service.
    #[prost(bool, tag = "7")]
    pub returns: bool,
    /// A member's: the edition of the fence that holds it.
    #[prost(uint64, tag = "8")]
    pub edition: u64,
    /// Incarnations of proxies that may still send to the member.
    #[prost(uint64, repeated, tag = "9")]
    pub unconfirmed: Vec<u64>,
}

/// What is known of a thing.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Known {
    /// A proxy's zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// A member's group.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// A proxy's own word on itself: [`Cause`].
    #[prost(enumeration = "Cause", tag = "3")]
    pub own: i32,
    /// Who takes a member for its group's primary, by incarnation. While they differ, each of them counts as one.
    #[prost(uint64, repeated, tag = "4")]
    pub primary_by: Vec<u64>,
    /// Who says that a member is out, by incarnation, and why.
    #[prost(btree_map = "uint64, enumeration(Cause)", tag = "5")]
    pub said: BTreeMap<u64, i32>,
    /// Leave to be out.
    #[prost(message, optional, tag = "6")]
    pub permit: Option<Permit>,
    /// When it was last spoken of, in log time.
    #[prost(uint64, tag = "7")]
    pub seen: u64,
}

/// Why no permit is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Nobody has spoken of this thing.
    Unknown,
    /// Somebody else has leave for it already.
    Held {
        /// Who.
        by: String,
    },
    /// It is a group's primary: it hands over first.
    Primary,
    /// Nobody knows the group's primary, so it may be this one.
    PrimaryUnknown,
    /// As many are out as may be, or as few in service.
    Limit {
        /// Which limit.
        what: &'static str,
        /// Who is out, with the cause.
        out: Vec<(String, Cause)>,
    },
}

/// The table.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Outages {
    /// What operators allow; without it nothing is bounded here, and nothing is fenced.
    #[prost(message, optional, tag = "1")]
    pub limits: Option<Limits>,
    /// Things by key.
    #[prost(btree_map = "string, message", tag = "2")]
    pub things: BTreeMap<String, Known>,
    /// Permits that were ever given.
    #[prost(uint64, tag = "3")]
    pub permits: u64,
    /// The edition of the fence.
    #[prost(uint64, tag = "4")]
    pub edition: u64,
}

/// Who is heard of: what an entry sees of the membership.
pub struct Seen<'a> {
    membership: &'a Membership,
    lease: u64,
    /// For so long a proxy serves under what it was last granted, in log time.
    membership_span: u64,
    /// Proxies that are.
    alive: usize,
}

impl<'a> Seen<'a> {
    /// Whoever spoke within a lease is heard of.
    pub fn new(membership: &'a Membership, terms: &LeaseTerms) -> Seen<'a> {
        let (lease, membership_span) =
            (terms.with_drift_margin(terms.lease_us), terms.with_drift_margin(terms.membership_us));
        let alive = membership.sessions.keys().filter(|name| membership.is_live_within(name, lease)).count();
        Seen { membership, lease, membership_span, alive }
    }
}

/// How one proxy or member counts among others.
struct Counted {
    all: u64,
    out: Vec<(String, Cause)>,
}

impl Outages {
    /// Operators allow this from now on. What is out stays out.
    pub fn limit(&mut self, limits: Option<Limits>) {
        self.limits = limits;
    }

    /// A proxy that holds a seat speaks of itself and of members.
    pub fn heard(&mut self, seen: &Seen, name: &str, incarnation: u64, zone: &str, report: &Report) {
        if self.limits.is_none() {
            return;
        }
        let now = seen.membership.now;
        if let Some(own) = self.entry(Thing::Proxy(name.to_string()).key()) {
            (own.zone, own.own, own.seen) = (zone.to_string(), report.own, now);
        }
        let most = THINGS_MOST;
        for (member, sight) in report.sights.iter().take(most) {
            let key = Thing::Member(member.clone()).key();
            // Of what is forgotten already, the last ones still tell that it is gone.
            if sight.cause == Cause::Gone as i32 && !self.things.contains_key(&key) {
                continue;
            }
            let Some(known) = self.entry(key) else { continue };
            (known.group, known.seen) = (sight.group, now);
            known.primary_by.retain(|other| *other != incarnation);
            if sight.primary {
                known.primary_by.push(incarnation);
            }
            match Cause::try_from(sight.cause) {
                Ok(Cause::InService) | Err(_) => _ = known.said.remove(&incarnation),
                Ok(_) => _ = known.said.insert(incarnation, sight.cause),
            }
        }
        for known in self.things.values_mut() {
            let Some(permit) = &mut known.permit else { continue };
            if report.fenced >= permit.edition {
                permit.unconfirmed.retain(|other| *other != incarnation);
            }
        }
    }

    fn entry(&mut self, key: String) -> Option<&mut Known> {
        if key.len() > WORDS_MOST || !self.things.contains_key(&key) && self.things.len() >= THINGS_MOST {
            return None;
        }
        Some(self.things.entry(key).or_default())
    }

    /// Time went on: permits of what is back end, and whoever holds no seat any more says and confirms nothing.
    pub fn tidy(&mut self, seen: &Seen) {
        if self.limits.is_none() {
            return;
        }
        let seats: Vec<u64> = seen.membership.sessions.values().map(|s| s.incarnation).collect();
        let keys: Vec<String> = self.things.keys().cloned().collect();
        for key in keys {
            if let Some(known) = self.things.get_mut(&key) {
                known.said.retain(|incarnation, _| seats.contains(incarnation));
                known.primary_by.retain(|incarnation| seats.contains(incarnation));
                if let Some(permit) = &mut known.permit {
                    // Every grant since then tells of the fence, and is not gone by before the fence is carried out.
                    let over = seen.membership.now >= permit.given.saturating_add(seen.membership_span);
                    permit.unconfirmed.retain(|incarnation| !over && seats.contains(incarnation));
                }
            }
            let cause = self.cause(&key, seen);
            let gone = |k: &Known| k.said.values().filter(|c| **c == Cause::Gone as i32).count();
            let member = key.starts_with("member/");
            if member && self.things.get(&key).is_some_and(|k| k.permit.is_none() && 2 * gone(k) > seen.alive)
            {
                self.things.remove(&key);
                continue;
            }
            let Some(known) = self.things.get_mut(&key) else { continue };
            let Some(permit) = &mut known.permit else { continue };
            permit.left |= cause != Cause::InService;
            if cause == Cause::InService && (permit.returns || permit.left && !member) {
                known.permit = None;
            }
        }
    }

    /// Why a thing is out, if it is; a permit that was not used yet is no cause.
    pub fn cause(&self, key: &str, seen: &Seen) -> Cause {
        let Some(known) = self.things.get(key) else { return Cause::InService };
        if let Some(name) = key.strip_prefix("proxy/") {
            if !seen.membership.is_live_within(name, seen.lease) {
                return if planted(Fault::DeadUncounted) { Cause::InService } else { Cause::Silent };
            }
            return Cause::try_from(known.own).unwrap_or(Cause::InService);
        }
        let said = || known.said.values().filter_map(|c| Cause::try_from(*c).ok());
        if let Some(fact) = said().find(|c| c.is_fact()) {
            return fact;
        }
        let ill = said().count();
        if ill > 0 && 2 * ill >= seen.alive { Cause::Ill } else { Cause::InService }
    }

    /// Those of one kind, and who of them is out or has leave to be.
    fn count(&self, seen: &Seen, among: impl Fn(&str, &Known) -> bool) -> Counted {
        let mut counted = Counted { all: 0, out: Vec::new() };
        for (key, known) in self.things.iter().filter(|(key, known)| among(key, known)) {
            counted.all += 1;
            let cause = self.cause(key, seen);
            let forced = known.permit.as_ref().is_some_and(|p| p.forced);
            if forced && planted(Fault::ForceUncounted) {
                continue;
            }
            let leave = known.permit.is_some();
            if cause != Cause::InService || leave {
                let left = if key.starts_with("proxy/") { Cause::Standby } else { Cause::Banned };
                counted.out.push((key.clone(), if cause == Cause::InService { left } else { cause }));
            }
        }
        counted
    }

    /// Somebody asks for leave for a thing to be out. Asked again by the same, it is the same permit.
    pub fn permit(
        &mut self, seen: &Seen, thing: &Thing, by: &str, reason: &str, force: bool,
    ) -> Result<Permit, Denied> {
        let key = thing.key();
        let known = self.things.get(&key).ok_or(Denied::Unknown)?;
        if let Some(held) = &known.permit {
            let same = held.by == by || force;
            return if same { Ok(held.clone()) } else { Err(Denied::Held { by: held.by.clone() }) };
        }
        let limits = self.limits.unwrap_or_default();
        if !force {
            self.allowed(seen, &key, known, &limits)?;
        }
        self.permits += 1;
        let member = matches!(thing, Thing::Member(_));
        if member {
            self.edition += 1;
        }
        let seats = || seen.membership.sessions.values().map(|s| s.incarnation).collect();
        let acknowledged_early = planted(Fault::FenceUnconfirmed);
        let permit = Permit {
            number: self.permits,
            by: by.chars().take(WORDS_MOST / 4).collect(),
            reason: reason.chars().take(WORDS_MOST / 4).collect(),
            forced: force,
            given: seen.membership.now,
            left: false,
            returns: false,
            edition: if member { self.edition } else { 0 },
            unconfirmed: if member && !acknowledged_early { seats() } else { Vec::new() },
        };
        if let Some(known) = self.things.get_mut(&key) {
            known.permit = Some(permit.clone());
        }
        Ok(permit)
    }

    fn allowed(&self, seen: &Seen, key: &str, known: &Known, limits: &Limits) -> Result<(), Denied> {
        let within = |what, counted: Counted, most: u64, least: u64| {
            // What is out already takes nothing more away.
            let others = counted.out.iter().filter(|(other, _)| other != key).count() as u64;
            let left = counted.all.saturating_sub(others + 1);
            if others < most && left >= least {
                return Ok(());
            }
            Err(Denied::Limit { what, out: counted.out })
        };
        if key.starts_with("proxy/") {
            let fleet = self.count(seen, |other, _| other.starts_with("proxy/"));
            let most = limits.fleet.of(fleet.all);
            within("proxies out of the fleet", fleet, most, limits.least)?;
            let zone = self.count(seen, |other, k| other.starts_with("proxy/") && k.zone == known.zone);
            let most = limits.zone.of(zone.all);
            return within("proxies out of the zone", zone, most, 0);
        }
        if !known.primary_by.is_empty() && self.cause(key, seen) == Cause::InService {
            return Err(Denied::Primary);
        }
        let same = |other: &str, k: &Known| other.starts_with("member/") && k.group == known.group;
        if !self.things.iter().any(|(other, k)| same(other, k) && !k.primary_by.is_empty()) {
            return Err(Denied::PrimaryUnknown);
        }
        let group = self.count(seen, same);
        let most = limits.group.of(group.all);
        within("members out of the group", group, most, limits.group_least)
    }

    /// A thing is to come back: its permit ends once it is seen in service; a member may be sent to at once.
    pub fn back(&mut self, thing: &Thing) -> bool {
        let member = matches!(thing, Thing::Member(_));
        let Some(permit) = self.things.get_mut(&thing.key()).and_then(|k| k.permit.as_mut()) else {
            return false;
        };
        permit.returns = true;
        if member {
            self.edition += 1;
        }
        true
    }

    /// Operators say that a thing is no more, or that nothing is known of it: its permit ends, whatever was seen.
    pub fn forget(&mut self, thing: &Thing) -> bool {
        let fenced = matches!(thing, Thing::Member(_));
        let gone = self.things.remove(&thing.key()).is_some();
        self.edition += u64::from(gone && fenced);
        gone
    }

    /// To whom nothing new may be sent.
    pub fn fence(&self) -> Fence {
        let fenced = |(key, known): (&String, &Known)| {
            known.permit.as_ref().filter(|p| !p.returns)?;
            key.strip_prefix("member/").map(str::to_string)
        };
        Fence { edition: self.edition, members: self.things.iter().filter_map(fenced).collect() }
    }

    /// Everything that is out or has leave to be, with the cause.
    pub fn out(&self, seen: &Seen) -> Vec<(String, Cause)> {
        self.count(seen, |_, _| true).out
    }
}
