//! What the machine holds of a connection and nobody has read: the runtime knows only what it was told when it last
//! waited, and between two waits a peer may have ended its connection or sent something.

use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// What comes next on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing has come.
    Nothing,
    /// Bytes.
    Bytes,
    /// Its end, or its failure.
    End,
}

/// Looks at a connection without reading.
pub fn unread(stream: &TcpStream) -> Unread {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => Unread::End,
        Ok(_) => Unread::Bytes,
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Unread::Nothing,
        Err(_) => Unread::End,
    }
}
