//! Lost zones, members that take work and answer nothing or errors only, and what a fleet pays to learn of them.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::outlier_recovery::EjectedMember;
use linenhill_decisions::zone_health::{InFlightAttempt, ZoneHealth};

// Guards against a false alarm at one slow member, one long request, a fault nearer by; and against missing a loss.
#[test]
fn a_zone_is_silent_by_the_sum_of_what_waits_there_and_only_while_another_answers() {
    let mut zones = ZoneHealth::default();
    let wait =
        |m, sent: u64| InFlightAttempt { zone: ZoneId(1), member: MemberId(m), sent: sent * MS, usual: 1e5 };
    let many = |members: u32, sent| (0..4).map(move |n| wait(n % members, sent));
    let silent = |zones: &ZoneHealth, waits: Vec<InFlightAttempt>| {
        !zones.silent(1_300 * MS, waits.into_iter()).is_empty()
    };
    (0..2).for_each(|z| zones.heard(ZoneId(z), 1_000 * MS));
    assert!(!silent(&zones, many(4, 1_000).collect()), "nobody else was heard of since");
    zones.heard(ZoneId(0), 1_200 * MS);
    assert!(silent(&zones, many(4, 1_000).collect()), "4 x 3 usual times");
    assert!(!silent(&zones, many(2, 1_000).collect()), "two members");
    assert!(!silent(&zones, many(4, 1_150).collect()), "too soon");
    assert!(!silent(&zones, vec![wait(1, 0), wait(2, 1_190), wait(3, 1_190)]), "one that takes long");
    // A list can name any number of zones; those heard of last are kept.
    (2..1_000).for_each(|z| zones.heard(ZoneId(z), 1_201 * MS));
    assert!(!silent(&zones, many(4, 1_000).collect()), "forgotten");
}

/// A router before two zones of `each` replicas; after two seconds the second zone answers nothing any more, and
/// is lost for four. The attempts that went there meanwhile.
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

// Guards against learning of a lost zone one member at a time: each of a hundred routers pays a request for each.
// Without the sum over the zone they lost 1,441 requests here, 345 with it.
#[test]
fn a_lost_zone_costs_each_router_a_few_requests_not_one_for_each_member() {
    let lost: usize = fleet(checked()).map(|mut rig| lose_a_zone(&mut rig, 15)).sum();
    assert!((FLEET as usize..=6 * FLEET as usize).contains(&lost), "{lost} requests lost");
}

fn checked() -> Settings {
    Settings { check: ReplicaCheck::Refuse, ..settings() }
}

// Guards against a full share for members that lost power with their zone and come back cold: their connections time
// out, as at a cut, and the list tells of their start only seconds later.
#[test]
fn a_zone_that_was_silent_as_a_whole_is_let_in_as_cold_before_the_list_tells() {
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

// Guards against trials that together are a traffic of their own: at 2 s a router they were 50 requests a second at
// each member that takes work and answers nothing. Probes of one out of reach stay frequent: they reach nobody.
#[test]
fn trials_of_a_member_that_answers_nothing_stay_few_over_the_fleet() {
    for (fleet, dead, most) in [(2, false, 1.1), (FLEET, false, 12.0), (FLEET, true, 70.0)] {
        let (mut trials, mut ill) = (0, EjectedMember::new(0, fleet));
        ill.worse(0, dead, false, 1.0);
        for now in (0..60_000).step_by(10).map(|ms| ms * MS) {
            if ill.due(now, true) {
                trials += 1;
                if dead { ill.worse(now, true, false, 1.0) } else { ill.tried(now) }
            }
        }
        let rate = f64::from(trials * fleet) / 60.0;
        assert!(rate > 0.5 && rate <= most, "{rate} trials a second by {fleet}, dead {dead}");
    }
}

/// Reads over 24 s of which member 2 answers each like this at once, member 3 with a row; how many went to 2.
fn drawn_to(outcome: Outcome) -> usize {
    let mut rig = fleet(checked()).next().expect("one");
    rig.list((1..=3).map(entry).collect());
    rig.report(1, rig.now, Role::Primary);
    let (mut drawn, mut probes) = (0, 0);
    for _ in 0..240 {
        let read = rig.ask(SESSION, 900, None);
        for n in 1..=3 {
            let end = if rig.sends(read).last() == Some(&2) { outcome } else { Outcome::Ok };
            if rig.sends(read).len() == n {
                drawn += usize::from(rig.ends(read, (end, 5), 0.5, |_| true) == Some(2));
            }
        }
        for _ in std::mem::replace(&mut probes, rig.probes())..rig.probes() {
            rig.report(2, rig.now, Role::Replica);
        }
        rig.wait(100);
    }
    drawn
}

// Guards against a member that fails everything at once and so looks idle: it drew a third of the fleet's attempts.
// Its probes are answered, so each answer let the next request try again without a gap.
#[test]
fn a_member_that_only_fails_is_left_alone_after_two() {
    let (failing, well) = (drawn_to(Outcome::Failed), drawn_to(Outcome::Ok));
    assert!(failing <= 9 && well >= 60, "{failing} attempts at a failing member, {well} at a good one");
}

// Guards against clearing a member that answers nothing by what costs it no work: a write is turned away by who is
// no primary, at once, whatever became of its reads.
#[test]
fn a_write_turned_away_does_not_clear_a_member_that_answers_no_reads() {
    let mut rig = Rig::empty(checked());
    rig.list(vec![entry(2)]);
    let (write, read) = (rig.ask(WRITE, 3_000, None), rig.ask(SESSION, 3_000, None));
    assert_eq!((rig.sends(write), rig.sends(read)), (vec![2], vec![2]));
    rig.wait(1_000);
    assert!(rig.out.contains(&Action::Probe { member: MemberId(2) }), "held for silent");
    rig.ends(write, (Outcome::Miss, 1_000), 0.5, |_| true);
    let reads: Vec<RequestId> = (0..4).map(|_| rig.ask(SESSION, 900, None)).collect();
    let at: usize = reads.iter().map(|r| rig.sends(*r).len()).sum();
    assert!(at <= 1, "one trial at most, not {at}");
}
