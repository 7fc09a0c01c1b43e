//! One clock for all decisions: Unix time in microseconds, read once at the start and advanced by the monotonic clock, so
//! that it never goes back. It must not be read by the decisions themselves: their time comes in with each event.

use crate::api::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock of one process. Copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at `started`, in microseconds.
    unix_us: u64,
}

impl Clock {
    /// A clock that starts at the system's time.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_us: micros(unix_time) }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// The time at `instant`; one before the start counts as the start.
    pub fn time(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.started);
        Time(self.unix_us + micros(elapsed))
    }

    /// The instant at which it is `time`; one before the start counts as the start.
    pub fn instant(&self, time: Time) -> Instant {
        self.started + Duration::from_micros(time.0.saturating_sub(self.unix_us))
    }
}

/// Microseconds of a duration, which no process outlives in 64 bits.
fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}
