//! The client-facing side: what clients send, decoded, and what they are answered, encoded.

use super::{LONG_MOST, MESSAGE_MOST, PgError, header, take, text};
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::codec::{Decoder, Encoder};

/// The largest startup packet taken, as in PostgreSQL.
const STARTUP_MOST: usize = 10_000;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;

/// What a client sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frontend {
    /// Asks for an encrypted connection.
    Encryption,
    /// Asks to cancel what another connection runs.
    Cancel,
    /// Opens the session.
    Startup,
    /// A long query of this length has begun: it is read once memory for it is granted.
    Announced(usize),
    /// A simple query's statement.
    Query(Bytes),
    /// A message of the extended protocol, by its type.
    Extended(u8),
    /// Ends a batch of extended messages.
    Sync,
    /// A message that needs no answer outside the state it belongs to.
    Idle,
    /// Says goodbye.
    Terminate,
}

/// What a client is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// No encryption here.
    NoEncryption,
    /// The session is open: authentication, parameters, key.
    Welcome,
    /// Ready for the next query.
    Ready,
    /// The answer to an empty query.
    Empty,
    /// Whole messages as a member gave them.
    Raw(Bytes),
    /// An error.
    Error {
        /// The connection ends with it.
        fatal: bool,
        /// Its SQLSTATE.
        code: &'static str,
        /// For people.
        message: String,
        /// The field D.
        detail: Option<String>,
    },
}

/// The codec; the first message has no type.
pub struct FrontendCodec {
    started: bool,
    memory: ResourceLimit,
    /// Memory for the message that is coming in, and for the one returned last.
    coming: Option<ResourcePermit>,
    returned: Option<ResourcePermit>,
    /// The same for a long message; whether one was announced.
    long: Option<OwnedSemaphorePermit>,
    long_returned: Option<OwnedSemaphorePermit>,
    announced: bool,
}

impl Default for FrontendCodec {
    fn default() -> FrontendCodec {
        FrontendCodec::new(ResourceLimit::new(usize::MAX))
    }
}

impl FrontendCodec {
    /// A codec whose messages share `memory`, in bytes, with those of others.
    pub fn new(memory: ResourceLimit) -> FrontendCodec {
        FrontendCodec {
            started: false,
            memory,
            coming: None,
            returned: None,
            long: None,
            long_returned: None,
            announced: false,
        }
    }

    /// The memory of the message returned last, to be kept as long as the message.
    pub fn share(&mut self) -> Option<ResourcePermit> {
        self.returned.take()
    }

    /// Grants the memory for the long message that was announced.
    pub fn grant(&mut self, memory: OwnedSemaphorePermit) {
        (self.long, self.announced) = (Some(memory), false);
    }

    /// The memory of the long message returned last, to be kept as long as the message.
    pub fn share_long(&mut self) -> Option<OwnedSemaphorePermit> {
        self.long_returned.take()
    }

    /// Whether a long message is coming in.
    pub fn reads_long(&self) -> bool {
        self.long.is_some()
    }
}

/// The least and most length of what clients send.
fn bounds(kind: u8) -> Option<(usize, usize)> {
    match kind {
        b'Q' => Some((4, LONG_MOST)),
        b'P' | b'B' | b'D' | b'E' | b'C' | b'F' | b'd' | b'f' => Some((4, MESSAGE_MOST)),
        b'X' | b'S' | b'H' | b'c' => Some((4, 4)),
        _ => None,
    }
}

