//! Clocks of simulated processes: each has an offset and a rate of its own. A process must see nothing but its own clock;
//! real time belongs to the simulation.

/// The rate of a clock that runs true.
const TRUE_RATE_PPM: u64 = 1_000_000;
/// The largest offset of a clock: hours, so that no two clocks can be compared by accident.
const MAX_OFFSET_US: u64 = 10_000_000_000;

/// The clock of one process. Times and durations are in microseconds.
pub(super) struct Clock {
    offset_us: u64,
    /// Millionths of the true rate.
    rate_ppm: u64,
}

impl Clock {
    /// Draws a clock that drifts by at most `drift_ppm` millionths. Two of three lie at an edge of that range, where a
    /// safety margin that is too small shows.
    pub(super) fn draw(rng: &mut fastrand::Rng, drift_ppm: u64) -> Clock {
        let slowest = TRUE_RATE_PPM - drift_ppm;
        let fastest = TRUE_RATE_PPM + drift_ppm;
        let rate_ppm = match rng.u8(0..3) {
            0 => slowest,
            1 => fastest,
            _ => rng.u64(slowest..=fastest),
        };
        Clock { offset_us: rng.u64(0..MAX_OFFSET_US), rate_ppm }
    }

    /// What the clock shows at this real time.
    pub(super) fn reading(&self, real_us: u64) -> u64 {
        let elapsed = u128::from(real_us) * u128::from(self.rate_ppm) / u128::from(TRUE_RATE_PPM);
        self.offset_us + elapsed as u64
    }

    /// The real time in which the clock advances by `duration_us`, rounded up.
    pub(super) fn real_duration(&self, duration_us: u64) -> u64 {
        let scaled = u128::from(duration_us) * u128::from(TRUE_RATE_PPM);
        scaled.div_ceil(u128::from(self.rate_ppm)) as u64
    }
}
