//! Which keeper a proxy sends its requests to, and how long it waits for an answer. Pure; times are microseconds on the
//! holder's clock.
//!
//! It must never hold up the proxy, and a fleet must not turn on the keepers all at once: without an answer the search
//! goes on to the next keeper after a pause that doubles and is drawn by chance, until a keeper answers.

/// First pause before another keeper is tried.
const MIN_PAUSE_US: u64 = 20_000;
/// Longest pause before another keeper is tried.
const MAX_PAUSE_US: u64 = 500_000;
/// An answer is awaited for this part of a lease, so that several keepers can be asked within one lease.
const ANSWER_TIMEOUTS_PER_LEASE: u64 = 4;
/// Shortest time for which an answer is awaited.
const MIN_ANSWER_TIMEOUT_US: u64 = 200_000;

/// The search for the keeper that leads.
#[derive(Clone, Debug)]
pub struct LeaderSearch {
    keeper_count: usize,
    /// Position of the current keeper. It may lie past the end and is then taken modulo `keeper_count`.
    position: usize,
    /// The next pause, before chance shortens it.
    pause_us: u64,
    answer_timeout_us: u64,
    /// When the oldest unanswered request was sent.
    unanswered_since: Option<u64>,
}

impl LeaderSearch {
    /// Starts at the first of `keeper_count` keepers; none is known to lead. `lease_us` is the length of a lease.
    pub fn new(keeper_count: usize, lease_us: u64) -> LeaderSearch {
        LeaderSearch {
            keeper_count,
            position: 0,
            pause_us: MIN_PAUSE_US,
            answer_timeout_us: (lease_us / ANSWER_TIMEOUTS_PER_LEASE).max(MIN_ANSWER_TIMEOUT_US),
            unanswered_since: None,
        }
    }

    /// Position of the keeper to send requests to, in the order of the operators' file.
    pub fn current_keeper(&self) -> usize {
        self.position % self.keeper_count.max(1)
    }

    /// How long an answer is awaited, in microseconds.
    pub fn answer_timeout(&self) -> u64 {
        self.answer_timeout_us
    }

    /// Notes that a request was sent at `now`.
    pub fn request_sent(&mut self, now: u64) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }

    /// By when the oldest unanswered request must be answered, if there is one.
    pub fn answer_deadline(&self) -> Option<u64> {
        self.unanswered_since.map(|since| since.saturating_add(self.answer_timeout_us))
    }

    /// Notes that the current keeper granted a request: it leads.
    pub fn request_granted(&mut self) {
        self.unanswered_since = None;
        self.pause_us = MIN_PAUSE_US;
    }

    /// Moves on from a keeper that is unreachable, does not answer or closed the connection. Returns the pause before
    /// the next keeper is tried, in microseconds; `chance` is a random number from 0 to 1.
    pub fn keeper_lost(&mut self, chance: f64) -> u64 {
        self.move_to(self.current_keeper() + 1, chance)
    }

    /// Moves to the keeper that leads according to the current one, or to the next keeper if that one knows of no leader.
    /// Returns the pause as [`LeaderSearch::keeper_lost`] does.
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
