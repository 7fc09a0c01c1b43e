//! PostgreSQL's wire protocol, version 3: frames, and the codecs of both sides.

pub mod backend;
pub mod frontend;
pub mod statement;

use bytes::{Buf, Bytes, BytesMut};
use std::fmt;
use std::io;

/// The largest value, in bytes.
pub const VALUE_MOST: usize = 4 << 20;
/// Of a longer value the first bytes count, and the rest is passed on as it comes.
pub const PASSED_ABOVE: usize = 64 * 1024;
/// The largest message taken from a client without being announced: a value of 64 KiB in hexadecimal, and its statement.
pub const MESSAGE_MOST: usize = 192 * 1024;
/// The largest message taken at all: the largest value in hexadecimal, and its statement.
pub const LONG_MOST: usize = 2 * VALUE_MOST + 64 * 1024;

/// What is wrong with the bytes that a peer sent.
#[derive(Debug)]
pub enum PgError {
    /// A length that no message of this kind has.
    Length(usize),
    /// A message type that does not exist, or not here.
    Kind(u8),
    /// A body that is not as its type says.
    Body(&'static str),
    /// No memory is left for a message of this length.
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
            PgError::Length(n) => write!(f, "invalid message length {n}"),
            PgError::Kind(k) => write!(f, "invalid message type {k}"),
            PgError::Body(what) => write!(f, "malformed message: {what}"),
            PgError::Memory(n) => write!(f, "no memory is left for a message of {n} bytes"),
            PgError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for PgError {}

/// The kind and length of the typed message at the front, once they are there. `bounds` tells the least and most
/// length of a kind, or none for a kind that does not exist: what can't be a message is an error at once, and
/// nothing is set aside or waited for on its word.
pub(crate) fn header(
    src: &BytesMut, bounds: impl Fn(u8) -> Option<(usize, usize)>,
) -> Result<Option<(u8, usize)>, PgError> {
    let Some((&kind, rest)) = src.split_first() else { return Ok(None) };
    let (least, most) = bounds(kind).ok_or(PgError::Kind(kind))?;
    let Some(length) = rest.first_chunk::<4>().map(|b| u32::from_be_bytes(*b) as usize) else {
        return Ok(None);
    };
    if !(least..=most).contains(&length) {
        return Err(PgError::Length(length));
    }
    Ok(Some((kind, length)))
}

/// Takes a typed message of this length off the front, header included; `None` until it is all there.
pub(crate) fn take(src: &mut BytesMut, length: usize) -> Option<Bytes> {
    (src.len() > length).then(|| src.split_to(1 + length).freeze())
}

/// Reads a NUL-terminated text off the front.
pub(crate) fn text(src: &mut Bytes) -> Result<Bytes, PgError> {
    let end = src.iter().position(|b| *b == 0).ok_or(PgError::Body("unterminated text"))?;
    let text = src.split_to(end);
    src.advance(1);
    Ok(text)
}
