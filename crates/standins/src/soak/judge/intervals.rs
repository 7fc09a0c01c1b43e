//! Times in which something was so, such as an outage of discovery or a suspension of a proxy.

use std::time::Duration;
use tokio::time::Instant;

/// Intervals in the order of their time. The last one may be open: it still lasts.
#[derive(Clone, Default)]
pub(super) struct Intervals(Vec<Interval>);

#[derive(Clone, Copy)]
struct Interval {
    begin: Instant,
    /// `None` while it lasts.
    end: Option<Instant>,
}

impl Intervals {
    /// Opens an interval, or closes the open one, unless that is so already.
    pub(super) fn set_open(&mut self, is_open: bool) {
        let now = Instant::now();
        let open = self.0.last_mut().filter(|interval| interval.end.is_none());
        match (open, is_open) {
            (None, true) => self.0.push(Interval { begin: now, end: None }),
            (Some(interval), false) => interval.end = Some(now),
            (Some(_), true) | (None, false) => {}
        }
    }

    /// How much of the time between two moments the intervals cover.
    pub(super) fn covered(&self, from: Instant, to: Instant) -> Duration {
        let overlap = |interval: &Interval| {
            let end = interval.end.unwrap_or(to).min(to);
            end.saturating_duration_since(interval.begin.max(from))
        };
        self.0.iter().map(overlap).sum()
    }

    /// The moment at which `length` outside the intervals has passed since `from`. An open interval lasts until `now`.
    pub(super) fn moment_after(&self, from: Instant, length: Duration, now: Instant) -> Instant {
        let mut moment = from + length;
        for interval in &self.0 {
            if interval.begin >= moment {
                break;
            }
            let end = interval.end.unwrap_or(now);
            moment += end.saturating_duration_since(interval.begin.max(from));
        }
        moment
    }
}
