//! Codec for connections to clients. A message is read only once memory for it is reserved: the codec reserves the
//! memory of an ordinary message, but announces a long one and waits until the owner of the codec grants it.

use super::framing::{
    HEADER_BYTES, LENGTH_BYTES, decode_header, first_length, put_message, put_text, take_text,
};
use super::{MAX_MESSAGE_BYTES, MAX_ORDINARY_MESSAGE_BYTES, PgError};
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::RangeInclusive;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::codec::{Decoder, Encoder};

/// Capacity of the read buffer of a connection, in bytes.
pub const READ_BUFFER_BYTES: usize = 4 * 1024;
/// A message of up to this many bytes is copied out of the read buffer, so that it keeps no more memory than its own; a
/// longer one gets a buffer of its size.
const MAX_COPIED_MESSAGE_BYTES: usize = 2 * READ_BUFFER_BYTES;
/// Memory of a message besides its bytes, in bytes: its request in the session, the router and the driver.
pub const MESSAGE_OVERHEAD_BYTES: usize = 1_024;

/// The smallest startup message: the length field, and the protocol version or a request code.
const MIN_STARTUP_BYTES: usize = 8;
/// The largest startup message, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// The code that a client sends in place of the version to request TLS.
const SSL_REQUEST: u32 = 80_877_103;
/// The code that requests GSSAPI encryption.
const GSS_ENCRYPTION_REQUEST: u32 = 80_877_104;
/// The code that requests to cancel the statement of another connection.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The supported major version of the protocol.
const PROTOCOL_MAJOR_VERSION: u32 = 3;
/// The parameters that are sent to a client when its session opens.
const SESSION_PARAMETERS: [(&str, &str); 3] =
    [("server_version", "15.0"), ("client_encoding", "UTF8"), ("DateStyle", "ISO, MDY")];

/// A message from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    /// Requests an encrypted connection.
    EncryptionRequest,
    /// Requests to cancel the statement of another connection.
    CancelRequest,
    /// Opens the session.
    Startup,
    /// The header of a long query with this length in bytes has arrived. The query is read once
    /// [`FrontendCodec::grant_long_message`] grants memory for it.
    LongQueryAnnounced(usize),
    /// The statement of a simple query.
    Query(Bytes),
    /// A message of the extended query protocol, with its type byte.
    Extended(u8),
    /// Ends a batch of messages of the extended query protocol.
    Sync,
    /// A message of the copy protocol, which is ignored because no copy is ever in progress.
    Copy,
    /// Ends the session.
    Terminate,
}

/// A message to a client, or several that are always sent together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Encryption is not available; the client may continue without it.
    NoEncryption,
    /// The session is open: `AuthenticationOk`, a `ParameterStatus` for each session parameter, and `BackendKeyData`
    /// with zeros, since cancel requests are not supported.
    SessionOpened,
    /// The session is ready for the next query.
    ReadyForQuery,
    /// The answer to an empty query.
    EmptyQueryResponse,
    /// Messages, or a part of one, as received from a member.
    Raw(Bytes),
    /// An error.
    Error {
        /// Whether the connection ends with this error.
        fatal: bool,
        /// The SQLSTATE.
        code: &'static str,
        /// The human-readable text.
        message: String,
        /// The detail (field D).
        detail: Option<String>,
    },
}

/// The memory reserved for one message. Dropping it releases the memory, so it must live as long as the message.
#[derive(Default)]
pub struct MessageMemory {
    /// Reserved by the codec, if the message is an ordinary one.
    ordinary: Option<ResourcePermit>,
    /// Granted by the owner of the codec, if the message is a long one.
    long: Option<OwnedSemaphorePermit>,
}

/// The codec of a client connection. The first message, the startup message, has no type byte.
pub struct FrontendCodec {
    has_started: bool,
    /// The limit that ordinary messages reserve their memory from.
    ordinary_memory: ResourceLimit,
    /// Memory of the message that is arriving.
    arriving: MessageMemory,
    /// Memory of the message that was decoded last.
    decoded: MessageMemory,
    /// Whether the long message that is arriving was announced but has not been granted memory.
    has_announced: bool,
}

impl Default for FrontendCodec {
    /// A codec for tests and tools, with unlimited memory for ordinary messages.
    fn default() -> FrontendCodec {
        FrontendCodec::new(ResourceLimit::new(usize::MAX))
    }
}

impl FrontendCodec {
    /// Creates a codec whose ordinary messages share `memory`, in bytes, with those of other connections.
    pub fn new(memory: ResourceLimit) -> FrontendCodec {
        FrontendCodec {
            has_started: false,
            ordinary_memory: memory,
            arriving: MessageMemory::default(),
            decoded: MessageMemory::default(),
            has_announced: false,
        }
    }

