//! The answer of a member in wire format, as passed from an attempt to the client's session. Depends neither on
//! attempts nor on sessions.

use bytes::Bytes;
use tokio::sync::mpsc;

/// A long answer whose first bytes have arrived.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The bytes that arrived first.
    pub first: Bytes,
    /// The rest as it arrives, over a bounded channel. The answer is truncated if the channel closes before
    /// [`ResponseChunk::Last`].
    pub rest: mpsc::Receiver<ResponseChunk>,
}

/// A chunk of the rest of a long answer.
#[derive(Debug)]
pub enum ResponseChunk {
    /// A chunk that is followed by others.
    More(Bytes),
    /// The last chunk, which completes the answer.
    Last(Bytes),
}

/// The answer of a member.
#[derive(Debug)]
pub enum MemberResponse {
    /// The complete answer.
    Complete(Bytes),
    /// The beginning of a long answer, whose rest is still arriving.
    Streaming(StreamingResponse),
}
