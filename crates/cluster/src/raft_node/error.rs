//! Errors that prevent a keeper from starting, or that stop it.

use crate::store::StoreError;
use std::error::Error;
use std::fmt;

/// An error that prevents a keeper from starting, or that stops it. Prints as one line.
#[derive(Debug)]
pub enum KeeperError {
    /// The store failed. The keeper must stop voting, since its vote may not be persisted.
    Store(StoreError),
    /// The Raft engine failed.
    Engine(raft::Error),
    /// The operators' file lacks this required setting.
    MissingSetting(&'static str),
    /// The operators' file has no keeper of this name.
    UnknownKeeper(String),
    /// The snapshot cannot be decoded: it was written by a newer version, or is damaged.
    Snapshot(prost::DecodeError),
    /// The store belongs to another keeper or another fleet.
    ForeignStore {
        /// Name of the keeper that owns the store.
        keeper: String,
        /// Name of that keeper's fleet.
        cluster: String,
    },
}

impl fmt::Display for KeeperError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            KeeperError::Store(error) => write!(f, "the keeper votes no more: {error}"),
            KeeperError::Engine(error) => write!(f, "Raft engine: {error}"),
            KeeperError::MissingSetting(field) => write!(f, "the operators' file lacks {field}"),
            KeeperError::UnknownKeeper(name) => write!(f, "the operators' file lacks a keeper '{name}'"),
            KeeperError::Snapshot(error) => write!(f, "cannot decode the snapshot: {error}"),
            KeeperError::ForeignStore { keeper, cluster } => {
                write!(f, "the store belongs to keeper '{keeper}' of fleet '{cluster}'")
            }
        }
    }
}

impl Error for KeeperError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            KeeperError::Store(error) => Some(error),
            KeeperError::Engine(error) => Some(error),
            KeeperError::Snapshot(error) => Some(error),
            KeeperError::MissingSetting(_)
            | KeeperError::UnknownKeeper(_)
            | KeeperError::ForeignStore { .. } => None,
        }
    }
}

impl From<StoreError> for KeeperError {
    fn from(error: StoreError) -> KeeperError {
        KeeperError::Store(error)
    }
}

impl From<raft::Error> for KeeperError {
    fn from(error: raft::Error) -> KeeperError {
        KeeperError::Engine(error)
    }
}
