//! In-memory storage backend for the real keeper store. Its content outlives the keeper's process, writes and syncs
//! can be made to fail, and written data stays readable under every fault.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Fault of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// No fault.
    #[default]
    None,
    /// All writes fail, including those within the current size of the store.
    Full,
    /// Writes succeed, and syncing them fails.
    SyncFails,
}

#[derive(Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    fault: DiskFault,
}

/// An in-memory disk. Clones share its content.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<Content>>);

impl MemoryDisk {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault of the disk.
    pub fn set_fault(&self, fault: DiskFault) {
        self.content().fault = fault;
    }

    /// Whether the disk has no content, which holds before a keeper's first start.
    pub fn is_empty(&self) -> bool {
        self.content().bytes.is_empty()
    }
}

impl StorageBackend for MemoryDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.content().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let content = self.content();
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let found = content.bytes.get(from..from.saturating_add(out.len()));
        out.copy_from_slice(found.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut content = self.content();
        if content.fault == DiskFault::Full && len > content.bytes.len() as u64 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        content.bytes.resize(usize::try_from(len).unwrap_or(usize::MAX), 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        match self.content().fault {
            DiskFault::SyncFails => Err(io::Error::other("simulated disk fault: sync failed")),
            _ => Ok(()),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut content = self.content();
        if content.fault == DiskFault::Full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let to = from.saturating_add(data.len());
        content.bytes.get_mut(from..to).ok_or(io::ErrorKind::UnexpectedEof)?.copy_from_slice(data);
        Ok(())
    }
}
