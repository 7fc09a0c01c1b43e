//! The clock for leases. It is monotonic and also advances while the machine is suspended.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Time since boot, including time suspended. Microseconds.
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    // The clock starts at 0 and is never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    rate::from_real(seconds.saturating_mul(MICROS_PER_SECOND).saturating_add(nanos / NANOS_PER_MICRO))
}

/// Real time until `at`, a time of this clock in microseconds; zero if `at` has passed.
pub fn duration_until(at: u64) -> Duration {
    Duration::from_micros(rate::to_real(at.saturating_sub(now())))
}

/// Scales the clock for tests of the bound on clock drift. The environment variable `LINENHILL_CLOCK_PPM` sets the
/// rate, in millionths of the true rate. The clock keeps the true rate if the variable is unset, zero or not a number.
#[cfg(feature = "fault-injection")]
mod rate {
    use std::sync::OnceLock;

    const TRUE_RATE: u64 = 1_000_000;

    fn rate() -> u64 {
        static RATE: OnceLock<u64> = OnceLock::new();
        let configured = || std::env::var("LINENHILL_CLOCK_PPM").ok()?.parse().ok().filter(|rate| *rate > 0);
        *RATE.get_or_init(|| configured().unwrap_or(TRUE_RATE))
    }

    /// Time on the scaled clock after a real time.
    pub(super) fn from_real(real: u64) -> u64 {
        let scaled = u128::from(real) * u128::from(rate()) / u128::from(TRUE_RATE);
        u64::try_from(scaled).unwrap_or(u64::MAX)
    }

    /// Real duration in which the scaled clock advances by `scaled`, rounded up.
    pub(super) fn to_real(scaled: u64) -> u64 {
        let real = (u128::from(scaled) * u128::from(TRUE_RATE)).div_ceil(u128::from(rate()));
        u64::try_from(real).unwrap_or(u64::MAX)
    }
}

/// Without fault injection the clock runs at the true rate.
#[cfg(not(feature = "fault-injection"))]
mod rate {
    pub(super) const fn from_real(real: u64) -> u64 {
        real
    }

    pub(super) const fn to_real(scaled: u64) -> u64 {
        scaled
    }
}
