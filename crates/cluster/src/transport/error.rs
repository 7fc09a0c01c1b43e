//! Errors of connections and calls.

use super::IO_TIMEOUT;
use super::call::ANSWER_TIMEOUT;
use super::peer::PONG_TIMEOUT;
use crate::protocol::{PROTOCOL_VERSION, ProtocolError};
use std::error::Error;
use std::fmt;
use std::io;
use tokio::time::error::Elapsed;

/// The failure of a connection or a call. Prints as one line.
#[derive(Debug)]
pub enum TransportError {
    /// The connection could not be opened.
    Connect(io::Error),
    /// A frame could not be read or written.
    Protocol(ProtocolError),
    /// Opening a connection or writing a message timed out.
    Timeout(Elapsed),
    /// The sender belongs to the fleet of this name, which is not the receiver's.
    ClusterMismatch(String),
    /// The sender uses this version of the protocol, which is not the receiver's.
    VersionMismatch(u32),
    /// The called instance closed the connection before it answered.
    ClosedWithoutAnswer,
    /// No answer to a call arrived before the timeout.
    AnswerTimeout,
    /// The peer closed a persistent connection.
    ConnectionClosed,
    /// The peer of a persistent connection did not answer pings before the timeout.
    PeerUnresponsive,
    /// Writing to a persistent connection timed out, because the peer does not read.
    WriteBlocked,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TransportError::Connect(error) => write!(f, "cannot connect: {error}"),
            TransportError::Protocol(error) => write!(f, "{error}"),
            TransportError::Timeout(_) => write!(f, "connect or write timed out after {IO_TIMEOUT:?}"),
            TransportError::ClusterMismatch(cluster) => write!(f, "it is of the fleet '{cluster}'"),
            TransportError::VersionMismatch(version) => {
                write!(f, "received protocol version {version}, expected {PROTOCOL_VERSION}")
            }
            TransportError::ClosedWithoutAnswer => f.write_str("connection closed before an answer"),
            TransportError::AnswerTimeout => write!(f, "no answer within {ANSWER_TIMEOUT:?}"),
            TransportError::ConnectionClosed => f.write_str("closed by the peer"),
            TransportError::PeerUnresponsive => write!(f, "no answer to pings within {PONG_TIMEOUT:?}"),
            TransportError::WriteBlocked => write!(f, "write timed out after {IO_TIMEOUT:?}"),
        }
    }
}

impl Error for TransportError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TransportError::Connect(error) => Some(error),
            TransportError::Protocol(error) => Some(error),
            TransportError::Timeout(error) => Some(error),
            TransportError::ClusterMismatch(_)
            | TransportError::VersionMismatch(_)
            | TransportError::ClosedWithoutAnswer
            | TransportError::AnswerTimeout
            | TransportError::ConnectionClosed
            | TransportError::PeerUnresponsive
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

/// Why an operator's request was not decided by a leader.
#[derive(Debug)]
pub enum OperatorCallError {
    /// No keeper is configured.
    NoKeepers,
    /// This keeper does not lead.
    NotLeader {
        /// Name of the keeper.
        keeper: String,
        /// Text of its reply.
        text: String,
    },
    /// This keeper answered with a message that is not an operator reply.
    UnexpectedAnswer {
        /// Name of the keeper.
        keeper: String,
    },
    /// The call to this keeper failed.
    Transport {
        /// Name of the keeper.
        keeper: String,
        /// Error of the call.
        source: TransportError,
    },
}

impl fmt::Display for OperatorCallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OperatorCallError::NoKeepers => f.write_str("there is no keeper"),
            OperatorCallError::NotLeader { keeper, text } => write!(f, "{keeper}: {text}"),
            OperatorCallError::UnexpectedAnswer { keeper } => {
                write!(f, "{keeper}: expected an operator reply, received another message")
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
