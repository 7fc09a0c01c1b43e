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
    let attempt = |member, sent: u64| InFlightAttempt {
        zone: ZoneId(1),
        member: MemberId(member),
        sent: Time(sent * MS),
        usual: 1e5,
    };
    let four =
        |members: u32, sent| -> Vec<InFlightAttempt> { (0..4).map(|n| attempt(n % members, sent)).collect() };
    let is_silent = |zones: &ZoneHealth, in_flight: Vec<InFlightAttempt>| {
        !zones.silent_zones(Time(1_300 * MS), in_flight.into_iter()).is_empty()
    };
    (0..2).for_each(|zone| zones.record_answer(ZoneId(zone), Time(1_000 * MS)));
    assert!(!is_silent(&zones, four(4, 1_000)), "no other zone has answered since");
    zones.record_answer(ZoneId(0), Time(1_200 * MS));
    assert!(is_silent(&zones, four(4, 1_000)), "4 x 3 usual times");
    assert!(!is_silent(&zones, four(2, 1_000)), "two members");
    assert!(!is_silent(&zones, four(4, 1_150)), "too soon");
    assert!(
        !is_silent(&zones, vec![attempt(1, 0), attempt(2, 1_190), attempt(3, 1_190)]),
        "one that takes long"
    );
    // A list can name any number of zones; those that answered last are kept.
    (2..1_000).for_each(|zone| zones.record_answer(ZoneId(zone), Time(1_201 * MS)));
    assert!(!is_silent(&zones, four(4, 1_000)), "forgotten");
}

/// Plays a router before two zones of `each` replicas. After two seconds the second zone answers nothing any
/// more, for four seconds. Returns the attempts that went there meanwhile.
fn lose_a_zone(rig: &mut Rig, each: u32) -> usize {
    let zone = |member: u32| ZoneId(usize::from(member > each));
    rig.list((1..=2 * each).map(|member| ListEntry { zone: zone(member), ..entry(member) }).collect());
    let there = |rig: &Rig| {
        let is_there = |action: &&Action| matches!(action, Action::Send { member, .. } if member.0 > each);
        rig.out.iter().filter(is_there).count()
    };
    let mut before = 0;
    for step in 0..120 {
        before = if step == 40 { there(rig) } else { before };
        let read = rig.ask(SESSION, 450, None);
        rig.wait(50);
        rig.ends(read, (Outcome::Ok, 50), 0.5, |member| step < 40 || member <= each);
    }
    there(rig) - before
}

/// Guards against learning of a lost zone one member at a time: each of a hundred routers pays a request for
/// each. Without the sum over the zone they lost 1,441 requests here, 345 with it.
#[test]
fn lost_zone_costs_a_router_few_requests() {
    let lost: usize = fleet(settings_with_replica_check()).map(|mut rig| lose_a_zone(&mut rig, 15)).sum();
    assert!((FLEET as usize..=6 * FLEET as usize).contains(&lost), "{lost} requests lost");
}

/// Guards against a full share for members that lost power with their zone and come back slow_start: their
/// connections time out, as at a cut, and the list tells of their start only seconds later.
#[test]
fn zone_returns_cold_before_the_list_tells() {
    let mut rig = fleet(settings_with_replica_check()).next().expect("one");
    lose_a_zone(&mut rig, 8);
    let report = LoadReport::default();
    (9..=16).map(MemberId).for_each(|member| {
        rig.event(Event::HealthCheckEnded { member, outcome: Outcome::TimedOut, report });
    });
    for (after, least, most) in [(2_000, 0, 2), (16_000, 4, 16)] {
        rig.wait(after);
        (1..=16).for_each(|member| rig.report(member, rig.now, Role::Replica));
        let reads: Vec<RequestId> = (0..16).map(|_| rig.ask(SESSION, 450, None)).collect();
        let is_there = |read: &&RequestId| rig.sends(**read).iter().any(|member| *member > 8);
        let there = reads.iter().filter(is_there).count();
        assert!((least..=most).contains(&there), "{there} of 16 reads after {after} ms");
    }
}
