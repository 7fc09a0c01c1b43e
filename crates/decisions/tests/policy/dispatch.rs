//! Tests of when reads that no replica serves fall back on the primary, and of how many do so at once.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against a read that waits for a replica until its deadline although the primary can serve it.
#[test]
fn session_read_falls_back_on_primary() {
    let mut harness = RouterHarness::new(default_settings());
    harness.complete_write(5, 10);
    let read = harness.send_request(SESSION, 1_000, Some(5));
    harness.advance(400);
    assert_eq!(harness.attempted_members(read), [1]);
}

/// Guards against a fallback after the time at which clients of the class usually disconnect.
#[test]
fn early_client_timeouts_advance_the_fallback() {
    let fallback_delay = |leave_early: bool| {
        let mut harness = RouterHarness::new(default_settings());
        for _ in 0..30 * u32::from(leave_early) {
            harness.advance(205);
            let read = harness.send_request(BOUNDED, 1_000, None);
            harness.advance(60);
            harness.handle(Event::ClientGone { id: read });
            for member in harness.attempted_members(read) {
                harness.end_attempt(read, 0, member, AttemptResult::without_report(Outcome::Cancelled, 10));
            }
        }
        harness.advance(1_500);
        let read = harness.send_request(BOUNDED, 1_000, None);
        (0..100).find(|_| {
            harness.advance(5);
            !harness.attempted_members(read).is_empty()
        })
    };
    assert!(fallback_delay(true) < fallback_delay(false));
}

/// Guards against an overload of the primary when reads of all routers of a large fleet fall back on it at once.
#[test]
fn primary_fallback_is_bounded_per_router() {
    let mut harness = RouterHarness::new(Settings { fleet_size: 40, ..default_settings() });
    harness.advance(3_000);
    let reads: Vec<RequestId> = (0..40).map(|_| harness.send_request(BOUNDED, 1_000, None)).collect();
    harness.advance(400);
    let on_primary = reads.iter().filter(|id| harness.attempted_members(**id).contains(&1)).count();
    assert!((1..=4).contains(&on_primary), "{on_primary} reads fell back on the primary at once");
    harness.advance(1_000);
    assert!(reads.iter().all(|id| harness.final_answers(*id) + harness.attempted_members(*id).len() >= 1));
}

/// Guards against a wait for replicas that are all known to lag by more than the wait.
#[test]
fn lagging_replicas_cause_immediate_fallback() {
    let mut settings = default_settings();
    settings.position_check = PositionCheck::Reject;
    settings.session_positions = SessionPositions::CarriedByRequest;
    let mut harness = RouterHarness::new(settings);
    harness.advance(3_000);
    for member in 2..=3 {
        harness.report_health(member, harness.now - 2_900 * MS, Role::Replica);
    }
    let id = RequestId([250; 36]);
    harness.handle(Event::RequestArrived(Request {
        id,
        class: SESSION,
        time_left: Micros(1_000 * MS),
        tenant: None,
        last_write_age: Some(Micros(100 * MS)),
        group: GROUP,
        session: Some(SessionKey(1)),
        is_statement_long: false,
    }));
    assert_eq!(harness.attempted_members(id), [1], "the read is sent to the primary at once, not queued");
}
