//! Tests of ejected members, which do not answer or answer only errors, and of the trials that restore them.

mod common;
use common::*;
use linenhill_decisions::api::*;
use linenhill_decisions::outlier_recovery::EjectedMember;

/// Guards against trials that add up over the fleet: with one in 2 s from each of 100 routers, each unresponsive member
/// got 50 requests a second. Health checks of an unreachable member stay frequent, since they cost it no work.
#[test]
fn trials_stay_few_over_the_fleet() {
    for (fleet, unreachable, max_rate) in
        [(2, false, 1.1), (FLEET_SIZE, false, 12.0), (FLEET_SIZE, true, 70.0)]
    {
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
        assert!(
            rate > 0.5 && rate <= max_rate,
            "{rate} trials a second from {fleet} routers, unreachable: {unreachable}"
        );
    }
}

/// Sends reads for 24 s. Member 2 ends each of its attempts with `outcome` after 5 ms, member 3 serves each of its own.
/// Returns the number of attempts at member 2.
fn attempts_at_member_2(outcome: Outcome) -> usize {
    let mut harness = fleet_of_routers(settings_with_replica_check()).next().expect("a router");
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

/// Guards against frequent trials of a member that fails every request at once, and so looks idle, but answers health
/// checks. Each answered check permitted the next trial without a gap, and the member got a third of the attempts.
#[test]
fn failing_member_is_ejected_after_two_attempts() {
    let failing = attempts_at_member_2(Outcome::Failed);
    let healthy = attempts_at_member_2(Outcome::Ok);
    assert!(
        failing <= 9 && healthy >= 60,
        "{failing} attempts at a failing member, {healthy} at a healthy one"
    );
}

/// Guards against restoring an unresponsive member because of an answer that costs it no work: a member that is not the
/// primary rejects a write at once, even while it answers no reads.
#[test]
fn rejected_write_does_not_restore_a_silent_member() {
    let mut harness = RouterHarness::empty(settings_with_replica_check());
    harness.update_list(vec![list_entry(2)]);
    let write = harness.send_request(WRITE, 3_000, None);
    let read = harness.send_request(SESSION, 3_000, None);
    assert_eq!((harness.attempted_members(write), harness.attempted_members(read)), (vec![2], vec![2]));
    harness.advance(1_000);
    assert!(
        harness.actions.contains(&Action::CheckHealth { member: MemberId(2) }),
        "the member is ejected as unresponsive"
    );
    harness.end_latest_attempt(
        write,
        MemberAnswer { outcome: Outcome::NotApplicable, latency_ms: 1_000, utilisation: 0.5 },
        |_| true,
    );
    let reads: Vec<RequestId> = (0..4).map(|_| harness.send_request(SESSION, 900, None)).collect();
    let trials: usize = reads.iter().map(|read| harness.attempted_members(*read).len()).sum();
    assert!(trials <= 1, "at most one trial expected, got {trials}");
}
