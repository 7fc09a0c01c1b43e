//! Tests of which requests are retried after a failure, and at which member.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against a second execution of a non-idempotent write that may have run.
#[test]
fn non_idempotent_write_fails_without_retry() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Failed] {
        let mut harness = RouterHarness::new(default_settings());
        let write = harness.send_request(WRITE, 2_000, None);
        harness.end_attempt(write, 0, 1, AttemptResult::without_report(outcome, 100));
        assert_eq!(harness.attempted_members(write), [1]);
        assert!(harness.actions.contains(&Action::Fail { id: write }));
        harness.advance(2_500);
        assert_eq!(harness.final_answers(write), 1);
    }
}

/// Guards against a retry after the deduplication window, which the member no longer recognises as a duplicate.
#[test]
fn keyed_write_is_retried_only_within_its_window() {
    for (window_ms, is_retried) in [(5_000, true), (50, false)] {
        let mut settings = default_settings();
        settings.classes[WRITE.0].idempotency =
            Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(window_ms * MS) };
        let mut harness = RouterHarness::new(settings);
        let write = harness.send_request(WRITE, 2_000, None);
        harness.advance(100);
        harness.end_attempt(write, 0, 1, AttemptResult::without_report(Outcome::Failed, 100));
        assert_eq!(harness.attempted_members(write).len() == 2, is_retried);
        assert_eq!(harness.actions.contains(&Action::Fail { id: write }), !is_retried);
    }
}

/// Guards against a keyed write that is applied twice: the proxy has closed the connection of its first attempt, whose
/// long statement the member reads and runs after the window of the repeat. A member that resets the connection reads no
/// more, and a rejection is a reply to the whole statement.
#[test]
fn a_long_keyed_write_is_not_repeated_while_it_may_run_later() {
    let outcomes = [
        (Outcome::Cancelled, false),
        (Outcome::TimedOut, false),
        (Outcome::MalformedReply, false),
        (Outcome::Reset, true),
        (Outcome::QueueFull, true),
        (Outcome::NotSent, true),
    ];
    for (is_long, (outcome, is_repeated_if_long)) in
        [false, true].into_iter().flat_map(|is_long| outcomes.map(|outcome| (is_long, outcome)))
    {
        let mut settings = default_settings();
        settings.classes[WRITE.0].idempotency =
            Idempotency::Keyed { scope: DeduplicationScope::All, window: Micros(5_000 * MS) };
        let mut harness = RouterHarness::new(settings);
        harness.statements_are_long = is_long;
        let write = harness.send_request(WRITE, 2_000, None);
        harness.advance(100);
        harness.end_attempt(write, 0, 1, AttemptResult::without_report(outcome, 100));
        harness.advance(500);
        let is_repeated = is_repeated_if_long || !is_long;
        assert_eq!(harness.attempted_members(write).len() > 1, is_repeated, "{outcome:?}, long: {is_long}");
        // A client that is told to try again would send a repeat of its own.
        assert_eq!(harness.actions.contains(&Action::Fail { id: write }), !is_repeated, "{outcome:?}");
    }
}

/// Guards against a repeat whose last byte reaches the member after the deduplication window, since writing it takes long.
#[test]
fn a_keyed_repeat_must_be_written_within_its_window() {
    let mut settings = default_settings();
    settings.classes[WRITE.0].idempotency =
        Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(1_000 * MS) };
    let mut harness = RouterHarness::new(settings);
    let first_sent = Time(harness.now);
    let write = harness.send_request(WRITE, 5_000, None);
    harness.advance(100);
    harness.end_attempt(write, 0, 1, AttemptResult::without_report(Outcome::Reset, 100));
    let limits = harness.write_limits(write);
    assert_eq!((limits.len(), limits[0]), (2, None), "the first attempt has no limit");
    let limit = limits[1].expect("a limit for the repeat");
    // A process that is held up for 150 ms before its write is still within the window.
    assert!(limit > first_sent + Micros(800 * MS) && limit < first_sent + Micros(850 * MS), "{limit:?}");
}

