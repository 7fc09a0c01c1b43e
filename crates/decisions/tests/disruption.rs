//! Leave to be out: never more at once than is allowed, whatever dies, is lost or asked twice. The checker knows who is out
//! and the limits, and nothing of permits.

use linenhill_decisions::disruption::reporter::HealthReporter;
use linenhill_decisions::disruption::table::{DisruptionTable, LivenessView, Permit, PermitDenied};
use linenhill_decisions::disruption::{
    Availability, DisruptionLimit, DisruptionPolicy, HealthObservation, HealthReport, Quarantine, Subject,
};
use linenhill_decisions::membership::{LeaseTerms, Membership};
use std::collections::BTreeMap;

const LEASE: u64 = 1_000_000;
const TERMS: LeaseTerms = LeaseTerms { lease_us: LEASE, membership_us: 10 * LEASE, drift_ppm: 10_000 };

fn most(count: u64) -> DisruptionLimit {
    DisruptionLimit { count: Some(count), percent: None }
}

fn limits(proxies: u64, members: u64) -> DisruptionPolicy {
    let any = DisruptionLimit::default();
    DisruptionPolicy {
        fleet: most(proxies),
        zone: any,
        min_in_service: 0,
        group: most(members),
        group_min_in_service: 1,
    }
}

/// A fleet whose proxies speak when they are told to.
struct Fleet {
    membership: Membership,
    outages: DisruptionTable,
    seq: u64,
    incarnations: BTreeMap<String, u64>,
}

impl Fleet {
    fn new(proxies: usize, limits: DisruptionPolicy) -> Fleet {
        let mut outages = DisruptionTable::default();
        outages.set_policy(Some(limits));
        let mut fleet =
            Fleet { membership: Membership::default(), outages, seq: 0, incarnations: BTreeMap::new() };
        (0..proxies).for_each(|i| fleet.speaks(i, Availability::InService, &[]));
        fleet
    }

    /// A proxy speaks of itself and of members of group 1, of which `m0` is the primary.
    fn speaks(&mut self, i: usize, own: Availability, members: &[(&str, Availability)]) {
        self.confirms(i, own, members, 0);
    }

    fn confirms(&mut self, i: usize, own: Availability, members: &[(&str, Availability)], fenced: u64) {
        let name = format!("p{i}");
        let incarnation = *self.incarnations.entry(name.clone()).or_insert(1_000 * (1 + i as u64));
        self.seq += 1;
        self.membership.open_or_renew(&name, incarnation, self.seq, None).expect("a seat");
        let sight = |(id, cause): &(&str, Availability)| {
            (
                id.to_string(),
                HealthObservation { group: 1, availability: *cause as i32, is_primary: *id == "m0" },
            )
        };
        let report = HealthReport {
            own_availability: own as i32,
            observations: members.iter().map(sight).collect(),
            quarantine_edition: fenced,
        };
        let seen = LivenessView::new(&self.membership, &TERMS);
        self.outages.record_report(&seen, &name, incarnation, "z1", &report);
        self.outages.expire(&seen);
    }

    fn passes(&mut self, span: u64) {
        self.membership.advance(span);
        self.outages.expire(&LivenessView::new(&self.membership, &TERMS));
    }

    fn permit(&mut self, key: &str, by: &str, force: bool) -> Result<Permit, PermitDenied> {
        let thing = Subject::from_key(key).expect("a key");
        let seen = LivenessView::new(&self.membership, &TERMS);
        self.outages.request_permit(&seen, &thing, by, "a test", force)
    }

    fn out(&self) -> Vec<(String, Availability)> {
        self.outages.unavailable(&LivenessView::new(&self.membership, &TERMS))
    }
}

fn unconfirmed(fleet: &mut Fleet) -> usize {
    fleet.permit("member/m1", "p0", false).expect("the permit").unconfirmed.len()
}

