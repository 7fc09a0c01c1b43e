//! Selects the keeper to which a proxy sends its requests, and the timeout of an answer. No I/O; times are microseconds
//! on the holder's clock.
//!
//! The search must never block the proxy, and the proxies of a fleet must not reconnect to the keepers all at once: if
//! a keeper does not answer, the next one is tried after a jittered pause, which doubles up to a maximum until a
//! keeper grants a request.

/// First pause before another keeper is tried. Microseconds.
const MIN_PAUSE_US: u64 = 20_000;
/// Longest pause before another keeper is tried. Microseconds.
const MAX_PAUSE_US: u64 = 500_000;
/// The answer timeout is a lease divided by this, so that several keepers can be tried within one lease.
const ANSWER_TIMEOUTS_PER_LEASE: u64 = 4;
/// Shortest answer timeout. Microseconds.
const MIN_ANSWER_TIMEOUT_US: u64 = 200_000;

/// The search for the keeper that is the leader.
#[derive(Clone, Debug)]
pub struct LeaderSearch {
    keeper_count: usize,
    /// Position of the current keeper, taken modulo `keeper_count`.
    position: usize,
    /// The next pause, before jitter shortens it.
    pause_us: u64,
    answer_timeout_us: u64,
    /// When the oldest unanswered request was sent.
    unanswered_since: Option<u64>,
}

impl LeaderSearch {
    /// Starts at the first of `keeper_count` keepers. `lease_us` is the length of a lease.
    pub fn new(keeper_count: usize, lease_us: u64) -> LeaderSearch {
        LeaderSearch {
            keeper_count,
            position: 0,
            pause_us: MIN_PAUSE_US,
            answer_timeout_us: (lease_us / ANSWER_TIMEOUTS_PER_LEASE).max(MIN_ANSWER_TIMEOUT_US),
            unanswered_since: None,
        }
    }

    /// Position of the keeper to send requests to, in the order of the configuration.
    pub fn current_keeper(&self) -> usize {
        self.position % self.keeper_count.max(1)
    }

    /// The answer timeout in microseconds.
    pub fn answer_timeout(&self) -> u64 {
        self.answer_timeout_us
    }

    /// Records that a request was sent at `now`.
    pub fn request_sent(&mut self, now: u64) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }

    /// When the oldest unanswered request times out; `None` if there is none.
    pub fn answer_deadline(&self) -> Option<u64> {
        self.unanswered_since.map(|since| since.saturating_add(self.answer_timeout_us))
    }

    /// Records that the current keeper granted a request, so it is the leader.
    pub fn request_granted(&mut self) {
        self.unanswered_since = None;
        self.pause_us = MIN_PAUSE_US;
    }

    /// Moves to the next keeper, because the current one is unreachable, did not answer or closed the connection.
    /// Returns the pause before the next keeper is tried, in microseconds; `chance` is a random number from 0 to 1.
    pub fn keeper_lost(&mut self, chance: f64) -> u64 {
        self.move_to(self.current_keeper() + 1, chance)
    }

    /// Moves to the leader that the current keeper named, or to the next keeper if it named none or one that does not
    /// exist. Returns the pause as [`LeaderSearch::keeper_lost`] does.
    pub fn redirected(&mut self, leader: Option<usize>, chance: f64) -> u64 {
        let known = leader.filter(|position| *position < self.keeper_count);
        self.move_to(known.unwrap_or(self.current_keeper() + 1), chance)
    }

    fn move_to(&mut self, position: usize, chance: f64) -> u64 {
        self.position = position;
        self.unanswered_since = None;
        let spread = 0.5 + chance.clamp(0.0, 1.0) / 2.0;
        let pause_us = (self.pause_us as f64 * spread) as u64;
        self.pause_us = (self.pause_us * 2).min(MAX_PAUSE_US);
        pause_us
    }
}
