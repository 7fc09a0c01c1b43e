//! Which keeper a proxy speaks to, and how long it waits for an answer. Pure; times are microseconds on the holder's clock.
//!
//! It must never hold up the proxy, nor turn on the keepers as a herd: whoever gets no answer goes on to the next one after
//! a pause that doubles, with chance in it, until somebody answers.

/// Pauses between keepers that don't answer.
const PAUSE: (u64, u64) = (20_000, 500_000);
/// A request that is not answered for this part of the lease is asked of another keeper: three can be asked in one.
const ANSWER_PART: u64 = 4;
const ANSWER_LEAST: u64 = 200_000;

/// The way to the leader.
#[derive(Clone, Debug)]
pub struct LeaderSearch {
    keepers: usize,
    at: usize,
    pause: u64,
    answer_timeout: u64,
    waits_since: Option<u64>,
}

impl LeaderSearch {
    /// Among so many keepers, of whom none is known to lead; an answer is worth waiting for by the length of a lease.
    pub fn new(keepers: usize, lease: u64) -> LeaderSearch {
        let patience = (lease / ANSWER_PART).max(ANSWER_LEAST);
        LeaderSearch { keepers, at: 0, pause: PAUSE.0, answer_timeout: patience, waits_since: None }
    }

    /// The place of the keeper to speak to, in the order of the file.
    pub fn current_keeper(&self) -> usize {
        self.at % self.keepers.max(1)
    }

    /// How long an answer is waited for.
    pub fn answer_timeout(&self) -> u64 {
        self.answer_timeout
    }

    /// A request went out.
    pub fn request_sent(&mut self, now: u64) {
        self.waits_since = self.waits_since.or(Some(now));
    }

    /// The request that was not answered first must be answered by then.
    pub fn answer_deadline(&self) -> Option<u64> {
        self.waits_since.map(|since| since.saturating_add(self.answer_timeout))
    }

    /// It was granted.
    pub fn request_granted(&mut self) {
        (self.waits_since, self.pause) = (None, PAUSE.0);
    }

    /// The keeper can't be reached, is silent, or ended the connection: the next one, after the pause returned.
    pub fn keeper_lost(&mut self, chance: f64) -> u64 {
        self.go_on(None, chance)
    }

    /// The keeper says that another one leads, or that it knows of none.
    pub fn redirected(&mut self, leader: Option<usize>, chance: f64) -> u64 {
        self.go_on(leader.filter(|place| *place < self.keepers), chance)
    }

    fn go_on(&mut self, to: Option<usize>, chance: f64) -> u64 {
        self.at = to.unwrap_or(self.current_keeper() + 1);
        self.waits_since = None;
        let pause = (self.pause as f64 * (0.5 + chance.clamp(0.0, 1.0) / 2.0)) as u64;
        self.pause = (self.pause * 2).min(PAUSE.1);
        pause
    }
}
