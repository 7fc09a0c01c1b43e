//! A zone that is lost, members that take work and answer nothing, and what a fleet pays to learn of it.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::outage::{Out, Outages};
use linenhill_decisions::recovery::Ill;

const FLEET: u32 = 100;

fn out(zone: usize, member: u32, sent: u64) -> Out {
    Out { zone: ZoneId(zone), member: MemberId(member), sent, usual: 100.0 * MS as f64 }
}

// Guards against a false alarm at each of: one slow member, one long request, a quiet zone, a fault nearer by; and
// against missing the loss.
#[test]
fn a_zone_is_silent_by_the_sum_of_what_waits_there_and_only_while_another_answers() {
    let mut zones = Outages::default();
    zones.heard(ZoneId(0), 1_000 * MS);
    zones.heard(ZoneId(1), 1_000 * MS);
    let now = 1_300 * MS;
    let many = || (0..4).map(|m| out(1, m, 1_000 * MS));
    assert!(zones.silent(now, many()).is_empty(), "nobody else was heard of since");
    zones.heard(ZoneId(0), 1_200 * MS);
    assert_eq!(zones.silent(now, many()), [ZoneId(1)], "4 x 3 usual times");
    assert!(zones.silent(now, (0..4).map(|_| out(1, 7, 1_000 * MS))).is_empty(), "one member alone");
    assert!(zones.silent(now, many().take(2)).is_empty(), "two members");
    assert!(zones.silent(1_100 * MS, many()).is_empty(), "too soon");
    let long = [out(1, 1, 0), out(1, 2, 1_299 * MS), out(1, 3, 1_299 * MS)];
    assert!(zones.silent(now, long.into_iter()).is_empty(), "one that takes long counts for little");
    zones.heard(ZoneId(1), 1_250 * MS);
    zones.heard(ZoneId(0), 1_260 * MS);
    assert!(zones.silent(now, many()).is_empty(), "it has answered since");
    assert!(zones.silent(now, (0..9).map(|m| out(5, m, 0))).is_empty(), "never heard of");
}

/// Two zones with fifteen replicas each; after two seconds of answers the second zone answers nothing any more.
/// Attempts of the whole fleet that went there in the four seconds after.
fn lost_to_a_silent_zone() -> usize {
    let mut lost = 0;
    for me in 0..FLEET {
        let s = Settings { fleet_size: FLEET, me, check: ReplicaCheck::Refuse, ..settings() };
        let mut rig = Rig::seeded(s, u64::from(me));
        let zone = |m: u32| ZoneId(usize::from(m > 15));
        rig.list((1..=30).map(|m| ListEntry { zone: zone(m), ..entry(m) }).collect());
        let there = |rig: &Rig| {
            let sent = |a: &&Action| matches!(a, Action::Send { member, .. } if member.0 > 15);
            rig.out.iter().filter(sent).count()
        };
        let mut before = 0;
        for step in 0..120 {
            if step == 40 {
                before = there(&rig);
            }
            let read = rig.ask(SESSION, 450, None);
            rig.wait(50);
            let sent = rig.sends(read);
            if let Some(member) = sent.last().copied().filter(|m| step < 40 || *m <= 15) {
                let (n, now) = (sent.len() as u32 - 1, Some(rig.now));
                rig.answer(read, n, member, Outcome::Ok, 50, now, Some(Role::Replica));
            }
        }
        lost += there(&rig) - before;
    }
    lost
}

// Guards against learning of a lost zone one member at a time: each of a hundred routers pays a request for each.
#[test]
fn a_lost_zone_costs_each_router_a_few_requests_not_one_for_each_member() {
    let lost = lost_to_a_silent_zone();
    assert!((FLEET as usize..=6 * FLEET as usize).contains(&lost), "{lost} requests lost by {FLEET} routers");
}

// Guards against trials by a hundred routers that together are a traffic of their own: at 2 s a router they were 50
// requests a second at each member that takes work and answers nothing.
#[test]
fn trials_of_a_member_that_answers_nothing_stay_few_over_the_fleet_and_probes_of_a_dead_one_frequent() {
    for (fleet, dead, most) in [(2u32, false, 1.1), (FLEET, false, 12.0), (FLEET, true, 70.0)] {
        let (mut trials, mut now) = (0, 0);
        let mut ill = Ill::new(now, fleet);
        ill.worse(now, dead, false, 1.0);
        while now < 60_000 * MS {
            now += 10 * MS;
            if ill.due(now, true) {
                trials += 1;
                if dead {
                    ill.worse(now, true, false, 1.0);
                } else {
                    ill.tried(now);
                }
            }
        }
        let rate = f64::from(trials * fleet) / 60.0;
        assert!(rate > 0.5 && rate <= most, "{rate} trials a second by {fleet}, dead {dead}");
    }
}

