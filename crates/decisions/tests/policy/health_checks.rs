//! Tests of when a member gets a health check, and of the conclusion from a health check that fails.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against ejecting a member that has just responded because the connection of a health check broke; and against
/// keeping a member that has not responded for a second.
#[test]
fn broken_health_check_ejects_silent_members_only() {
    for broken in [Outcome::Reset, Outcome::ConnectError] {
        let mut harness = RouterHarness::new(default_settings());
        harness.fail_health_check(1, broken);
        let write = harness.send_request(WRITE, 1_000, None);
        assert_eq!(harness.attempted_members(write), [1], "the member has just served a write");
        harness.end_attempt(write, 0, 1, AttemptResult::answered(5, harness.now, Role::Primary));
        harness.advance(1_100);
        harness.fail_health_check(1, broken);
        let write = harness.send_request(WRITE, 1_000, None);
        assert!(harness.attempted_members(write).is_empty(), "the member has not responded for a second");
    }
}

/// Guards against health checks on behalf of reads that are queued for capacity, not for a position.
#[test]
fn reads_queued_for_capacity_cause_no_health_check() {
    let mut harness = RouterHarness::empty(Settings { fleet_size: 50, ..default_settings() });
    harness.update_list((2..=7).map(list_entry).collect());
    harness.advance(20);
    (2..=7).for_each(|member| harness.report_health(member, harness.now - 1_000 * MS, Role::Replica));
    harness.advance(120);
    (2..=5).for_each(|member| harness.report_health(member, harness.now, Role::Replica));
    for _ in 0..8 {
        harness.send_request(BOUNDED, 1_000, None);
    }
    let before = harness.health_checks();
    harness.advance(50);
    assert_eq!(
        harness.health_checks(),
        before,
        "four of six replicas are fresh, with capacity for one read each"
    );
}
