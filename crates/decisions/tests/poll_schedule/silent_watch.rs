//! Tests of the calls after a watch fell silent, which must precede the drains that the watch may have missed.

use crate::fixtures::*;
use linenhill_decisions::poll_schedule::PollSchedule;

/// Guards against drains that a proxy misses: what a silent watch misses counts as notified 6 s after the watch fell
/// silent, and the grace of a drain starts then. Silence is detected after 3 s, and each call takes a second; the first
/// calls may fail too. Also guards against a wave of calls when all watches of a fleet fall silent at once.
#[test]
fn poll_after_a_silent_watch_precedes_the_drain() {
    for (fleet, grace) in [(2, 250), (2, 2_000), (12, 250), (12, 2_000), (300, 250), (300, 2_000)] {
        let grace = grace * MS;
        let drain_effective_at = 6_000 * MS + grace;
        let mut rng = fastrand::Rng::with_seed(11);
        let first_calls: Vec<u64> = (0..fleet)
            .map(|index| {
                let schedule = PollSchedule::new(Some(index), fleet, POLL_WITHIN, Some(0));
                poll_after_silence(schedule.with_drain_grace(grace), drain_effective_at, &mut rng)
            })
            .collect();
        let within_100_ms = |from: u64| from..from + 100 * MS;
        let wave = |from: u64| first_calls.iter().filter(|at| within_100_ms(from).contains(at)).count();
        let most = (SILENCE_DETECTED_AT..drain_effective_at)
            .step_by(50 * MS as usize)
            .map(wave)
            .max()
            .expect("a wave");
        assert!(fleet < 300 || most < 40, "{fleet} proxies, grace {grace} us: {most} calls within 100 ms");
    }
}

/// Simulates a proxy whose first watch is silent from the start. Returns the time of its first call after that.
fn poll_after_silence(mut schedule: PollSchedule, drain_effective_at: u64, rng: &mut fastrand::Rng) -> u64 {
    assert!(schedule.take_due(0));
    schedule.succeeded();
    schedule.failed(SILENCE_DETECTED_AT, rng.f64(), Some(SILENCE_DETECTED_AT));
    let first = next_due(&mut schedule, SILENCE_DETECTED_AT);
    assert!(
        first + 1_000 * MS <= drain_effective_at + MS,
        "drain effective at {drain_effective_at} us: first call at {first} us"
    );
    // A call that fails at once is followed by others, sooner as less time is left.
    let mut now = first;
    let mut later_calls = 0;
    while now + 1_050 * MS < drain_effective_at {
        schedule.failed(now, rng.f64(), None);
        now = next_due(&mut schedule, now);
        later_calls += u32::from(now + 1_000 * MS <= drain_effective_at + MS);
    }
    let is_late = first + 1_200 * MS >= drain_effective_at;
    assert!(
        is_late || later_calls > 0,
        "drain effective at {drain_effective_at} us: no further call in time after {first} us"
    );
    // A success resets the gaps and removes the deadline.
    schedule.succeeded();
    schedule.failed(60_000 * MS, 0.0, None);
    assert!(next_due(&mut schedule, 60_000 * MS) >= 60_000 * MS + 125 * MS);
    first
}

/// Guards against a second silent watch that moves the deadline of the first, and against a panic or a missing call at
/// extreme silences, graces and times.
#[test]
fn second_silent_watch_moves_no_deadline() {
    let mut schedule = PollSchedule::new(None, 300, POLL_WITHIN, Some(0)).with_drain_grace(250 * MS);
    schedule.failed(3_000 * MS, 1.0, Some(3_000 * MS));
    assert!(
        !schedule.take_due(5_099 * MS) && schedule.take_due(5_101 * MS),
        "its window of 2.1 s ends before the deadline, which is 6.25 s less the call's second"
    );
    schedule.failed(5_000 * MS, 1.0, Some(1_000 * MS));
    assert!(
        !schedule.take_due(5_249 * MS) && schedule.take_due(5_251 * MS),
        "the deadline of the first silent watch counts"
    );
    schedule.failed(20_000 * MS, 1.0, None);
    assert!(
        !schedule.take_due(22_099 * MS) && schedule.take_due(22_100 * MS),
        "a deadline that has passed does not count"
    );
    for (now, silent_for, grace) in [(0, u64::MAX, 0), (u64::MAX / 2, u64::MAX, u64::MAX), (5, 0, u64::MAX)] {
        let mut schedule = PollSchedule::new(None, u32::MAX, POLL_WITHIN, Some(0)).with_drain_grace(grace);
        schedule.failed(now, 1.0, Some(silent_for));
        schedule.failed(now, 0.0, None);
        assert!(schedule.take_due(now + POLL_WITHIN));
    }
}
