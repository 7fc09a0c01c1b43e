//! Admission control ahead of the router: limits the requests that are held and the memory of their messages. Does not
//! wait and does not depend on the state of members; sessions wait for the memory of long messages themselves.

use crate::resource_limit::{ResourceLimit, ResourcePermit};
use crate::upstream::response::MAX_RESPONSE_BYTES;
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

/// What requests may use. All sizes are in bytes.
pub struct AdmissionCapacity {
    /// The most requests that are held at a time.
    pub max_requests: usize,
    /// The memory that ordinary messages share, including those still being read.
    pub message_bytes: usize,
    /// The additional memory that long messages share, at most `MAX_SEMAPHORE_PERMITS`.
    pub long_message_bytes: usize,
    /// The memory for answers that wait behind unanswered requests of their connections.
    pub read_ahead_bytes: usize,
}

/// The limits on requests and their messages.
pub struct RequestAdmission {
    read_ahead: ResourceLimit,
    held_requests: ResourceLimit,
    message_memory: ResourceLimit,
    long_message_memory: Arc<Semaphore>,
    /// The memory that long messages share, in bytes; a longer message is rejected.
    max_long_message: usize,
}

impl RequestAdmission {
    /// Creates admission control within `capacity`.
    pub fn new(capacity: AdmissionCapacity) -> RequestAdmission {
        let max_long_message = capacity.long_message_bytes.min(MAX_SEMAPHORE_PERMITS);
        RequestAdmission {
            held_requests: ResourceLimit::new(capacity.max_requests),
            message_memory: ResourceLimit::new(capacity.message_bytes),
            read_ahead: ResourceLimit::new(capacity.read_ahead_bytes),
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

    /// Reserves memory for the answer of a request that is submitted behind an unanswered one; `None` if too little is
    /// free, so that the request must wait for its turn.
    pub fn reserve_read_ahead(&self) -> Option<ResourcePermit> {
        self.read_ahead.acquire_weighted(MAX_RESPONSE_BYTES)
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
