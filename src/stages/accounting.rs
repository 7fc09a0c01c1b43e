//! Counts requests, attempts and answers, in the counters of the log and in the metrics. Exactly one end is counted for
//! every accepted request.

use super::FinalResponse;
use super::admission::RejectionCause;
use crate::api::{ClassId, Outcome};
use crate::counters::Counters;
use crate::invariants::InvariantMonitor;
use crate::metrics::{Metrics, RequestEnd};
use std::rc::Rc;

/// The counters and metrics of requests. Clones share them.
#[derive(Clone)]
pub struct RequestAccounting {
    counters: Rc<Counters>,
    metrics: Rc<Metrics>,
}

/// Tracks an accepted request until its end. If dropped without [`AccountingTicket::end`], the request is counted as
/// one whose client disconnected.
pub struct AccountingTicket {
    accounting: RequestAccounting,
    class: ClassId,
    is_ended: bool,
}

impl AccountingTicket {
    /// Counts the end of the request by its final response.
    pub fn end(mut self, response: &FinalResponse) {
        self.is_ended = true;
        self.accounting.record_response(self.class, response);
    }
}

impl Drop for AccountingTicket {
    fn drop(&mut self) {
        if !self.is_ended {
            self.accounting.counters.lapsed.add();
            self.accounting.metrics.record_ended(self.class.0, None);
        }
    }
}

impl RequestAccounting {
    /// Creates an accounting that updates both `counters` and `metrics`.
    pub fn new(counters: Rc<Counters>, metrics: Rc<Metrics>) -> RequestAccounting {
        RequestAccounting { counters, metrics }
    }

    /// The monitor that counts violated invariants.
    pub fn invariants(&self) -> Rc<InvariantMonitor> {
        self.metrics.invariants()
    }

    /// Counts an accepted request. The returned ticket counts its end.
    pub fn begin_request(&self, class: ClassId) -> AccountingTicket {
        self.counters.taken.add();
        self.metrics.record_accepted();
        AccountingTicket { accounting: self.clone(), class, is_ended: false }
    }

    /// Counts an attempt whose statement was written to its last byte.
    pub fn record_statement_written(&self) {
        self.metrics.record_written_attempt();
    }

    /// Counts a statement that could not be parsed as a request.
    pub fn record_malformed(&self) {
        self.counters.malformed.add();
    }

    /// Counts a started attempt.
    pub fn record_attempt_started(&self) {
        self.counters.sent.add();
    }

    /// Counts a started health check.
    pub fn record_health_check(&self) {
        self.counters.probes.add();
    }

    fn record_response(&self, class: ClassId, response: &FinalResponse) {
        let (counter, end) = match response {
            FinalResponse::Served(_) | FinalResponse::Streaming(_) => {
                (&self.counters.served, RequestEnd::Completed)
            }
            FinalResponse::Rejected { .. } => (&self.counters.refused, RequestEnd::Rejected),
            FinalResponse::Failed => (&self.counters.failed, RequestEnd::Failed),
        };
        counter.add();
        self.metrics.record_ended(class.0, Some(end));
    }

    /// Counts a rejected request of unknown class, in the counters of the log only.
    pub fn record_rejection_without_class(&self) {
        self.counters.taken.add();
        self.counters.refused.add();
    }

    /// Counts the cause of a rejection before the request reached the driver.
    pub fn record_rejection_cause(&self, cause: RejectionCause) {
        match cause {
            RejectionCause::ConnectionSlots => self.counters.refused_door.add(),
            RejectionCause::HeldRequests => self.counters.refused_held.add(),
            RejectionCause::Memory => self.counters.refused_memory.add(),
            RejectionCause::Stopping => self.counters.refused_stopping.add(),
        }
    }

    /// Counts a request that waits for its turn, since no memory is left to answer it ahead.
    pub fn record_read_ahead_wait(&self) {
        self.counters.read_ahead_waits.add();
    }

    /// Counts the outcome of an attempt.
    pub fn record_attempt_outcome(&self, outcome: Outcome) {
        let counters = &self.counters;
        match outcome {
            Outcome::Ok => counters.ok.add(),
            Outcome::NotApplicable => counters.miss.add(),
            Outcome::Failed => counters.error.add(),
            Outcome::QueueFull => counters.turned_away.add(),
            Outcome::ConnectError => counters.not_connected.add(),
            Outcome::MalformedReply => counters.garbled.add(),
            Outcome::Reset => counters.reset.add(),
            Outcome::TimedOut => counters.timed_out.add(),
            Outcome::Cancelled => counters.cancelled.add(),
            Outcome::NotSent => counters.ignored.add(),
        }
    }
}
