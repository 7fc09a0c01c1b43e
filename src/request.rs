//! A request between the protocols: what the side of the clients hands in, and what an attempt renders for a member. It
//! knows no stage and no codec.

use bytes::Bytes;
use std::ops::Range;

/// A request whose text after the timeout is longer than this, in bytes, is not copied for an attempt.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// The text of a request without its timeout, which each attempt gets anew: the time that is left then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// The text before the timeout.
    head: Bytes,
    /// The text after it.
    tail: Bytes,
}

impl Payload {
    /// Cuts `text` where it has the timeout, which is the range `timeout` of its bytes. Panics if that is out of it.
    pub fn split_at_timeout(text: &Bytes, timeout: Range<usize>) -> Payload {
        Payload { head: text.slice(..timeout.start), tail: text.slice(timeout.end..) }
    }

    /// The request with this timeout in milliseconds, in two pieces where it is long: nothing long is copied.
    pub fn pieces(&self, timeout_ms: u64) -> (Bytes, Bytes) {
        if self.tail.len() <= MAX_COPIED_BYTES {
            return (self.render(timeout_ms), Bytes::new());
        }
        (self.join(timeout_ms, &[]), self.tail.clone())
    }

    /// The request with this timeout in milliseconds.
    pub fn render(&self, timeout_ms: u64) -> Bytes {
        self.join(timeout_ms, &self.tail)
    }

    fn join(&self, timeout_ms: u64, tail: &[u8]) -> Bytes {
        [&self.head, timeout_ms.to_string().as_bytes(), tail].concat().into()
    }
}

/// A request as a protocol hands it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The client's id for it, under which one request may be open at a time.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
    /// The group.
    pub group: u32,
    /// The key of its session, if it has one.
    pub session_key: Option<String>,
    /// The position that a read must see, in Unix milliseconds.
    pub required_position_ms: Option<u64>,
    /// What members are sent.
    pub payload: Payload,
}
