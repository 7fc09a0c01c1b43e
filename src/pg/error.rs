//! The error type of the codecs. The text of an error in client input is sent to the client.

use std::fmt;
use std::io;

/// Why input can't be decoded. All variants but [`PgError::Io`] and [`PgError::Memory`] are protocol violations by the
/// peer.
#[derive(Debug)]
pub enum PgError {
    /// The length, in bytes, is out of range for the type of the message.
    Length(usize),
    /// The message type is unknown, or not valid in this direction.
    MessageType(u8),
    /// The body does not have the format of the message type.
    Body(&'static str),
    /// A member's `ReadyForQuery` has this transaction status; only `I` (idle) is valid.
    TransactionStatus(u8),
    /// No memory is available for a message of this length, in bytes.
    Memory(usize),
    /// The connection failed.
    Io(io::Error),
}

impl From<io::Error> for PgError {
    fn from(e: io::Error) -> PgError {
        PgError::Io(e)
    }
}

impl fmt::Display for PgError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PgError::Length(length) => write!(f, "invalid message length {length}"),
            PgError::MessageType(code) => write!(f, "invalid message type {code}"),
            PgError::Body(problem) => write!(f, "malformed message: {problem}"),
            PgError::TransactionStatus(status) => {
                let status = status.escape_ascii();
                write!(
                    f,
                    "malformed message: ReadyForQuery has transaction status {status}, expected I (idle)"
                )
            }
            PgError::Memory(length) => write!(f, "no memory is left for a message of {length} bytes"),
            PgError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for PgError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            PgError::Io(e) => Some(e),
            _ => None,
        }
    }
}
