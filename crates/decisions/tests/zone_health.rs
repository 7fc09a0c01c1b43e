//! Lost zones, and what a fleet pays to learn of them.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::zone_health::{InFlightAttempt, ZoneHealth};

/// Guards against a false alarm at one slow member, one long request or a fault nearer by; and against
/// missing a loss.
#[test]
fn zone_is_silent_by_the_sum_of_its_waits() {
    let mut zones = ZoneHealth::default();
    let wait =
        |m, sent: u64| InFlightAttempt { zone: ZoneId(1), member: MemberId(m), sent: sent * MS, usual: 1e5 };
    let many = |members: u32, sent| (0..4).map(move |n| wait(n % members, sent));
    let silent = |zones: &ZoneHealth, waits: Vec<InFlightAttempt>| {
        !zones.silent_zones(1_300 * MS, waits.into_iter()).is_empty()
    };
    (0..2).for_each(|z| zones.record_answer(ZoneId(z), 1_000 * MS));
    assert!(!silent(&zones, many(4, 1_000).collect()), "nobody else was heard of since");
    zones.record_answer(ZoneId(0), 1_200 * MS);
    assert!(silent(&zones, many(4, 1_000).collect()), "4 x 3 usual times");
    assert!(!silent(&zones, many(2, 1_000).collect()), "two members");
    assert!(!silent(&zones, many(4, 1_150).collect()), "too soon");
    assert!(!silent(&zones, vec![wait(1, 0), wait(2, 1_190), wait(3, 1_190)]), "one that takes long");
    // A list can name any number of zones; those heard of last are kept.
    (2..1_000).for_each(|z| zones.record_answer(ZoneId(z), 1_201 * MS));
    assert!(!silent(&zones, many(4, 1_000).collect()), "forgotten");
}

/// A router before two zones of `each` replicas; after two seconds the second zone answers nothing any more,
/// and is lost for four. The attempts that went there meanwhile.
fn lose_a_zone(rig: &mut Rig, each: u32) -> usize {
    let zone = |m: u32| ZoneId(usize::from(m > each));
    rig.list((1..=2 * each).map(|m| ListEntry { zone: zone(m), ..entry(m) }).collect());
    let there = |rig: &Rig| {
        rig.out.iter().filter(|a| matches!(a, Action::Send { member, .. } if member.0 > each)).count()
    };
    let mut before = 0;
    for step in 0..120 {
        before = if step == 40 { there(rig) } else { before };
        let read = rig.ask(SESSION, 450, None);
        rig.wait(50);
        rig.ends(read, (Outcome::Ok, 50), 0.5, |m| step < 40 || m <= each);
    }
    there(rig) - before
}

/// Guards against learning of a lost zone one member at a time: each of a hundred routers pays a request for
/// each. Without the sum over the zone they lost 1,441 requests here, 345 with it.
#[test]
fn lost_zone_costs_a_router_few_requests() {
    let lost: usize = fleet(checked()).map(|mut rig| lose_a_zone(&mut rig, 15)).sum();
    assert!((FLEET as usize..=6 * FLEET as usize).contains(&lost), "{lost} requests lost");
}

fn checked() -> Settings {
    Settings { check: ReplicaCheck::Refuse, ..settings() }
}

/// Guards against a full share for members that lost power with their zone and come back cold: their
/// connections time out, as at a cut, and the list tells of their start only seconds later.
#[test]
fn zone_returns_cold_before_the_list_tells() {
    let mut rig = fleet(checked()).next().expect("one");
    lose_a_zone(&mut rig, 8);
    let report = LoadReport::default();
    (9..=16).map(MemberId).for_each(|member| {
        rig.event(Event::Probed { member, outcome: Outcome::TimedOut, report });
    });
    for (after, least, most) in [(2_000, 0, 2), (16_000, 4, 16)] {
        rig.wait(after);
        (1..=16).for_each(|m| rig.report(m, rig.now, Role::Replica));
        let reads: Vec<RequestId> = (0..16).map(|_| rig.ask(SESSION, 450, None)).collect();
        let there = reads.iter().filter(|r| rig.sends(**r).iter().any(|m| *m > 8)).count();
        assert!((least..=most).contains(&there), "{there} of 16 reads after {after} ms");
    }
}
