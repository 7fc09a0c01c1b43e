//! The member-facing side: what members answer, decoded, and what they are sent, encoded.

use super::frontend::{message, put_text};
use super::{PgError, frame, text};
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
    /// Part of an answer that is passed on: RowDescription, whole.
    Description(Bytes),
    /// A DataRow, whole; `value` is its one column, if it has one.
    Row {
        /// The whole message.
        raw: Bytes,
        /// The first column.
        value: Option<Bytes>,
    },
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
pub struct BackendCodec;

fn column(mut body: Bytes) -> Result<Option<Bytes>, PgError> {
    if body.len() < 2 {
        return Err(PgError::Body("a row without a count of columns"));
    }
    if body.get_u16() == 0 {
        return Ok(None);
    }
    if body.len() < 4 {
        return Err(PgError::Body("a column without a length"));
    }
    let length = body.get_i32();
    match usize::try_from(length) {
        Err(_) => Ok(None),
        Ok(n) if n <= body.len() => Ok(Some(body.split_to(n))),
        Ok(_) => Err(PgError::Body("a column longer than its row")),
    }
}

fn sqlstate(mut body: Bytes) -> Result<Bytes, PgError> {
    while body.first().is_some_and(|kind| *kind != 0) {
        let kind = body.get_u8();
        let value = text(&mut body)?;
        if kind == b'C' {
            return Ok(value);
        }
    }
    Err(PgError::Body("an error without a code"))
}

impl Decoder for BackendCodec {
    type Item = Backend;
    type Error = PgError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Backend>, PgError> {
        let Some((kind, raw)) = frame(src)? else { return Ok(None) };
        let mut body = raw.slice(5..);
        Ok(Some(match kind {
            b'R' => match body.get(..4) {
                Some([0, 0, 0, 0]) => Backend::Welcome,
                _ => return Err(PgError::Body("a password is asked for")),
            },
            b'S' => Backend::Parameter { name: text(&mut body)?, value: text(&mut body)? },
            b'T' => Backend::Description(raw),
            b'D' => Backend::Row { value: column(body)?, raw },
            b'C' => Backend::Complete(raw),
            b'E' => Backend::Error(sqlstate(body)?),
            b'Z' => Backend::Ready,
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
