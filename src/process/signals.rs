//! The signals that a proxy handles. Once the handlers are installed, none of these signals terminates the process by
//! its default action.

use super::ProcessError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// All handled signals. A signal that arrives after [`Signals::receive`] is kept until it is awaited; several of one
/// kind may be delivered as one.
pub struct Signals {
    /// Signals that stop the process gracefully.
    pub stop: StopSignals,
    /// Signals that do not end the process.
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

/// The action that a control signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// SIGUSR1: log the counters.
    PrintCounters,
    /// SIGHUP: reload the configuration, of which only discovery's address takes effect.
    Reload,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Signals`] if a handler can't be installed.
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
    /// Waits for one of the signals.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl ControlSignals {
    /// Waits for the next signal.
    pub async fn next(&mut self) -> ControlRequest {
        tokio::select! {
            _ = self.print_counters.recv() => ControlRequest::PrintCounters,
            _ = self.reload.recv() => ControlRequest::Reload,
        }
    }
}

/// Installs a handler for one kind of signal.
pub fn stream(kind: SignalKind) -> Result<Signal, ProcessError> {
    signal(kind).map_err(ProcessError::Signals)
}
