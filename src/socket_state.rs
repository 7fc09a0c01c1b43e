//! The unread input of a connection, queried from the kernel. The runtime's readiness is as old as its last poll; the
//! peer may have closed the connection or sent data since then. No input is consumed.

use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// The result that a read would have now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// No input: a read would block, or was interrupted by a signal.
    Empty,
    /// At least one byte can be read.
    Bytes,
    /// The stream has ended, or the connection has failed.
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
