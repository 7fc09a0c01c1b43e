//! PostgreSQL's wire protocol, version 3: the codecs of both sides, and the comment that opens a client's statement.
//!
//! [`frontend`] is the side of clients, [`backend`] that of members, and [`statement`] decodes what a query says about
//! itself; `framing` has what both codecs share. Bytes in, messages out: nothing here reads a socket or a clock, knows
//! what becomes of a message, or buffers more than the limits below.

pub mod backend;
mod error;
mod framing;
pub mod frontend;
pub mod statement;

pub use error::PgError;

/// The largest value of a row, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// A value of up to so many bytes is decoded with its row; a longer one is passed on in chunks as it arrives.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The largest message, in bytes, that is read from a client without being announced: a value of 64 KiB in hexadecimal,
/// and its statement.
pub const MAX_ORDINARY_MESSAGE_BYTES: usize = 192 * 1024;
/// The largest message of a client, in bytes: the largest value in hexadecimal, and its statement.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 64 * 1024;
