//! Why a process does not start, or ends.

use crate::config::ConfigError;
use crate::fleet::command_line::OperatorFileError;
use crate::fleet::quota::UnknownClass;
use crate::hot_restart::inherit::InheritError;
use crate::proxy::DriverEnded;
use linenhill_cluster::keeper::KeeperError;
use linenhill_decisions::membership::MAX_NAME_BYTES;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a process does not start, or ends. Prints as one line, but for the mistakes of an operators' file: a line each.
#[derive(Debug)]
pub enum ProcessError {
    /// The runtime can't be built.
    Runtime(io::Error),
    /// A signal can't be received.
    Signals(io::Error),
    /// There is no configuration.
    Config(ConfigError),
    /// The operators' file can't be used.
    OperatorFile(OperatorFileError),
    /// The proxy's name is empty or too long for a fleet.
    ProxyName,
    /// A budget of the fleet is for a class that the settings lack.
    UnknownClass(UnknownClass),
    /// A socket can't be bound.
    Listen {
        /// What the socket is for, as the error names it.
        purpose: &'static str,
        /// The address that was asked for.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The descriptor of `LB_INHERITED_FD` can't be used.
    Inherit(InheritError),
    /// The keeper does not start, or has ended.
    Keeper(KeeperError),
    /// The driver of the decisions has ended.
    Driver(DriverEnded),
    /// No fault has the name that is to be injected.
    UnknownFault,
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProcessError::Runtime(error) => write!(f, "the runtime does not start: {error}"),
            ProcessError::Signals(_) => write!(f, "signals can't be received"),
            ProcessError::Config(error) => error.fmt(f),
            ProcessError::OperatorFile(error) => error.fmt(f),
            ProcessError::UnknownClass(error) => error.fmt(f),
            ProcessError::ProxyName => {
                write!(f, "a proxy of a fleet needs a name of 1 to {MAX_NAME_BYTES} bytes: 'name' or LB_NAME")
            }
            ProcessError::Listen { purpose, address, source } => write!(f, "{purpose} {address}: {source}"),
            ProcessError::Inherit(error) => write!(f, "LB_INHERITED_FD: {error}"),
            ProcessError::Keeper(error) => error.fmt(f),
            ProcessError::Driver(error) => error.fmt(f),
            ProcessError::UnknownFault => write!(f, "no such fault"),
        }
    }
}

impl Error for ProcessError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ProcessError::Runtime(error) | ProcessError::Signals(error) => Some(error),
            ProcessError::Config(error) => Some(error),
            ProcessError::OperatorFile(error) => Some(error),
            ProcessError::UnknownClass(error) => Some(error),
            ProcessError::Listen { source, .. } => Some(source),
            ProcessError::Inherit(error) => Some(error),
            ProcessError::Keeper(error) => Some(error),
            ProcessError::Driver(error) => Some(error),
            ProcessError::ProxyName | ProcessError::UnknownFault => None,
        }
    }
}

impl From<ConfigError> for ProcessError {
    fn from(error: ConfigError) -> ProcessError {
        ProcessError::Config(error)
    }
}

impl From<OperatorFileError> for ProcessError {
    fn from(error: OperatorFileError) -> ProcessError {
        ProcessError::OperatorFile(error)
    }
}

impl From<UnknownClass> for ProcessError {
    fn from(error: UnknownClass) -> ProcessError {
        ProcessError::UnknownClass(error)
    }
}

impl From<InheritError> for ProcessError {
    fn from(error: InheritError) -> ProcessError {
        ProcessError::Inherit(error)
    }
}

impl From<KeeperError> for ProcessError {
    fn from(error: KeeperError) -> ProcessError {
        ProcessError::Keeper(error)
    }
}

impl From<DriverEnded> for ProcessError {
    fn from(error: DriverEnded) -> ProcessError {
        ProcessError::Driver(error)
    }
}
