//! Takes over the clients' listening socket, inherited from the platform by its descriptor number. Uses no `unsafe`
//! code, and must not take ownership of a descriptor that is not a socket.

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
    /// No descriptor with this number is open.
    Closed(i32),
    /// The descriptor is not a listening TCP socket, for this reason.
    NotListening(i32, &'static str),
    /// A system call on the descriptor failed.
    Io(i32, io::Error),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            InheritError::Closed(fd) => write!(f, "descriptor {fd} is not open"),
            InheritError::NotListening(fd, problem) => {
                write!(f, "descriptor {fd} is not a listening TCP socket: {problem}")
            }
            InheritError::Io(fd, error) => {
                write!(f, "descriptor {fd} can't be used as a listening socket: {error}")
            }
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

/// Takes over the listening socket with this descriptor. Call it at most once, and before the process opens sockets of
/// its own: if the descriptor is not inherited, its number could be that of an own socket, which would get two owners.
///
/// # Errors
/// The descriptor is not open, is not a listening TCP socket, or a system call on it failed.
pub fn listener(fd: i32) -> Result<TcpListener, InheritError> {
    let io_error = |error| InheritError::Io(fd, error);
    let not_listening = |problem| InheritError::NotListening(fd, problem);
    // A descriptor that is not open, or not a socket, must not be taken over: it would be closed when it is dropped.
    let link = std::fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| InheritError::Closed(fd))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(not_listening("it is not a socket"));
    }
    let Listener::Unix(listener) = Listener::try_from(Binding::FileDescriptor(fd)).map_err(io_error)? else {
        return Err(not_listening("it can't be taken over"));
    };
    let socket = Socket::from(OwnedFd::from(listener));
    if !is_tcp(&socket) {
        return Err(not_listening("it is not a TCP socket"));
    }
    if !socket.is_listener().map_err(io_error)? {
        return Err(not_listening("it is not listening"));
    }
    socket.set_cloexec(true).map_err(io_error)?;
    socket.set_nonblocking(true).map_err(io_error)?;
    TcpListener::from_std(socket.into()).map_err(io_error)
}

fn is_tcp(socket: &Socket) -> bool {
    let is_internet = socket.domain().is_ok_and(|domain| domain == Domain::IPV4 || domain == Domain::IPV6);
    is_internet && socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
}
