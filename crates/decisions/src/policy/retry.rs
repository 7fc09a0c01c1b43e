//! Whether a request may be sent again. A request must never run twice unless its class allows it.

use super::ANSWER_MARGIN;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::{Idempotency, Time};

impl Router {
    /// Whether another attempt is within the limit of attempts, and the request can't have run, may run twice or is
    /// recognised as a repeat. Once an attempt of a keyed request may run at any later time, there is no repeat. A
    /// keyed request must reach the member within its window even if connecting takes the
    /// full time-out.
    pub(super) fn may_repeat(&self, request: &QueuedRequest) -> bool {
        if request.attempts_started >= self.settings.limits.max_attempts {
            return false;
        }
        if request.first_execution().is_none() {
            return true;
        }
        match self.class(request.class).idempotency {
            Idempotency::Idempotent => true,
            // Members recognise the repeat, but not a first attempt that runs after the window of the repeat.
            Idempotency::Keyed { .. } if request.may_run_later => false,
            Idempotency::Keyed { .. } => {
                let connected = self.now + self.settings.limits.connect_timeout;
                self.repeatable_until(request).is_some_and(|until| connected < until)
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// The time until which members recognise a repeat of a keyed request that may have run, less a margin for the way
    /// to the member. `None` if the request can't have run or has no key.
    pub(super) fn repeatable_until(&self, request: &QueuedRequest) -> Option<Time> {
        match self.class(request.class).idempotency {
            Idempotency::Keyed { window, .. } => {
                request.first_execution().map(|first| (first + window).saturating_sub(ANSWER_MARGIN))
            }
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        }
    }
}
