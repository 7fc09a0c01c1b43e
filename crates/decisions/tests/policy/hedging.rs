//! Tests of attempts that are far later than usual, which are hedged, or cancelled and retried.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against a slow read that is not hedged, is hedged more than once, or is hedged where hedging is off.
#[test]
fn slow_read_is_hedged_once_where_allowed() {
    for is_allowed in [false, true] {
        let mut settings = default_settings();
        settings.limits.hedging = is_allowed;
        settings.classes[ANY.0].latency_objective = Micros(2_000 * MS);
        let mut harness = RouterHarness::new(settings);
        // These attempts bring the mean latency of the class to about 10 ms.
        for _ in 0..40 {
            let id = harness.send_request(ANY, 1_000, None);
            let member = harness.attempted_members(id)[0];
            harness.advance(10);
            harness.end_attempt(id, 0, member, AttemptResult::answered(10, harness.now, Role::Replica));
        }
        let read = harness.send_request(ANY, 3_000, None);
        let member = harness.attempted_members(read)[0];
        // Other reads and the health checks of this member are answered meanwhile, so the member is not ejected.
        for _ in 0..130 {
            harness.advance(10);
            let other = harness.send_request(BOUNDED, 1_000, None);
            for other_member in harness.attempted_members(other) {
                harness.end_attempt(other, 0, other_member, AttemptResult::without_role(10, harness.now));
            }
            harness.report_health(member, harness.now, Role::Replica);
        }
        assert_eq!(harness.attempted_members(read).len(), if is_allowed { 2 } else { 1 });
    }
}

/// Guards against a read that waits for a lost answer until its deadline where hedging is off.
#[test]
fn late_read_is_cancelled_and_retried_without_hedging() {
    let mut settings = default_settings();
    settings.classes[ANY.0].latency_objective = Micros(2_000 * MS);
    let mut harness = RouterHarness::new(settings);
    for _ in 0..60 {
        let id = harness.send_request(ANY, 1_000, None);
        harness.advance(10);
        harness.answer_latest_attempt(id, 10);
    }
    let read = harness.send_request(ANY, 3_000, None);
    let member = harness.attempted_members(read)[0];
    for _ in 0..200 {
        harness.advance(10);
        harness.report_health(2, harness.now, Role::Replica);
        harness.report_health(3, harness.now, Role::Replica);
        if harness.actions.contains(&Action::Cancel { id: read, attempt: 0 }) {
            break;
        }
    }
    assert!(harness.actions.contains(&Action::Cancel { id: read, attempt: 0 }));
    harness.end_attempt(read, 0, member, AttemptResult::without_report(Outcome::Cancelled, 1_500));
    assert_eq!(
        harness.attempted_members(read).len(),
        2,
        "{:?}",
        harness.actions.iter().rev().take(6).collect::<Vec<_>>()
    );
}

/// Guards against a keyed write that waits for a lost answer until its deadline, and against a retry of a write whose
/// primary is only slow or that is not idempotent.
#[test]
fn keyed_write_is_retried_once_later_ones_are_answered() {
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(5_000 * MS) };
    for (idempotency, are_later_answered, is_retried) in
        [(keyed, true, true), (keyed, false, false), (Idempotency::NotIdempotent, true, false)]
    {
        let mut settings = default_settings();
        settings.classes[WRITE.0].idempotency = idempotency;
        settings.classes[WRITE.0].latency_objective = Micros(200 * MS);
        let mut harness = RouterHarness::new(settings);
        let first = harness.send_request(WRITE, 2_000, None);
        for _ in 0..50 {
            harness.advance(20);
            let next = harness.send_request(WRITE, 2_000, None);
            if are_later_answered {
                harness.end_attempt(next, 0, 1, AttemptResult::answered(20, harness.now, Role::Primary));
            }
        }
        let cancel = Action::Cancel { id: first, attempt: 0 };
        assert_eq!(
            harness.actions.contains(&cancel),
            is_retried,
            "{idempotency:?}, are_later_answered={are_later_answered}"
        );
        if is_retried {
            harness.end_attempt(first, 0, 1, AttemptResult::without_report(Outcome::Cancelled, 1_000));
            assert_eq!(harness.attempted_members(first), [1, 1]);
        }
    }
}

/// Guards against a keyed write that is applied twice: its cancelled attempt lies unread in the member's system, and runs
/// after the window of the repeat. Only an attempt that never runs may be repeated.
#[test]
fn a_long_keyed_write_is_repeated_only_if_its_attempt_was_not_written() {
    for hedging in [false, true] {
        let mut settings = default_settings();
        settings.limits.hedging = hedging;
        settings.classes[WRITE.0].idempotency =
            Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(5_000 * MS) };
        settings.classes[WRITE.0].latency_objective = Micros(200 * MS);
        let mut harness = RouterHarness::new(settings);
        harness.statements_are_long = true;
        let first = harness.send_request(WRITE, 2_000, None);
        harness.statements_are_long = false;
        for _ in 0..50 {
            harness.advance(20);
            let next = harness.send_request(WRITE, 2_000, None);
            harness.end_attempt(next, 0, 1, AttemptResult::answered(20, harness.now, Role::Primary));
        }
        assert!(!harness.actions.contains(&Action::Cancel { id: first, attempt: 0 }));
        assert_eq!(harness.attempted_members(first), [1], "the attempt may be in progress");
        let cancel = Action::CancelIfUnwritten { id: first, attempt: 0 };
        let cancels = harness.actions.iter().filter(|action| **action == cancel).count();
        assert_eq!(cancels, 1);
        harness.end_attempt(first, 0, 1, AttemptResult::without_report(Outcome::NotSent, 1_000));
        assert_eq!(harness.attempted_members(first), [1, 1]);
    }
}
