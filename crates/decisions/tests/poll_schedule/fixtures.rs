//! Sizes and times of the fleet, and the schedules of its proxies.

use linenhill_decisions::poll_schedule::PollSchedule;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;
/// The number of proxies in a large fleet.
pub const FLEET_SIZE: u32 = 100;
/// A proxy that has not polled for this long counts as notified. Microseconds.
pub const POLL_WITHIN: u64 = 10_000 * MS;
/// The grace of a drain at a site where one service answers all proxies. Microseconds.
pub const DRAIN_GRACE: u64 = 2_000 * MS;
/// When a watch that is silent from the start is detected. Microseconds.
pub const SILENCE_DETECTED_AT: u64 = 3_000 * MS;

/// The schedule of the proxy with this index, in a fleet of this size.
pub fn schedule_of(index: Option<u32>, fleet: u32) -> PollSchedule {
    PollSchedule::new(index, fleet, POLL_WITHIN, Some(0)).with_drain_grace(DRAIN_GRACE)
}

/// When the next poll is due, checked every millisecond from `from` on. Microseconds.
pub fn next_due(schedule: &mut PollSchedule, from: u64) -> u64 {
    (from..).step_by(MS as usize).find(|at| schedule.take_due(*at)).expect("a poll is due")
}