impl Decoder for FrontendCodec {
    type Item = Frontend;
    type Error = PgError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frontend>, PgError> {
        if !self.started {
            return self.startup(src);
        }
        let Some((kind, length)) = header(src, bounds)? else { return Ok(None) };
        let long = length > MESSAGE_MOST;
        if long && self.long.is_none() {
            let first = !std::mem::replace(&mut self.announced, true);
            return Ok(first.then_some(Frontend::Announced(length)));
        }
        if !long && self.coming.is_none() {
            self.coming = Some(self.memory.acquire_weighted(length).ok_or(PgError::Memory(length))?);
        }
        let Some(mut body) = take(src, length) else {
            // Exactly what was granted: doubling would take twice that.
            src.reserve(if long { (1 + length).saturating_sub(src.len()) } else { 0 });
            return Ok(None);
        };
        if long {
            // What remains must not keep the message's memory.
            *src = BytesMut::from(&src[..]);
        }
        (self.returned, self.long_returned) = (self.coming.take(), self.long.take());
        body.advance(5);
        Ok(Some(match kind {
            b'Q' => {
                let statement = text(&mut body)?;
                if !body.is_empty() {
                    return Err(PgError::Body("more than one text in a query"));
                }
                Frontend::Query(statement)
            }
            b'X' => Frontend::Terminate,
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => Frontend::Extended(kind),
            b'S' => Frontend::Sync,
            b'd' | b'c' | b'f' => Frontend::Idle,
            _ => return Err(PgError::Kind(kind)),
        }))
    }

    /// A peer that ends amid a message has just left.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Frontend>, PgError> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

impl FrontendCodec {
    fn startup(&mut self, src: &mut BytesMut) -> Result<Option<Frontend>, PgError> {
        let Some(length) = src.first_chunk::<4>().map(|b| u32::from_be_bytes(*b) as usize) else {
            return Ok(None);
        };
        if !(8..=STARTUP_MOST).contains(&length) {
            return Err(PgError::Length(length));
        }
        if src.len() < length {
            return Ok(None);
        }
        let mut body = src.split_to(length).freeze();
        body.advance(4);
        match body.get_u32() {
            SSL | GSS => Ok(Some(Frontend::Encryption)),
            CANCEL => Ok(Some(Frontend::Cancel)),
            version if version >> 16 == 3 => {
                self.started = true;
                Ok(Some(Frontend::Startup))
            }
            _ => Err(PgError::Body("unsupported protocol version")),
        }
    }
}

/// Writes a typed message whose length is filled in once its body is there.
pub(super) fn message(kind: u8, dst: &mut BytesMut, body: impl FnOnce(&mut BytesMut)) {
    dst.put_u8(kind);
    let at = dst.len();
    dst.put_u32(0);
    body(dst);
    let length = (dst.len() - at) as u32;
    dst[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

pub(super) fn put_text(dst: &mut BytesMut, text: &[u8]) {
    dst.put_slice(text);
    dst.put_u8(0);
}

impl Encoder<Answer> for FrontendCodec {
    type Error = PgError;

    fn encode(&mut self, answer: Answer, dst: &mut BytesMut) -> Result<(), PgError> {
        match answer {
            Answer::NoEncryption => dst.put_u8(b'N'),
            Answer::Welcome => {
                message(b'R', dst, |b| b.put_u32(0));
                let parameters =
                    [("server_version", "15.0"), ("client_encoding", "UTF8"), ("DateStyle", "ISO, MDY")];
                for (name, value) in parameters {
                    message(b'S', dst, |b| {
                        put_text(b, name.as_bytes());
                        put_text(b, value.as_bytes());
                    });
                }
                message(b'K', dst, |b| b.put_u64(0));
            }
            Answer::Ready => message(b'Z', dst, |b| b.put_u8(b'I')),
            Answer::Empty => message(b'I', dst, |_| {}),
            Answer::Raw(bytes) => dst.put_slice(&bytes),
            Answer::Error { fatal, code, message: text, detail } => message(b'E', dst, |b| {
                let severity: &[u8] = if fatal { b"FATAL" } else { b"ERROR" };
                let fields = [(b'S', severity), (b'V', severity), (b'C', code.as_bytes())];
                for (kind, value) in fields {
                    b.put_u8(kind);
                    put_text(b, value);
                }
                b.put_u8(b'M');
                put_text(b, text.as_bytes());
                if let Some(detail) = detail {
                    b.put_u8(b'D');
                    put_text(b, detail.as_bytes());
                }
                b.put_u8(0);
            }),
        }
        Ok(())
    }
}
