//! Codec for connections to members. A long value is never buffered completely: the head of its row and the chunks of
//! the value are separate messages, however the network splits the input.

use super::framing::{
    HEADER_BYTES, LENGTH_BYTES, decode_header, put_message, put_text, take_message, take_text,
};
use super::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, PgError};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::RangeInclusive;
use tokio_util::codec::{Decoder, Encoder};

/// A message from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendMessage {
    /// Authentication has succeeded, or is not required.
    AuthenticationOk,
    /// A parameter of the session has a new value.
    ParameterStatus {
        /// The name of the parameter.
        name: Bytes,
        /// The new value.
        value: Bytes,
    },
    /// The description of rows with one column: the complete message.
    RowDescription(Bytes),
    /// The header of a row has arrived that is decoded with its value, and whose length field is this. The row follows;
    /// its memory must be acquired before it is read.
    RowAnnounced(usize),
    /// A row with one column.
    DataRow {
        /// The complete message.
        raw: Bytes,
        /// The value of the column.
        value: Bytes,
    },
    /// The message of a row up to its long value, which follows in [`BackendMessage::ValueChunk`]s.
    LongRowHead(Bytes),
    /// The next bytes of a long value.
    ValueChunk(Bytes),
    /// The statement has completed: the complete message.
    CommandComplete(Bytes),
    /// An error, with its SQLSTATE.
    ErrorResponse(Bytes),
    /// The answer to an empty query, before [`BackendMessage::ReadyForQuery`].
    EmptyQueryResponse,
    /// The member is ready for the next statement, and no transaction is open.
    ReadyForQuery,
    /// A message that is not used, such as a notice, a notification or key data, or a malformed parameter.
    Ignored,
}

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Opens the session.
    Startup,
    /// Runs this statement with the simple query protocol.
    Query(Bytes),
}

/// The codec of a connection to a member.
#[derive(Default)]
pub struct BackendCodec {
    /// Whether the row that is arriving was announced.
    has_announced: bool,
    /// Number of bytes of a long value that have not been decoded yet.
    value_bytes_remaining: usize,
}

/// Size of a row message before its value: type, length, column count, and the length of the value.
const ROW_HEAD_BYTES: usize = 11;
/// The length field of a row message with an empty value.
const ROW_OVERHEAD_BYTES: usize = ROW_HEAD_BYTES - 1;
/// The only column count that rows and their descriptions may have.
const ONE_COLUMN: u16 = 1;
/// The largest chunk of a long value.
pub const MAX_CHUNK_BYTES: usize = 8 * 1024;
/// Capacity of a new read buffer; the default of `Framed`.
pub const INITIAL_BUFFER_BYTES: usize = 8 * 1024;
/// The largest message other than a row. Notices, parameters and errors contain short texts.
pub const MAX_TEXT_MESSAGE_BYTES: usize = 8 * 1024;
/// Size of a column's description after its name: table, position, type, size, modifier, format.
const COLUMN_ATTRIBUTES_BYTES: usize = 18;
/// Length of an SQLSTATE.
const SQLSTATE_BYTES: usize = 5;
/// Protocol version 3.0 and the session parameters.
const STARTUP_BODY: &[u8] = b"\x00\x03\x00\x00user\0linenhill\0database\0core\0\0";

/// The valid lengths of a type of message from a member; `None` for an unknown type.
fn length_bounds(message_type: u8) -> Option<RangeInclusive<usize>> {
    match message_type {
        b'D' => Some(ROW_OVERHEAD_BYTES..=ROW_OVERHEAD_BYTES + MAX_VALUE_BYTES),
        b'Z' => Some(5..=5),
        b'I' => Some(LENGTH_BYTES..=LENGTH_BYTES),
        b'R' | b'S' | b'T' | b'C' | b'E' | b'N' | b'K' | b'A' | b'v' => {
            Some(LENGTH_BYTES..=MAX_TEXT_MESSAGE_BYTES)
        }
        _ => None,
    }
}

