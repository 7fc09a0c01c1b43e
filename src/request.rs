//! The protocol-independent form of a request: as received from a client, and as rendered for a member. Depends on no
//! stage and no codec.

use bytes::Bytes;
use bytestring::ByteString;
use std::ops::Range;

/// Longest text after the timeout that is copied for an attempt; a longer one is shared, so that its memory is taken
/// only once however many attempts are being written.
const MAX_COPIED_BYTES: usize = 4 * 1024;

/// The longest statement, in bytes, that a member reads at once. The receive buffer of the member's system may hold a
/// longer one for seconds while the member reads it piece by piece.
pub const MAX_SHORT_STATEMENT_BYTES: usize = 16 * 1024;

/// The text of a request without its timeout. Each attempt inserts the time left at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// The text before the timeout.
    head: Bytes,
    /// The text after the timeout.
    tail: Bytes,
}

impl Payload {
    /// Removes the byte range `timeout` from `text`.
    ///
    /// # Panics
    /// The range exceeds `text`.
    pub fn split_at_timeout(text: &Bytes, timeout: Range<usize>) -> Payload {
        Payload { head: text.slice(..timeout.start), tail: text.slice(timeout.end..) }
    }

    /// Whether a member may take seconds to read the request.
    pub fn is_long(&self) -> bool {
        self.head.len() + self.tail.len() > MAX_SHORT_STATEMENT_BYTES
    }

    /// The request with this timeout, in two parts: the second one is empty unless the text after the timeout is too
    /// long to be copied.
    pub fn render_parts(&self, timeout_ms: u64) -> (Bytes, Bytes) {
        if self.tail.len() <= MAX_COPIED_BYTES {
            return (self.render(timeout_ms), Bytes::new());
        }
        (self.join(timeout_ms, &[]), self.tail.clone())
    }

    /// The request with this timeout.
    pub fn render(&self, timeout_ms: u64) -> Bytes {
        self.join(timeout_ms, &self.tail)
    }

    fn join(&self, timeout_ms: u64, tail: &[u8]) -> Bytes {
        [&self.head, timeout_ms.to_string().as_bytes(), tail].concat().into()
    }
}

/// A request as parsed from the client's protocol. Its texts share the memory of the statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The id that the client chose. Only one request may be open under an id.
    pub id: ByteString,
    /// The name of the request class.
    pub class: ByteString,
    /// The time that the client waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The number of the group that the request is for.
    pub group: u32,
    /// The first quoted text of the SQL, if any: the session key of session reads and writes, and the key by which
    /// requests of a connection are ordered.
    pub session_key: Option<ByteString>,
    /// The replication position that a read must observe, in Unix milliseconds.
    pub required_position_ms: Option<u64>,
    /// The statement that is sent to members.
    pub payload: Payload,
}
