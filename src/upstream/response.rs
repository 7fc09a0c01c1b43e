//! The answer of a member in wire format, as passed from an attempt to the client's session. Depends neither on
//! attempts nor on sessions.

use crate::pg::MAX_BUFFERED_VALUE_BYTES;
use crate::pg::backend::{MAX_CHUNK_BYTES, MAX_TEXT_MESSAGE_BYTES};
use crate::response_memory::ResponsePermit;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Capacity of the channel that buffers a long answer for its client.
pub const STREAM_WINDOW_CHUNKS: usize = 4;
/// Memory of a long answer on its way: the chunks in the channel, the one that is being read and the one that is being
/// written.
pub const STREAM_MEMORY_BYTES: usize = (STREAM_WINDOW_CHUNKS + 2) * MAX_CHUNK_BYTES;
/// The most memory that one answer takes: a row that is decoded with its value, its description and its completion.
pub const MAX_RESPONSE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 2 * MAX_TEXT_MESSAGE_BYTES;
const _: () = assert!(STREAM_MEMORY_BYTES <= MAX_RESPONSE_BYTES);

/// A long answer whose first bytes have arrived.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The bytes that arrived first.
    pub first: Bytes,
    /// The rest as it arrives, over a bounded channel. The answer is truncated if the channel closes before
    /// [`ResponseChunk::Last`].
    pub rest: mpsc::Receiver<ResponseChunk>,
    /// The memory of the chunks, held until the answer is written; `None` in tests without members.
    pub memory: Option<ResponsePermit>,
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
