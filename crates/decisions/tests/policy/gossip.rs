//! Tests of the positions that routers send to each other.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against sending a position that is hardly newer than the last one sent, and against using a received position
/// that lies in the future.
#[test]
fn gossip_sends_new_positions_and_ignores_future_ones() {
    let mut settings = default_settings();
    settings.limits.gossip = true;
    settings.fleet_size = 3;
    settings.costs.gossip = 0.001;
    let mut harness = RouterHarness::new(settings);
    let gossip_count = |harness: &RouterHarness| {
        harness.actions.iter().filter(|action| matches!(action, Action::GossipPosition { .. })).count()
    };
    harness.advance(1_000);
    harness.report_health(2, harness.now, Role::Replica);
    let sent = gossip_count(&harness);
    assert_eq!(sent, 1);
    harness.report_health(2, harness.now + 1, Role::Replica);
    assert_eq!(gossip_count(&harness), sent, "the position has advanced by 1 us only");
    harness.advance(300);
    let read = harness.send_request(BOUNDED, 1_000, None);
    assert!(harness.attempted_members(read).is_empty());
    let future = LogPosition(harness.now + 5_000 * MS);
    harness.handle(Event::PositionGossiped { member: MemberId(3), position: future, is_primary: false });
    assert!(harness.attempted_members(read).is_empty(), "a position in the future is ignored");
    let position = LogPosition(harness.now - 20 * MS);
    harness.handle(Event::PositionGossiped { member: MemberId(3), position, is_primary: false });
    assert_eq!(harness.attempted_members(read), [3]);
}
