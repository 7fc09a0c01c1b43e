//! The schedule by which an ejected member is retried: one state machine without I/O per ejected member.
//!
//! A trial of an unreachable member costs a probe, and most such probes reach no process. A trial of a member that
//! accepts requests and answers none, or only with errors, costs a request, since a probe would succeed. Every router
//! of the fleet runs its own trials, so in large fleets the gaps between trials of a member that is not unreachable
//! grow with the number of routers.

use crate::api::{Micros, Time};

/// Gap after a first failure; it doubles up to [`LONGEST_GAP`].
const FIRST_GAP: Micros = Micros::from_millis(250);
/// Longest gap between trials in a fleet of up to [`UNSCALED_FLEET_SIZE`] routers.
const LONGEST_GAP: Micros = Micros::from_millis(2_000);
/// Fleet size above which the gaps of members that accept requests without answering grow with the fleet.
const UNSCALED_FLEET_SIZE: u64 = 16;

/// A member that receives trials only, because it is unreachable or accepts requests without answering them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectedMember {
    /// When the member was ejected.
    pub since: Time,
    /// The member is unreachable, so a probe that succeeds is a sufficient trial.
    pub unreachable: bool,
    /// The cause of the ejection suggests a restart: a connection failed at once because no process was listening, or
    /// the whole zone was unresponsive. A single member behind a network partition does not count as restarted; if it
    /// was restarted, the list shows the restart.
    pub restarted: bool,
    /// One request may be sent to the member as a trial.
    pub trial_ready: bool,
    /// When the next trial is due.
    pub trial_at: Time,
    backoff: Micros,
    fleet_size: u64,
}

impl EjectedMember {
    /// A member that was ejected at `now` by one of `fleet_size` routers.
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

    /// Records the first or a further failure. `unreachable` and `restarted` each stay set once passed as true.
    ///
    /// After a first failure of a reachable member a trial is due at once, since only one answer may have been lost.
    /// Otherwise the next trial follows after the backoff. The backoff of an unreachable member is multiplied by
    /// `jitter` (0.5 to 1.5), since hundreds of routers lose it at the same time.
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

    /// Records that a request was sent as a trial. The next trial is due after the backoff, which then doubles.
    pub fn trial_sent(&mut self, now: Time) {
        self.trial_ready = false;
        self.trial_at = now + self.backoff;
        self.backoff = Micros(self.backoff.0 * 2).min(self.scaled(LONGEST_GAP));
    }

    /// Returns whether a trial is due, and if so schedules the next one. Where `probes` are not allowed, a request may
    /// be sent as the trial at once.
    pub fn take_due_trial(&mut self, now: Time, probes: bool) -> bool {
        let is_due = now >= self.trial_at && !self.trial_ready;
        if is_due {
            self.trial_at = now + self.backoff;
            self.trial_ready = !probes;
        }
        is_due
    }

    /// The gap for one router that limits the rate of trials from the whole fleet; unchanged for an unreachable member.
    fn scaled(&self, gap: Micros) -> Micros {
        if self.unreachable {
            return gap;
        }
        gap.max(Micros(gap.0.saturating_mul(self.fleet_size) / UNSCALED_FLEET_SIZE))
    }
}
