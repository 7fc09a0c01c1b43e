//! The signals of a proxy's process.
//!
//! From the moment they are received here, none of them ends the process by itself.

use super::ProcessError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// All signals, received from [`Signals::receive`] on.
pub struct Signals {
    /// Those that end the process in good order.
    pub stop: StopSignals,
    /// Those that it goes on after.
    pub control: ControlSignals,
}

/// SIGTERM and SIGINT.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

/// SIGUSR1 and SIGHUP.
pub struct ControlSignals {
    print_counters: Signal,
    reload: Signal,
}

/// What a control signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// SIGUSR1: log the counters.
    PrintCounters,
    /// SIGHUP: read the configuration once more.
    Reload,
}

impl Signals {
    /// Receives the signals from now on.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Signals`] if the system refuses one of them.
    pub fn receive() -> Result<Signals, ProcessError> {
        Ok(Signals {
            stop: StopSignals {
                terminate: stream(SignalKind::terminate())?,
                interrupt: stream(SignalKind::interrupt())?,
            },
            control: ControlSignals {
                print_counters: stream(SignalKind::user_defined1())?,
                reload: stream(SignalKind::hangup())?,
            },
        })
    }
}

impl StopSignals {
    /// Returns when one of them has come.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl ControlSignals {
    /// What the next one asks for.
    pub async fn next(&mut self) -> ControlRequest {
        tokio::select! {
            _ = self.print_counters.recv() => ControlRequest::PrintCounters,
            _ = self.reload.recv() => ControlRequest::Reload,
        }
    }
}

/// Receives one kind of signal from now on.
pub fn stream(kind: SignalKind) -> Result<Signal, ProcessError> {
    signal(kind).map_err(ProcessError::Signals)
}
