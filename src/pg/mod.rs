//! PostgreSQL's wire protocol, version 3: the codecs of both sides, and the leading comment of a client's statement.
//!
//! [`frontend`] is the codec for clients, [`backend`] the one for members, and [`statement`] decodes the request fields
//! in a statement's comment; `framing` is shared by both codecs. The codecs do no I/O, read no clock, and never buffer
//! more than the limits below.

pub mod backend;
mod error;
mod framing;
pub mod frontend;
pub mod statement;

pub use error::PgError;

/// The largest column value, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// A value of up to this many bytes is decoded with its row; a longer one is passed on in chunks as it arrives.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The largest client message, in bytes, that is read without being announced: a value of 64 KiB in hexadecimal, and
/// 64 KiB for the rest of the statement.
pub const MAX_ORDINARY_MESSAGE_BYTES: usize = 192 * 1024;
/// The largest client message, in bytes: the largest value in hexadecimal, and 64 KiB for the rest of the statement.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 64 * 1024;