// Guards against two that are let out where one may be, a permit that is lost with its holder, and one that never ends.
#[test]
fn a_permit_counts_until_the_thing_is_seen_back() {
    let mut fleet = Fleet::new(3, limits(1, 1));
    let first = fleet.permit("proxy/p0", "p0", false).expect("leave");
    assert_eq!(fleet.permit("proxy/p0", "p0", false).expect("the same").number, first.number);
    assert!(matches!(fleet.permit("proxy/p1", "p1", false), Err(PermitDenied::LimitReached { .. })));
    // It has leave and has not gone yet: what it says meanwhile ends nothing.
    fleet.speaks(0, Availability::InService, &[]);
    assert!(fleet.permit("proxy/p1", "p1", false).is_err());
    fleet.speaks(0, Availability::Standby, &[]);
    // Its holder dies in the middle: it still counts, once.
    fleet.passes(2 * LEASE);
    (1..3).for_each(|i| fleet.speaks(i, Availability::InService, &[]));
    assert_eq!(fleet.out(), [("proxy/p0".to_string(), Availability::NoHeartbeat)]);
    assert!(fleet.permit("proxy/p1", "p1", false).is_err());
    // Back as another incarnation, and in service.
    fleet.incarnations.insert("p0".into(), 77);
    fleet.speaks(0, Availability::InService, &[]);
    assert!(fleet.out().is_empty());
    assert!(fleet.permit("proxy/p1", "p1", false).is_ok());
}

// Guards against what is out for another reason than a permit that does not count, and against force that doesn't.
#[test]
fn everything_that_is_out_counts() {
    let mut fleet = Fleet::new(4, limits(2, 1));
    fleet.speaks(0, Availability::Stopping, &[]);
    assert!(fleet.permit("proxy/p1", "p1", false).is_ok());
    let Err(PermitDenied::LimitReached { out, .. }) = fleet.permit("proxy/p2", "p2", false) else {
        panic!("a third is let out")
    };
    assert_eq!(out.len(), 2);
    assert!(fleet.permit("proxy/p2", "p2", true).expect("force").forced);
    fleet.speaks(0, Availability::InService, &[]);
    assert!(fleet.permit("proxy/p3", "p3", false).is_err(), "two are out, one of them by force");
    // A cut that hides a part of the fleet: they count as out.
    let mut fleet = Fleet::new(6, limits(2, 1));
    fleet.passes(2 * LEASE);
    (0..4).for_each(|i| fleet.speaks(i, Availability::InService, &[]));
    assert!(matches!(fleet.permit("proxy/p0", "p0", false), Err(PermitDenied::LimitReached { .. })));
}

// Guards against the last healthy member of a group taken out through two proxies, against a primary taken out before it
// has handed over, and against a yes before every proxy has stopped sending there.
#[test]
fn a_member_is_out_for_all_before_anybody_hears_yes() {
    let well =
        [("m0", Availability::InService), ("m1", Availability::InService), ("m2", Availability::InService)];
    let mut fleet = Fleet::new(3, limits(1, 2));
    (0..3).for_each(|i| fleet.speaks(i, Availability::InService, &well));
    assert_eq!(fleet.permit("member/m0", "p0", false), Err(PermitDenied::IsPrimary));
    assert_eq!(fleet.permit("member/m9", "p0", false), Err(PermitDenied::UnknownSubject));
    let permit = fleet.permit("member/m1", "p0", false).expect("leave");
    assert_eq!((permit.unconfirmed.len(), fleet.outages.quarantine().members), (3, vec!["m1".to_string()]));
    assert!(fleet.permit("member/m1", "p1", false).is_err(), "somebody else has leave for it");
    fleet.confirms(
        0,
        Availability::InService,
        &[("m1", Availability::OperatorBan)],
        permit.quarantine_edition,
    );
    fleet.confirms(
        1,
        Availability::InService,
        &[("m1", Availability::OperatorBan)],
        permit.quarantine_edition,
    );
    assert_eq!(unconfirmed(&mut fleet), 1);
    // The third is cut off: it may still send there for as long as it has a seat, and no longer.
    fleet.membership.sessions.remove("p2");
    fleet.passes(0);
    assert_eq!(unconfirmed(&mut fleet), 0);
    // One that is heard of and hears nothing: what it was granted before it could know is over by then.
    let mut deaf = Fleet::new(2, limits(1, 1));
    (0..2).for_each(|i| deaf.speaks(i, Availability::InService, &well));
    deaf.permit("member/m1", "p0", false).expect("leave");
    for _ in 0..10 {
        deaf.passes(LEASE);
        deaf.speaks(1, Availability::InService, &[]);
    }
    assert_eq!(unconfirmed(&mut deaf), 2);
    deaf.passes(LEASE);
    assert_eq!(unconfirmed(&mut deaf), 0);
    // Two of three may be out, but one stays: the primary, and m2 alone goes no more.
    fleet.speaks(0, Availability::InService, &[("m0", Availability::Unresponsive)]);
    fleet.speaks(1, Availability::InService, &[("m0", Availability::Unresponsive)]);
    assert!(matches!(fleet.permit("member/m2", "p1", false), Err(PermitDenied::LimitReached { .. })));
    // Back is not back before it is seen in service.
    assert!(fleet.outages.request_return(&Subject::Member("m1".into())));
    assert!(fleet.outages.quarantine().members.is_empty());
    assert!(fleet.out().iter().any(|(key, _)| key == "member/m1"));
    (0..2).for_each(|i| fleet.speaks(i, Availability::InService, &[("m1", Availability::InService)]));
    assert!(!fleet.out().iter().any(|(key, _)| key == "member/m1"));
}

