//! The side of the members: decodes what they send, and encodes what they are sent. A long value is never gathered: its
//! row's head and its chunks are separate messages, however the network cuts them.

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
    /// Authentication is over, or none is asked for.
    AuthenticationOk,
    /// A parameter of the session has this value from now on.
    ParameterStatus {
        /// Its name.
        name: Bytes,
        /// Its value.
        value: Bytes,
    },
    /// The description of a row of one column: the whole message.
    RowDescription(Bytes),
    /// A row of one column.
    DataRow {
        /// The whole message.
        raw: Bytes,
        /// The value of the column.
        value: Bytes,
    },
    /// A row whose one value is long: the message up to the value, which follows in [`BackendMessage::ValueChunk`]s.
    LongRowHead(Bytes),
    /// The next bytes of a long value.
    ValueChunk(Bytes),
    /// The statement has run: the whole message.
    CommandComplete(Bytes),
    /// The SQLSTATE of an error.
    ErrorResponse(Bytes),
    /// The member takes the next statement; no transaction is open.
    ReadyForQuery,
    /// A message of which nothing is used: a notice, a notification, key data.
    Ignored,
}

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Opens the session.
    Startup,
    /// Runs this statement by the simple query protocol.
    Query(Bytes),
}

/// The codec of a connection to a member.
#[derive(Default)]
pub struct BackendCodec {
    /// Bytes of a long value that have not arrived yet.
    value_bytes_left: usize,
}

/// A row before the value of its one column: type, length, count of columns, the value's length.
const ROW_HEAD_BYTES: usize = 11;
/// What a row's length counts beside the value of its one column.
const ROW_OVERHEAD_BYTES: usize = ROW_HEAD_BYTES - 1;
/// The count of columns of each row and description: the only one that is used.
const ONE_COLUMN: u16 = 1;
/// The largest chunk of a long value.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// The largest message other than a row: notices, parameters, errors hold short texts.
const MAX_TEXT_MESSAGE_BYTES: usize = 8 * 1024;
/// A column's description after its name: table, position, type, size, modifier, format.
const COLUMN_ATTRIBUTES_BYTES: usize = 18;
/// Letters and digits of an SQLSTATE.
const SQLSTATE_BYTES: usize = 5;
/// The protocol's version 3.0, and the parameters of every session.
const STARTUP_BODY: &[u8] = b"\x00\x03\x00\x00user\0linenhill\0database\0core\0\0";

/// The lengths that a type of message from a member may have.
fn length_bounds(kind: u8) -> Option<RangeInclusive<usize>> {
    match kind {
        b'D' => Some(ROW_OVERHEAD_BYTES..=ROW_OVERHEAD_BYTES + MAX_VALUE_BYTES),
        b'Z' => Some(5..=5),
        b'I' => Some(LENGTH_BYTES..=LENGTH_BYTES),
        b'R' | b'S' | b'T' | b'C' | b'E' | b'N' | b'K' | b'A' | b'v' => {
            Some(LENGTH_BYTES..=MAX_TEXT_MESSAGE_BYTES)
        }
        _ => None,
    }
}

/// The value of a row's one column, which must fill the row.
fn decode_row(mut body: Bytes) -> Result<Bytes, PgError> {
    if body.len() < 6 || body.get_u16() != ONE_COLUMN {
        return Err(PgError::Body("a row of other than one column"));
    }
    // The length of a null value is -1, which fills no row either.
    if body.get_u32() as usize != body.len() {
        return Err(PgError::Body("a column that does not fill its row"));
    }
    Ok(body)
}

/// Checks that the head of a row says that it is of one column, which fills it.
fn check_row_head(head: &[u8], value_bytes: usize) -> Result<(), PgError> {
    let columns_and_length = &head[HEADER_BYTES..];
    let expected = [&ONE_COLUMN.to_be_bytes()[..], &(value_bytes as u32).to_be_bytes()].concat();
    if columns_and_length != expected {
        return Err(PgError::Body("a row of other than one column that fills it"));
    }
    Ok(())
}

/// Checks that a description is of one column.
fn check_row_description(mut body: Bytes) -> Result<(), PgError> {
    let has_one_column = body.len() >= 2 && body.get_u16() == ONE_COLUMN;
    if !has_one_column || take_text(&mut body)?.is_empty() || body.len() != COLUMN_ATTRIBUTES_BYTES {
        return Err(PgError::Body("a description of other than one column"));
    }
    Ok(())
}

