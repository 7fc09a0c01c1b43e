//! Errors of connections and calls.

use super::IO_TIMEOUT;
use super::peer::PONG_TIMEOUT;
use crate::protocol::{PROTOCOL_VERSION, ProtocolError};
use std::error::Error;
use std::fmt;
use std::io;
use tokio::time::error::Elapsed;

/// The failure of a connection or a call. Prints as one line. Answers of the operators' HTTP API include the texts of
/// failed calls, so these must not change.
#[derive(Debug)]
pub enum TransportError {
    /// The connection could not be opened.
    Connect(io::Error),
    /// A frame could not be read or written.
    Protocol(ProtocolError),
    /// Opening a connection, or writing the message of a call, timed out.
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
    /// No message, including answers to pings, arrived on a persistent connection before the timeout.
    PeerUnresponsive,
    /// Writing to an open connection timed out, for example because the peer does not read.
    WriteBlocked,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TransportError::Connect(error) => write!(f, "{error}"),
            TransportError::Protocol(error) => write!(f, "{error}"),
            TransportError::Timeout(error) => write!(f, "{error}"),
            TransportError::ClusterMismatch(cluster) => write!(f, "it is of the fleet '{cluster}'"),
            TransportError::VersionMismatch(version) => {
                write!(f, "received protocol version {version}, expected {PROTOCOL_VERSION}")
            }
            TransportError::ClosedWithoutAnswer => f.write_str("it ended the connection"),
            TransportError::AnswerTimeout => f.write_str("no answer came in time"),
            TransportError::ConnectionClosed => f.write_str("the peer closed the connection"),
            TransportError::PeerUnresponsive => {
                write!(
                    f,
                    "no message received from the peer, including answers to pings, within {PONG_TIMEOUT:?}"
                )
            }
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

/// Why no leader decided on a request of operators, or on a proxy's disruption request. Answers of the operators' HTTP
/// API include these texts, so they must not change.
#[derive(Debug)]
pub enum OperatorCallError {
    /// No keeper is configured.
    NoKeepers,
    /// The keeper does not lead.
    NotLeader {
        /// Name of the keeper.
        keeper: String,
        /// Text of the keeper's reply, which names the leader if it is known.
        text: String,
    },
    /// The keeper answered with a message that is not an operator reply.
    UnexpectedAnswer {
        /// Name of the keeper.
        keeper: String,
    },
    /// The call to the keeper failed.
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
