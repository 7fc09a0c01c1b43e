//! The clock that leases go by: it never stands still, not even while the machine sleeps, and no one sets it.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Microseconds since the machine started, sleep included.
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let whole = u64::try_from(time.tv_sec).unwrap_or(0).saturating_mul(1_000_000);
    rate::shown(whole.saturating_add(u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000))
}

/// From now to that moment.
pub fn until(at: u64) -> Duration {
    Duration::from_micros(rate::real(at.saturating_sub(now())))
}

/// A clock that runs too fast or too slow, for tests of the bound on drift: `LINENHILL_CLOCK_PPM` is its rate, in
/// millionths of the true one.
#[cfg(feature = "fault-injection")]
mod rate {
    use std::sync::OnceLock;

    const TRUE: u64 = 1_000_000;

    fn rate() -> u64 {
        static RATE: OnceLock<u64> = OnceLock::new();
        let named = || std::env::var("LINENHILL_CLOCK_PPM").ok()?.parse().ok().filter(|r| *r > 0);
        *RATE.get_or_init(|| named().unwrap_or(TRUE))
    }

    pub(super) fn shown(real: u64) -> u64 {
        (u128::from(real) * u128::from(rate()) / u128::from(TRUE)) as u64
    }

    pub(super) fn real(span: u64) -> u64 {
        (u128::from(span) * u128::from(TRUE)).div_ceil(u128::from(rate())) as u64
    }
}

#[cfg(not(feature = "fault-injection"))]
mod rate {
    pub(super) const fn shown(real: u64) -> u64 {
        real
    }

    pub(super) const fn real(span: u64) -> u64 {
        span
    }
}