/// Checks that a completion is one printable text.
fn check_completion(mut body: Bytes) -> Result<(), PgError> {
    let tag = take_text(&mut body)?;
    let is_printable = tag.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    if tag.is_empty() || !is_printable || !body.is_empty() {
        return Err(PgError::Body("a completion that is no text"));
    }
    Ok(())
}

/// Checks that a member lets the session in without a password.
fn check_authentication(body: &[u8]) -> Result<(), PgError> {
    match body.get(..4) {
        Some([0, 0, 0, 0]) => Ok(()),
        _ => Err(PgError::Body("a password is asked for")),
    }
}

/// Checks that no transaction is open when a member is ready.
fn check_readiness(body: &[u8]) -> Result<(), PgError> {
    match body {
        b"I" => Ok(()),
        _ => Err(PgError::Body("ready amid a transaction")),
    }
}

/// The SQLSTATE among the fields of an error, which must end where the message ends.
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
    sqlstate.filter(|code| is_terminated && is_valid(code)).ok_or(PgError::Body("an error without a code"))
}

/// A parameter that can't be read is ignored: only its value is missing then.
fn decode_parameter(mut body: Bytes) -> BackendMessage {
    match (take_text(&mut body), take_text(&mut body)) {
        (Ok(name), Ok(value)) if body.is_empty() => BackendMessage::ParameterStatus { name, value },
        _ => BackendMessage::Ignored,
    }
}

/// Decodes a complete message of this type; `raw` includes the header.
fn decode_message(kind: u8, raw: Bytes) -> Result<BackendMessage, PgError> {
    let body = raw.slice(HEADER_BYTES..);
    match kind {
        b'R' => check_authentication(&body).map(|()| BackendMessage::AuthenticationOk),
        b'S' => Ok(decode_parameter(body)),
        b'T' => check_row_description(body).map(|()| BackendMessage::RowDescription(raw)),
        b'D' => decode_row(body).map(|value| BackendMessage::DataRow { raw, value }),
        b'C' => check_completion(body).map(|()| BackendMessage::CommandComplete(raw)),
        b'E' => decode_sqlstate(body).map(BackendMessage::ErrorResponse),
        b'Z' => check_readiness(&body).map(|()| BackendMessage::ReadyForQuery),
        b'N' | b'K' | b'I' | b'A' | b'v' => Ok(BackendMessage::Ignored),
        _ => Err(PgError::MessageType(kind)),
    }
}

impl BackendCodec {
    /// The bytes of a long value that have arrived; `None` if there are none.
    fn take_value_chunk(&mut self, src: &mut BytesMut) -> Option<BackendMessage> {
        if src.is_empty() {
            return None;
        }
        let chunk_bytes = src.len().min(self.value_bytes_left).min(MAX_CHUNK_BYTES);
        self.value_bytes_left -= chunk_bytes;
        Some(BackendMessage::ValueChunk(src.split_to(chunk_bytes).freeze()))
    }

    /// The head of a row of this length, whose value is to follow in chunks; `None` until it has arrived.
    fn take_long_row_head(
        &mut self, src: &mut BytesMut, row_length: usize,
    ) -> Result<Option<BackendMessage>, PgError> {
        if src.len() < ROW_HEAD_BYTES {
            return Ok(None);
        }
        let value_bytes = row_length - ROW_OVERHEAD_BYTES;
        let head = src.split_to(ROW_HEAD_BYTES).freeze();
        check_row_head(&head, value_bytes)?;
        self.value_bytes_left = value_bytes;
        Ok(Some(BackendMessage::LongRowHead(head)))
    }
}

impl Decoder for BackendCodec {
    type Item = BackendMessage;
    type Error = PgError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<BackendMessage>, PgError> {
        if self.value_bytes_left > 0 {
            return Ok(self.take_value_chunk(src));
        }
        let Some(header) = decode_header(src, length_bounds)? else { return Ok(None) };
        if header.kind == b'D' && header.length > ROW_OVERHEAD_BYTES + MAX_BUFFERED_VALUE_BYTES {
            return self.take_long_row_head(src, header.length);
        }
        let Some(raw) = take_message(src, header.length) else { return Ok(None) };
        decode_message(header.kind, raw).map(Some)
    }

    /// A member that closes its connection in the middle of a message has just left: the incomplete message is dropped.
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
                // The startup message alone has no type byte.
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
