//! Positions that routers send each other: one router of a large fleet receives too few reports to judge which
//! members are fresh.
//!
//! A gossiped position is a lower bound, so a late or lost message does no harm.

use super::primary_tracking::RoleReport;
use super::router::Router;
use crate::api::{Action, GroupId, LogPosition, MemberId, Micros, Role};

/// Minimum advance of a position before it is gossiped again.
const GOSSIP_STEP: Micros = Micros::from_millis(100);

impl Router {
    /// Sends a member's position to all other routers if gossip is allowed and within budget, and the position has
    /// advanced by more than `GOSSIP_STEP` since any router last sent it.
    pub(super) fn gossip_position(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let receivers = f64::from(self.settings.fleet_size.saturating_sub(1));
        let Some(member) = self.members.get_mut(&id) else { return };
        let replication = &mut member.replication;
        let has_advanced = replication.position > replication.gossiped + GOSSIP_STEP;
        let should_send = self.settings.limits.gossip && has_advanced && receivers > 0.0;
        if should_send && self.budgets.gossip.try_spend(receivers) {
            replication.gossiped = replication.position;
            let position = replication.position;
            let is_primary = member.role.claims_primary();
            out.push(Action::GossipPosition { member: id, position, is_primary });
        }
    }

    /// Handles a position from another router. The position counts as reported now; the primary role counts as
    /// evidence as of the position's time. Ignored for an unknown member, and if the position is in the future or not
    /// newer than the recorded one.
    pub(super) fn on_gossip(
        &mut self, id: MemberId, position: LogPosition, is_primary: bool, out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        let replication = &mut member.replication;
        if position <= replication.position || position.as_time() > now {
            return;
        }
        replication.gossiped = replication.gossiped.max(position);
        replication.position = position;
        replication.reported = now;
        let group = member.group;
        let has_queue =
            |group: &GroupId| self.groups.get(group).is_some_and(|group| !group.queued.is_empty());
        let waiting = group.filter(has_queue);
        if is_primary {
            let role = RoleReport {
                role: Some(Role::Primary),
                primary_as_of: position.as_time(),
                ..RoleReport::default()
            };
            self.record_report(id, None, role);
        }
        if let Some(group) = waiting {
            self.dispatch_queued(group, out);
        }
    }
}
