//! Selects the member for an attempt, and sends it.
//!
//! Writes and fresh reads go to the primary; without a confirmed primary, a fresh read may go to a replica. Other
//! reads go to a replica, or to the primary after a wait or if no replica can catch up in time.

use super::member::SentAttempt;
use super::request::{InFlightAttempt, QueuedRequest};
use super::router::Router;
use crate::api::{Action, ClassId, MemberId, Micros, PositionCheck, ReadLevel, RequestId, Time};
use crate::platform_bounds::MAX_HOLD_UP;

impl Router {
    /// Whether requests of a class go to the primary first.
    pub(super) fn prefers_primary(&self, class: ClassId) -> bool {
        matches!(self.class(class).read_level, ReadLevel::Write | ReadLevel::Fresh)
    }

    /// The member for the next attempt; `None` if the request has to wait.
    pub(super) fn select_member(&self, request: &QueuedRequest) -> Option<MemberId> {
        match self.class(request.class).read_level {
            ReadLevel::Write => self.select_for_write(request),
            ReadLevel::Fresh => self.select_for_fresh_read(request),
            ReadLevel::Session | ReadLevel::Bounded(_) | ReadLevel::Any => self.select_for_read(request),
        }
    }

    /// An ejected primary receives a write only as a trial that is due. Without a usable primary, the write may be
    /// tried on another member.
    fn select_for_write(&self, request: &QueuedRequest) -> Option<MemberId> {
        let group = self.groups.get(&request.group)?;
        let primary = group.primary.filter(|primary| {
            let member = self.members.get(primary);
            let may_receive = member.is_some_and(|member| member.may_receive_trial());
            may_receive && self.has_capacity_at(request, *primary)
        });
        primary.or_else(|| self.primary_candidate_for_write(request, group))
    }

    /// Without a confirmed primary, a replica that has applied everything committed before the read's arrival may
    /// serve it.
    fn select_for_fresh_read(&self, request: &QueuedRequest) -> Option<MemberId> {
        match self.confirmed_primary(request.group) {
            Some(primary) => self.has_capacity_at(request, primary).then_some(primary),
            None => self.select_replica(request, true),
        }
    }

    fn select_for_read(&self, request: &QueuedRequest) -> Option<MemberId> {
        if let Some(replica) = self.select_replica(request, true) {
            return Some(replica);
        }
        if let Some(primary) = self.select_primary_fallback(request) {
            return Some(primary);
        }
        // If no member is healthy, a false detection is more likely than the loss of the complete group.
        let group = self.groups.get(&request.group)?;
        let is_healthy = |id: &MemberId| self.members.get(id).is_some_and(|member| member.is_healthy());
        let has_waited = self.now >= request.primary_fallback_at;
        let may_use_ejected = has_waited && !group.members.iter().any(is_healthy);
        if may_use_ejected { self.select_replica(request, false) } else { None }
    }

    /// The confirmed primary, for a read whose wait for a replica is over or has no use. Only while no write or fresh
    /// read is queued; otherwise reads whose waits expire together would reach the primary in one burst.
    fn select_primary_fallback(&self, request: &QueuedRequest) -> Option<MemberId> {
        let group = self.groups.get(&request.group)?;
        let has_waited = self.now >= request.primary_fallback_at || self.no_replica_can_catch_up(request);
        if !has_waited || group.queued_for_primary > 0 {
            return None;
        }
        self.confirmed_primary(request.group).filter(|primary| self.has_capacity_at(request, *primary))
    }

    /// Whether no healthy replica is expected to reach the read's position before the wait ends, so that waiting has
    /// no use.
    fn no_replica_can_catch_up(&self, request: &QueuedRequest) -> bool {
        let target = self.target_position(request);
        let Some(group) = self.groups.get(&request.group) else { return false };
        let wait = request.primary_fallback_at.saturating_since(self.now);
        self.replicas(group)
            .all(|(_, replica)| !replica.is_healthy() || self.is_lagging(replica, target, wait))
    }

    /// The time by which the next attempt of a request must be written at this member: a repeat within the window of its
    /// key, a bounded read while the replica's position is recent enough.
    fn written_by(&self, request: &QueuedRequest, member: MemberId) -> Option<Time> {
        let fresh_until = match self.class(request.class).read_level {
            ReadLevel::Bounded(max_age) => self.fresh_until(request, member, max_age),
            _ => None,
        };
        // The process may be held up between its last look at the clock and the write.
        let repeatable_until = self.repeatable_until(request).map(|until| until.saturating_sub(MAX_HOLD_UP));
        fresh_until.into_iter().chain(repeatable_until).min()
    }

    /// The time until which the known position of a replica is no older than `max_age`. `None` for the primary, whose
    /// data is current, and where members check positions themselves.
    fn fresh_until(&self, request: &QueuedRequest, member: MemberId, max_age: Micros) -> Option<Time> {
        let is_primary = self.groups.get(&request.group).is_some_and(|group| group.primary == Some(member));
        if is_primary || self.settings.position_check != PositionCheck::None {
            return None;
        }
        let replica = self.members.get(&member)?;
        Some(replica.replication.position.as_time() + max_age)
    }

    /// Sends the next attempt of a request, records it at the request and the member, and removes the request from
    /// the queue.
    pub(super) fn send(&mut self, id: RequestId, member: MemberId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = request.class;
        let written_by = self.written_by(request, member);
        if self.members.get(&member).is_some_and(|member| member.slow_start.warming_since.is_some()) {
            self.schedule_slow_start_send(member, self.latencies.mean(class));
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(receiver) = self.members.get_mut(&member) else { return };
        if let Some(ejected) = &mut receiver.ejected {
            ejected.trial_sent(self.now);
        }
        let number = request.attempts_started;
        let sent = SentAttempt { sent: self.now, class: request.class, session: request.session };
        receiver.attempts_in_flight.insert((id, number), sent);
        let attempt = InFlightAttempt { number, member, sent: self.now, is_cancelled: false };
        request.attempts_in_flight.push(attempt);
        request.attempts_started += 1;
        self.groups.entry(request.group).or_default().dequeue(&id);
        out.push(Action::Send { id, member, timeout: None, written_by });
    }
}
