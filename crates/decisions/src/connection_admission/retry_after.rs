//! Estimates the Retry-After time of a rejected client: slots are expected to become free at the observed rate, and
//! clients rejected earlier since the last slot became free are expected to take them first.

use crate::api::{Micros, Time};

/// Retry-After time before a rate was observed, that is, before two slots have become free.
const INITIAL: Micros = Micros(250_000);
/// Shortest Retry-After time; an earlier retry would most likely be rejected as well.
const SHORTEST: Micros = Micros(50_000);
/// Weight of the newest gap in the mean gap between freed slots.
const SMOOTHING: f64 = 0.125;

/// The rate at which slots become free, and the number of clients rejected since a slot last became free.
pub(super) struct RetryAfterEstimator {
    longest: Micros,
    /// The smoothed gap between freed slots, in microseconds.
    mean_gap: Option<f64>,
    last_freed: Option<Time>,
    rejected_since: u32,
}

impl RetryAfterEstimator {
    /// An estimator without observations. `longest` is the upper bound on the Retry-After time, raised to [`SHORTEST`]
    /// if it is below.
    pub(super) fn new(longest: Micros) -> RetryAfterEstimator {
        RetryAfterEstimator {
            longest: longest.max(SHORTEST),
            mean_gap: None,
            last_freed: None,
            rejected_since: 0,
        }
    }

    /// Records that a slot became free.
    pub(super) fn slot_freed(&mut self, now: Time) {
        if let Some(last_freed) = self.last_freed.replace(now) {
            let gap = now.0.saturating_sub(last_freed.0) as f64;
            self.mean_gap = Some(self.mean_gap.map_or(gap, |mean| mean + SMOOTHING * (gap - mean)));
        }
        self.rejected_since = 0;
    }

    /// Counts one more rejected client and returns its Retry-After time.
    pub(super) fn next(&mut self) -> Micros {
        self.rejected_since = self.rejected_since.saturating_add(1);
        let Some(mean_gap) = self.mean_gap else { return INITIAL.min(self.longest) };
        let expected = mean_gap * f64::from(self.rejected_since);
        Micros(expected as u64).clamp(SHORTEST, self.longest)
    }
}
