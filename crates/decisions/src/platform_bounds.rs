//! Bounds that the platform requires every proxy to keep.
//!
//! Where a wait could exceed a bound, it is derived from that bound at its place of use. In the incident of 2026-12-02
//! two waits had been sized for other purposes, to limit the load on a service and to tolerate slow clients, and both
//! exceeded the bound that applied to them (`docs/incidents/`).

use crate::api::Micros;

/// A list change counts as notified at the latest this long after discovery has the change and is reachable.
pub const NOTIFIED_AFTER: Micros = Micros(6_000_000);

/// Longest time for which a proxy may be held up between reading its clock and writing. A write that is forbidden from
/// a given time on must start at least this long before that time.
pub const MAX_HOLD_UP: Micros = Micros(150_000);

/// A client that stalls in the middle of a message and stays connected must get an error or a close within this time.
pub const STALLED_CLIENT_TIMEOUT: Micros = Micros(3_000_000);

/// No attempt may begin later than this after its client closed the connection.
pub const CLIENT_GONE_MAX_DELAY: Micros = Micros(100_000);

/// Longest time between the exit of a process and the start of the next one of the same name, as seen in a release
/// (`docs/incidents/`). List changes made in between are missing from the saved list of the next process.
pub const MAX_RESTART_TIME: Micros = Micros(5_000_000);
