//! Which members are ejected for their silence, and the trials that bring them back.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against writes that keep going to a primary that answers nothing, and against many trials at once.
#[test]
fn silent_primary_is_ejected() {
    let mut harness = RouterHarness::new(default_settings());
    let first: Vec<RequestId> = (0..4).map(|_| harness.send_request(WRITE, 2_000, None)).collect();
    assert!(first.iter().all(|id| harness.attempted_members(*id) == [1]));
    harness.advance(450);
    let later = harness.send_request(WRITE, 100, None);
    harness.advance(100);
    assert!(harness.attempted_members(later).is_empty(), "a silent member gets no more writes");
    assert_eq!(harness.final_answers(later), 1);
    let trials: Vec<RequestId> = (0..10).map(|_| harness.send_request(WRITE, 1_000, None)).collect();
    harness.advance(400);
    let sent = trials.iter().filter(|id| !harness.attempted_members(**id).is_empty()).count();
    assert!(sent <= 2, "{sent} writes tried a silent primary at once");
}

/// Guards against a primary that stays ejected although its replicas show that it commits again.
#[test]
fn hung_primary_is_healthy_once_the_log_advances() {
    let mut harness = RouterHarness::new(default_settings());
    let first = harness.send_request(WRITE, 5_000, None);
    assert_eq!(harness.attempted_members(first), [1]);
    harness.advance(800);
    harness.report_health(2, harness.now + 500 * MS, Role::Replica);
    let later = harness.send_request(WRITE, 2_000, None);
    assert_eq!(harness.attempted_members(later), [1]);
}

/// Guards against client requests as the first trial at a silent member, and against more than one trial at a time.
#[test]
fn silent_member_is_health_checked_before_its_trial() {
    let mut harness = RouterHarness::new(default_settings());
    let write = harness.send_request(WRITE, 5_000, None);
    assert_eq!(harness.attempted_members(write), [1]);
    harness.advance(1_000);
    assert!(harness.actions.contains(&Action::CheckHealth { member: MemberId(1) }));
    // A replica's position does not say when it was reported; the reported role does.
    (2..=3).for_each(|member| harness.report_health(member, harness.now - 5_000 * MS, Role::Replica));
    harness.advance(100);
    (2..=3).for_each(|member| harness.report_health(member, harness.now - 5_000 * MS, Role::Replica));
    let later = harness.send_request(WRITE, 5_000, None);
    assert!(
        harness.attempted_members(later).is_empty(),
        "nor do replicas get it: {:?}",
        harness.attempted_members(later)
    );
    harness.report_health(1, harness.now - 900 * MS, Role::Primary);
    assert_eq!(
        harness.attempted_members(later),
        [1],
        "one trial request may go to a member whose health check was answered"
    );
    let third = harness.send_request(WRITE, 5_000, None);
    assert!(harness.attempted_members(third).is_empty(), "and only one");
}

/// Guards against a trial that is cancelled before the member can answer it, which would keep the member ejected.
#[test]
fn trial_read_is_not_cancelled() {
    let mut harness = RouterHarness::empty(default_settings());
    harness.update_list(vec![list_entry(2)]);
    harness.report_health(2, harness.now, Role::Replica);
    let lost = harness.send_request(ANY, 3_000, None);
    assert_eq!(harness.attempted_members(lost), [2]);
    harness.advance(1_000);
    assert!(harness.actions.contains(&Action::Cancel { id: lost, attempt: 0 }), "silent: cancelled there");
    harness.end_attempt(lost, 0, 2, AttemptResult::without_report(Outcome::Cancelled, 1_000));
    harness.report_health(2, harness.now, Role::Replica);
    harness.advance(100);
    let attempt = 1;
    assert_eq!(harness.attempted_members(lost), [2, 2], "a trial, since the health check was answered");
    harness.advance(60);
    assert!(
        !harness.actions.contains(&Action::Cancel { id: lost, attempt }),
        "the trial must be able to end"
    );
    harness.end_attempt(lost, attempt, 2, AttemptResult::answered(60, harness.now, Role::Replica));
    let next = [harness.send_request(ANY, 1_000, None), harness.send_request(ANY, 1_000, None)];
    assert!(next.iter().all(|id| harness.attempted_members(*id) == [2]), "then the member is healthy again");
}
