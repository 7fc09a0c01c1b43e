//! The long-running processes: a proxy and a keeper. Each loads its configuration, binds its sockets and runs.
//!
//! This module makes no decisions and implements no protocol. Errors during the start end the process; the caller logs
//! them.

mod error;
mod keep;
mod serve;
mod signals;

pub use error::ProcessError;
pub use keep::keep;
pub use serve::serve;

use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

/// Builds a single-threaded runtime with I/O and timers.
///
/// # Errors
///
/// [`ProcessError::Runtime`] if the runtime can't be built, for example for lack of descriptors.
pub fn runtime() -> Result<Runtime, ProcessError> {
    Builder::new_current_thread().enable_all().build().map_err(ProcessError::Runtime)
}

/// Binds a listening socket. `purpose` is part of the error's text.
async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).await.map_err(|error| listen_error(purpose, address, error))
}

/// The address to which a socket is bound; its port differs from a requested port of 0.
fn bound_address(
    purpose: &'static str, requested: SocketAddr, listener: &TcpListener,
) -> Result<SocketAddr, ProcessError> {
    listener.local_addr().map_err(|error| listen_error(purpose, requested, error))
}

fn listen_error(purpose: &'static str, address: SocketAddr, source: io::Error) -> ProcessError {
    ProcessError::Listen { purpose, address, source }
}

/// Injects the fault that a test names in `LINENHILL_PLANTED`; none if the variable is not set.
#[cfg(feature = "fault-injection")]
fn inject_fault() -> Result<(), ProcessError> {
    use linenhill_decisions::fault_injection::{Fault, inject};
    if let Ok(name) = std::env::var("LINENHILL_PLANTED") {
        inject(Some(Fault::from_name(&name).ok_or(ProcessError::UnknownFault(name))?));
    }
    Ok(())
}

/// Does nothing: production builds can't inject faults.
#[cfg(not(feature = "fault-injection"))]
fn inject_fault() -> Result<(), ProcessError> {
    Ok(())
}
