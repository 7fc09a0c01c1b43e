//! Books what was taken in, sent and answered.

use super::Answer;
use super::admit::Edge;
use crate::api::Outcome;
use crate::counters::Counters;
use std::rc::Rc;

/// The stage.
#[derive(Clone)]
pub struct Book(Rc<Counters>);

impl Book {
    /// Books into these counters.
    pub fn new(counters: Rc<Counters>) -> Book {
        Book(counters)
    }

    /// A request was taken in.
    pub fn taken(&self) {
        self.0.taken.add();
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

    /// A final answer was given.
    pub fn answered(&self, answer: &Answer) {
        match answer {
            Answer::Served(_) => self.0.served.add(),
            Answer::Refused { .. } => self.0.refused.add(),
            Answer::Failed => self.0.failed.add(),
        }
    }

    /// A request was refused before the decisions saw it, for this reason.
    pub fn refused_at(&self, edge: Edge) {
        match edge {
            Edge::Door => self.0.refused_door.add(),
            Edge::Held => self.0.refused_held.add(),
            Edge::Memory => self.0.refused_memory.add(),
        }
    }

    /// A client left before its answer.
    pub fn lapsed(&self) {
        self.0.lapsed.add();
    }

    /// An attempt ended.
    pub fn ended(&self, outcome: Outcome) {
        let c = &self.0;
        match outcome {
            Outcome::Ok => c.ok.add(),
            Outcome::Miss => c.miss.add(),
            Outcome::Failed => c.error.add(),
            Outcome::QueueFull => c.turned_away.add(),
            Outcome::ConnectError => c.not_connected.add(),
            Outcome::Garbled => c.garbled.add(),
            Outcome::Reset => c.reset.add(),
            Outcome::TimedOut => c.timed_out.add(),
            Outcome::Cancelled => c.cancelled.add(),
            Outcome::Ignored => c.ignored.add(),
        }
    }
}
