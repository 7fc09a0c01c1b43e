//! The clients' listening socket, inherited from the platform by the number of its descriptor.

use service_binding::{Binding, Listener};
use socket2::{Domain, Socket, Type};
use std::fmt;
use std::io;
use std::os::fd::OwnedFd;
use tokio::net::TcpListener;

/// Why a descriptor can't be served at.
#[derive(Debug)]
pub enum InheritError {
    /// Nothing is open under the number.
    Closed(i32),
    /// What is open there is no TCP socket that listens.
    NoListener(i32, &'static str),
    /// The system does not let it be used.
    Io(i32, io::Error),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            InheritError::Closed(fd) => write!(f, "descriptor {fd} is not open"),
            InheritError::NoListener(fd, what) => write!(f, "descriptor {fd} is no listening socket: {what}"),
            InheritError::Io(fd, e) => write!(f, "descriptor {fd}: {e}"),
        }
    }
}

impl std::error::Error for InheritError {}

/// Takes the listening socket with this descriptor over. Nothing else in the process may use the number; it is
/// called once, at the start, before anything else is opened.
pub fn listener(fd: i32) -> Result<TcpListener, InheritError> {
    let io = |e| InheritError::Io(fd, e);
    // A descriptor that is not open, or is something else, must not be taken: it would be closed at the end.
    let open = std::fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| InheritError::Closed(fd))?;
    if !open.to_string_lossy().starts_with("socket:") {
        return Err(InheritError::NoListener(fd, "it is no socket"));
    }
    let Listener::Unix(taken) = Listener::try_from(Binding::FileDescriptor(fd)).map_err(io)? else {
        return Err(InheritError::NoListener(fd, "it can't be taken"));
    };
    let socket = Socket::from(OwnedFd::from(taken));
    let inet = socket.domain().is_ok_and(|d| d == Domain::IPV4 || d == Domain::IPV6);
    if !inet || !socket.r#type().is_ok_and(|t| t == Type::STREAM) {
        return Err(InheritError::NoListener(fd, "it is not of TCP"));
    }
    if !socket.is_listener().map_err(io)? {
        return Err(InheritError::NoListener(fd, "it does not listen"));
    }
    socket.set_cloexec(true).map_err(io)?;
    socket.set_nonblocking(true).map_err(io)?;
    TcpListener::from_std(socket.into()).map_err(io)
}