// Guards against an illness that one proxy alone sees, and against a member that is gone for good and counts for ever.
#[test]
fn what_few_see_is_theirs_and_what_is_gone_is_forgotten() {
    let mut fleet = Fleet::new(5, limits(1, 1));
    let well =
        [("m0", Availability::InService), ("m1", Availability::InService), ("m2", Availability::InService)];
    (0..5).for_each(|i| fleet.speaks(i, Availability::InService, &well));
    (0..2).for_each(|i| fleet.speaks(i, Availability::InService, &[("m1", Availability::Unresponsive)]));
    assert!(fleet.out().is_empty());
    fleet.speaks(2, Availability::InService, &[("m1", Availability::Unresponsive)]);
    assert_eq!(fleet.out(), [("member/m1".to_string(), Availability::Unresponsive)]);
    assert!(fleet.permit("member/m2", "p0", false).is_err());
    (0..5).for_each(|i| fleet.speaks(i, Availability::InService, &[("m1", Availability::Removed)]));
    assert!(fleet.out().is_empty() && !fleet.outages.subjects.contains_key("member/m1"));
    assert!(fleet.outages.forget(&Subject::Member("m2".into())));
    assert!(!fleet.outages.forget(&Subject::Member("m2".into())));
}

#[allow(clippy::collapsible_match)] // A guard that asks for leave would hide it.
/// A seeded history: proxies ask, are forced out, come back, die and start again; else who was let out beyond the limit.
fn history(seed: u64) -> Result<(), String> {
    let (proxies, allowed) = (6, 2);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::new(proxies, limits(allowed, 1));
    let mut truth = vec![Availability::InService; proxies];
    for step in 0..400 {
        let i = rng.usize(0..proxies);
        match rng.u8(0..10) {
            0 => truth[i] = Availability::NoHeartbeat,
            1 if truth[i] == Availability::NoHeartbeat => {
                fleet.incarnations.insert(format!("p{i}"), 10_000 + step);
                truth[i] = Availability::InService;
            }
            2 => truth[i] = Availability::InService,
            3 => {
                let _ = fleet.permit(&format!("proxy/p{i}"), "operators", true);
                truth[i] = Availability::Standby;
            }
            4..7 if truth[i] == Availability::InService => {
                if fleet.permit(&format!("proxy/p{i}"), &format!("p{i}"), false).is_ok() {
                    // Who asks is in service; whoever is hidden from the keepers for less than a lease is not known yet.
                    let known =
                        (0..proxies).filter(|p| truth[*p] != Availability::InService && *p != i).count();
                    if known + 1 > allowed as usize {
                        return Err(format!("seed {seed}, step {step}: {known} and one more are let out"));
                    }
                    truth[i] = Availability::Standby;
                }
            }
            _ => {}
        }
        fleet.passes(2 * LEASE);
        for (p, cause) in truth.iter().enumerate().filter(|(_, c)| **c != Availability::NoHeartbeat) {
            fleet.speaks(p, *cause, &[]);
        }
    }
    Ok(())
}

// Guards against more out at once than is allowed, over histories of deaths, force, stops and returns.
#[test]
fn nobody_is_let_out_beyond_the_limit() {
    (0..200).for_each(|seed| history(seed).unwrap_or_else(|e| panic!("{e}")));
}

