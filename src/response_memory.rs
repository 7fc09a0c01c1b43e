//! The memory of members' replies, from the first byte of a row until the answer is written to its client.
//!
//! A reply is read only once memory for its declared size is acquired; until then it stays in the socket of its member.
//! The memory is released when the last reference to the bytes is dropped, wherever that happens.

use crate::counters::Counters;
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Upper limit of semaphore permits: tokio's `Semaphore::MAX_PERMITS` on a 32-bit target.
const MAX_SEMAPHORE_PERMITS: usize = u32::MAX as usize >> 3;

/// The memory that all replies share, in bytes. Clones share it.
#[derive(Clone)]
pub struct ResponseMemory {
    bytes: Arc<Semaphore>,
    total: usize,
    counters: Rc<Counters>,
}

/// Memory of one reply, in use until it is dropped.
#[derive(Debug)]
pub struct ResponsePermit {
    /// `None` if the semaphore was closed, which never happens.
    _bytes: Option<OwnedSemaphorePermit>,
}

/// A complete reply with its memory.
struct CountedReply {
    bytes: Bytes,
    _memory: ResponsePermit,
}

impl AsRef<[u8]> for CountedReply {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ResponseMemory {
    /// Creates a limit of `total` bytes. Waits for memory are counted in `counters`.
    pub fn new(total: usize, counters: Rc<Counters>) -> ResponseMemory {
        let total = total.min(MAX_SEMAPHORE_PERMITS);
        ResponseMemory { bytes: Arc::new(Semaphore::new(total)), total, counters }
    }

    /// Acquires `bytes`, or the total if that is less. Waits until they are free; waiters are served in order.
    pub async fn acquire(&self, bytes: usize) -> ResponsePermit {
        let permits = bytes.min(self.total) as u32;
        if let Ok(acquired) = self.bytes.clone().try_acquire_many_owned(permits) {
            return ResponsePermit { _bytes: Some(acquired) };
        }
        self.counters.response_memory_waits.add();
        ResponsePermit { _bytes: self.bytes.clone().acquire_many_owned(permits).await.ok() }
    }

    /// The number of bytes in use.
    pub fn in_use(&self) -> usize {
        self.total - self.bytes.available_permits()
    }
}

impl ResponsePermit {
    /// Converts a reply into bytes that keep this memory in use for as long as they exist.
    pub fn attach_to(self, reply: BytesMut) -> Bytes {
        Bytes::from_owner(CountedReply { bytes: reply.freeze(), _memory: self })
    }
}
