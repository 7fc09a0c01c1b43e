//! Ejected members: those that accept work and answer nothing, or errors only, and the trials that bring them back.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::outlier_recovery::EjectedMember;

/// Guards against trials that add up over the fleet: at one in 2 s from each router they were 50 requests a second at
/// each member that accepts work and answers nothing. Health checks of an unreachable member stay frequent: they cost
/// it no work.
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

/// Sends reads for 24 s. Member 2 ends each with this outcome at once, member 3 serves each.
/// Returns how many went to member 2.
fn attempts_at_member_2(outcome: Outcome) -> usize {
    let mut harness = fleet_of_routers(settings_with_replica_check()).next().expect("one");
    harness.update_list((1..=3).map(list_entry).collect());
    harness.report_health(1, harness.now, Role::Primary);
    let mut attempts = 0;
    let mut answered_checks = 0;
    for _ in 0..240 {
        let read = harness.send_request(SESSION, 900, None);
        for n in 1..=3 {
            let end = if harness.attempted_members(read).last() == Some(&2) { outcome } else { Outcome::Ok };
            if harness.attempted_members(read).len() == n {
                attempts += usize::from(
                    harness.end_latest_attempt(
                        read,
                        MemberAnswer { outcome: end, latency_ms: 5, utilisation: 0.5 },
                        |_| true,
                    ) == Some(2),
                );
            }
        }
        let health_checks = harness.health_checks();
        for _ in answered_checks..health_checks {
            harness.report_health(2, harness.now, Role::Replica);
        }
        answered_checks = health_checks;
        harness.advance(100);
    }
    attempts
}

/// Guards against a member that fails every request at once and so looks idle: it got a third of the fleet's attempts.
/// It answers its health checks, and each answer admitted the next trial without a gap.
#[test]
fn failing_member_is_ejected_after_two_attempts() {
    let failing = attempts_at_member_2(Outcome::Failed);
    let healthy = attempts_at_member_2(Outcome::Ok);
    assert!(
        failing <= 9 && healthy >= 60,
        "{failing} attempts at a failing member, {healthy} at a healthy one"
    );
}

/// Guards against counting a silent member as healthy for an answer that costs it no work: a member that is no primary
/// rejects a write at once, even while it answers no read.
#[test]
fn rejected_write_does_not_restore_a_silent_member() {
    let mut harness = RouterHarness::empty(settings_with_replica_check());
    harness.update_list(vec![list_entry(2)]);
    let write = harness.send_request(WRITE, 3_000, None);
    let read = harness.send_request(SESSION, 3_000, None);
    assert_eq!((harness.attempted_members(write), harness.attempted_members(read)), (vec![2], vec![2]));
    harness.advance(1_000);
    assert!(harness.actions.contains(&Action::CheckHealth { member: MemberId(2) }), "counts as silent");
    harness.end_latest_attempt(
        write,
        MemberAnswer { outcome: Outcome::NotApplicable, latency_ms: 1_000, utilisation: 0.5 },
        |_| true,
    );
    let reads: Vec<RequestId> = (0..4).map(|_| harness.send_request(SESSION, 900, None)).collect();
    let trials: usize = reads.iter().map(|read| harness.attempted_members(*read).len()).sum();
    assert!(trials <= 1, "one trial at most, not {trials}");
}
