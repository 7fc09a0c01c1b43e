//! Tests of the log position that a read requires, and of the replicas that are known to have applied it.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against a session read that does not see the last write of its session.
#[test]
fn session_read_waits_for_replica_with_its_write() {
    let mut harness = RouterHarness::new(default_settings());
    let commit = harness.complete_write(5, 50);
    let read = harness.send_request(SESSION, 1_000, Some(5));
    assert!(harness.attempted_members(read).is_empty(), "no replica is known to have applied the write");
    harness.report_health(3, commit + 5 * MS, Role::Replica);
    assert_eq!(harness.attempted_members(read), [3]);
}

/// Guards against session reads that miss a write because its client disconnected before the answer.
#[test]
fn commit_counts_after_its_client_left() {
    let mut harness = RouterHarness::new(default_settings());
    let write = harness.send_request(WRITE, 2_000, Some(5));
    harness.advance(30);
    harness.handle(Event::ClientGone { id: write });
    harness.end_attempt(write, 0, 1, AttemptResult::answered(30, harness.now, Role::Primary));
    let read = harness.send_request(SESSION, 1_000, Some(5));
    assert!(
        harness.attempted_members(read).iter().all(|member| *member == 1),
        "a replica that has not applied the write must not get the read"
    );
}

/// Guards against session reads that miss a write with a long answer, whose commit position comes behind the value, or
/// does not come since the answer broke off.
#[test]
fn commit_behind_a_long_answer_counts_for_its_session() {
    for has_position in [true, false] {
        let mut harness = RouterHarness::new(default_settings());
        let write = harness.send_request(WRITE, 2_000, Some(5));
        harness.advance(30);
        harness.end_attempt(write, 0, 1, AttemptResult::without_report(Outcome::Ok, 30));
        harness.advance(20);
        let commit = harness.now;
        harness.handle(Event::LongAnswerEnded(LongAnswerEnd {
            member: MemberId(1),
            group: GROUP,
            class: WRITE,
            session: Some(SessionKey(5)),
            position: has_position.then_some(LogPosition(commit)),
            role: None,
            report: LoadReport::default(),
        }));
        let read = harness.send_request(SESSION, 1_000, Some(5));
        assert!(harness.attempted_members(read).is_empty(), "no replica is known to have applied the write");
        harness.report_health(3, commit + 5 * MS, Role::Replica);
        assert_eq!(harness.attempted_members(read), [3]);
    }
}

/// Guards against a bounded read at a replica whose last known position is older than the bound.
#[test]
fn bounded_read_position_moves_with_time() {
    let mut harness = RouterHarness::new(default_settings());
    let fresh = harness.send_request(BOUNDED, 1_000, None);
    assert_ne!(harness.attempted_members(fresh), [1]);
    harness.advance(205);
    let late = harness.send_request(BOUNDED, 1_000, None);
    assert!(harness.attempted_members(late).is_empty(), "both known positions are over 200 ms old");
}

/// Guards against reads of data that is too old because a replica reported a position in the future.
#[test]
fn position_in_the_future_is_ignored() {
    let mut harness =
        RouterHarness::new(Settings { position_check: PositionCheck::None, ..default_settings() });
    harness.report_health(2, harness.now + 3_600_000 * MS, Role::Replica);
    let commit = harness.complete_write(5, 50);
    harness.advance(100);
    let id = harness.send_request(SESSION, 2_000, Some(5));
    assert!(
        !harness.attempted_members(id).contains(&2),
        "no valid report shows that replica 2 has applied {commit}"
    );
}
