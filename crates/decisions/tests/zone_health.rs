//! Lost zones, and how many requests a fleet loses before it detects them.

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
        !zones.unresponsive_zones(Time(1_300 * MS), in_flight.into_iter()).is_empty()
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

/// Plays a router with two zones of `each` replicas. After two seconds the second zone stops answering, for four
/// seconds. Returns the attempts sent to it in these four.
fn lose_a_zone(harness: &mut RouterHarness, each: u32) -> usize {
    let zone = |member: u32| ZoneId(usize::from(member > each));
    harness.update_list(
        (1..=2 * each).map(|member| ListEntry { zone: zone(member), ..list_entry(member) }).collect(),
    );
    let attempts_in_lost_zone = |harness: &RouterHarness| {
        let is_in_lost_zone =
            |action: &&Action| matches!(action, Action::Send { member, .. } if member.0 > each);
        harness.actions.iter().filter(is_in_lost_zone).count()
    };
    let mut before = 0;
    for step in 0..120 {
        before = if step == 40 { attempts_in_lost_zone(harness) } else { before };
        let read = harness.send_request(SESSION, 450, None);
        harness.advance(50);
        harness.end_latest_attempt(
            read,
            MemberAnswer { outcome: Outcome::Ok, latency_ms: 50, utilisation: 0.5 },
            |member| step < 40 || member <= each,
        );
    }
    attempts_in_lost_zone(harness) - before
}

/// Guards against detecting a lost zone one member at a time: each of a hundred routers loses a request at each member.
/// Without the sum over the zone they lost 1,441 requests here, 345 with it.
#[test]
fn lost_zone_costs_a_router_few_requests() {
    let lost: usize = fleet_of_routers(settings_with_replica_check())
        .map(|mut harness| lose_a_zone(&mut harness, 15))
        .sum();
    assert!((FLEET as usize..=6 * FLEET as usize).contains(&lost), "{lost} requests lost");
}

/// Guards against full traffic to members that lost power with their zone and need a slow start: their connections time
/// out, as after a network partition, and the list reports their start only seconds later.
#[test]
fn recovered_zone_starts_slowly_before_the_list_update() {
    let mut harness = fleet_of_routers(settings_with_replica_check()).next().expect("one");
    lose_a_zone(&mut harness, 8);
    let report = LoadReport::default();
    (9..=16).map(MemberId).for_each(|member| {
        harness.handle(Event::HealthCheckEnded { member, outcome: Outcome::TimedOut, report });
    });
    for (after, least, most) in [(2_000, 0, 2), (16_000, 4, 16)] {
        harness.advance(after);
        (1..=16).for_each(|member| harness.report_health(member, harness.now, Role::Replica));
        let reads: Vec<RequestId> = (0..16).map(|_| harness.send_request(SESSION, 450, None)).collect();
        let is_there = |read: &&RequestId| harness.attempted_members(**read).iter().any(|member| *member > 8);
        let there = reads.iter().filter(is_there).count();
        assert!((least..=most).contains(&there), "{there} of 16 reads after {after} ms");
    }
}
