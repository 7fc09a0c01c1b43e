//! Admits a request, or rejects it before the decisions see it, by what this process may hold. It never waits, and it knows
//! nothing of members.

use crate::resource_limit::{ResourceLimit, ResourcePermit};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// A semaphore holds no more permits than this.
const MAX_SEMAPHORE_PERMITS: usize = u32::MAX as usize >> 3;

/// What was missing where a request was rejected before the decisions saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// A slot for its connection.
    ConnectionSlots,
    /// Room among the requests held.
    HeldRequests,
    /// Memory for its message.
    Memory,
    /// Time: the process is stopping.
    Stopping,
}

/// The limits on requests and their messages.
pub struct RequestAdmission {
    held_requests: ResourceLimit,
    message_memory: ResourceLimit,
    long_message_memory: Arc<Semaphore>,
    /// In bytes.
    max_long_message: usize,
}

impl RequestAdmission {
    /// Admits `max_requests` at a time. Their messages, with what is still being read, share `message_bytes`; long messages
    /// share `long_message_bytes` more.
    pub fn new(max_requests: usize, message_bytes: usize, long_message_bytes: usize) -> RequestAdmission {
        let max_long_message = long_message_bytes.min(MAX_SEMAPHORE_PERMITS);
        RequestAdmission {
            held_requests: ResourceLimit::new(max_requests),
            message_memory: ResourceLimit::new(message_bytes),
            long_message_memory: Arc::new(Semaphore::new(max_long_message)),
            max_long_message,
        }
    }

    /// The memory for long messages, and the permits for one of `length` bytes. Granted in the order of asking; `None` for
    /// a length that could never be granted.
    pub fn long_message_memory(&self, length: usize) -> Option<(Arc<Semaphore>, u32)> {
        let bytes = u32::try_from(length).ok().filter(|_| length <= self.max_long_message)?;
        Some((self.long_message_memory.clone(), bytes))
    }

    /// Room for a request until its answer.
    ///
    /// # Errors
    /// What is missing.
    pub fn admit(&self) -> Result<ResourcePermit, RejectionCause> {
        self.held_requests.acquire().ok_or(RejectionCause::HeldRequests)
    }

    /// The memory that messages share, in bytes.
    pub fn message_memory(&self) -> ResourceLimit {
        self.message_memory.clone()
    }

    /// The number of requests held now.
    pub fn held_requests(&self) -> usize {
        self.held_requests.in_use()
    }
}
