//! Framing of typed messages: a type byte, a length that includes itself and the body, and the body. A length that is
//! out of range for its type must be rejected before memory is reserved or more input is awaited.

use super::PgError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::RangeInclusive;

/// Size of a message's header: the type byte and the length field.
pub(super) const HEADER_BYTES: usize = 5;
/// Size of the length field. The length includes the field itself, so this is also the smallest valid length.
pub(super) const LENGTH_BYTES: usize = 4;

/// The header of a typed message.
#[derive(Clone, Copy)]
pub(super) struct MessageHeader {
    /// The type byte.
    pub message_type: u8,
    /// The length field, in bytes; excludes the type byte.
    pub length: usize,
}

/// Decodes the header at the front of `src`, without consuming it; `None` until it is complete. `length_bounds` returns
/// the valid lengths of a type, or `None` for an unknown type, which is rejected even before the length has arrived.
pub(super) fn decode_header(
    src: &BytesMut, length_bounds: impl Fn(u8) -> Option<RangeInclusive<usize>>,
) -> Result<Option<MessageHeader>, PgError> {
    let Some((&message_type, rest)) = src.split_first() else { return Ok(None) };
    let bounds = length_bounds(message_type).ok_or(PgError::MessageType(message_type))?;
    let Some(length) = first_length(rest) else { return Ok(None) };
    if !bounds.contains(&length) {
        return Err(PgError::Length(length));
    }
    Ok(Some(MessageHeader { message_type, length }))
}

/// The length field at the front of `bytes`; `None` until it is complete.
pub(super) fn first_length(bytes: &[u8]) -> Option<usize> {
    bytes.first_chunk::<LENGTH_BYTES>().map(|length| u32::from_be_bytes(*length) as usize)
}

/// Removes the typed message of this length from the front of `src`, with its header; `None` until it is complete.
pub(super) fn take_message(src: &mut BytesMut, length: usize) -> Option<Bytes> {
    (src.len() > length).then(|| src.split_to(1 + length).freeze())
}

/// Removes a NUL-terminated text from the front of `src`; returns it without the NUL byte.
pub(super) fn take_text(src: &mut Bytes) -> Result<Bytes, PgError> {
    let end = src.iter().position(|byte| *byte == 0).ok_or(PgError::Body("unterminated text"))?;
    let text = src.split_to(end);
    src.advance(1);
    Ok(text)
}

/// Appends a typed message to `dst`. `put_body` appends its body; the length is filled in afterwards.
pub(super) fn put_message(message_type: u8, dst: &mut BytesMut, put_body: impl FnOnce(&mut BytesMut)) {
    dst.put_u8(message_type);
    let length_at = dst.len();
    dst.put_u32(0);
    put_body(dst);
    let length = (dst.len() - length_at) as u32;
    dst[length_at..length_at + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a NUL-terminated text.
pub(super) fn put_text(dst: &mut BytesMut, text: &[u8]) {
    dst.put_slice(text);
    dst.put_u8(0);
}
