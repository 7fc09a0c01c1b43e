//! A request between the protocols: what a front end decodes and a member connection renders. No stage and no codec may
//! be known here, so that another protocol can stand on either side.

use bytes::Bytes;
use std::ops::Range;

/// A rest of a request longer than this, in bytes, is not copied for each attempt.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// A request as it is sent to members, without the number that states the client's time left: that is written anew for
/// each attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    head: Bytes,
    tail: Bytes,
}

impl Payload {
    /// Splits `request` around the number at `time_left`.
    pub fn without_time_left(request: &Bytes, time_left: Range<usize>) -> Payload {
        Payload { head: request.slice(..time_left.start), tail: request.slice(time_left.end..) }
    }

    /// The request with this many milliseconds left, in two parts to be written in order. The second one is empty unless
    /// the request is long, and then shares its bytes.
    pub fn render_in_parts(&self, time_left_ms: u64) -> (Bytes, Bytes) {
        if self.tail.len() <= MAX_COPIED_BYTES {
            return (self.render(time_left_ms), Bytes::new());
        }
        let head = [&self.head[..], time_left_ms.to_string().as_bytes()].concat();
        (head.into(), self.tail.clone())
    }

    /// The request with this many milliseconds left, as one copy.
    pub fn render(&self, time_left_ms: u64) -> Bytes {
        [&self.head[..], time_left_ms.to_string().as_bytes(), &self.tail[..]].concat().into()
    }
}

/// A request as a protocol's front end decodes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The client's id for it. One request of an id may be open at a time.
    pub id: String,
    /// The class's name.
    pub class: String,
    /// How long the client waits for the answer, in milliseconds.
    pub client_timeout_ms: u64,
    /// The group.
    pub group: u32,
    /// The session's key, if there is one.
    pub session_key: Option<String>,
    /// The position that a session read must see, in Unix milliseconds.
    pub read_after_ms: Option<u64>,
    /// What is sent to members.
    pub payload: Payload,
}
