//! Admits a request or refuses it before the decisions see it, by what this process may hold.

use crate::budget::{Budget, Place};

/// What ran short where a request was refused before the decisions saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edge {
    /// Places at the door.
    Door,
    /// Room among the requests held.
    Held,
    /// Memory for its message.
    Memory,
}

/// The stage.
pub struct Admit {
    held: Budget,
    memory: Budget,
}

impl Admit {
    /// Admits so many requests at a time, whose messages share so many bytes with what is still coming in.
    pub fn new(requests: usize, bytes: usize) -> Admit {
        Admit { held: Budget::new(requests), memory: Budget::new(bytes) }
    }

    /// A place for a request until its answer, or why there is none.
    pub fn request(&self) -> Result<Place, Edge> {
        self.held.enter().ok_or(Edge::Held)
    }

    /// The memory for messages, for whoever reads them.
    pub fn memory(&self) -> Budget {
        self.memory.clone()
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.held.held()
    }
}
