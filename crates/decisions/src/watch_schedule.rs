//! When the watch at the agent on the proxy's own machine is opened: a pure state machine, told how each
//! watch ended.
//!
//! Where lists are pushed, an agent on this machine holds what discovery has sent it. It answers at once, at
//! no cost to other proxies, and what it holds counts as notified. So there is no wave of calls to avoid, as
//! there is where one service answers a whole fleet ([`crate::poll_schedule`]): the first watch is opened at
//! the start, and the next one as soon as a watch ends. Only an agent that is away, or that ends each watch
//! right after it opened, is retried with a backoff. The backoff is bounded by a part of the grace of a
//! drain, since the list that waits at the agent may announce one. The module must never let a second watch
//! be opened beside one that is open.

use crate::api::{Micros, Time};

/// The first gap before an agent that is away is tried again.
const FIRST_GAP: Micros = Micros(10_000);
/// The longest gap is the grace of a drain divided by this ...
const GRACE_DIVISOR: u64 = 4;
/// ... and no longer than this: a connection that is refused on this machine costs next to nothing.
const GAP_MAX: Micros = Micros(250_000);
/// A watch that was open for this long ended for a reason of its own: the next one is opened at once.
const STABLE_AFTER: Micros = Micros(1_000_000);

/// When the next watch is opened.
#[derive(Debug)]
pub struct WatchSchedule {
    /// When the next watch is due; none while one is open.
    next_watch: Option<Time>,
    opened_at: Time,
    /// The last gap, which the next one doubles. 0 after a watch that was stable.
    gap: u64,
    longest_gap: u64,
}

impl WatchSchedule {
    /// The first watch is due at once. Nothing new may be sent to a draining member after `drain_grace`.
    pub fn new(now: Time, drain_grace: Micros) -> WatchSchedule {
        let longest_gap = (drain_grace.0 / GRACE_DIVISOR).clamp(FIRST_GAP.0, GAP_MAX.0);
        WatchSchedule { next_watch: Some(now), opened_at: now, gap: 0, longest_gap }
    }

    /// When the next watch is due; none while one is open.
    pub fn next_watch(&self) -> Option<Time> {
        self.next_watch
    }

    /// A watch is being opened.
    pub fn watch_opening(&mut self, now: Time) {
        self.next_watch = None;
        self.opened_at = now;
    }

    /// The watch ended, or could not be opened. `chance` (0 to 1) places the next one in the later half of
    /// the gap: all proxies of a machine lose their agent together.
    pub fn watch_ended(&mut self, now: Time, chance: f64) {
        let stable = now.0.saturating_sub(self.opened_at.0) >= STABLE_AFTER.0;
        self.gap = if stable { 0 } else { (self.gap * 2).clamp(FIRST_GAP.0, self.longest_gap) };
        let jittered = (self.gap as f64 * (0.5 + 0.5 * chance.clamp(0.0, 1.0))) as u64;
        self.next_watch = Some(Time(now.0 + jittered));
    }

    /// The agent has another address now: a watch is due there at once, without the old address's backoff.
    pub fn agent_address_changed(&mut self, now: Time) {
        self.next_watch = Some(now);
        self.gap = 0;
    }
}
