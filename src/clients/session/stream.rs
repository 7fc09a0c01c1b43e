//! What a session needs of its connection beyond reading and writing: to see its end without reading.

use crate::platform_bounds::CLIENT_GONE_MAX_DELAY;
use crate::socket_state::{PendingInput, pending_input};
use futures_util::FutureExt;
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// While nothing is read from a client, its end is looked for this often: well within the time after which nothing may
/// be sent for it.
const END_CHECK_INTERVAL: Duration = Duration::from_micros(CLIENT_GONE_MAX_DELAY.0 / 4);
/// Bytes that are discarded at a time.
const DISCARD_CHUNK: usize = 32 * 1024;

/// The connection of a client.
pub trait ClientStream: AsyncRead + AsyncWrite + Unpin {
    /// Whether the client has closed it, also where what it sent before that is not read yet.
    fn is_closed_by_peer(&self) -> bool {
        false
    }

    /// Whether bytes have arrived that nobody has read.
    fn has_unread_bytes(&self) -> bool {
        false
    }
}

impl ClientStream for TcpStream {
    fn is_closed_by_peer(&self) -> bool {
        let ready = self.ready(Interest::READABLE).now_or_never();
        ready.and_then(Result::ok).is_some_and(|ready| ready.is_read_closed())
    }

    fn has_unread_bytes(&self) -> bool {
        pending_input(self) == PendingInput::Bytes
    }
}

/// Without a socket, the end shows only once everything before it is read.
impl ClientStream for DuplexStream {}

/// Returns once the client has closed a connection from which nothing is read.
pub(super) async fn closed_by_peer(stream: &impl ClientStream) {
    while !stream.is_closed_by_peer() {
        sleep(END_CHECK_INTERVAL).await;
    }
}

/// Discards all input, and returns at its end.
pub(super) async fn discard_to_end<S: AsyncRead + Unpin>(stream: &mut S) {
    while discard_some(stream).await {}
}

/// Discards some input, without a buffer while it waits; false at the end of the input.
pub(super) async fn discard_some<S: AsyncRead + Unpin>(stream: &mut S) -> bool {
    poll_fn(|context| {
        let mut bytes = [0; DISCARD_CHUNK];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = Pin::new(&mut *stream).poll_read(context, &mut buffer);
        read.map(|result| result.is_ok() && !buffer.filled().is_empty())
    })
    .await
}