/// Returns the value of a row, which must have exactly one column.
fn decode_row(mut body: Bytes) -> Result<Bytes, PgError> {
    if body.len() < 6 || body.get_u16() != ONE_COLUMN {
        return Err(PgError::Body("row does not have exactly one column"));
    }
    // A null value has the length -1, so this check rejects it as well.
    if body.get_u32() as usize != body.len() {
        return Err(PgError::Body("length of the column does not match the rest of its row"));
    }
    Ok(body)
}

/// Checks that the head of a row announces exactly one column whose value fills the row.
fn check_row_head(head: &[u8], value_bytes: usize) -> Result<(), PgError> {
    let columns_and_length = &head[HEADER_BYTES..];
    let expected = [&ONE_COLUMN.to_be_bytes()[..], &(value_bytes as u32).to_be_bytes()].concat();
    if columns_and_length != expected {
        return Err(PgError::Body("row does not have exactly one column that fills it"));
    }
    Ok(())
}

/// Checks that a description is of exactly one column.
fn check_row_description(mut body: Bytes) -> Result<(), PgError> {
    let has_one_column = body.len() >= 2 && body.get_u16() == ONE_COLUMN;
    if !has_one_column || take_text(&mut body)?.is_empty() || body.len() != COLUMN_ATTRIBUTES_BYTES {
        return Err(PgError::Body("row description is not of exactly one column"));
    }
    Ok(())
}

/// Checks that the tag of a completion is one printable text.
fn check_completion(mut body: Bytes) -> Result<(), PgError> {
    let tag = take_text(&mut body)?;
    let is_printable = tag.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    if tag.is_empty() || !is_printable || !body.is_empty() {
        return Err(PgError::Body("tag of CommandComplete is not one printable text"));
    }
    Ok(())
}

/// Checks that a member requires no authentication.
fn check_authentication(body: &[u8]) -> Result<(), PgError> {
    match body.get(..4) {
        Some([0, 0, 0, 0]) => Ok(()),
        _ => Err(PgError::Body("authentication required, expected AuthenticationOk")),
    }
}

/// Checks that the transaction status of `ReadyForQuery` is idle: the session must have no open transaction.
fn check_readiness(body: &[u8]) -> Result<(), PgError> {
    match body {
        b"I" => Ok(()),
        _ => Err(PgError::TransactionStatus(body.first().copied().unwrap_or_default())),
    }
}

/// Returns the SQLSTATE from the fields of an error, whose terminator must be the last byte of the message.
fn decode_sqlstate(mut body: Bytes) -> Result<Bytes, PgError> {
    let mut sqlstate = None;
    while body.first().is_some_and(|field| *field != 0) {
        let field = body.get_u8();
        let value = take_text(&mut body)?;
        if field == b'C' {
            sqlstate = Some(value);
        }
    }
    let is_valid = |code: &Bytes| code.len() == SQLSTATE_BYTES && code.iter().all(u8::is_ascii_alphanumeric);
    let is_terminated = body.len() == 1;
    sqlstate
        .filter(|code| is_terminated && is_valid(code))
        .ok_or(PgError::Body("ErrorResponse without a valid SQLSTATE"))
}

/// Decodes a parameter. A malformed one is ignored, so that the connection continues without its value.
fn decode_parameter(mut body: Bytes) -> BackendMessage {
    match (take_text(&mut body), take_text(&mut body)) {
        (Ok(name), Ok(value)) if body.is_empty() => BackendMessage::ParameterStatus { name, value },
        _ => BackendMessage::Ignored,
    }
}

/// Decodes a complete message of this type; `raw` is the message with its header.
fn decode_message(message_type: u8, raw: Bytes) -> Result<BackendMessage, PgError> {
    let body = raw.slice(HEADER_BYTES..);
    match message_type {
        b'R' => check_authentication(&body).map(|()| BackendMessage::AuthenticationOk),
        b'S' => Ok(decode_parameter(body)),
        b'T' => check_row_description(body).map(|()| BackendMessage::RowDescription(raw)),
        b'D' => decode_row(body).map(|value| BackendMessage::DataRow { raw, value }),
        b'C' => check_completion(body).map(|()| BackendMessage::CommandComplete(raw)),
        b'E' => decode_sqlstate(body).map(BackendMessage::ErrorResponse),
        b'Z' => check_readiness(&body).map(|()| BackendMessage::ReadyForQuery),
        b'I' => Ok(BackendMessage::EmptyQueryResponse),
        b'N' | b'K' | b'A' | b'v' => Ok(BackendMessage::Ignored),
        _ => Err(PgError::MessageType(message_type)),
    }
}

