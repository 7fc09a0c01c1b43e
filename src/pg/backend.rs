//! The member-facing side: what members answer, decoded, and what they are sent, encoded.

use super::frontend::{message, put_text};
use super::{PASSED_ABOVE, PgError, VALUE_MOST, header, take, text};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// What a member sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Backend {
    /// Authentication is over, or none is asked for.
    Welcome,
    /// A parameter changed.
    Parameter {
        /// Its name.
        name: Bytes,
        /// Its value.
        value: Bytes,
    },
    /// RowDescription of one column, whole.
    Description(Bytes),
    /// A DataRow of one column, whole.
    Row {
        /// The whole message.
        raw: Bytes,
        /// The column.
        value: Bytes,
    },
    /// The head of a DataRow of one long column; its value follows in parts.
    RowBegins(Bytes),
    /// A part of the long value.
    Part(Bytes),
    /// CommandComplete, whole.
    Complete(Bytes),
    /// An error, by its SQLSTATE.
    Error(Bytes),
    /// The answer is over.
    Ready,
    /// Anything that asks for nothing: notices, key data.
    Other,
}

/// What a member is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Opens the session.
    Startup,
    /// A simple query.
    Query(Bytes),
    /// Says goodbye.
    Terminate,
}

/// The codec.
#[derive(Default)]
pub struct BackendCodec {
    /// What is still to come of a long value.
    left: usize,
}

/// A DataRow's bytes before the value of its one column: type, length, count, the column's length.
const ROW_HEAD: usize = 11;
/// The largest part of a long value at a time.
const PART_MOST: usize = 16 * 1024;

/// A short text and what stands round it: notices, parameters, errors.
const TEXT_MOST: usize = 8 * 1024;
/// RowDescription after a column's name: table, place, type, size, modifier, format.
const COLUMN_REST: usize = 18;

/// The least and most length of what members send.
fn bounds(kind: u8) -> Option<(usize, usize)> {
    match kind {
        b'D' => Some((10, 10 + VALUE_MOST)),
        b'Z' => Some((5, 5)),
        b'I' => Some((4, 4)),
        b'R' | b'S' | b'T' | b'C' | b'E' | b'N' | b'K' | b'A' | b'v' => Some((4, TEXT_MOST)),
        _ => None,
    }
}

/// The one column of a row, which fills it.
fn column(mut body: Bytes) -> Result<Bytes, PgError> {
    if body.len() < 6 || body.get_u16() != 1 {
        return Err(PgError::Body("a row of other than one column"));
    }
    // No value at all is a length of -1, which fills nothing either.
    if body.get_u32() as usize != body.len() {
        return Err(PgError::Body("a column that does not fill its row"));
    }
    Ok(body)
}

/// Checks that a RowDescription is of one column, and no more.
fn described(mut body: Bytes) -> Result<(), PgError> {
    let one = body.len() >= 2 && body.get_u16() == 1;
    if !one || text(&mut body)?.is_empty() || body.len() != COLUMN_REST {
        return Err(PgError::Body("a description of other than one column"));
    }
    Ok(())
}

/// Checks that a CommandComplete is one printable text.
fn completed(mut body: Bytes) -> Result<(), PgError> {
    let tag = text(&mut body)?;
    let printable = tag.iter().all(|b| b.is_ascii_graphic() || *b == b' ');
    if tag.is_empty() || !printable || !body.is_empty() {
        return Err(PgError::Body("a completion that is no text"));
    }
    Ok(())
}

/// The code among an error's fields, which end where the message ends.
fn sqlstate(mut body: Bytes) -> Result<Bytes, PgError> {
    let mut code = None;
    while body.first().is_some_and(|kind| *kind != 0) {
        let kind = body.get_u8();
        let value = text(&mut body)?;
        if kind == b'C' {
            code = Some(value);
        }
    }
    let code = code.filter(|c| c.len() == 5 && c.iter().all(u8::is_ascii_alphanumeric));
    code.filter(|_| body.len() == 1).ok_or(PgError::Body("an error without a code"))
}

/// A parameter that can't be read is passed over: it costs only what it would have told.
fn parameter(mut body: Bytes) -> Backend {
    match (text(&mut body), text(&mut body)) {
        (Ok(name), Ok(value)) if body.is_empty() => Backend::Parameter { name, value },
        _ => Backend::Other,
    }
}

impl Decoder for BackendCodec {
    type Item = Backend;
    type Error = PgError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Backend>, PgError> {
        if self.left > 0 {
            if src.is_empty() {
                return Ok(None);
            }
            let part = src.split_to(src.len().min(self.left).min(PART_MOST)).freeze();
            self.left -= part.len();
            return Ok(Some(Backend::Part(part)));
        }
        let Some((kind, length)) = header(src, bounds)? else { return Ok(None) };
        if kind == b'D' && length > ROW_HEAD - 1 + PASSED_ABOVE {
            if src.len() < ROW_HEAD {
                return Ok(None);
            }
            let (value, row) = (length + 1 - ROW_HEAD, src.split_to(ROW_HEAD).freeze());
            if row[5..7] != [0, 1] || row[7..] != (value as u32).to_be_bytes() {
                return Err(PgError::Body("a row of other than one column that fills it"));
            }
            self.left = value;
            return Ok(Some(Backend::RowBegins(row)));
        }
        let Some(raw) = take(src, length) else { return Ok(None) };
        let body = raw.slice(5..);
        Ok(Some(match kind {
            b'R' => match body.get(..4) {
                Some([0, 0, 0, 0]) => Backend::Welcome,
                _ => return Err(PgError::Body("a password is asked for")),
            },
            b'S' => parameter(body),
            b'T' => described(body).map(|()| Backend::Description(raw))?,
            b'D' => Backend::Row { value: column(body)?, raw },
            b'C' => completed(body).map(|()| Backend::Complete(raw))?,
            b'E' => Backend::Error(sqlstate(body)?),
            b'Z' if body[..] == *b"I" => Backend::Ready,
            b'Z' => return Err(PgError::Body("ready amid a transaction")),
            b'N' | b'K' | b'I' | b'A' | b'v' => Backend::Other,
            _ => return Err(PgError::Kind(kind)),
        }))
    }

    /// A peer that ends amid a message has just left.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Backend>, PgError> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

impl Encoder<Command> for BackendCodec {
    type Error = PgError;

    fn encode(&mut self, command: Command, dst: &mut BytesMut) -> Result<(), PgError> {
        match command {
            Command::Startup => {
                let body = b"\x00\x03\x00\x00user\0linenhill\0database\0core\0\0";
                dst.put_u32(4 + body.len() as u32);
                dst.put_slice(body);
            }
            Command::Query(statement) => {
                dst.reserve(6 + statement.len());
                message(b'Q', dst, |b| put_text(b, &statement));
            }
            Command::Terminate => message(b'X', dst, |_| {}),
        }
        Ok(())
    }
}
