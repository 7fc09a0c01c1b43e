//! The one error of the protocol's codecs. Its text goes to clients and into the log.

use std::fmt;
use std::io;

/// What is wrong with the bytes that a peer sent, or why they can't be read. All but [`PgError::Io`] and
/// [`PgError::Memory`] are violations of the protocol.
#[derive(Debug)]
pub enum PgError {
    /// A length, in bytes, that no message of this type has.
    Length(usize),
    /// A message type that does not exist, or not in this direction.
    MessageType(u8),
    /// A body that does not have the form of its type.
    Body(&'static str),
    /// No memory is left for a message of this length in bytes.
    Memory(usize),
    /// The connection itself failed.
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
            PgError::MessageType(kind) => write!(f, "invalid message type {kind}"),
            PgError::Body(problem) => write!(f, "malformed message: {problem}"),
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
