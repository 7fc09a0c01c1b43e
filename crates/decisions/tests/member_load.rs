//! How much work members are given, by their known load.

mod common;

use common::*;
use linenhill_decisions::api::*;

/// Guards against treating a latency that all members share as a fault of each: with concurrency limits below the
/// capacity of their cores they were idle while requests were rejected.
#[test]
fn slow_members_are_kept_as_busy_as_their_cores() {
    let mut harness = RouterHarness::new(Settings { fleet_size: 3, ..default_settings() });
    let round = |harness: &mut RouterHarness| {
        let ids = [harness.send_request(SESSION, 2_000, None), harness.send_request(SESSION, 2_000, None)];
        let sent: Vec<Vec<u32>> = ids.iter().map(|id| harness.attempted_members(*id)).collect();
        harness.advance(450);
        for (id, to) in ids.iter().zip(&sent) {
            if let Some(member) = to.first() {
                harness.end_attempt(
                    *id,
                    0,
                    *member,
                    AttemptResult::without_position(Outcome::Ok, 450, Role::Replica),
                );
            }
        }
        harness.actions.clear();
        sent
    };
    for _ in 0..60 {
        round(&mut harness);
    }
    let sent = round(&mut harness);
    assert!(sent.iter().all(|to| !to.is_empty()), "both replicas are given one at once: {sent:?}");
}

/// Guards against health checks as new work at a member that drains.
#[test]
fn draining_member_gets_no_health_checks() {
    let mut harness = RouterHarness::new(default_settings());
    let drains = |member: u32| ListEntry { state: MemberState::Draining, ..list_entry(member) };
    harness.update_list(vec![drains(1), drains(2), drains(3)]);
    harness.actions.clear();
    for _ in 0..20 {
        harness.send_request(WRITE, 2_000, None);
        harness.advance(300);
    }
    assert_eq!(harness.health_checks(), 0);
}

/// Guards against a low concurrency limit for latencies that the member also has when idle, though it reports idle
/// processors; and against a limit that grows for a member that reports busy ones.
#[test]
fn member_with_idle_processors_is_not_limited() {
    let most_at_once = |utilisation: f64| {
        let mut harness = RouterHarness::new(Settings { fleet_size: 3, ..default_settings() });
        let mut most = 0;
        for _ in 0..50 {
            // Four at once, each with a latency of nearly half the latency objective.
            let ids: Vec<RequestId> = (0..4).map(|_| harness.send_request(SESSION, 2_000, None)).collect();
            let sent: Vec<usize> = ids.iter().map(|id| harness.attempted_members(*id).len()).collect();
            most = sent.iter().sum();
            harness.advance(220);
            for id in &ids {
                harness.end_latest_attempt(
                    *id,
                    MemberAnswer { outcome: Outcome::Ok, latency_ms: 220, utilisation },
                    |_| true,
                );
            }
            harness.advance(300);
            harness.actions.clear();
        }
        most
    };
    assert_eq!(most_at_once(0.3), 4, "two replicas, two each");
    assert!(most_at_once(0.97) < 4, "strained, and busy by its own report");
}
