//! Client connections as sessions use them: besides reading and writing, they can be checked for a close by the client
//! and for unread bytes without consuming input.

use crate::platform_bounds::CLIENT_GONE_MAX_DELAY;
use crate::socket_state::{PendingInput, pending_input};
use futures_util::FutureExt;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Interval of checks for a close by the client while its connection is not read. Well below [`CLIENT_GONE_MAX_DELAY`],
/// the longest time after the close in which an attempt may still begin.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_micros(CLIENT_GONE_MAX_DELAY.0 / 4);
/// Largest number of bytes discarded per read.
const DISCARD_CHUNK_BYTES: usize = 32 * 1024;

/// The connection of a client.
pub trait ClientStream: AsyncRead + AsyncWrite + Unpin {
    /// Whether the client has closed the connection, even if input from before the close is still unread.
    fn is_closed_by_peer(&self) -> bool {
        false
    }

    /// Whether received bytes are waiting in the socket.
    fn has_unread_bytes(&self) -> bool {
        false
    }

    /// Number of received bytes that are waiting in the socket.
    fn unread_bytes(&self) -> u64 {
        0
    }

    /// Whether a read may return input, the end or an error. If not, the task is woken when it may.
    fn poll_readable(&self, _context: &mut Context) -> Poll<()> {
        Poll::Ready(())
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

    fn unread_bytes(&self) -> u64 {
        rustix::io::ioctl_fionread(self).unwrap_or(0)
    }

    fn poll_readable(&self, context: &mut Context) -> Poll<()> {
        self.poll_read_ready(context).map(|_| ())
    }
}

/// An in-memory stream, as used in tests. A close is only detected once all input before the close is read.
impl ClientStream for DuplexStream {}

/// Waits until the client closes a connection that is not being read.
pub(super) async fn closed_by_peer(stream: &impl ClientStream) {
    while !stream.is_closed_by_peer() {
        sleep(CLOSE_CHECK_INTERVAL).await;
    }
}

/// Discards all input up to its end.
pub(super) async fn discard_to_end<S: AsyncRead + Unpin>(stream: &mut S) {
    while discard_some(stream).await > 0 {}
}

/// Discards available input and holds no buffer while it waits; returns the number of bytes, 0 at the end of the input or
/// on an error.
pub(super) async fn discard_some<S: AsyncRead + Unpin>(stream: &mut S) -> usize {
    poll_fn(|context| {
        let mut bytes = [0; DISCARD_CHUNK_BYTES];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = Pin::new(&mut *stream).poll_read(context, &mut buffer);
        read.map(|result| result.map_or(0, |()| buffer.filled().len()))
    })
    .await
}
