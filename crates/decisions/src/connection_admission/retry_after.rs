//! After which time a rejected client finds a free slot: slots are taken to come free at the rate seen, and
//! clients that were rejected before come before.

use crate::api::{Micros, Time};

/// The time that is named before any slot has come free.
const INITIAL: Micros = Micros(250_000);
/// The shortest time that is named: less would be the same attempt once more.
const SHORTEST: Micros = Micros(50_000);
/// The weight of the newest gap between slots that come free.
const SMOOTHING: f64 = 0.125;

/// The rate at which slots come free, and the clients that wait for them.
pub(super) struct RetryAfterEstimator {
    longest: Micros,
    /// The smoothed gap between slots that come free, in microseconds.
    mean_gap: Option<f64>,
    last_freed: Option<Time>,
    rejected_since: u32,
}

impl RetryAfterEstimator {
    /// No slot has come free yet; `longest` bounds the time that is named, unless it is below the shortest.
    pub(super) fn new(longest: Micros) -> RetryAfterEstimator {
        RetryAfterEstimator {
            longest: longest.max(SHORTEST),
            mean_gap: None,
            last_freed: None,
            rejected_since: 0,
        }
    }

    /// A slot came free.
    pub(super) fn slot_freed(&mut self, now: Time) {
        if let Some(last_freed) = self.last_freed.replace(now) {
            let gap = now.0.saturating_sub(last_freed.0) as f64;
            self.mean_gap = Some(self.mean_gap.map_or(gap, |mean| mean + SMOOTHING * (gap - mean)));
        }
        self.rejected_since = 0;
    }

    /// The time for one more client that is rejected.
    pub(super) fn next(&mut self) -> Micros {
        self.rejected_since = self.rejected_since.saturating_add(1);
        let Some(mean_gap) = self.mean_gap else { return INITIAL.min(self.longest) };
        let expected = mean_gap * f64::from(self.rejected_since);
        Micros(expected as u64).clamp(SHORTEST, self.longest)
    }
}
