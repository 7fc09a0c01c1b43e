//! What the kernel holds of a connection and nobody has read yet. The runtime knows only what it learned when it last
//! polled; between two polls a peer may have closed its connection or sent something. Nothing here consumes input.

use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// What a read would give now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// Nothing: a read would wait.
    Empty,
    /// At least one byte.
    Bytes,
    /// The end of the stream, or the connection's failure.
    Closed,
}

/// Peeks at a connection's input without consuming it.
pub fn pending_input(stream: &TcpStream) -> PendingInput {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => PendingInput::Closed,
        Ok(_) => PendingInput::Bytes,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            PendingInput::Empty
        }
        Err(_) => PendingInput::Closed,
    }
}
