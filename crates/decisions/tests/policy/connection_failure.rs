//! Tests of the conclusion from a failed connection: the member is unreachable, it is short of connections, or one
//! connection broke.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against further requests to a listed member that has never responded and rejects its first connection.
#[test]
fn never_reached_member_is_ejected_after_one_failure() {
    let mut settings = default_settings();
    settings.position_check = PositionCheck::Reject;
    let mut harness = RouterHarness::empty(settings);
    harness.update_list(vec![list_entry(2)]);
    let read = harness.send_request(ANY, 1_000, None);
    assert_eq!(harness.attempted_members(read), [2]);
    harness.end_attempt(read, 0, 2, AttemptResult::without_report(Outcome::ConnectError, 1));
    harness.update_list(vec![list_entry(2), list_entry(3)]);
    harness.report_health(3, harness.now, Role::Replica);
    harness.assert_reads_go_to(ANY, 10, 3);
}

/// Guards against treating one broken connection as a shortage of connections at the member, and against keeping idle
/// connections during a shortage, in which other routers need them.
#[test]
fn connection_shortage_closes_idle_connections() {
    let mut harness = RouterHarness::new(default_settings());
    let read = harness.send_request(ANY, 1_000, None);
    let first = harness.attempted_members(read)[0];
    let mut connect_errors = 0;
    let has_closed_idle = |harness: &RouterHarness| {
        harness.actions.iter().any(|action| matches!(action, Action::CloseIdleConnections { .. }))
    };
    let mut serve_read = |harness: &mut RouterHarness, read: RequestId| {
        if harness.attempted_members(read)[0] == first && connect_errors < 2 {
            connect_errors += 1;
            harness.end_attempt(read, 0, first, AttemptResult::without_report(Outcome::ConnectError, 1));
            assert_eq!(
                harness.attempted_members(read).len(),
                2,
                "the read is retried at another member at once"
            );
        }
        harness.answer_latest_attempt(read, 5);
        connect_errors
    };
    assert_eq!(serve_read(&mut harness, read), 1);
    assert!(!has_closed_idle(&harness), "one broken connection is not a shortage");
    let retried = (0..24).find(|_| {
        harness.advance(60);
        let read = harness.send_request(ANY, 1_000, None);
        serve_read(&mut harness, read) == 2
    });
    assert!(retried.is_some(), "the member is not ejected, so a later read is sent there");
    assert!(has_closed_idle(&harness));
}

/// Guards against treating a connection that times out as a shortage of connections at the member.
#[test]
fn slow_handshake_closes_no_idle_connection() {
    let mut harness = RouterHarness::new(default_settings());
    let read = harness.send_request(ANY, 1_000, None);
    let first = harness.attempted_members(read)[0];
    harness.advance(250);
    harness.end_attempt(read, 0, first, AttemptResult::without_report(Outcome::ConnectError, 250));
    harness.answer_latest_attempt(read, 5);
    assert!(!harness.actions.iter().any(|action| matches!(action, Action::CloseIdleConnections { .. })));
}
