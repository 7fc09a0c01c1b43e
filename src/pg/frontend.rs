//! The side of the clients: decodes what they send, and encodes what they are answered. No message is read for which
//! memory is not reserved: an ordinary one reserves it by itself, a long one is announced and waits until its reader
//! grants it.

use super::framing::{
    HEADER_BYTES, LENGTH_BYTES, decode_header, first_length, put_message, put_text, take_message, take_text,
};
use super::{MAX_MESSAGE_BYTES, MAX_ORDINARY_MESSAGE_BYTES, PgError};
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::RangeInclusive;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::codec::{Decoder, Encoder};

/// The least length of a startup message: the length itself, and the protocol's version or a request code.
const MIN_STARTUP_BYTES: usize = 8;
/// The largest startup message, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// The code in place of a version by which a client asks for TLS.
const SSL_REQUEST: u32 = 80_877_103;
/// The code by which a client asks for GSSAPI encryption.
const GSS_ENCRYPTION_REQUEST: u32 = 80_877_104;
/// The code by which a client asks to cancel what another connection runs.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The major version of the protocol.
const PROTOCOL_VERSION: u32 = 3;
/// The parameters that a client is sent when its session opens.
const SESSION_PARAMETERS: [(&str, &str); 3] =
    [("server_version", "15.0"), ("client_encoding", "UTF8"), ("DateStyle", "ISO, MDY")];

/// A message from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    /// Asks for an encrypted connection.
    EncryptionRequest,
    /// Asks to cancel what another connection runs.
    CancelRequest,
    /// Opens the session.
    Startup,
    /// A long query of this length in bytes has begun: it is read once [`FrontendCodec::grant_long_message`] grants
    /// memory for it.
    LongQueryAnnounced(usize),
    /// The statement of a simple query.
    Query(Bytes),
    /// A message of the extended query protocol, by its type.
    Extended(u8),
    /// Ends a batch of messages of the extended query protocol.
    Sync,
    /// A message of the copy protocol, which needs no answer where no copy is under way.
    Copy,
    /// Ends the session.
    Terminate,
}

/// A message to a client, or several that always go together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The connection is not encrypted; the client may go on without.
    NoEncryption,
    /// The session is open: authentication, parameters, key data.
    SessionOpened,
    /// The next query may come.
    ReadyForQuery,
    /// The answer to an empty query.
    EmptyQueryResponse,
    /// Messages, or a part of one, as a member sent them.
    Raw(Bytes),
    /// An error.
    Error {
        /// The connection ends with it.
        fatal: bool,
        /// Its SQLSTATE.
        code: &'static str,
        /// The text for people.
        message: String,
        /// The field D.
        detail: Option<String>,
    },
}

/// The memory reserved for one message; given back when dropped, so it must live as long as the message does.
#[derive(Default)]
pub struct MessageMemory {
    /// Reserved by the codec, if the message is an ordinary one.
    ordinary: Option<ResourcePermit>,
    /// Granted by the codec's owner, if it is a long one.
    long: Option<OwnedSemaphorePermit>,
}

/// The codec of a client's connection. The startup message, the first one, has no type byte.
pub struct FrontendCodec {
    has_started: bool,
    /// From what ordinary messages reserve their memory.
    ordinary_memory: ResourceLimit,
    /// For the message that is arriving.
    arriving: MessageMemory,
    /// For the message decoded last.
    decoded: MessageMemory,
    /// Whether the long message that is arriving was announced and not granted yet.
    has_announced: bool,
}

impl Default for FrontendCodec {
    /// A codec for tests and tools, whose ordinary messages have all the memory they need.
    fn default() -> FrontendCodec {
        FrontendCodec::new(ResourceLimit::new(usize::MAX))
    }
}

impl FrontendCodec {
    /// A codec whose ordinary messages share `memory`, in bytes, with those of other connections.
    pub fn new(memory: ResourceLimit) -> FrontendCodec {
        FrontendCodec {
            has_started: false,
            ordinary_memory: memory,
            arriving: MessageMemory::default(),
            decoded: MessageMemory::default(),
            has_announced: false,
        }
    }

    /// The memory of the message decoded last.
    pub fn take_message_memory(&mut self) -> MessageMemory {
        std::mem::take(&mut self.decoded)
    }

    /// Grants the memory for the long message that was announced.
    pub fn grant_long_message(&mut self, memory: OwnedSemaphorePermit) {
        self.arriving.long = Some(memory);
        self.has_announced = false;
    }

    /// Whether the message that is arriving is a long one.
    pub fn is_reading_long_message(&self) -> bool {
        self.arriving.long.is_some()
    }

