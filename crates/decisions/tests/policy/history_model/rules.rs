//! The rules on attempts, answers and health checks, asserted at each action of the router.

use super::{HistoryModel, ModelAttempt};
use linenhill_decisions::api::*;

/// Panics if another execution at `now` may do harm, where the first attempt that may have run was sent at
/// `first_execution`. Microseconds.
fn assert_may_retry(idempotency: Idempotency, first_execution: Option<u64>, now: u64) {
    match (idempotency, first_execution) {
        (Idempotency::Idempotent, _) | (_, None) => {}
        (Idempotency::Keyed { window, .. }, Some(first)) => {
            assert!(now < first + window.0, "past its window")
        }
        (Idempotency::NotIdempotent, Some(_)) => {
            panic!("a non-idempotent write that may have run is retried")
        }
    }
}

impl HistoryModel {
    /// Checks an action against the rules.
    pub(super) fn check(&mut self, action: Action) {
        match action {
            Action::SetTimer { token, at } => self.timers.push((at.0, token)),
            Action::CheckHealth { member } => self.check_health_check(member),
            Action::Send { id, member, .. } => self.check_send(id, member),
            Action::Reject { id, .. } => self.check_final_answer(id, true),
            Action::Fail { id } => self.check_final_answer(id, false),
            Action::Cancel { id, attempt } => {
                assert!(self.settings.limits.cancel, "cancelled where that is not allowed");
                assert!(self.requests[&id].attempts.len() > attempt as usize);
                self.counts.cancels += 1;
            }
            Action::Subscribe => assert_eq!(self.settings.discovery, Discovery::OnRequest),
            Action::GossipPosition { .. } | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn check_health_check(&mut self, member: MemberId) {
        let state = self.states[member.0 as usize];
        assert_eq!(state, MemberState::InService, "a health check at a member that leaves");
        self.health_checks.push(member);
    }

    fn idempotency_of(&self, id: RequestId) -> Idempotency {
        self.settings.classes[self.requests[&id].class.0].idempotency
    }

    fn check_send(&mut self, id: RequestId, member: MemberId) {
        self.counts.sends += 1;
        let now = self.now;
        let limits = &self.settings.limits;
        let idempotency = self.idempotency_of(id);
        let request = self.requests.get_mut(&id).expect("a request");
        assert!(!request.is_over && now < request.deadline, "an attempt that no client waits for");
        let state = self.states[member.0 as usize];
        assert_eq!(state, MemberState::InService, "an attempt at a member that leaves");
        assert!(request.attempts.len() < limits.max_attempts as usize, "one attempt too many");
        let in_flight = request.in_flight().count();
        assert!(in_flight == 0 || limits.hedging && in_flight == 1, "{in_flight} are in flight");
        let sent_in_flight = request.in_flight().map(|(_, attempt)| attempt.sent_at);
        let first_execution = request.first_possible_execution.into_iter().chain(sent_in_flight).min();
        assert_may_retry(idempotency, first_execution, now);
        self.counts.retries += u32::from(!request.attempts.is_empty());
        request.attempts.push(ModelAttempt { member, sent_at: now, is_over: false });
    }

    fn check_final_answer(&mut self, id: RequestId, is_rejected: bool) {
        let idempotency = self.idempotency_of(id);
        let request = self.requests.get_mut(&id).expect("a request");
        assert!(!request.is_over, "a second final answer, or one for no client");
        request.is_over = true;
        let is_harmless = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
        );
        let may_run = request.first_possible_execution.is_some() || request.in_flight().next().is_some();
        assert!(!is_rejected || is_harmless || !may_run, "a retry of the client may do harm");
        self.counts.final_answers += 1;
    }
}
