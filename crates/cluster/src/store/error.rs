//! Errors of a keeper's store.

use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};

/// An error of a keeper's store. Prints as one line that begins with the path.
#[derive(Debug)]
pub enum StoreError {
    /// There is no store at this path: it was never created, or it was lost.
    Missing(PathBuf),
    /// A store already exists at this path.
    AlreadyExists(PathBuf),
    /// The directory cannot be created.
    Directory(PathBuf, std::io::Error),
    /// The database failed, for example because it is truncated, the disk is full, or a sync failed.
    Database(PathBuf, Box<redb::Error>),
    /// A value that was read, or is to be written, is invalid.
    Invalid {
        /// Path of the store.
        path: PathBuf,
        /// Name of the invalid value.
        value: &'static str,
        /// Error of the decoder or the engine, or the expected and the found value.
        source: Option<Box<dyn Error + Send + Sync>>,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Missing(path) => write!(f, "{}: no store found", path.display()),
            StoreError::AlreadyExists(path) => write!(f, "{}: a store already exists", path.display()),
            StoreError::Directory(path, error) => {
                write!(f, "{}: cannot create the directory: {error}", path.display())
            }
            StoreError::Database(path, error) => write!(f, "{}: database: {error}", path.display()),
            StoreError::Invalid { path, value, source } => {
                write!(f, "{}: invalid {value}", path.display())?;
                source.as_ref().map_or(Ok(()), |source| write!(f, ": {source}"))
            }
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

/// Returns a conversion of database errors to [`StoreError::Database`].
pub(super) fn database_error<E: Into<redb::Error>>(path: &Path) -> impl FnOnce(E) -> StoreError {
    move |error| StoreError::Database(path.to_path_buf(), Box::new(error.into()))
}

/// Returns a conversion of errors to [`StoreError::Invalid`]. `value` names the invalid value.
pub(super) fn invalid<E: Error + Send + Sync + 'static>(
    path: &Path, value: &'static str,
) -> impl FnOnce(E) -> StoreError {
    move |error| StoreError::Invalid { path: path.to_path_buf(), value, source: Some(Box::new(error)) }
}
