//! The clock of all decisions: Unix time in microseconds, read once at the start and advanced by the monotonic clock,
//! so that it never goes backwards. The decisions must not read it: each event carries its time.

use crate::api::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock of one process. All copies of one clock return the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at `started`, in microseconds.
    unix_us: u64,
}

impl Clock {
    /// Starts a clock at the current system time; at 0 if the system time is before the Unix epoch.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_us: micros(unix_time) }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// Converts an instant; one before the start is treated as the start.
    pub fn time(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.started);
        Time(self.unix_us + micros(elapsed))
    }

    /// Converts a time; one before the start is treated as the start.
    pub fn instant(&self, time: Time) -> Instant {
        self.started + Duration::from_micros(time.0.saturating_sub(self.unix_us))
    }
}

/// Converts a duration to microseconds; 64 bits hold more than 500,000 years.
fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}