/// Reads of which member 2 answers each with this outcome at once, member 3 with a row; how many went to 2.
fn drawn_to(outcome: Outcome) -> usize {
    let mut rig = Rig::empty(Settings { fleet_size: FLEET, check: ReplicaCheck::Refuse, ..settings() });
    rig.list((1..=3).map(entry).collect());
    rig.report(1, rig.now, Role::Primary);
    (2..=3).for_each(|m| rig.report(m, rig.now, Role::Replica));
    let mut drawn = 0;
    for _ in 0..60 {
        let read = rig.ask(ANY, 900, None);
        for n in 0..3 {
            let Some(member) = rig.sends(read).get(n).copied() else { break };
            drawn += usize::from(member == 2);
            let outcome = if member == 2 { outcome } else { Outcome::Ok };
            rig.answer(read, n as u32, member, outcome, 5, Some(rig.now), None);
        }
        rig.wait(100);
    }
    drawn
}

// Guards against a member that fails everything quickly and so looks idle: it drew a third of the fleet's attempts.
#[test]
fn a_member_that_only_fails_is_left_alone_after_two() {
    let (failing, well) = (drawn_to(Outcome::Failed), drawn_to(Outcome::Ok));
    assert!(failing <= 6 && well >= 15, "{failing} attempts at a failing member, {well} at a good one");
}

// Guards against clearing a member that answers nothing by what costs it no work: a write is turned away by who is
// no primary, at once, whatever became of its reads.
#[test]
fn a_write_turned_away_does_not_clear_a_member_that_answers_no_reads() {
    let mut rig = Rig::empty(Settings { check: ReplicaCheck::Refuse, ..settings() });
    rig.list(vec![entry(2)]);
    let write = rig.ask(WRITE, 3_000, None);
    let read = rig.ask(SESSION, 3_000, None);
    assert_eq!((rig.sends(write), rig.sends(read)), (vec![2], vec![2]));
    rig.wait(1_000);
    assert!(rig.out.contains(&Action::Probe { member: MemberId(2) }), "held for silent");
    rig.answer(write, 0, 2, Outcome::Miss, 1_000, None, Some(Role::Replica));
    let reads: Vec<RequestId> = (0..4).map(|_| rig.ask(SESSION, 900, None)).collect();
    let at: usize = reads.iter().map(|r| rig.sends(*r).len()).sum();
    assert!(at <= 1, "one trial at most, not {at}");
}

// Guards against a full share for members that lost power with their zone and come back cold: their connections time
// out, as at a cut, and the list tells of their start only seconds later.
#[test]
fn a_zone_that_was_silent_as_a_whole_is_let_in_as_cold_before_the_list_tells() {
    let s = Settings { fleet_size: FLEET, check: ReplicaCheck::Refuse, ..settings() };
    let mut rig = Rig::empty(s);
    let zone = |m: u32| ZoneId(usize::from(m > 8));
    rig.list((1..=16).map(|m| ListEntry { zone: zone(m), ..entry(m) }).collect());
    for step in 0..100 {
        let read = rig.ask(SESSION, 450, None);
        rig.wait(50);
        let sent = rig.sends(read);
        if let Some(member) = sent.last().copied().filter(|m| step < 40 || *m <= 8) {
            let (n, now) = (sent.len() as u32 - 1, Some(rig.now));
            rig.answer(read, n, member, Outcome::Ok, 50, now, Some(Role::Replica));
        }
    }
    let report = LoadReport::default();
    for member in (9..=16).map(MemberId) {
        rig.event(Event::Probed { member, outcome: Outcome::TimedOut, report });
    }
    rig.wait(2_000);
    (9..=16).for_each(|m| rig.report(m, rig.now, Role::Replica));
    let reads: Vec<RequestId> = (0..16).map(|_| rig.ask(SESSION, 450, None)).collect();
    let there = reads.iter().filter(|r| rig.sends(**r).iter().any(|m| *m > 8)).count();
    assert!(there <= 2, "{there} of 16 reads at once to members just back with their zone");
    rig.wait(16_000);
    (1..=16).for_each(|m| rig.report(m, rig.now, Role::Replica));
    let reads: Vec<RequestId> = (0..16).map(|_| rig.ask(SESSION, 450, None)).collect();
    let there = reads.iter().filter(|r| rig.sends(**r).iter().any(|m| *m > 8)).count();
    assert!(there >= 4, "{there} of 16 reads once they are warm");
}
