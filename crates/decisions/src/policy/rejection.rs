//! The final answer of a request that can't succeed, and the removal of its state.
//!
//! A request is rejected only where a retry by its client does no harm; otherwise it fails.

use super::request::QueuedRequest;
use super::router::Router;
use crate::api::{Action, DeduplicationScope, Idempotency, Micros, RequestId};

/// Minimum Retry-After. A random time is added to spread the retries, since routers reject requests at the same time:
/// up to the same length for one router, and more in larger fleets. `max_retry_after` limits the sum.
const RETRY_AFTER_MIN: Micros = Micros::from_millis(150);

impl Router {
    /// Gives the final answer of a request that can no longer succeed.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.is_client_retry_harmless(request) {
            let retry_after = self.random_retry_after();
            let advice = self.settings.limits.retry_after.then_some(retry_after);
            out.push(Action::Reject { id, retry_after: advice });
        } else {
            out.push(Action::Fail { id });
        }
        self.remove_request(id, out);
    }

    /// Whether the client can safely retry: the request can't have run, is idempotent, or is recognised as a repeat by
    /// all members.
    fn is_client_retry_harmless(&self, request: &QueuedRequest) -> bool {
        let is_recognised = match self.class(request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { scope, .. } => scope == DeduplicationScope::All && !request.may_run_later,
            Idempotency::NotIdempotent => false,
        };
        let cannot_have_run =
            request.first_possible_execution.is_none() && request.attempts_in_flight.is_empty();
        is_recognised || cannot_have_run
    }

    fn random_retry_after(&mut self) -> Micros {
        let fleet_size = f64::from(self.settings.fleet_size.max(1));
        let spread = RETRY_AFTER_MIN.as_f64() * (1.0 + fleet_size.log10());
        let wait = RETRY_AFTER_MIN + Micros::from_f64(spread * self.rng.get_mut().f64());
        wait.min(self.settings.limits.max_retry_after)
    }

    /// Removes a request that has ended, and cancels its attempts in flight where that is allowed.
    pub(super) fn remove_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        if let Some(group) = self.groups.get_mut(&request.group) {
            group.queued.remove(&id);
        }
        self.groups.retain(|_, group| group.is_used());
        if !self.settings.limits.cancel {
            return;
        }
        for attempt in request.attempts_in_flight.iter().filter(|attempt| !attempt.is_cancelled) {
            out.push(Action::Cancel { id, attempt: attempt.number });
        }
    }
}
