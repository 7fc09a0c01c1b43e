//! Tests of the gaps between calls after failures.

use crate::fixtures::*;
use linenhill_decisions::poll_schedule::PollSchedule;

/// Guards against a fleet whose calls keep a service overloaded, and against one that is notified too late once the
/// service has recovered. While all calls are rejected, the gaps grow until the fleet calls no faster than services
/// were seen to serve it. Yet each gap ends in time for a drain announced at the moment of recovery, also after a call
/// that timed out after 3 s. Extreme values cause no panic.
#[test]
fn backoff_is_spread_and_ends_in_time() {
    // The calls a second that services were seen to serve for fleets of this size.
    for (fleet, max_rate) in
        [(1, 20.0), (3, 20.0), (FLEET_SIZE, 38.0), (300, 120.0), (u32::MAX, f64::INFINITY)]
    {
        let mut gaps = Vec::new();
        let mut rng = fastrand::Rng::with_seed(3);
        for index in (0..fleet.min(300)).chain([u32::MAX]) {
            let mut schedule = schedule_of(Some(index), fleet);
            schedule.list_loaded(0, 1.0, 0);
            assert!(schedule.take_due(0), "without a list the first call is due at once");
            let mut now = 0;
            for _ in 0..6 {
                schedule.failed(now, rng.f64(), None);
                let next = next_due(&mut schedule, now);
                gaps.push(next - now);
                now = next;
            }
        }
        let drain_effective_at = 6_000 * MS + DRAIN_GRACE;
        assert!(gaps.iter().all(|gap| 3_000 * MS + gap + 1_000 * MS < drain_effective_at), "{gaps:?}");
        let mean_gap = gaps.iter().sum::<u64>() as f64 / gaps.len() as f64;
        let rate = 1e6 * f64::from(fleet.min(300)) / mean_gap;
        assert!(rate <= max_rate, "{fleet} proxies call {rate} times a second");
    }
    let mut pushed = PollSchedule::new(None, 0, 0, None);
    pushed.list_loaded(0, 0.5, 60);
    assert!(!pushed.take_due(u64::MAX), "pushed lists are never polled");
}
