//! Whether a request may be sent again. A request must never run twice unless its class allows it.

use super::ANSWER_MARGIN;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::Idempotency;

impl Router {
    /// Whether another attempt is within the limit of attempts, and the request can't have run, may run twice or is
    /// recognised as a repeat. A keyed request must reach the member within its window even if connecting takes the
    /// full time-out.
    pub(super) fn may_repeat(&self, request: &QueuedRequest) -> bool {
        if request.attempts_started >= self.settings.limits.max_attempts {
            return false;
        }
        let in_flight = request.attempts_in_flight.iter().map(|attempt| attempt.sent);
        let possible_executions = request.first_possible_execution.into_iter().chain(in_flight);
        let Some(first_execution) = possible_executions.min() else { return true };
        match self.class(request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => {
                let margin = ANSWER_MARGIN + self.settings.limits.connect_timeout;
                self.now + margin < first_execution + window
            }
            Idempotency::NotIdempotent => false,
        }
    }
}