// Guards against checks that can't fail.
#[cfg(feature = "fault-injection")]
#[test]
fn planted_faults_are_caught() {
    use linenhill_decisions::fault_injection::{Fault, inject};
    for fault in [Fault::DeadUncounted, Fault::ForceUncounted] {
        inject(Some(fault));
        let found = (0..200).find_map(|seed| history(seed).err());
        inject(None);
        assert!(found.is_some(), "{fault:?} was not caught");
    }
    inject(Some(Fault::FenceUnconfirmed));
    let mut fleet = Fleet::new(2, limits(1, 1));
    let well =
        [("m0", Availability::InService), ("m1", Availability::InService), ("m2", Availability::InService)];
    fleet.speaks(0, Availability::InService, &well);
    let early = fleet.permit("member/m1", "p0", false).expect("leave").unconfirmed.is_empty();
    inject(None);
    assert!(early);
}

// Every order of asking, going, dying and coming back for three proxies of which one may be out, up to a depth.
#[test]
fn no_order_of_three_lets_two_out() {
    fn play(fleet: &Fleet, truth: [Availability; 3], depth: usize, states: &mut u64) {
        *states += 1;
        if depth == 0 {
            return;
        }
        for i in 0..3 {
            for what in 0..4 {
                let (membership, outages) = (fleet.membership.clone(), fleet.outages.clone());
                let (seq, incarnations) = (fleet.seq, fleet.incarnations.clone());
                let mut next = Fleet { membership, outages, seq, incarnations };
                let mut truth = truth;
                match what {
                    0 if truth[i] == Availability::InService => {
                        let others = (0..3).any(|p| p != i && truth[p] != Availability::InService);
                        if next.permit(&format!("proxy/p{i}"), "it", false).is_ok() {
                            assert!(!others, "a second one is let out: {truth:?}");
                            truth[i] = Availability::Standby;
                        }
                    }
                    1 => truth[i] = Availability::NoHeartbeat,
                    2 => truth[i] = Availability::InService,
                    3 => truth[i] = Availability::Stopping,
                    _ => continue,
                }
                next.passes(2 * LEASE);
                for (p, cause) in truth.iter().enumerate().filter(|(_, c)| **c != Availability::NoHeartbeat) {
                    next.speaks(p, *cause, &[]);
                }
                play(&next, truth, depth - 1, states);
            }
        }
    }
    let mut states = 0;
    play(&Fleet::new(3, limits(1, 1)), [Availability::InService; 3], 4, &mut states);
    assert!(states > 10_000, "{states} states");
}

// Guards against a report that is lost and never told again, and against a fence that goes back to an older edition.
#[test]
fn what_a_proxy_sees_is_told_until_it_is_answered() {
    let mut reporter = HealthReporter::default();
    let sight =
        |cause: Availability| HealthObservation { group: 1, availability: cause as i32, is_primary: false };
    assert!(reporter.observe([("m1".to_string(), sight(Availability::Unresponsive))].into()));
    assert_eq!(reporter.next_report(1).observations.len(), 1);
    assert_eq!(reporter.next_report(2).observations.len(), 1, "the first one may be lost");
    assert_eq!(reporter.handle_grant(1, None), None, "an answer to the first says nothing of the second");
    let fence = Quarantine { edition: 3, members: vec!["m1".into()] };
    assert_eq!(reporter.handle_grant(2, Some(fence.clone())), Some(fence.clone()));
    assert!(reporter.next_report(3).observations.is_empty());
    assert_eq!(reporter.handle_grant(3, Some(Quarantine { edition: 2, members: Vec::new() })), None);
    assert_eq!(reporter.next_report(4).quarantine_edition, 0, "it is not carried out yet");
    reporter.quarantine_applied(3);
    assert_eq!(reporter.next_report(5).quarantine_edition, 3);
    assert!(reporter.observe(BTreeMap::new()), "who is not seen any more is told of as gone");
    assert_eq!(reporter.next_report(6).observations["m1"].availability, Availability::Removed as i32);
    reporter.reset();
    assert!(
        reporter.set_own_availability(Availability::Standby)
            && !reporter.set_own_availability(Availability::Standby)
    );
}

// Guards against a first report of thousands of members that is too long to be taken, so that its proxy is never heard.
#[test]
fn a_long_report_is_told_in_parts() {
    let mut reporter = HealthReporter::default();
    let sight =
        HealthObservation { group: 1, availability: Availability::InService as i32, is_primary: false };
    reporter.observe((0..1_300).map(|i| (format!("m{i}"), sight.clone())).collect());
    let mut parts = Vec::new();
    for seq in 1..5 {
        parts.push(reporter.next_report(seq).observations.len());
        reporter.handle_grant(seq, None);
    }
    assert_eq!(parts, [512, 512, 276, 0]);
}
