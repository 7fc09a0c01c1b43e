//! Intervals of time, such as outages of discovery or suspensions of a proxy.

use std::time::Duration;
use tokio::time::Instant;

/// Intervals in chronological order. The last one may still be open.
#[derive(Clone, Default)]
pub(super) struct Intervals(Vec<Interval>);

#[derive(Clone, Copy)]
struct Interval {
    begin: Instant,
    /// `None` while the interval is open.
    end: Option<Instant>,
}

impl Intervals {
    /// Opens a new interval or closes the open one. Has no effect if the state is already as requested.
    pub(super) fn set_open(&mut self, is_open: bool) {
        let now = Instant::now();
        let open = self.0.last_mut().filter(|interval| interval.end.is_none());
        match (open, is_open) {
            (None, true) => self.0.push(Interval { begin: now, end: None }),
            (Some(interval), false) => interval.end = Some(now),
            (Some(_), true) | (None, false) => {}
        }
    }

    /// Returns how much of the time between `from` and `to` the intervals cover.
    pub(super) fn covered(&self, from: Instant, to: Instant) -> Duration {
        let overlap = |interval: &Interval| {
            let end = interval.end.unwrap_or(to).min(to);
            end.saturating_duration_since(interval.begin.max(from))
        };
        self.0.iter().map(overlap).sum()
    }

    /// Returns the time at which `length` has elapsed since `from`, not counting the intervals. An open interval
    /// counts as lasting until `now`.
    pub(super) fn time_after_excluding(&self, from: Instant, length: Duration, now: Instant) -> Instant {
        let mut time = from + length;
        for interval in &self.0 {
            if interval.begin >= time {
                break;
            }
            let end = interval.end.unwrap_or(now);
            time += end.saturating_duration_since(interval.begin.max(from));
        }
        time
    }
}
