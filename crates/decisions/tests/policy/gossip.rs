//! Positions that routers send each other.

use crate::common::*;
use linenhill_decisions::api::*;

/// Guards against gossip of positions that are hardly newer than the last one sent, and against gossip of a position in
/// the future that is used.
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
    assert_eq!(gossip_count(&harness), sent, "hardly newer");
    harness.advance(300);
    let read = harness.send_request(BOUNDED, 1_000, None);
    assert!(harness.attempted_members(read).is_empty());
    let future = LogPosition(harness.now + 5_000 * MS);
    harness.handle(Event::PositionGossiped { member: MemberId(3), position: future, is_primary: false });
    assert!(harness.attempted_members(read).is_empty(), "no member has applied the future");
    let position = LogPosition(harness.now - 20 * MS);
    harness.handle(Event::PositionGossiped { member: MemberId(3), position, is_primary: false });
    assert_eq!(harness.attempted_members(read), [3]);
}
