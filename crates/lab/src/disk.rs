//! A disk in memory that outlives its keeper, and that can be full or fail.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wrong {
    /// Nothing.
    #[default]
    Nothing,
    /// It takes no more bytes.
    Full,
    /// What is written can't be synced.
    Sync,
}

#[derive(Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    wrong: Wrong,
}

/// The disk; each copy is the same one.
#[derive(Clone, Debug, Default)]
pub struct Image(Arc<Mutex<Content>>);

impl Image {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on this is wrong with it.
    pub fn fails(&self, wrong: Wrong) {
        self.content().wrong = wrong;
    }

    /// Whether anything was ever written.
    pub fn is_blank(&self) -> bool {
        self.content().bytes.is_empty()
    }
}

impl StorageBackend for Image {
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
        if content.wrong == Wrong::Full && len > content.bytes.len() as u64 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        content.bytes.resize(usize::try_from(len).unwrap_or(usize::MAX), 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        match self.content().wrong {
            Wrong::Sync => Err(io::Error::other("the disk can't be synced")),
            _ => Ok(()),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut content = self.content();
        if content.wrong == Wrong::Full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let to = from.saturating_add(data.len());
        content.bytes.get_mut(from..to).ok_or(io::ErrorKind::UnexpectedEof)?.copy_from_slice(data);
        Ok(())
    }
}