    /// Decodes the startup message, or a request that a client sends in its place.
    fn decode_startup(&mut self, src: &mut BytesMut) -> Result<Option<FrontendMessage>, PgError> {
        let Some(length) = first_length(src) else { return Ok(None) };
        if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(PgError::Length(length));
        }
        if src.len() < length {
            return Ok(None);
        }
        let mut body = src.split_to(length).freeze();
        body.advance(LENGTH_BYTES);
        match body.get_u32() {
            SSL_REQUEST | GSS_ENCRYPTION_REQUEST => Ok(Some(FrontendMessage::EncryptionRequest)),
            CANCEL_REQUEST => Ok(Some(FrontendMessage::CancelRequest)),
            version if version >> 16 == PROTOCOL_VERSION => {
                self.has_started = true;
                Ok(Some(FrontendMessage::Startup))
            }
            _ => Err(PgError::Body("unsupported protocol version")),
        }
    }

    /// Reserves the memory of an ordinary message of this length, unless that is done already.
    fn reserve_ordinary(&mut self, length: usize) -> Result<(), PgError> {
        if self.arriving.ordinary.is_none() {
            let reserved = self.ordinary_memory.acquire_weighted(length).ok_or(PgError::Memory(length))?;
            self.arriving.ordinary = Some(reserved);
        }
        Ok(())
    }
}

/// The lengths that a type of message from a client may have.
fn length_bounds(kind: u8) -> Option<RangeInclusive<usize>> {
    match kind {
        b'Q' => Some(LENGTH_BYTES..=MAX_MESSAGE_BYTES),
        b'P' | b'B' | b'D' | b'E' | b'C' | b'F' | b'd' | b'f' => {
            Some(LENGTH_BYTES..=MAX_ORDINARY_MESSAGE_BYTES)
        }
        b'X' | b'S' | b'H' | b'c' => Some(LENGTH_BYTES..=LENGTH_BYTES),
        _ => None,
    }
}

/// The statement of a simple query.
fn decode_query(mut body: Bytes) -> Result<Bytes, PgError> {
    let statement = take_text(&mut body)?;
    if !body.is_empty() {
        return Err(PgError::Body("more than one text in a query"));
    }
    Ok(statement)
}

/// Decodes a complete message of this type.
fn decode_message(kind: u8, body: Bytes) -> Result<FrontendMessage, PgError> {
    match kind {
        b'Q' => decode_query(body).map(FrontendMessage::Query),
        b'X' => Ok(FrontendMessage::Terminate),
        b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => Ok(FrontendMessage::Extended(kind)),
        b'S' => Ok(FrontendMessage::Sync),
        b'd' | b'c' | b'f' => Ok(FrontendMessage::Copy),
        _ => Err(PgError::MessageType(kind)),
    }
}

impl Decoder for FrontendCodec {
    type Item = FrontendMessage;
    type Error = PgError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<FrontendMessage>, PgError> {
        if !self.has_started {
            return self.decode_startup(src);
        }
        let Some(header) = decode_header(src, length_bounds)? else { return Ok(None) };
        let is_long = header.length > MAX_ORDINARY_MESSAGE_BYTES;
        if is_long && self.arriving.long.is_none() {
            let is_first = !std::mem::replace(&mut self.has_announced, true);
            return Ok(is_first.then_some(FrontendMessage::LongQueryAnnounced(header.length)));
        }
        if !is_long {
            self.reserve_ordinary(header.length)?;
        }
        let Some(mut message) = take_message(src, header.length) else {
            if is_long {
                // Exactly what was granted: a buffer that grows by doubling would take twice that.
                src.reserve((1 + header.length).saturating_sub(src.len()));
            }
            return Ok(None);
        };
        if is_long {
            // What follows the message in its buffer must not keep the message's memory.
            *src = BytesMut::from(&src[..]);
        }
        self.decoded = std::mem::take(&mut self.arriving);
        decode_message(header.kind, message.split_off(HEADER_BYTES)).map(Some)
    }

    /// A client that closes its connection in the middle of a message has just left: the incomplete message is dropped.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<FrontendMessage>, PgError> {
        let message = self.decode(src)?;
        if message.is_none() {
            src.clear();
        }
        Ok(message)
    }
}

fn put_session_opened(dst: &mut BytesMut) {
    put_message(b'R', dst, |body| body.put_u32(0));
    for (name, value) in SESSION_PARAMETERS {
        put_message(b'S', dst, |body| {
            put_text(body, name.as_bytes());
            put_text(body, value.as_bytes());
        });
    }
    put_message(b'K', dst, |body| body.put_u64(0));
}

fn put_error(dst: &mut BytesMut, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let required = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)];
    let detail = detail.map(|detail| (b'D', detail));
    put_message(b'E', dst, |body| {
        for (field, value) in required.into_iter().chain(detail) {
            body.put_u8(field);
            put_text(body, value.as_bytes());
        }
        body.put_u8(0);
    });
}

impl Encoder<Reply> for FrontendCodec {
    type Error = PgError;

    fn encode(&mut self, reply: Reply, dst: &mut BytesMut) -> Result<(), PgError> {
        match reply {
            Reply::NoEncryption => dst.put_u8(b'N'),
            Reply::SessionOpened => put_session_opened(dst),
            Reply::ReadyForQuery => put_message(b'Z', dst, |body| body.put_u8(b'I')),
            Reply::EmptyQueryResponse => put_message(b'I', dst, |_| {}),
            Reply::Raw(bytes) => dst.put_slice(&bytes),
            Reply::Error { fatal, code, message, detail } => {
                put_error(dst, fatal, code, &message, detail.as_deref());
            }
        }
        Ok(())
    }
}
