//! Frames of typed messages: a type byte, a length that counts itself and the body, and the body. It must never reserve
//! memory for, or wait for, a length that no message of its type has.

use super::PgError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::RangeInclusive;

/// Bytes of a message before its body: the type and the length.
pub(super) const HEADER_BYTES: usize = 5;
/// Bytes of the length field, which the length counts as well: no message is shorter.
pub(super) const LENGTH_BYTES: usize = 4;

/// What precedes the body of a typed message.
#[derive(Clone, Copy)]
pub(super) struct MessageHeader {
    /// The type byte.
    pub kind: u8,
    /// The length in bytes, as sent: without the type byte.
    pub length: usize,
}

/// The header of the message at the front of `src`; `None` until it has arrived. `length_bounds` gives the lengths that
/// a type may have, or `None` for a type that does not exist. What can't be a message is an error at once.
pub(super) fn decode_header(
    src: &BytesMut, length_bounds: impl Fn(u8) -> Option<RangeInclusive<usize>>,
) -> Result<Option<MessageHeader>, PgError> {
    let Some((&kind, rest)) = src.split_first() else { return Ok(None) };
    let bounds = length_bounds(kind).ok_or(PgError::MessageType(kind))?;
    let Some(length) = first_length(rest) else { return Ok(None) };
    if !bounds.contains(&length) {
        return Err(PgError::Length(length));
    }
    Ok(Some(MessageHeader { kind, length }))
}

/// The length field at the front of `bytes`; `None` until it has arrived.
pub(super) fn first_length(bytes: &[u8]) -> Option<usize> {
    bytes.first_chunk::<LENGTH_BYTES>().map(|length| u32::from_be_bytes(*length) as usize)
}

/// Takes the typed message of this length off the front of `src`, header included; `None` until all of it has arrived.
pub(super) fn take_message(src: &mut BytesMut, length: usize) -> Option<Bytes> {
    (src.len() > length).then(|| src.split_to(1 + length).freeze())
}

/// Takes a text that ends with a NUL byte off the front of `src`; the NUL byte goes as well.
pub(super) fn take_text(src: &mut Bytes) -> Result<Bytes, PgError> {
    let end = src.iter().position(|byte| *byte == 0).ok_or(PgError::Body("unterminated text"))?;
    let text = src.split_to(end);
    src.advance(1);
    Ok(text)
}

/// Appends a typed message to `dst`; `put_body` appends its body, by which the length is filled in.
pub(super) fn put_message(kind: u8, dst: &mut BytesMut, put_body: impl FnOnce(&mut BytesMut)) {
    dst.put_u8(kind);
    let length_at = dst.len();
    dst.put_u32(0);
    put_body(dst);
    let length = (dst.len() - length_at) as u32;
    dst[length_at..length_at + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a text and the NUL byte that ends it.
pub(super) fn put_text(dst: &mut BytesMut, text: &[u8]) {
    dst.put_slice(text);
    dst.put_u8(0);
}
