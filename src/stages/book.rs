//! Books what was taken in, sent and answered.

use super::Answer;
use super::admit::Edge;
use crate::api::ClassId;
use crate::api::Outcome;
use crate::counters::Counters;
use crate::invariants::InvariantMonitor;
use crate::metrics::{Metrics, RequestEnd};
use std::rc::Rc;

/// The stage.
#[derive(Clone)]
pub struct Book(Rc<Counters>, Rc<Metrics>);

/// A request from its last byte to its one end. Dropped before that, its client has left.
pub struct Ticket {
    book: Book,
    class: ClassId,
    ended: bool,
}

impl Ticket {
    /// The request has its final answer.
    pub fn end(mut self, answer: &Answer) {
        self.ended = true;
        self.book.answered(self.class, answer);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.ended {
            self.book.0.lapsed.add();
            self.book.1.record_ended(self.class.0, None);
        }
    }
}

impl Book {
    /// Books into these counters and metrics.
    pub fn new(counters: Rc<Counters>, metrics: Rc<Metrics>) -> Book {
        Book(counters, metrics)
    }

    /// What counts violated invariants.
    pub fn invariants(&self) -> Rc<InvariantMonitor> {
        self.1.invariants()
    }

    /// A request was taken in.
    pub fn take(&self, class: ClassId) -> Ticket {
        self.0.taken.add();
        self.1.record_accepted();
        Ticket { book: self.clone(), class, ended: false }
    }

    /// An attempt was written whole.
    pub fn written(&self) {
        self.1.record_written_attempt();
    }

    /// A request could not be read.
    pub fn malformed(&self) {
        self.0.malformed.add();
    }

    /// An attempt was sent.
    pub fn sent(&self) {
        self.0.sent.add();
    }

    /// A probe was sent.
    pub fn probed(&self) {
        self.0.probes.add();
    }

    fn answered(&self, class: ClassId, answer: &Answer) {
        let (count, end) = match answer {
            Answer::Served(_) | Answer::Passing(_) => (&self.0.served, RequestEnd::Completed),
            Answer::Refused { .. } => (&self.0.refused, RequestEnd::Rejected),
            Answer::Failed => (&self.0.failed, RequestEnd::Failed),
        };
        count.add();
        self.1.record_ended(class.0, Some(end));
    }

    /// A request whose class nobody knows was refused.
    pub fn refused(&self) {
        self.0.taken.add();
        self.0.refused.add();
    }

    /// A request was refused before the decisions saw it, for this reason.
    pub fn refused_at(&self, edge: Edge) {
        match edge {
            Edge::Door => self.0.refused_door.add(),
            Edge::Held => self.0.refused_held.add(),
            Edge::Memory => self.0.refused_memory.add(),
            Edge::Stopping => self.0.refused_stopping.add(),
        }
    }

    /// An attempt ended.
    pub fn ended(&self, outcome: Outcome) {
        let c = &self.0;
        match outcome {
            Outcome::Ok => c.ok.add(),
            Outcome::NotApplicable => c.miss.add(),
            Outcome::Failed => c.error.add(),
            Outcome::QueueFull => c.turned_away.add(),
            Outcome::ConnectError => c.not_connected.add(),
            Outcome::MalformedReply => c.garbled.add(),
            Outcome::Reset => c.reset.add(),
            Outcome::TimedOut => c.timed_out.add(),
            Outcome::Cancelled => c.cancelled.add(),
            Outcome::NotSent => c.ignored.add(),
        }
    }
}
