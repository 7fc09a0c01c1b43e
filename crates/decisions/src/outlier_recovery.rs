//! How a member that fell ill is tried: a pure state machine for each, told what happened and when.
//!
//! A member that can't be reached costs a probe a trial, and most of its probes reach nobody. One that takes work and
//! answers nothing, or with errors only, costs a request a trial, since a probe finds it alive: at each router of the
//! fleet for itself. So the more routers there are, the rarer are their trials of such a member.

/// The first gap between trials and the longest, in microseconds; they double in between.
const TRIAL: (u64, u64) = (250_000, 2_000_000);
/// From so many routers on, the gaps of members that take work and don't answer grow with the fleet.
const FEW: u64 = 16;

/// A member that takes no ordinary traffic: it took work and answers nothing, or (`dead`) can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectedMember {
    /// Since when, in microseconds.
    pub since: u64,
    /// It can't be reached.
    pub dead: bool,
    /// Its return counts as a restart: a connection failed at once, nobody listening, or its whole zone went silent.
    /// A member alone that was only cut off comes back as it was, and a restart behind a cut the list will tell.
    pub down: bool,
    /// One request may try it.
    pub ready: bool,
    /// When it is probed next.
    pub trial_at: u64,
    backoff: u64,
    fleet: u64,
}

impl EjectedMember {
    /// Before one router of `fleet`.
    pub fn new(now: u64, fleet: u32) -> EjectedMember {
        let fleet = u64::from(fleet);
        EjectedMember { since: now, dead: false, down: false, ready: false, trial_at: now, backoff: 0, fleet }
    }

    fn gap(&self, alone: u64) -> u64 {
        if self.dead { alone } else { alone.max(alone.saturating_mul(self.fleet) / FEW) }
    }

    /// It failed again, or for the first time. At first silence may be a lost answer: a probe at once. Else the next
    /// trial comes after the gap; that of a dead one is spread by `chance` (0.5 to 1.5), since hundreds of routers
    /// lose it together.
    pub fn worse(&mut self, now: u64, dead: bool, down: bool, chance: f64) {
        (self.dead, self.down, self.ready) = (self.dead || dead, self.down || down, false);
        let first = self.backoff == 0;
        self.backoff = (self.backoff * 2).clamp(self.gap(TRIAL.0), self.gap(TRIAL.1));
        self.trial_at = match (self.dead, first) {
            (true, _) => now + (self.backoff as f64 * chance) as u64,
            (false, true) => now,
            (false, false) => now + self.backoff,
        };
    }

    /// One request was sent to try it.
    pub fn tried(&mut self, now: u64) {
        (self.ready, self.trial_at) = (false, now + self.backoff);
        self.backoff = (self.backoff * 2).min(self.gap(TRIAL.1));
    }

    /// Whether a probe is due; where none may be sent, a request may try at once.
    pub fn due(&mut self, now: u64, probes: bool) -> bool {
        let due = now >= self.trial_at && !self.ready;
        if due {
            (self.trial_at, self.ready) = (now + self.backoff, !probes);
        }
        due
    }
}
