//! The clients' listening socket, inherited from the platform by the number of its descriptor. Without
//! `unsafe`, and never taking a descriptor that is something else.

use service_binding::{Binding, Listener};
use socket2::{Domain, Socket, Type};
use std::error::Error;
use std::fmt;
use std::io;
use std::os::fd::OwnedFd;
use tokio::net::TcpListener;

/// Why a descriptor can't be used as the listening socket.
#[derive(Debug)]
pub enum InheritError {
    /// No descriptor is open under the number.
    Closed(i32),
    /// The descriptor is no listening TCP socket.
    NotListening(i32, &'static str),
    /// The system does not let it be used.
    Io(i32, io::Error),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            InheritError::Closed(fd) => write!(f, "descriptor {fd} is not open"),
            InheritError::NotListening(fd, what) => {
                write!(f, "descriptor {fd} is no listening socket: {what}")
            }
            InheritError::Io(fd, error) => write!(f, "descriptor {fd}: {error}"),
        }
    }
}

impl Error for InheritError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            InheritError::Io(_, error) => Some(error),
            _ => None,
        }
    }
}

/// Takes over the listening socket with this descriptor. Nothing else in the process may use the number, so
/// this is called once, at the start, before anything else is opened.
///
/// # Errors
/// The descriptor is not open or is no listening TCP socket, or the system does not let it be used.
pub fn listener(fd: i32) -> Result<TcpListener, InheritError> {
    let io_error = |error| InheritError::Io(fd, error);
    let not_listening = |what| InheritError::NotListening(fd, what);
    // A descriptor that is not open, or is something else, must not be taken: it would be closed at the end.
    let link = std::fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| InheritError::Closed(fd))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(not_listening("it is no socket"));
    }
    let Listener::Unix(taken) = Listener::try_from(Binding::FileDescriptor(fd)).map_err(io_error)? else {
        return Err(not_listening("it can't be taken"));
    };
    let socket = Socket::from(OwnedFd::from(taken));
    if !is_tcp(&socket) {
        return Err(not_listening("it is not of TCP"));
    }
    if !socket.is_listener().map_err(io_error)? {
        return Err(not_listening("it does not listen"));
    }
    socket.set_cloexec(true).map_err(io_error)?;
    socket.set_nonblocking(true).map_err(io_error)?;
    TcpListener::from_std(socket.into()).map_err(io_error)
}

fn is_tcp(socket: &Socket) -> bool {
    let is_internet = socket.domain().is_ok_and(|domain| domain == Domain::IPV4 || domain == Domain::IPV6);
    is_internet && socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
}
