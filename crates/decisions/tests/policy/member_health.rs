//! Tests of the ejection of unresponsive members, and of the trials that restore them.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against further writes to a primary that does not answer, and against many trials at once.
#[test]
fn silent_primary_is_ejected() {
    let mut harness = RouterHarness::new(default_settings());
    let first: Vec<RequestId> = (0..4).map(|_| harness.send_request(WRITE, 2_000, None)).collect();
    assert!(first.iter().all(|id| harness.attempted_members(*id) == [1]));
    harness.advance(450);
    let later = harness.send_request(WRITE, 100, None);
    harness.advance(100);
    assert!(harness.attempted_members(later).is_empty(), "an unresponsive member gets no further writes");
    assert_eq!(harness.final_answers(later), 1);
    let trials: Vec<RequestId> = (0..10).map(|_| harness.send_request(WRITE, 1_000, None)).collect();
    harness.advance(400);
    let sent = trials.iter().filter(|id| !harness.attempted_members(**id).is_empty()).count();
    assert!(sent <= 2, "{sent} writes were sent at once to an unresponsive primary");
}

/// Guards against a primary that stays ejected although the positions of its replicas show that it commits again.
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

/// Guards against a client request as the first trial of an unresponsive member, and against more than one trial at a
/// time.
#[test]
fn silent_member_is_health_checked_before_its_trial() {
    let mut harness = RouterHarness::new(default_settings());
    let write = harness.send_request(WRITE, 5_000, None);
    assert_eq!(harness.attempted_members(write), [1]);
    harness.advance(1_000);
    assert!(harness.actions.contains(&Action::CheckHealth { member: MemberId(1) }));
    // The position of a replica does not tell the age of its report. Its role counts from the health check, less the
    // longest report delay, so neither member is a candidate for the primary.
    (2..=3).for_each(|member| harness.report_health(member, harness.now - 5_000 * MS, Role::Replica));
    harness.advance(100);
    (2..=3).for_each(|member| harness.report_health(member, harness.now - 5_000 * MS, Role::Replica));
    let later = harness.send_request(WRITE, 5_000, None);
    assert!(
        harness.attempted_members(later).is_empty(),
        "neither the primary nor a replica gets the write: {:?}",
        harness.attempted_members(later)
    );
    harness.report_health(1, harness.now - 900 * MS, Role::Primary);
    assert_eq!(
        harness.attempted_members(later),
        [1],
        "a member whose health check was answered gets one trial request"
    );
    let third = harness.send_request(WRITE, 5_000, None);
    assert!(harness.attempted_members(third).is_empty(), "only one trial request at a time");
}

/// Guards against cancelling a trial before the member can answer it, which would keep the member ejected.
#[test]
fn trial_read_is_not_cancelled() {
    let mut harness = RouterHarness::empty(default_settings());
    harness.update_list(vec![list_entry(2)]);
    harness.report_health(2, harness.now, Role::Replica);
    let lost = harness.send_request(ANY, 3_000, None);
    assert_eq!(harness.attempted_members(lost), [2]);
    harness.advance(1_000);
    assert!(
        harness.actions.contains(&Action::Cancel { id: lost, attempt: 0 }),
        "the attempt at the unresponsive member is cancelled"
    );
    harness.end_attempt(lost, 0, 2, AttemptResult::without_report(Outcome::Cancelled, 1_000));
    harness.report_health(2, harness.now, Role::Replica);
    harness.advance(100);
    let attempt = 1;
    assert_eq!(harness.attempted_members(lost), [2, 2], "the answered health check permits a trial");
    harness.advance(60);
    assert!(!harness.actions.contains(&Action::Cancel { id: lost, attempt }), "the trial is not cancelled");
    harness.end_attempt(lost, attempt, 2, AttemptResult::answered(60, harness.now, Role::Replica));
    let next = [harness.send_request(ANY, 1_000, None), harness.send_request(ANY, 1_000, None)];
    assert!(
        next.iter().all(|id| harness.attempted_members(*id) == [2]),
        "the answered trial restores the member"
    );
}
