//! A member's answer on its way to the client, in the protocol's own form. It knows neither side: attempts hand it over, and
//! sessions write it.

use bytes::Bytes;
use tokio::sync::mpsc;

/// A long answer whose first bytes have arrived.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The first bytes.
    pub first: Bytes,
    /// The rest as it arrives, within a bounded window. It was cut off if it ends without [`ResponseChunk::Last`].
    pub rest: mpsc::Receiver<ResponseChunk>,
}

/// A piece of the rest of a long answer.
#[derive(Debug)]
pub enum ResponseChunk {
    /// More follows.
    More(Bytes),
    /// The end: the answer is complete.
    Last(Bytes),
}

/// What a member answered.
#[derive(Debug)]
pub enum MemberResponse {
    /// The complete answer.
    Complete(Bytes),
    /// A long one, whose rest is still to come.
    Streaming(StreamingResponse),
}
