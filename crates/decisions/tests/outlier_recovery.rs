//! Members that accept work and answer nothing, or errors only, and how they are tried again.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::outlier_recovery::EjectedMember;

/// Guards against trials that together are a traffic of their own: at 2 s a router they were 50 requests a
/// second at each member that accepts work and answers nothing. Probes of one out of reach stay frequent:
/// they reach nobody.
#[test]
fn trials_stay_few_over_the_fleet() {
    for (fleet, unreachable, most) in [(2, false, 1.1), (FLEET, false, 12.0), (FLEET, true, 70.0)] {
        let mut trials = 0;
        let mut ejected = EjectedMember::new(Time(0), fleet);
        ejected.failed(Time(0), unreachable, false, 1.0);
        for now in (0..60_000).step_by(10).map(|ms| Time(ms * MS)) {
            if ejected.take_due_trial(now, true) {
                trials += 1;
                if unreachable { ejected.failed(now, true, false, 1.0) } else { ejected.trial_sent(now) }
            }
        }
        let rate = f64::from(trials * fleet) / 60.0;
        assert!(rate > 0.5 && rate <= most, "{rate} trials a second by {fleet}, unreachable {unreachable}");
    }
}

/// Plays reads over 24 s, of which member 2 answers each with this outcome at once and member 3 with a row.
/// Returns how many went to member 2.
fn attempts_at_member_2(outcome: Outcome) -> usize {
    let mut rig = fleet(settings_with_replica_check()).next().expect("one");
    rig.list((1..=3).map(entry).collect());
    rig.report(1, rig.now, Role::Primary);
    let mut attempts = 0;
    let mut probes = 0;
    for _ in 0..240 {
        let read = rig.ask(SESSION, 900, None);
        for n in 1..=3 {
            let end = if rig.sends(read).last() == Some(&2) { outcome } else { Outcome::Ok };
            if rig.sends(read).len() == n {
                attempts += usize::from(rig.ends(read, (end, 5), 0.5, |_| true) == Some(2));
            }
        }
        for _ in std::mem::replace(&mut probes, rig.probes())..rig.probes() {
            rig.report(2, rig.now, Role::Replica);
        }
        rig.wait(100);
    }
    attempts
}

/// Guards against a member that fails everything at once and so looks idle: it drew a third of the fleet's
/// attempts. Its probes are answered, so each answer let the next request try again without a gap.
#[test]
fn failing_member_is_left_alone_after_two() {
    let failing = attempts_at_member_2(Outcome::Failed);
    let healthy = attempts_at_member_2(Outcome::Ok);
    assert!(
        failing <= 9 && healthy >= 60,
        "{failing} attempts at a failing member, {healthy} at a healthy one"
    );
}

/// Guards against clearing a member that answers nothing by what costs it no work: a member that is no
/// primary rejects a write at once, whatever became of its reads.
#[test]
fn rejected_write_does_not_clear_a_silent_member() {
    let mut rig = Rig::empty(settings_with_replica_check());
    rig.list(vec![entry(2)]);
    let write = rig.ask(WRITE, 3_000, None);
    let read = rig.ask(SESSION, 3_000, None);
    assert_eq!((rig.sends(write), rig.sends(read)), (vec![2], vec![2]));
    rig.wait(1_000);
    assert!(rig.out.contains(&Action::CheckHealth { member: MemberId(2) }), "counts as silent");
    rig.ends(write, (Outcome::NotApplicable, 1_000), 0.5, |_| true);
    let reads: Vec<RequestId> = (0..4).map(|_| rig.ask(SESSION, 900, None)).collect();
    let trials: usize = reads.iter().map(|read| rig.sends(*read).len()).sum();
    assert!(trials <= 1, "one trial at most, not {trials}");
}