/// Copies the input behind a message into a new buffer, so that it does not keep the buffer of the message alive.
fn replace_buffer(src: &mut BytesMut) {
    let mut replacement = BytesMut::with_capacity(INITIAL_BUFFER_BYTES.max(src.len()));
    replacement.extend_from_slice(src);
    *src = replacement;
}

impl BackendCodec {
    /// Removes the available bytes of a long value, at most [`MAX_CHUNK_BYTES`]; `None` if there are none.
    fn take_value_chunk(&mut self, src: &mut BytesMut) -> Option<BackendMessage> {
        if src.is_empty() {
            return None;
        }
        let chunk_bytes = src.len().min(self.value_bytes_remaining).min(MAX_CHUNK_BYTES);
        self.value_bytes_remaining -= chunk_bytes;
        Some(BackendMessage::ValueChunk(src.split_to(chunk_bytes).freeze()))
    }

    /// Removes the head of a row of this length, whose value follows in chunks; `None` until it is complete.
    fn take_long_row_head(
        &mut self, src: &mut BytesMut, row_length: usize,
    ) -> Result<Option<BackendMessage>, PgError> {
        if src.len() < ROW_HEAD_BYTES {
            return Ok(None);
        }
        let value_bytes = row_length - ROW_OVERHEAD_BYTES;
        let head = src.split_to(ROW_HEAD_BYTES).freeze();
        check_row_head(&head, value_bytes)?;
        self.value_bytes_remaining = value_bytes;
        Ok(Some(BackendMessage::LongRowHead(head)))
    }
}

impl Decoder for BackendCodec {
    type Item = BackendMessage;
    type Error = PgError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<BackendMessage>, PgError> {
        if self.value_bytes_remaining > 0 {
            return Ok(self.take_value_chunk(src));
        }
        let Some(header) = decode_header(src, length_bounds)? else { return Ok(None) };
        if header.message_type == b'D' && header.length > ROW_OVERHEAD_BYTES + MAX_BUFFERED_VALUE_BYTES {
            return self.take_long_row_head(src, header.length);
        }
        if header.message_type == b'D' && !self.has_announced {
            self.has_announced = true;
            return Ok(Some(BackendMessage::RowAnnounced(header.length)));
        }
        let Some(raw) = take_message(src, header.length) else {
            // Reserves exactly the size of the message: a buffer that grows by doubling could take twice as much.
            src.reserve((1 + header.length).saturating_sub(src.len()));
            return Ok(None);
        };
        self.has_announced = false;
        if raw.len() > INITIAL_BUFFER_BYTES {
            replace_buffer(src);
        }
        decode_message(header.message_type, raw).map(Some)
    }

    /// Drops an incomplete message at the end of the connection; that is not a protocol violation.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<BackendMessage>, PgError> {
        let message = self.decode(src)?;
        if message.is_none() {
            src.clear();
        }
        Ok(message)
    }
}

impl Encoder<Command> for BackendCodec {
    type Error = PgError;

    fn encode(&mut self, command: Command, dst: &mut BytesMut) -> Result<(), PgError> {
        match command {
            Command::Startup => {
                // The startup message has no type byte.
                dst.put_u32((LENGTH_BYTES + STARTUP_BODY.len()) as u32);
                dst.put_slice(STARTUP_BODY);
            }
            Command::Query(statement) => {
                dst.reserve(HEADER_BYTES + statement.len() + 1);
                put_message(b'Q', dst, |body| put_text(body, &statement));
            }
        }
        Ok(())
    }
}
