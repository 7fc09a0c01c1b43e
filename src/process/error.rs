//! Errors that prevent a process from starting, or end it.

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

/// Why a process did not start, or has ended. Displayed as one line, except that each mistake in an operators' file has
/// its own.
#[derive(Debug)]
pub enum ProcessError {
    /// The runtime can't be built.
    Runtime(io::Error),
    /// A signal handler can't be installed.
    Signals(io::Error),
    /// The configuration can't be loaded.
    Config(ConfigError),
    /// The operators' file can't be used.
    OperatorFile(OperatorFileError),
    /// The proxy's name, of this length in bytes, is empty or too long for a fleet.
    ProxyName(usize),
    /// A budget of the operators' file is for a class that the settings do not define.
    UnknownClass(UnknownClass),
    /// A socket can't be bound.
    Listen {
        /// The socket's users or its setting, for the error's text.
        purpose: &'static str,
        /// The requested address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// The descriptor of `LB_INHERITED_FD` can't be used.
    Inherit(InheritError),
    /// The keeper did not start, or has failed.
    Keeper(KeeperError),
    /// The driver of the decisions has ended.
    Driver(DriverEnded),
    /// `LINENHILL_PLANTED` has this value, which is not the name of a fault.
    UnknownFault(String),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProcessError::Runtime(error) => write!(f, "the runtime can't be started: {error}"),
            ProcessError::Signals(error) => write!(f, "a signal handler can't be installed: {error}"),
            ProcessError::Config(error) => error.fmt(f),
            ProcessError::OperatorFile(error) => error.fmt(f),
            ProcessError::UnknownClass(error) => error.fmt(f),
            ProcessError::ProxyName(length) => write!(
                f,
                "a proxy of a fleet needs a name of 1 to {MAX_NAME_BYTES} bytes ('name' or LB_NAME), got {length}"
            ),
            ProcessError::Listen { purpose, address, source } => {
                write!(f, "can't listen on {address} ({purpose}): {source}")
            }
            ProcessError::Inherit(error) => write!(f, "LB_INHERITED_FD: {error}"),
            ProcessError::Keeper(error) => error.fmt(f),
            ProcessError::Driver(error) => error.fmt(f),
            ProcessError::UnknownFault(name) => {
                write!(f, "LINENHILL_PLANTED must name a fault, got {name:?}")
            }
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
            ProcessError::ProxyName(_) | ProcessError::UnknownFault(_) => None,
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
