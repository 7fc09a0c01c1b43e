//! The schedule by which the watch at the local agent is opened: a state machine without I/O that is driven by the
//! opening and the end of each watch.
//!
//! Where lists are pushed, an agent on the proxy's machine holds the lists that discovery sent. The agent answers at
//! once and without load on other proxies, and its lists count as notified. Unlike calls to one service that answers a
//! whole fleet ([`crate::poll_schedule`]), its watches need not be spread over time: the first one is opened at the
//! start, and the next one as soon as a watch ends. Only an agent that is unreachable, or that ends a watch within
//! 1 s, is retried with a backoff. The backoff is bounded by a part of the drain grace, since the list at the agent may
//! contain a drain. At most one watch is open at any time.

use crate::api::{Micros, Time};

/// Gap after a first watch that failed or ended early; it doubles with each further one.
const FIRST_GAP: Micros = Micros(10_000);
/// The longest gap is the drain grace divided by this, but at most [`GAP_MAX`].
const GRACE_DIVISOR: u64 = 4;
/// Upper bound on the longest gap: a refused local connection costs little.
const GAP_MAX: Micros = Micros(250_000);
/// After a watch that was open for at least this long, the next one is opened without backoff.
const STABLE_AFTER: Micros = Micros(1_000_000);

/// The schedule of one proxy.
#[derive(Debug)]
pub struct WatchSchedule {
    /// When the next watch is due; `None` while one is open.
    next_watch: Option<Time>,
    opened_at: Time,
    /// The last gap in microseconds, which the next one doubles; 0 after a stable watch.
    gap: u64,
    longest_gap: u64,
}

impl WatchSchedule {
    /// A schedule whose first watch is due at once. Nothing new may be sent to a draining member after `drain_grace`.
    pub fn new(now: Time, drain_grace: Micros) -> WatchSchedule {
        let longest_gap = (drain_grace.0 / GRACE_DIVISOR).clamp(FIRST_GAP.0, GAP_MAX.0);
        WatchSchedule { next_watch: Some(now), opened_at: now, gap: 0, longest_gap }
    }

    /// When the next watch is due; `None` while one is open.
    pub fn next_watch(&self) -> Option<Time> {
        self.next_watch
    }

    /// Records that a watch is being opened.
    pub fn watch_opening(&mut self, now: Time) {
        self.next_watch = None;
        self.opened_at = now;
    }

    /// Records that the watch ended or could not be opened. The next one is due at once after a watch that was open for
    /// at least 1 s, and after a gap otherwise. `chance`, a random number from 0 to 1, places it in the later half of
    /// the gap, since all proxies of a machine lose their agent at the same time.
    pub fn watch_ended(&mut self, now: Time, chance: f64) {
        let stable = now.0.saturating_sub(self.opened_at.0) >= STABLE_AFTER.0;
        self.gap = if stable { 0 } else { (self.gap * 2).clamp(FIRST_GAP.0, self.longest_gap) };
        let jittered = (self.gap as f64 * (0.5 + 0.5 * chance.clamp(0.0, 1.0))) as u64;
        self.next_watch = Some(Time(now.0 + jittered));
    }

    /// Makes a watch due at once, without the backoff of the agent's previous address.
    pub fn agent_address_changed(&mut self, now: Time) {
        self.next_watch = Some(now);
        self.gap = 0;
    }
}
