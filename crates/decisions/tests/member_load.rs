//! Tests of how much work members get, by their latencies and the load that they report.

mod common;

use common::*;
use linenhill_decisions::api::*;

/// Guards against a lower concurrency limit at each member for a latency that all members share: with limits below the
/// capacity of their cores, members were idle while requests were rejected.
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
    assert!(sent.iter().all(|to| !to.is_empty()), "two requests at once are both sent: {sent:?}");
}

/// Guards against health checks of a draining member, which are new work for it.
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

/// Guards against a low concurrency limit at a member whose latency is as high when idle and that reports idle
/// processors; and against a limit that grows at a member that reports busy ones.
#[test]
fn member_with_idle_processors_is_not_limited() {
    let sent_in_last_round = |utilisation: f64| {
        let mut harness = RouterHarness::new(Settings { fleet_size: 3, ..default_settings() });
        let mut sent_in_round = 0;
        for _ in 0..50 {
            // Four at once, each with a latency of nearly half the latency objective.
            let ids: Vec<RequestId> = (0..4).map(|_| harness.send_request(SESSION, 2_000, None)).collect();
            let sent: Vec<usize> = ids.iter().map(|id| harness.attempted_members(*id).len()).collect();
            sent_in_round = sent.iter().sum();
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
        sent_in_round
    };
    assert_eq!(sent_in_last_round(0.3), 4, "two attempts at each of the two replicas");
    assert!(sent_in_last_round(0.97) < 4, "high latency, and busy processors by its own report");
}
