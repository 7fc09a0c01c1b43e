//! When the watch at the agent on the proxy's own machine is opened: a pure state machine, told how each one ended.
//!
//! Where lists are pushed, an agent on this machine holds what discovery has sent it, answers at once and at no cost to
//! anybody else, and what it holds counts as told. So there is no wave to avoid, as there is where one service answers
//! a whole fleet ([`crate::poll_schedule`]): the first watch is opened at the start, the next one at once when it ends. Only an
//! agent that is away, or that ends each watch as soon as it opens, is left in peace for a moment; and that moment is
//! a part of the grace of a drain, since the list that waits behind it may tell of one.

/// The first gap before an agent that is away is tried again, in microseconds.
const FIRST_GAP: u64 = 10_000;
/// The longest gap, as a part of the grace of a drain, ...
const GRACE_PART: u64 = 4;
/// ... and at most this, in microseconds: a connection that is refused on this machine costs next to nothing.
const GAP_MOST: u64 = 250_000;
/// A watch that held for so long ended for a reason of its own: the next one is opened at once. In microseconds.
const HELD: u64 = 1_000_000;

/// The state of the watch, all times in microseconds on the caller's clock.
#[derive(Debug)]
pub struct WatchSchedule {
    /// When the next watch is to be opened; none while one is open.
    at: Option<u64>,
    opened: u64,
    gap: u64,
    most: u64,
}

impl WatchSchedule {
    /// To be opened at once, where drains bind after `grace`.
    pub fn new(now: u64, grace: u64) -> WatchSchedule {
        let most = (grace / GRACE_PART).clamp(FIRST_GAP, GAP_MOST);
        WatchSchedule { at: Some(now), opened: now, gap: 0, most }
    }

    /// When the next watch is to be opened; none while one is open.
    pub fn due(&self) -> Option<u64> {
        self.at
    }

    /// A watch is being opened.
    pub fn opening(&mut self, now: u64) {
        (self.at, self.opened) = (None, now);
    }

    /// It ended, or was never up. `chance` (0 to 1) spreads the gap's later half: the proxies of one machine lose their
    /// agent together.
    pub fn ended(&mut self, now: u64, chance: f64) {
        let held = now.saturating_sub(self.opened) >= HELD;
        self.gap = if held { 0 } else { (self.gap * 2).clamp(FIRST_GAP, self.most) };
        self.at = Some(now + (self.gap as f64 * (0.5 + 0.5 * chance.clamp(0.0, 1.0))) as u64);
    }

    /// The agent is elsewhere now: nothing is held against it there.
    pub fn moved(&mut self, now: u64) {
        (self.at, self.gap) = (Some(now), 0);
    }
}
