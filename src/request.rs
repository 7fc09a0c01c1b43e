//! A request between the protocols: what a front hands in and a link renders. No stage and no codec is known here.

use bytes::Bytes;
use std::ops::Range;

/// From this length on a request is not copied for an attempt.
const LONG: usize = 64 * 1024;

/// A request as it will be passed on, cut open where the time left is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    head: Bytes,
    tail: Bytes,
}

impl Payload {
    /// Cuts `whole` so that what stands at `left` is written anew for each attempt.
    pub fn cut(whole: &Bytes, left: Range<usize>) -> Payload {
        Payload { head: whole.slice(..left.start), tail: whole.slice(left.end..) }
    }

    /// The request with this many milliseconds left, in two pieces where it is long: nothing long is copied.
    pub fn pieces(&self, left_ms: u64) -> (Bytes, Bytes) {
        if self.tail.len() <= LONG {
            return (self.render(left_ms), Bytes::new());
        }
        ([&self.head[..], left_ms.to_string().as_bytes()].concat().into(), self.tail.clone())
    }

    /// The request with this many milliseconds left.
    pub fn render(&self, left_ms: u64) -> Bytes {
        [&self.head[..], left_ms.to_string().as_bytes(), &self.tail[..]].concat().into()
    }
}

/// A request as a protocol hands it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incoming {
    /// The client's id for it, of which one request may be open.
    pub id: String,
    /// The class's name.
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
    /// The group.
    pub group: u32,
    /// The session's key, if there is one.
    pub key: Option<String>,
    /// The position that the read must see, in Unix milliseconds.
    pub after_ms: Option<u64>,
    /// What is passed on.
    pub payload: Payload,
}
