//! Members that accept work and answer nothing, or errors only, and how they are tried again.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::outlier_recovery::EjectedMember;

fn checked() -> Settings {
    Settings { check: ReplicaCheck::Refuse, ..settings() }
}

/// Guards against trials that together are a traffic of their own: at 2 s a router they were 50 requests a
/// second at each member that takes work and answers nothing. Probes of one out of reach stay frequent: they
/// reach nobody.
#[test]
fn trials_stay_few_over_the_fleet() {
    for (fleet, unreachable, most) in [(2, false, 1.1), (FLEET, false, 12.0), (FLEET, true, 70.0)] {
        let (mut trials, mut ejected) = (0, EjectedMember::new(0, fleet));
        ejected.failed(0, unreachable, false, 1.0);
        for now in (0..60_000).step_by(10).map(|ms| ms * MS) {
            if ejected.take_due_trial(now, true) {
                trials += 1;
                if unreachable { ejected.failed(now, true, false, 1.0) } else { ejected.trial_sent(now) }
            }
        }
        let rate = f64::from(trials * fleet) / 60.0;
        assert!(rate > 0.5 && rate <= most, "{rate} trials a second by {fleet}, unreachable {unreachable}");
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

/// Guards against a member that fails everything at once and so looks idle: it drew a third of the fleet's
/// attempts. Its probes are answered, so each answer let the next request try again without a gap.
#[test]
fn failing_member_is_left_alone_after_two() {
    let (failing, well) = (drawn_to(Outcome::Failed), drawn_to(Outcome::Ok));
    assert!(failing <= 9 && well >= 60, "{failing} attempts at a failing member, {well} at a good one");
}

/// Guards against clearing a member that answers nothing by what costs it no work: a member that is no
/// primary rejects a write at once, whatever became of its reads.
#[test]
fn rejected_write_does_not_clear_a_silent_member() {
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