/// Guards against a bounded read that is written once the replica's data is too old, since its connection came up late.
#[test]
fn a_bounded_read_must_be_written_while_the_replica_is_recent_enough() {
    for (position_check, is_limited) in
        [(PositionCheck::None, true), (PositionCheck::Wait(Micros(50 * MS)), false)]
    {
        let mut settings = default_settings();
        settings.position_check = position_check;
        let mut harness = RouterHarness::new(settings);
        let reported = harness.now;
        for replica in [2, 3] {
            harness.report_health(replica, reported, Role::Replica);
        }
        harness.advance(50);
        let read = harness.send_request(BOUNDED, 1_000, None);
        assert_ne!(harness.attempted_members(read), [1], "a replica serves it");
        let limits = harness.write_limits(read);
        // A reported position may have been rounded up by 1 ms.
        let expected = is_limited.then_some(Time(reported) + Micros(199 * MS));
        assert_eq!(limits, [expected], "{position_check:?}");
    }
}

/// Guards against a retry that is written after the deduplication window of its key, because it was queued until a
/// member was available, or because its connection was established only then.
#[test]
fn queued_keyed_retry_expires_with_its_window() {
    for (queued_ms, is_retried) in [(400, true), (800, false), (1_200, false)] {
        let mut settings = default_settings();
        settings.classes[WRITE.0].idempotency =
            Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(1_000 * MS) };
        let mut harness = RouterHarness::new(settings);
        let write = harness.send_request(WRITE, 5_000, None);
        let all_in =
            |state| (1..=3).map(|member| ListEntry { state, ..list_entry(member) }).collect::<Vec<_>>();
        harness.update_list(all_in(MemberState::Draining));
        harness.end_attempt(write, 0, 1, AttemptResult::without_report(Outcome::Reset, 1));
        assert_eq!((harness.attempted_members(write).len(), harness.final_answers(write)), (1, 0), "queued");
        harness.advance(queued_ms);
        harness.update_list(all_in(MemberState::InService));
        harness.report_health(1, harness.now, Role::Primary);
        harness.advance(100);
        assert_eq!(harness.attempted_members(write).len() == 2, is_retried, "after {queued_ms} ms");
        assert_eq!(
            harness.actions.contains(&Action::Fail { id: write }),
            !is_retried,
            "after {queued_ms} ms"
        );
    }
}

/// Guards against a read that is not retried, or retried at the same replica, after a lagging replica rejected it.
#[test]
fn not_applicable_read_tries_another_replica() {
    let mut settings = default_settings();
    settings.position_check = PositionCheck::Wait(Micros(50 * MS));
    let mut harness = RouterHarness::new(settings);
    let read = harness.send_request(BOUNDED, 1_000, None);
    let first = harness.attempted_members(read)[0];
    harness.end_attempt(
        read,
        0,
        first,
        AttemptResult::without_position(Outcome::NotApplicable, 50, Role::Replica),
    );
    let other = if first == 2 { 3 } else { 2 };
    assert_eq!(harness.attempted_members(read), [first, other]);
}

/// Guards against a request that is retried at unreachable members in a loop.
#[test]
fn unreachable_members_are_not_retried_in_a_loop() {
    let mut harness = RouterHarness::new(default_settings());
    let read = harness.send_request(ANY, 1_000, None);
    for attempt in 0..8 {
        let Some(member) = harness.attempted_members(read).get(attempt).copied() else { break };
        harness.end_attempt(
            read,
            attempt as u32,
            member,
            AttemptResult::without_report(Outcome::ConnectError, 1),
        );
    }
    assert!(harness.attempted_members(read).len() <= 3, "{:?}", harness.attempted_members(read));
}

/// Guards against ejecting a member for malformed replies, and against a retry of a non-idempotent write after one,
/// since the write may have run.
#[test]
fn malformed_reply_may_have_run_and_ejects_no_member() {
    let mut harness = RouterHarness::new(default_settings());
    let read = harness.send_request(BOUNDED, 2_000, None);
    let sent = harness.attempted_members(read);
    harness.end_attempt(read, 0, sent[0], AttemptResult::without_report(Outcome::MalformedReply, 20));
    assert_eq!(harness.attempted_members(read).len(), 2, "the read is retried");
    let write = harness.send_request(WRITE, 2_000, None);
    harness.end_attempt(write, 0, 1, AttemptResult::without_report(Outcome::MalformedReply, 20));
    assert!(harness.actions.contains(&Action::Fail { id: write }), "a non-idempotent write is not retried");
    for _ in 0..20 {
        harness.fail_health_check(1, Outcome::MalformedReply);
        let id = harness.send_request(WRITE, 2_000, None);
        assert_eq!(harness.attempted_members(id), [1], "the member stays in use");
        harness.end_attempt(id, 0, 1, AttemptResult::without_report(Outcome::MalformedReply, 20));
    }
}