    /// Takes the memory of the message that was decoded last.
    pub fn take_message_memory(&mut self) -> MessageMemory {
        std::mem::take(&mut self.decoded)
    }

    /// Grants memory for the long message that was announced.
    pub fn grant_long_message(&mut self, memory: OwnedSemaphorePermit) {
        self.arriving.long = Some(memory);
        self.has_announced = false;
    }

    /// Decodes the startup message, or an encryption or cancel request in its place.
    fn decode_startup(&mut self, src: &mut BytesMut) -> Result<Option<FrontendMessage>, PgError> {
        let Some(length) = first_length(src) else { return Ok(None) };
        if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(PgError::Length(length));
        }
        self.reserve_ordinary(length)?;
        if src.len() < length {
            reserve_exactly(src, length);
            return Ok(None);
        }
        self.arriving = MessageMemory::default();
        let mut body = src.split_to(length).freeze();
        body.advance(LENGTH_BYTES);
        match body.get_u32() {
            SSL_REQUEST | GSS_ENCRYPTION_REQUEST => Ok(Some(FrontendMessage::EncryptionRequest)),
            CANCEL_REQUEST => Ok(Some(FrontendMessage::CancelRequest)),
            version if version >> 16 == PROTOCOL_MAJOR_VERSION => {
                self.has_started = true;
                Ok(Some(FrontendMessage::Startup))
            }
            _ => Err(PgError::Body("unsupported protocol version")),
        }
    }

    /// Reserves memory for a startup message or an ordinary message of this length, unless it is reserved already.
    fn reserve_ordinary(&mut self, length: usize) -> Result<(), PgError> {
        if self.arriving.ordinary.is_none() {
            let bytes = length + MESSAGE_OVERHEAD_BYTES;
            let reserved = self.ordinary_memory.acquire_weighted(bytes).ok_or(PgError::Memory(length))?;
            self.arriving.ordinary = Some(reserved);
        }
        Ok(())
    }
}

/// Makes room for the rest of a message of `bytes`, of which the beginning has arrived. A buffer that grows by doubling
/// could take twice as much.
fn reserve_exactly(src: &mut BytesMut, bytes: usize) {
    if bytes > src.capacity() {
        let mut replacement = BytesMut::with_capacity(bytes);
        replacement.extend_from_slice(src);
        *src = replacement;
    }
}

/// Removes a message of `bytes` from the front of `src`. What it keeps alive is no more than its own memory, and the
/// input behind it does not keep the message alive.
fn take_unshared(src: &mut BytesMut, bytes: usize) -> Bytes {
    if bytes <= MAX_COPIED_MESSAGE_BYTES {
        let message = Bytes::copy_from_slice(&src[..bytes]);
        src.advance(bytes);
        return message;
    }
    let message = src.split_to(bytes).freeze();
    let mut rest = BytesMut::with_capacity(READ_BUFFER_BYTES.max(src.len()));
    rest.extend_from_slice(src);
    *src = rest;
    message
}

/// The valid lengths of a type of message from a client; `None` for an unknown type.
fn length_bounds(message_type: u8) -> Option<RangeInclusive<usize>> {
    match message_type {
        b'Q' => Some(LENGTH_BYTES..=MAX_MESSAGE_BYTES),
        b'P' | b'B' | b'D' | b'E' | b'C' | b'F' | b'd' | b'f' => {
            Some(LENGTH_BYTES..=MAX_ORDINARY_MESSAGE_BYTES)
        }
        b'X' | b'S' | b'H' | b'c' => Some(LENGTH_BYTES..=LENGTH_BYTES),
        _ => None,
    }
}

/// Decodes the statement of a simple query.
fn decode_query(mut body: Bytes) -> Result<Bytes, PgError> {
    let statement = take_text(&mut body)?;
    if !body.is_empty() {
        return Err(PgError::Body("more than one text in a query"));
    }
    Ok(statement)
}

/// Decodes a complete message of this type.
fn decode_message(message_type: u8, body: Bytes) -> Result<FrontendMessage, PgError> {
    match message_type {
        b'Q' => decode_query(body).map(FrontendMessage::Query),
        b'X' => Ok(FrontendMessage::Terminate),
        b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => Ok(FrontendMessage::Extended(message_type)),
        b'S' => Ok(FrontendMessage::Sync),
        b'd' | b'c' | b'f' => Ok(FrontendMessage::Copy),
        _ => Err(PgError::MessageType(message_type)),
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
        let message_bytes = 1 + header.length;
        if src.len() < message_bytes {
            reserve_exactly(src, message_bytes);
            return Ok(None);
        }
        let mut message = take_unshared(src, message_bytes);
        self.decoded = std::mem::take(&mut self.arriving);
        decode_message(header.message_type, message.split_off(HEADER_BYTES)).map(Some)
    }

    /// Drops an incomplete message at the end of the connection; that is not a protocol violation.
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
