//! Tracks the primary of each group by the newest evidence, and searches for a primary while a group has no usable
//! one.
//!
//! A read may rely on a primary only if the member's last answer confirmed the role, or if members check positions
//! themselves: the role in a list, a health check or gossip can be wrong or stale.

use super::group::Group;
use super::member::Member;
use super::request::QueuedRequest;
use super::router::Router;
use super::{RECENT_RESPONSE, REPORT_DELAY_MAX};
use crate::api::{Action, GroupId, LogPosition, MemberId, Micros, PositionCheck, Role, Time};
use crate::outlier_recovery::EjectedMember;

/// Minimum interval between a router's searches for a group's primary, and between checks of a lagging member.
pub(super) const SEARCH_INTERVAL_MIN: Micros = Micros::from_millis(100);
/// The interval between a router's searches is at least this time multiplied by the number of routers, since each
/// router searches on its own.
const SEARCH_INTERVAL_PER_ROUTER: Micros = Micros::from_millis(5);
/// Once a write has used this many attempts, it is not tried at further candidates for primary.
const CANDIDATE_ATTEMPTS_MAX: u32 = 3;

/// A reported role, with the latest time at which the member is certain to have had it.
#[derive(Clone, Copy, Default)]
pub(super) struct RoleReport {
    pub(super) role: Option<Role>,
    /// When the member was primary, if that is its role.
    pub(super) primary_as_of: Time,
    /// When the member was a replica, if that is its role.
    pub(super) replica_as_of: Time,
}

impl Router {
    /// Sets the group's primary to the member with the latest claim that no newer evidence of its own contradicts.
    pub(super) fn update_primary(&mut self, group: GroupId) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let claim = |id: &MemberId| {
            let role = &self.members.get(id)?.role;
            role.claims_primary().then_some((role.primary_at, *id))
        };
        group.primary = group.members.iter().filter_map(claim).max().map(|(_, id)| id);
    }

    /// The primary, if it is healthy.
    pub(super) fn usable_primary(&self, group: GroupId) -> Option<MemberId> {
        let primary = self.groups.get(&group)?.primary?;
        self.members.get(&primary)?.is_healthy().then_some(primary)
    }

    /// The primary that a read may rely on. Where members don't check positions, a stale read from a former primary
    /// is prevented only by the role in its last answer.
    pub(super) fn confirmed_primary(&self, group: GroupId) -> Option<MemberId> {
        let primary = self.usable_primary(group)?;
        let members_check = self.settings.position_check != PositionCheck::None;
        let is_confirmed = |member: &Member| members_check || member.role.is_confirmed_primary;
        self.members.get(&primary).is_some_and(is_confirmed).then_some(primary)
    }

    /// A random member on which a write may be tried while the group's primary is missing or unavailable. A replica
    /// rejects the write at once without running it, which is as informative as a health check. Trade-off: a
    /// connection and an attempt.
    pub(super) fn primary_candidate_for_write(
        &self, request: &QueuedRequest, group: &Group,
    ) -> Option<MemberId> {
        let is_candidate = |id: &&MemberId| {
            let member = self.members.get(*id);
            !request.last_failures.contains_key(*id)
                && member.is_some_and(|member| self.may_be_primary(member))
        };
        let candidates: Vec<&MemberId> = group.members.iter().filter(is_candidate).collect();
        let has_attempts_left = request.attempts_started < CANDIDATE_ATTEMPTS_MAX;
        let searches = has_attempts_left && self.is_primary_unavailable(group);
        self.rng.borrow_mut().choice(candidates).filter(|_| searches).copied()
    }

    /// Whether the member is healthy and idle, and there is no recent evidence that it is a replica.
    fn may_be_primary(&self, member: &Member) -> bool {
        let replica_until = member.role.replica_at + self.search_interval() + REPORT_DELAY_MAX;
        member.is_healthy() && member.attempts_in_flight.is_empty() && self.now >= replica_until
    }

    /// Whether the group has no primary, or its primary is not listed as in service, or was ejected more than
    /// `RECENT_RESPONSE` ago and has no trial due.
    fn is_primary_unavailable(&self, group: &Group) -> bool {
        let Some(primary) = group.primary.and_then(|primary| self.members.get(&primary)) else { return true };
        let is_ejected_for_long =
            primary.ejected.as_ref().is_none_or(|ejected| ejected.since + RECENT_RESPONSE < self.now);
        !primary.may_receive_trial() && is_ejected_for_long
    }

    fn search_interval(&self) -> Micros {
        let fleet_size = u64::from(self.settings.fleet_size);
        SEARCH_INTERVAL_MIN.max(Micros(fleet_size * SEARCH_INTERVAL_PER_ROUTER.0))
    }

    /// Sends health checks to a random sample of a group's members, to find its primary. Does so at most once per
    /// search interval, and only while the group has no usable primary and requests for the primary are queued.
    pub(super) fn search_for_primary(&mut self, id: GroupId, out: &mut Vec<Action>) {
        let has_primary = self.usable_primary(id).is_some();
        let gap = self.search_interval();
        let Some(group) = self.groups.get_mut(&id) else { return };
        let is_due = self.now >= group.next_primary_search && group.queued_for_primary > 0;
        if has_primary || !is_due {
            return;
        }
        group.next_primary_search = self.now + gap;
        let members = group.members.iter().copied().collect();
        self.check_health_of_sample(members, out);
    }

    /// Records the position and role that a member reported, and updates the primary of its group.
    pub(super) fn record_report(&mut self, id: MemberId, position: Option<LogPosition>, role: RoleReport) {
        let Some(member) = self.members.get_mut(&id) else { return };
        // A position further in the future than `RECENT_RESPONSE` is invalid.
        let valid = position.filter(|position| position.as_time() < self.now + RECENT_RESPONSE);
        if let Some(position) = valid {
            member.replication.position = member.replication.position.max(position);
            member.replication.reported = self.now;
        }
        match role.role {
            Some(Role::Primary) => member.role.primary_at = member.role.primary_at.max(role.primary_as_of),
            Some(Role::Replica) => member.role.replica_at = member.role.replica_at.max(role.replica_as_of),
            None => {}
        }
        let Some(group) = member.group else { return };
        self.readmit_primary_if_log_advanced(group, position.unwrap_or_default());
        self.update_primary(group);
    }

    /// Readmits a primary that was ejected as unresponsive if its group's log has advanced since then.
    fn readmit_primary_if_log_advanced(&mut self, group: GroupId, position: LogPosition) {
        let log_advanced_at = position.saturating_sub(REPORT_DELAY_MAX).as_time();
        let Some(primary) = self.groups.get(&group).and_then(|group| group.primary) else { return };
        let Some(primary) = self.members.get_mut(&primary) else { return };
        let has_progressed =
            |ejected: &EjectedMember| !ejected.unreachable && ejected.since < log_advanced_at;
        if primary.ejected.as_ref().is_some_and(has_progressed) {
            primary.ejected = None;
            primary.last_response = self.now;
        }
    }
}
