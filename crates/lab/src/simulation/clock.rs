//! Clocks of simulated processes, each with an offset and a rate of its own. A process must read only its own clock;
//! simulation time must not reach it.

/// Rate of a clock without drift, in millionths of simulation time.
const NOMINAL_RATE_PPM: u64 = 1_000_000;
/// Maximum offset of a clock. It is hours long, so that code that compares times of two processes by mistake fails.
const MAX_OFFSET_US: u64 = 10_000_000_000;

/// Clock of one process. Times and durations are in microseconds.
pub(super) struct Clock {
    offset_us: u64,
    /// Rate in millionths of simulation time.
    rate_ppm: u64,
}

impl Clock {
    /// Draws a clock that drifts by at most `drift_ppm` millionths. Two of three clocks drift by the maximum in
    /// either direction, where a safety margin that is too small fails.
    pub(super) fn draw(rng: &mut fastrand::Rng, drift_ppm: u64) -> Clock {
        let slowest = NOMINAL_RATE_PPM - drift_ppm;
        let fastest = NOMINAL_RATE_PPM + drift_ppm;
        let rate_ppm = match rng.u8(0..3) {
            0 => slowest,
            1 => fastest,
            _ => rng.u64(slowest..=fastest),
        };
        Clock { offset_us: rng.u64(0..MAX_OFFSET_US), rate_ppm }
    }

    /// Returns the clock's reading at this simulation time.
    pub(super) fn reading(&self, simulation_us: u64) -> u64 {
        let elapsed = u128::from(simulation_us) * u128::from(self.rate_ppm) / u128::from(NOMINAL_RATE_PPM);
        self.offset_us + elapsed as u64
    }

    /// Returns the simulation time in which the clock advances by `duration_us`, rounded up.
    pub(super) fn simulation_duration(&self, duration_us: u64) -> u64 {
        let scaled = u128::from(duration_us) * u128::from(NOMINAL_RATE_PPM);
        scaled.div_ceil(u128::from(self.rate_ppm)) as u64
    }
}
