//! Admission control ahead of the router: limits the requests that are held and the memory of their messages. Does not
//! wait and does not depend on the state of members; sessions wait for the memory of long messages themselves.

use crate::resource_limit::{ResourceLimit, ResourcePermit};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// Upper limit of semaphore permits: tokio's `Semaphore::MAX_PERMITS` on a 32-bit target.
const MAX_SEMAPHORE_PERMITS: usize = u32::MAX as usize >> 3;

/// Why a request was rejected before it reached the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// No free slot for the connection.
    ConnectionSlots,
    /// The maximum number of held requests is reached.
    HeldRequests,
    /// No free memory for the message.
    Memory,
    /// The process is stopping.
    Stopping,
}

/// The limits on requests and their messages.
pub struct RequestAdmission {
    held_requests: ResourceLimit,
    message_memory: ResourceLimit,
    long_message_memory: Arc<Semaphore>,
    /// The memory that long messages share, in bytes; a longer message is rejected.
    max_long_message: usize,
}

impl RequestAdmission {
    /// Limits held requests to `max_requests`. Their messages, including those still being read, share
    /// `message_bytes`; long messages share an additional `long_message_bytes`, at most `MAX_SEMAPHORE_PERMITS`.
    pub fn new(max_requests: usize, message_bytes: usize, long_message_bytes: usize) -> RequestAdmission {
        let max_long_message = long_message_bytes.min(MAX_SEMAPHORE_PERMITS);
        RequestAdmission {
            held_requests: ResourceLimit::new(max_requests),
            message_memory: ResourceLimit::new(message_bytes),
            long_message_memory: Arc::new(Semaphore::new(max_long_message)),
            max_long_message,
        }
    }

    /// The semaphore for the memory of long messages, and the number of permits for one of `length` bytes. Waiters
    /// are served in order; `None` if `length` exceeds the total.
    pub fn long_message_memory(&self, length: usize) -> Option<(Arc<Semaphore>, u32)> {
        let bytes = u32::try_from(length).ok().filter(|_| length <= self.max_long_message)?;
        Some((self.long_message_memory.clone(), bytes))
    }

    /// Admits a request, which occupies its place until the permit is dropped.
    ///
    /// # Errors
    /// The maximum number of held requests is reached.
    pub fn admit(&self) -> Result<ResourcePermit, RejectionCause> {
        self.held_requests.acquire().ok_or(RejectionCause::HeldRequests)
    }

    /// The limit on the memory that ordinary messages share, in bytes.
    pub fn message_memory(&self) -> ResourceLimit {
        self.message_memory.clone()
    }

    /// The number of requests currently held.
    pub fn held_requests(&self) -> usize {
        self.held_requests.in_use()
    }
}
