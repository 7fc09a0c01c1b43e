//! Why a keeper's store cannot be used.

use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};

/// Why a store cannot be used. Prints as one line that begins with the path.
#[derive(Debug)]
pub enum StoreError {
    /// There is no store at this path: it was never made, or it is lost.
    Missing(PathBuf),
    /// There is a store at this path already.
    AlreadyExists(PathBuf),
    /// The directory cannot be created.
    Directory(PathBuf, std::io::Error),
    /// The database failed: it is truncated, the disk is full, or a sync failed.
    Database(PathBuf, Box<redb::Error>),
    /// A stored or outgoing value is invalid.
    Invalid {
        /// Path of the store.
        path: PathBuf,
        /// The invalid value.
        what: &'static str,
        /// The decoder's or the engine's error, where there is one.
        source: Option<Box<dyn Error + Send + Sync>>,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Missing(path) => write!(f, "{}: there is no store", path.display()),
            StoreError::AlreadyExists(path) => write!(f, "{}: there is a store already", path.display()),
            StoreError::Directory(path, error) => write!(f, "{}: {error}", path.display()),
            StoreError::Database(path, error) => write!(f, "{}: {error}", path.display()),
            StoreError::Invalid { path, what, .. } => write!(f, "{}: {what} can't be read", path.display()),
        }
    }
}

impl Error for StoreError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StoreError::Missing(_) | StoreError::AlreadyExists(_) => None,
            StoreError::Directory(_, error) => Some(error),
            StoreError::Database(_, error) => Some(error.as_ref()),
            StoreError::Invalid { source, .. } => {
                source.as_deref().map(|source| source as &(dyn Error + 'static))
            }
        }
    }
}

/// Converts an error of the database.
pub(super) fn database_error<E: Into<redb::Error>>(path: &Path) -> impl FnOnce(E) -> StoreError {
    move |error| StoreError::Database(path.to_path_buf(), Box::new(error.into()))
}

/// Converts an error that shows that `what` is invalid.
pub(super) fn invalid<E: Error + Send + Sync + 'static>(
    path: &Path, what: &'static str,
) -> impl FnOnce(E) -> StoreError {
    move |error| StoreError::Invalid { path: path.to_path_buf(), what, source: Some(Box::new(error)) }
}
