//! The bounds that the platform holds every proxy to, as its pages give them.
//!
//! A wait that could break one of them is derived from it, where it is used, and not chosen for another reason:
//! the incident of 2026-12-02 had two waits that were sized by the politeness towards a service and by the patience
//! with slow clients, and both were longer than what was owed (`docs/incidents/`).

use crate::api::Micros;

/// A change of the list counts as notified at the latest this long after discovery had it and could be reached.
pub const NOTIFIED_AFTER: Micros = Micros(6_000_000);

/// A proxy may be held up for so long between reading its clock and writing. What must not be written any more
/// after some moment is not begun later than this before it.
pub const MAX_HOLD_UP: Micros = Micros(150_000);

/// A client that stops in the middle of a message and stays is owed an error or a close within this time.
pub const STALLED_CLIENT_TIMEOUT: Micros = Micros(3_000_000);

/// No attempt may begin later than this after its client has closed its connection.
pub const CLIENT_GONE_MAX_DELAY: Micros = Micros(100_000);

/// The longest time that was seen between the death of a process and the start of the next one under its name
/// (a release, `docs/incidents/`). What changed while no process ran is missing in the saved list of the next one.
pub const MAX_RESTART_TIME: Micros = Micros(5_000_000);
