//! Shows that a connection to a member has no outstanding input, before it carries another statement.
//!
//! A member may write more than one answer to a statement, and its system or the network may hold the rest back for any
//! time; a reply has no mark of the statement that it belongs to. So after each reply an empty query is sent, which
//! members answer at once with `EmptyQueryResponse` and without an effect. No statement is answered like that, and a
//! connection keeps the order of its bytes: what the member wrote before it read the empty query precedes the answer.

use crate::close_reason::CloseReason;
use crate::pg::backend::{BackendCodec, BackendMessage};
use bytes::BytesMut;
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

/// An empty query: type, length, and the end of its text.
const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";
/// The most input that is read at a time; also the most that may be incomplete.
const READ_BYTES: usize = 1024;

/// What the input of a connection belongs to.
#[derive(Default)]
pub(super) enum SyncState {
    /// Everything that the member wrote for earlier statements is read.
    #[default]
    Synchronized,
    /// A statement was written, and more than its reply may follow.
    Unknown,
    /// The empty query was written.
    Checking(SyncCheck),
}

/// The result of looking for the answer to the empty query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncProgress {
    /// The connection can carry a statement.
    Synchronized,
    /// The answer is not complete.
    Pending,
    /// The connection must be closed, for this reason.
    Failed(CloseReason),
}

/// An empty query whose answer is being read.
pub(super) struct SyncCheck {
    codec: BackendCodec,
    received: BytesMut,
    /// Whether `EmptyQueryResponse` has arrived.
    is_answered: bool,
}

impl SyncCheck {
    /// Writes the empty query. `None` if it can't be written at once, so that the connection must be closed.
    pub(super) fn begin(stream: &TcpStream) -> Option<SyncCheck> {
        let written = stream.try_write(EMPTY_QUERY).ok()?;
        (written == EMPTY_QUERY.len()).then(|| SyncCheck {
            codec: BackendCodec::default(),
            received: BytesMut::new(),
            is_answered: false,
        })
    }

    /// Reads the input that has arrived. Asks the kernel, since the runtime does not see input that arrived after its
    /// last poll.
    pub(super) fn progress(&mut self, stream: &TcpStream) -> SyncProgress {
        let mut buffer = [0; READ_BYTES];
        loop {
            let length = match (&*SockRef::from(stream)).read(&mut buffer) {
                Ok(0) => return SyncProgress::Failed(CloseReason::PeerClosed),
                Ok(length) => length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return SyncProgress::Pending,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return SyncProgress::Failed(CloseReason::PeerClosed),
            };
            self.received.extend_from_slice(&buffer[..length]);
            match self.decode() {
                SyncProgress::Pending if self.received.len() > READ_BYTES => {
                    return SyncProgress::Failed(CloseReason::Protocol);
                }
                SyncProgress::Pending => {}
                decided => return decided,
            }
        }
    }

    /// Decodes the messages that are complete. Only parameters and notices may come with the answer.
    fn decode(&mut self) -> SyncProgress {
        loop {
            match self.codec.decode(&mut self.received) {
                Ok(None) => return SyncProgress::Pending,
                Ok(Some(BackendMessage::ParameterStatus { .. } | BackendMessage::Ignored)) => {}
                Ok(Some(BackendMessage::EmptyQueryResponse)) if !self.is_answered => self.is_answered = true,
                Ok(Some(BackendMessage::ReadyForQuery)) if self.is_answered && self.received.is_empty() => {
                    return SyncProgress::Synchronized;
                }
                Ok(Some(_)) | Err(_) => return SyncProgress::Failed(CloseReason::Protocol),
            }
        }
    }
}
