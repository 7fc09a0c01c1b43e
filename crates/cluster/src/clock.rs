//! The clock that leases go by: it never stands still, not even while the machine sleeps, and no one sets it.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Microseconds since the machine started, sleep included.
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let whole = u64::try_from(time.tv_sec).unwrap_or(0).saturating_mul(1_000_000);
    whole.saturating_add(u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000)
}

/// From now to that moment.
pub fn until(at: u64) -> Duration {
    Duration::from_micros(at.saturating_sub(now()))
}
