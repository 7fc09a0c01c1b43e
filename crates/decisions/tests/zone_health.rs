//! Tests of the detection of lost zones, and of the number of requests that a fleet loses until then.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::zone_health::{InFlightAttempt, ZoneHealth};

/// Guards against counting a zone as unresponsive because of one slow member, one long request or a fault that affects
/// all zones; and against a lost zone that is not detected.
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
    let is_unresponsive = |zones: &ZoneHealth, in_flight: Vec<InFlightAttempt>| {
        !zones.unresponsive_zones(Time(1_300 * MS), in_flight.into_iter()).is_empty()
    };
    (0..2).for_each(|zone| zones.record_answer(ZoneId(zone), Time(1_000 * MS)));
    assert!(!is_unresponsive(&zones, four(4, 1_000)), "no other zone has answered since");
    zones.record_answer(ZoneId(0), Time(1_200 * MS));
    assert!(is_unresponsive(&zones, four(4, 1_000)), "four attempts waited 3 usual latencies each");
    assert!(!is_unresponsive(&zones, four(2, 1_000)), "only two members are unresponsive");
    assert!(!is_unresponsive(&zones, four(4, 1_150)), "four attempts waited 1.5 usual latencies each");
    assert!(
        !is_unresponsive(&zones, vec![attempt(1, 0), attempt(2, 1_190), attempt(3, 1_190)]),
        "only one attempt is late"
    );
    // Lists can name any number of zones. Only the zones with the latest answers are kept.
    (2..1_000).for_each(|zone| zones.record_answer(ZoneId(zone), Time(1_201 * MS)));
    assert!(!is_unresponsive(&zones, four(4, 1_000)), "the last answer of the zone is no longer stored");
}

/// Simulates a router with two zones of `zone_size` replicas. After two seconds the second zone stops answering for
/// four seconds. Returns the number of attempts sent to it in these four seconds.
fn lose_a_zone(harness: &mut RouterHarness, zone_size: u32) -> usize {
    let zone = |member: u32| ZoneId(usize::from(member > zone_size));
    harness.update_list(
        (1..=2 * zone_size).map(|member| ListEntry { zone: zone(member), ..list_entry(member) }).collect(),
    );
    let attempts_in_lost_zone = |harness: &RouterHarness| {
        let is_in_lost_zone =
            |action: &&Action| matches!(action, Action::Send { member, .. } if member.0 > zone_size);
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
            |member| step < 40 || member <= zone_size,
        );
    }
    attempts_in_lost_zone(harness) - before
}

/// Guards against detecting a lost zone one member at a time, at the price of a request for each member at each of a
/// hundred routers. Without the sum over the zone they lost 1,441 requests here, with it 345.
#[test]
fn lost_zone_costs_a_router_few_requests() {
    let lost: usize = fleet_of_routers(settings_with_replica_check())
        .map(|mut harness| lose_a_zone(&mut harness, 15))
        .sum();
    assert!((FLEET_SIZE as usize..=6 * FLEET_SIZE as usize).contains(&lost), "{lost} requests lost");
}

/// Guards against full traffic to members that restart after a power failure of their zone and need a slow start. Their
/// connections time out as in a network partition, and the list reports their start only seconds later.
#[test]
fn recovered_zone_starts_slowly_before_the_list_update() {
    let mut harness = fleet_of_routers(settings_with_replica_check()).next().expect("a router");
    lose_a_zone(&mut harness, 8);
    let report = LoadReport::default();
    (9..=16).map(MemberId).for_each(|member| {
        harness.handle(Event::HealthCheckEnded { member, outcome: Outcome::TimedOut, report });
    });
    for (after, min, max) in [(2_000, 0, 2), (16_000, 4, 16)] {
        harness.advance(after);
        (1..=16).for_each(|member| harness.report_health(member, harness.now, Role::Replica));
        let reads: Vec<RequestId> = (0..16).map(|_| harness.send_request(SESSION, 450, None)).collect();
        let is_in_lost_zone =
            |read: &&RequestId| harness.attempted_members(**read).iter().any(|member| *member > 8);
        let in_lost_zone = reads.iter().filter(is_in_lost_zone).count();
        assert!((min..=max).contains(&in_lost_zone), "{in_lost_zone} of 16 reads after {after} ms");
    }
}
