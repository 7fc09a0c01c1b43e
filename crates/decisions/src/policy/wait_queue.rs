//! Requests that wait for a log position, for capacity or for a primary, and the order in which they are retried.
//!
//! The work per event is bounded, however many requests wait.

use super::POSITION_WAIT_MAX;
use super::primary_tracking::SEARCH_INTERVAL_MIN;
use super::read_position::ANY_POSITION;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::{Action, GroupId, MemberId, Micros, PositionCheck, RequestId, Time};

/// Maximum number of queued requests per group after a dispatch of the queue, to bound memory and the work per event.
const QUEUED_MAX: usize = 400;
/// After this many requests that no member could take in one dispatch of the queue, the remaining ones are dispatched
/// only if they must be decided now.
const FAILED_DISPATCHES_MAX: usize = 24;
/// Factor that converts weights per microsecond to integers for comparison.
const RANK_SCALE: f64 = 1e9;
/// A lagging member is checked again after its lag divided by this, within bounds.
const LAG_CHECK_DIVISOR: u64 = 8;

/// Order of the queue: highest weight per unit of work first, then earliest end of the objective.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    negative_weight_rate: i64,
    objective_at: Time,
    id: RequestId,
}

impl Router {
    /// Sends a request if a member can take it now. Otherwise queues it, or gives it up if it can't succeed or is
    /// short of time.
    pub(super) fn dispatch_or_queue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if !self.can_still_succeed(request) {
            return self.reject_or_fail(id, out);
        }
        if let Some(member) = self.select_member(request) {
            return self.send(id, member, out);
        }
        if self.is_short_of_time(request) {
            return self.reject_or_fail(id, out);
        }
        self.groups.entry(request.group).or_default().queued.insert(id);
    }

    /// Dispatches the queued requests of a group again, in the order of their rank, and gives up those beyond
    /// `QUEUED_MAX`.
    pub(super) fn dispatch_queued(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(queue) = self.groups.get_mut(&group) else { return };
        queue.queued_for_primary = 0;
        let ranked = self.ranked_queue(group);
        let for_primary = ranked.iter().filter(|rank| self.is_queued_for_primary(&rank.id)).count();
        self.groups.entry(group).or_default().queued_for_primary = for_primary;
        let mut failed_dispatches = 0;
        for (index, rank) in ranked.into_iter().enumerate() {
            if index >= QUEUED_MAX {
                self.reject_or_fail(rank.id, out);
            } else if failed_dispatches < FAILED_DISPATCHES_MAX || self.is_due_for_decision(&rank.id) {
                self.dispatch_or_queue(rank.id, out);
                let is_still_queued =
                    self.groups.get(&group).is_some_and(|group| group.queued.contains(&rank.id));
                failed_dispatches += usize::from(is_still_queued);
            }
        }
        if self.settings.position_check == PositionCheck::None {
            self.check_lagging_members(group, out);
        }
    }

    fn ranked_queue(&self, group: GroupId) -> Vec<QueueRank> {
        let Some(group) = self.groups.get(&group) else { return Vec::new() };
        let mut ranked = Vec::with_capacity(group.queued.len());
        for id in &group.queued {
            let Some(request) = self.requests.get(id) else { continue };
            ranked.push(self.queue_rank(*id, request));
        }
        ranked.sort_unstable();
        ranked
    }

    /// Ranks a request by its expected weight per unit of work. The chance of an answer in time falls with the
    /// remaining time, so requests that have waited too long come last in classes without a late weight.
    fn queue_rank(&self, id: RequestId, request: &QueuedRequest) -> QueueRank {
        let work = self.latencies.mean(request.class).max(1.0);
        let late_weight = self.class(request.class).late_weight;
        let left = request.objective_at.saturating_since(self.now).as_f64();
        let chance_in_time = 1.0 - (-left / work).exp();
        let weight = request.weight * (late_weight + (1.0 - late_weight) * chance_in_time);
        QueueRank {
            negative_weight_rate: -(weight / work * RANK_SCALE) as i64,
            objective_at: request.objective_at,
            id,
        }
    }

    fn is_queued_for_primary(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some_and(|request| self.prefers_primary(request.class))
    }

    /// Whether further waiting can't help a request: it can't succeed, or must be sent now.
    fn is_due_for_decision(&self, id: &RequestId) -> bool {
        let request = self.requests.get(id);
        request.is_some_and(|request| !self.can_still_succeed(request) || self.is_short_of_time(request))
    }

    /// Sends health checks to a sample of the members that have not reported the lowest position for which a queued
    /// read waits. Used where members don't check positions, so that a read waits until a replica reports its
    /// position. Does nothing unless more than half of the group is due for a check: otherwise the reads wait for
    /// capacity.
    fn check_lagging_members(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(group) = self.groups.get(&group) else { return };
        let waiting = group.queued.iter().filter_map(|id| self.requests.get(id));
        let targets = waiting.map(|request| self.target_position(request));
        let Some(target) = targets.filter(|target| *target > ANY_POSITION).min() else { return };
        let is_due = |id: &&MemberId| {
            let Some(member) = self.members.get(id) else { return false };
            let position = member.replication.position;
            let lag = target.as_time().saturating_since(position.as_time());
            let gap = Micros(lag.0 / LAG_CHECK_DIVISOR).max(SEARCH_INTERVAL_MIN).min(POSITION_WAIT_MAX);
            position < target && member.ejected.is_none() && self.now >= member.health_check.last_sent + gap
        };
        let lagging: Vec<MemberId> = group.members.iter().filter(is_due).copied().collect();
        if lagging.len() * 2 > group.members.len() {
            self.check_health_of_sample(lagging, out);
        }
    }
}
