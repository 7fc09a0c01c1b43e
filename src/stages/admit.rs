//! Admits a request or refuses it before the decisions see it, by what this process may hold.

use crate::resource_limit::{ResourceLimit, ResourcePermit};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// What ran short where a request was refused before the decisions saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edge {
    /// Places at the door.
    Door,
    /// Room among the requests held.
    Held,
    /// Memory for its message.
    Memory,
    /// Time: the process is stopping.
    Stopping,
}

/// The stage.
pub struct Admit {
    held: ResourceLimit,
    memory: ResourceLimit,
    long: Arc<Semaphore>,
    long_most: usize,
}

impl Admit {
    /// Admits so many requests at a time, whose messages share so many bytes with what is still coming in, and so
    /// many more for long messages.
    pub fn new(requests: usize, bytes: usize, long_most: usize) -> Admit {
        let long_most = long_most.min(u32::MAX as usize >> 3);
        let long = Arc::new(Semaphore::new(long_most));
        Admit { held: ResourceLimit::new(requests), memory: ResourceLimit::new(bytes), long, long_most }
    }

    /// The memory for long messages, granted in the order of asking; none for what could never be granted.
    pub fn long(&self, length: usize) -> Option<(Arc<Semaphore>, u32)> {
        let bytes = u32::try_from(length).ok().filter(|_| length <= self.long_most)?;
        Some((self.long.clone(), bytes))
    }

    /// A place for a request until its answer, or why there is none.
    pub fn request(&self) -> Result<ResourcePermit, Edge> {
        self.held.acquire().ok_or(Edge::Held)
    }

    /// The memory for messages, for whoever reads them.
    pub fn memory(&self) -> ResourceLimit {
        self.memory.clone()
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.held.in_use()
    }
}
