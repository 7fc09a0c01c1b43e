//! Times, durations and log positions. All are counted in microseconds; distinct types keep them from being confused.

use std::ops::{Add, AddAssign, Sub};

/// A time on the caller's clock, in microseconds. Only order and differences are significant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

/// How far a group's log is applied: the commit time of the last applied entry, in microseconds on the clock of
/// [`Time`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct LogPosition(pub u64);

impl Micros {
    /// A duration in milliseconds.
    pub const fn from_millis(milliseconds: u64) -> Micros {
        Micros(milliseconds * 1_000)
    }

    /// Microseconds as a floating-point number, for estimates.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// Converts an estimate in microseconds, rounding towards zero; negative values and NaN become zero.
    pub const fn from_f64(microseconds: f64) -> Micros {
        Micros(microseconds as u64)
    }

    /// This duration minus another; zero if the other is longer.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

impl Time {
    /// The time elapsed since `earlier`; zero if that is later.
    pub const fn saturating_since(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// This time minus a duration; zero if the duration is longer.
    pub const fn saturating_sub(self, duration: Micros) -> Time {
        Time(self.0.saturating_sub(duration.0))
    }

    /// The position at which everything committed before this time is applied.
    pub const fn as_log_position(self) -> LogPosition {
        LogPosition(self.0)
    }
}

impl LogPosition {
    /// This position minus a duration; zero if the duration is longer.
    pub const fn saturating_sub(self, duration: Micros) -> LogPosition {
        LogPosition(self.0.saturating_sub(duration.0))
    }

    /// The time when the last applied entry was committed.
    pub const fn as_time(self) -> Time {
        Time(self.0)
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        Micros(self.0 + other.0)
    }
}

impl Add<Micros> for Time {
    type Output = Time;

    fn add(self, duration: Micros) -> Time {
        Time(self.0 + duration.0)
    }
}

impl AddAssign<Micros> for Time {
    fn add_assign(&mut self, duration: Micros) {
        self.0 += duration.0;
    }
}

impl Sub for Time {
    type Output = Micros;

    /// The time elapsed since an earlier time, which must not be later than this one.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0 - earlier.0)
    }
}

impl Add<Micros> for LogPosition {
    type Output = LogPosition;

    fn add(self, duration: Micros) -> LogPosition {
        LogPosition(self.0 + duration.0)
    }
}
