//! The rules on attempts, final answers and health checks, asserted at each action of the router.

use super::{HistoryModel, ModelAttempt};
use linenhill_decisions::api::*;

/// Panics if the class does not allow another execution at `now`. `first_execution` is when the first attempt that may
/// have run was sent. Times are in microseconds.
fn assert_may_retry(idempotency: Idempotency, first_execution: Option<u64>, now: u64) {
    match (idempotency, first_execution) {
        (Idempotency::Idempotent, _) | (_, None) => {}
        (Idempotency::Keyed { window, .. }, Some(first)) => {
            assert!(
                now < first + window.0,
                "retried at {now} us, after the deduplication window of {} us from {first} us",
                window.0
            )
        }
        (Idempotency::NotIdempotent, Some(_)) => {
            panic!("a non-idempotent write that may have run was retried")
        }
    }
}

impl HistoryModel {
    /// Checks an action against the rules, and records it.
    pub(super) fn check(&mut self, action: Action) {
        match action {
            Action::SetTimer { token, at } => self.timers.push((at.0, token)),
            Action::CheckHealth { member } => self.check_health_check(member),
            Action::Send { id, member, .. } => self.check_send(id, member),
            Action::Reject { id, .. } => self.check_final_answer(id, true),
            Action::Fail { id } => self.check_final_answer(id, false),
            Action::CancelIfUnwritten { .. } => unreachable!("no request has a long statement"),
            Action::Cancel { id, attempt } => {
                assert!(self.settings.limits.cancel, "cancelled where the settings do not allow it");
                assert!(self.requests[&id].attempts.len() > attempt as usize);
                self.counts.cancels += 1;
            }
            Action::Subscribe => assert_eq!(self.settings.discovery, Discovery::OnRequest),
            Action::GossipPosition { .. } | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn check_health_check(&mut self, member: MemberId) {
        let state = self.states[member.0 as usize];
        assert_eq!(state, MemberState::InService, "a health check of {member:?}, which is not in service");
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
        assert!(
            !request.is_over && now < request.deadline,
            "an attempt for a request that is over or past its deadline"
        );
        let state = self.states[member.0 as usize];
        assert_eq!(state, MemberState::InService, "an attempt at {member:?}, which is not in service");
        assert!(
            request.attempts.len() < limits.max_attempts as usize,
            "more than {} attempts",
            limits.max_attempts
        );
        let in_flight = request.in_flight().count();
        assert!(
            in_flight == 0 || limits.hedging && in_flight == 1,
            "a new attempt while {in_flight} are in flight"
        );
        let sent_in_flight = request.in_flight().map(|(_, attempt)| attempt.sent_at);
        let first_execution = request.first_possible_execution.into_iter().chain(sent_in_flight).min();
        assert_may_retry(idempotency, first_execution, now);
        self.counts.retries += u32::from(!request.attempts.is_empty());
        request.attempts.push(ModelAttempt { member, sent_at: now, is_over: false });
    }

    fn check_final_answer(&mut self, id: RequestId, is_rejected: bool) {
        let idempotency = self.idempotency_of(id);
        let request = self.requests.get_mut(&id).expect("a request");
        assert!(!request.is_over, "a final answer to a request that is already over");
        request.is_over = true;
        let is_harmless = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
        );
        let may_run = request.first_possible_execution.is_some() || request.in_flight().next().is_some();
        assert!(
            !is_rejected || is_harmless || !may_run,
            "rejected although a retry by the client may execute the request twice"
        );
        self.counts.final_answers += 1;
    }
}
