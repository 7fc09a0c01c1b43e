//! How an ejected member is tried again: a pure state machine for each such member, told what happened and
//! when.
//!
//! A member that can't be reached costs a probe for each trial, and most of its probes reach nobody. A member
//! that accepts work and answers nothing, or only errors, costs a request for each trial, since a probe finds
//! it alive; and each router of the fleet tries it for itself. So the more routers there are, the rarer are
//! their trials of such a member.

use crate::api::{Micros, Time};

/// The gap after a first failure; it doubles up to [`LONGEST_GAP`].
const FIRST_GAP: Micros = Micros::from_millis(250);
/// The longest gap between trials.
const LONGEST_GAP: Micros = Micros::from_millis(2_000);
/// From this many routers on, the gaps of members that accept work and don't answer grow with the fleet.
const SMALL_FLEET: u64 = 16;

/// A member that receives no ordinary requests: it can't be reached, or it accepts work and doesn't answer
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectedMember {
    /// When it was ejected.
    pub since: Time,
    /// It can't be reached, so a trial is a probe.
    pub unreachable: bool,
    /// Its return counts as a restart: a connection failed at once because nobody listened, or its whole zone
    /// went silent. A single member that was only cut off comes back as it was, and the list tells of a
    /// restart behind a cut.
    pub restarted: bool,
    /// One request may try it.
    pub trial_ready: bool,
    /// When the next trial is due.
    pub trial_at: Time,
    backoff: Micros,
    fleet_size: u64,
}

impl EjectedMember {
    /// Ejected now, by one router of a fleet of this size.
    pub fn new(now: Time, fleet_size: u32) -> EjectedMember {
        EjectedMember {
            since: now,
            unreachable: false,
            restarted: false,
            trial_ready: false,
            trial_at: now,
            backoff: Micros(0),
            fleet_size: u64::from(fleet_size),
        }
    }

    /// It failed, for the first time or again; `unreachable` and `restarted` hold from then on if they ever
    /// did.
    ///
    /// A first silence may be a lost answer, so a probe is due at once. Otherwise the next trial comes after
    /// the backoff. That of an unreachable member is multiplied by `jitter` (0.5 to 1.5), since hundreds of
    /// routers lose it together.
    pub fn failed(&mut self, now: Time, unreachable: bool, restarted: bool, jitter: f64) {
        self.unreachable |= unreachable;
        self.restarted |= restarted;
        self.trial_ready = false;
        let is_first = self.backoff == Micros(0);
        self.backoff = Micros(self.backoff.0 * 2).clamp(self.scaled(FIRST_GAP), self.scaled(LONGEST_GAP));
        self.trial_at = match (self.unreachable, is_first) {
            (true, _) => now + Micros::from_f64(self.backoff.as_f64() * jitter),
            (false, true) => now,
            (false, false) => now + self.backoff,
        };
    }

    /// One request was sent to try it.
    pub fn trial_sent(&mut self, now: Time) {
        self.trial_ready = false;
        self.trial_at = now + self.backoff;
        self.backoff = Micros(self.backoff.0 * 2).min(self.scaled(LONGEST_GAP));
    }

    /// Whether a trial is due; if so, the one after it is scheduled. Where `probes` are not allowed, a
    /// request may try it at once.
    pub fn take_due_trial(&mut self, now: Time, probes: bool) -> bool {
        let is_due = now >= self.trial_at && !self.trial_ready;
        if is_due {
            self.trial_at = now + self.backoff;
            self.trial_ready = !probes;
        }
        is_due
    }

    /// The gap that one router keeps so that the trials of the whole fleet stay few.
    fn scaled(&self, gap: Micros) -> Micros {
        if self.unreachable {
            return gap;
        }
        gap.max(Micros(gap.0.saturating_mul(self.fleet_size) / SMALL_FLEET))
    }
}
