//! The program's long-running processes, a proxy and a keeper. Each reads its configuration, binds
//! its sockets and runs.
//!
//! Nothing here decides anything or knows a protocol. What fails before the process serves ends it with one error, which the
//! caller prints.

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

/// The runtime of the program: one thread, with I/O and time.
///
/// # Errors
///
/// [`ProcessError::Runtime`] if the system gives no descriptors for it.
pub fn runtime() -> Result<Runtime, ProcessError> {
    Builder::new_current_thread().enable_all().build().map_err(ProcessError::Runtime)
}

/// Binds a listening socket. `purpose` is what an error names beside the address.
async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).await.map_err(|error| listen_error(purpose, address, error))
}

/// The address that a socket is bound to; it differs from the one asked for where that had port 0.
fn bound_address(
    purpose: &'static str, asked: SocketAddr, listener: &TcpListener,
) -> Result<SocketAddr, ProcessError> {
    listener.local_addr().map_err(|error| listen_error(purpose, asked, error))
}

fn listen_error(purpose: &'static str, address: SocketAddr, source: io::Error) -> ProcessError {
    ProcessError::Listen { purpose, address, source }
}

/// Injects the fault that a test names in `LINENHILL_PLANTED`, in a build made for it.
#[cfg(feature = "fault-injection")]
fn inject_fault() -> Result<(), ProcessError> {
    use linenhill_decisions::fault_injection::{Fault, inject};
    if let Ok(name) = std::env::var("LINENHILL_PLANTED") {
        inject(Some(Fault::from_name(&name).ok_or(ProcessError::UnknownFault)?));
    }
    Ok(())
}

/// A build that serves has no faults to inject.
#[cfg(not(feature = "fault-injection"))]
fn inject_fault() -> Result<(), ProcessError> {
    Ok(())
}
