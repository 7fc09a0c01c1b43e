//! Whether a request may be sent once more. A request must never run twice unless its class allows it.

use super::ANSWER_MARGIN;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::Idempotency;

impl Router {
    /// Whether one more attempt can't make the effect happen twice, also once its connection is established.
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
