//! How far a stop has come, for the listener and its sessions alike.

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop.
    Serving,
    /// No new connections; those between requests are closed.
    Closing,
}
