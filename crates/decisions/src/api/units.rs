//! Moments, durations and log positions: all count microseconds, and none may be taken for another.

use std::ops::{Add, AddAssign, Sub};

/// A moment on the caller's clock, in microseconds. Only its order and differences matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

/// How far the log of a group is applied: the commit time of the last entry, in microseconds on the clock of [`Time`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct LogPosition(pub u64);

impl Micros {
    /// A duration of so many milliseconds.
    pub const fn from_millis(milliseconds: u64) -> Micros {
        Micros(milliseconds * 1_000)
    }

    /// The number of microseconds, for estimates.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// The whole microseconds of an estimate; what is negative or no number counts as zero.
    pub const fn from_f64(microseconds: f64) -> Micros {
        Micros(microseconds as u64)
    }

    /// What is left of this duration after another; zero if that is longer.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

impl Time {
    /// The time from `earlier` to this moment; zero if that is later.
    pub const fn saturating_since(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment so long before this one; the clock's zero if it has no such moment.
    pub const fn saturating_sub(self, duration: Micros) -> Time {
        Time(self.0.saturating_sub(duration.0))
    }

    /// The log position at which everything committed before this moment is applied.
    pub const fn as_log_position(self) -> LogPosition {
        LogPosition(self.0)
    }
}

impl LogPosition {
    /// The position so long before this one; the start of the log if there is none.
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

    /// The time from an earlier moment, which must not be later.
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
