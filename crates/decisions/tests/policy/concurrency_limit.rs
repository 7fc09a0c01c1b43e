//! Tests of how many attempts a router may have in flight at a member.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against a router of a large fleet that sends to a slow member as if it were the only router.
#[test]
fn slow_members_are_shared_with_the_fleet() {
    let mut sent = [0, 0];
    for (index, fleet_size) in [1, 200].into_iter().enumerate() {
        let mut harness = RouterHarness::new(Settings { fleet_size, ..default_settings() });
        for _ in 0..20 {
            let read = harness.send_request(ANY, 3_000, None);
            harness.advance(400);
            if !harness.attempted_members(read).is_empty() {
                sent[index] += 1;
                harness.answer_latest_attempt(read, 400);
            }
        }
    }
    assert!(sent[1] * 2 < sent[0], "{sent:?}");
}
