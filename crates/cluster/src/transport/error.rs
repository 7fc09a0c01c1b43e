//! Why a connection or a call fails.

use crate::protocol::{PROTOCOL_VERSION, ProtocolError};
use std::error::Error;
use std::fmt;
use std::io;
use tokio::time::error::Elapsed;

/// Why a connection ends or a call fails. Prints as one line.
#[derive(Debug)]
pub enum TransportError {
    /// The connection could not be opened.
    Connect(io::Error),
    /// A frame could not be read or written.
    Protocol(ProtocolError),
    /// A connection could not be opened, or a message not written, within its time limit.
    Timeout(Elapsed),
    /// The instance belongs to another fleet, of this name.
    OtherCluster(String),
    /// The instance uses another version of the protocol.
    OtherVersion(u32),
    /// The other side closed the connection instead of an answer.
    ClosedWithoutAnswer,
    /// No answer arrived within the time limit.
    NoAnswer,
    /// The other side closed a lasting connection.
    Closed,
    /// The other side of a lasting connection answers no pings.
    Silent,
    /// The other side of a lasting connection reads nothing.
    WriteBlocked,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TransportError::Connect(error) => write!(f, "{error}"),
            TransportError::Protocol(error) => write!(f, "{error}"),
            TransportError::Timeout(error) => write!(f, "{error}"),
            TransportError::OtherCluster(cluster) => write!(f, "it is of the fleet '{cluster}'"),
            TransportError::OtherVersion(version) => {
                write!(f, "it speaks version {version}, and this is {PROTOCOL_VERSION}")
            }
            TransportError::ClosedWithoutAnswer => f.write_str("it ended the connection"),
            TransportError::NoAnswer => f.write_str("no answer came in time"),
            TransportError::Closed => f.write_str("it was closed"),
            TransportError::Silent => f.write_str("it is silent"),
            TransportError::WriteBlocked => f.write_str("nothing can be written"),
        }
    }
}

impl Error for TransportError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TransportError::Connect(error) => Some(error),
            TransportError::Protocol(error) => Some(error),
            TransportError::Timeout(error) => Some(error),
            TransportError::OtherCluster(_)
            | TransportError::OtherVersion(_)
            | TransportError::ClosedWithoutAnswer
            | TransportError::NoAnswer
            | TransportError::Closed
            | TransportError::Silent
            | TransportError::WriteBlocked => None,
        }
    }
}

impl From<ProtocolError> for TransportError {
    fn from(error: ProtocolError) -> TransportError {
        TransportError::Protocol(error)
    }
}

impl From<Elapsed> for TransportError {
    fn from(error: Elapsed) -> TransportError {
        TransportError::Timeout(error)
    }
}

/// Why no keeper decided on an operator's request.
#[derive(Debug)]
pub enum OperatorCallError {
    /// No keeper is configured.
    NoKeepers,
    /// This keeper does not lead; the text is its own.
    NotLeader {
        /// Name of the keeper.
        keeper: String,
        /// What it answered.
        text: String,
    },
    /// This keeper answered with another message than a reply.
    UnexpectedAnswer {
        /// Name of the keeper.
        keeper: String,
    },
    /// This keeper could not be called.
    Transport {
        /// Name of the keeper.
        keeper: String,
        /// Why.
        source: TransportError,
    },
}

impl fmt::Display for OperatorCallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OperatorCallError::NoKeepers => f.write_str("there is no keeper"),
            OperatorCallError::NotLeader { keeper, text } => write!(f, "{keeper}: {text}"),
            OperatorCallError::UnexpectedAnswer { keeper } => {
                write!(f, "{keeper}: an answer that is none")
            }
            OperatorCallError::Transport { keeper, source } => write!(f, "{keeper}: {source}"),
        }
    }
}

impl Error for OperatorCallError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            OperatorCallError::Transport { source, .. } => Some(source),
            OperatorCallError::NoKeepers
            | OperatorCallError::NotLeader { .. }
            | OperatorCallError::UnexpectedAnswer { .. } => None,
        }
    }
}
