//! The calls after a watch fell silent: before the drains bind that it may have missed.

use crate::fixtures::*;
use linenhill_decisions::poll_schedule::PollSchedule;

/// Guards against drains that go unnoticed: what a silent watch misses counts as notified 6 s after it fell
/// silent, and a drain's grace runs from there. Silence is noticed after 3 s; each call takes a second; the
/// first calls may fail, or their watches be silent, too. A fleet that lost all its watches at once must not
/// call in one wave either.
#[test]
fn poll_after_a_silent_watch_precedes_the_drain() {
    for (fleet, grace) in [(2, 250), (2, 2_000), (12, 250), (12, 2_000), (300, 250), (300, 2_000)] {
        let grace = grace * MS;
        let drain_binds = 6_000 * MS + grace;
        let mut rng = fastrand::Rng::with_seed(11);
        let first_calls: Vec<u64> = (0..fleet)
            .map(|index| {
                let schedule = PollSchedule::new(Some(index), fleet, WITHIN, Some(0));
                poll_after_silence(schedule.with_drain_grace(grace), drain_binds, &mut rng)
            })
            .collect();
        let within_100_ms = |from: u64| from..from + 100 * MS;
        let wave = |from: u64| first_calls.iter().filter(|at| within_100_ms(from).contains(at)).count();
        let most = (NOTICED..drain_binds).step_by(50 * MS as usize).map(wave).max().expect("a wave");
        assert!(fleet < 300 || most < 40, "{fleet}, {grace}: {most} calls within 100 ms");
    }
}

/// Plays one proxy whose first watch falls silent at once; returns when it calls for the first time after
/// that.
fn poll_after_silence(mut schedule: PollSchedule, drain_binds: u64, rng: &mut fastrand::Rng) -> u64 {
    assert!(schedule.take_due(0));
    schedule.succeeded();
    schedule.failed(NOTICED, rng.f64(), Some(NOTICED));
    let first = next_due(&mut schedule, NOTICED);
    assert!(first + 1_000 * MS <= drain_binds + MS, "{drain_binds}: called after {first} us");
    // A call that fails at once is followed by others, the sooner the less time is left.
    let mut now = first;
    let mut later_calls = 0;
    while now + 1_050 * MS < drain_binds {
        schedule.failed(now, rng.f64(), None);
        now = next_due(&mut schedule, now);
        later_calls += u32::from(now + 1_000 * MS <= drain_binds + MS);
    }
    let is_late = first + 1_200 * MS >= drain_binds;
    assert!(is_late || later_calls > 0, "{drain_binds}: nothing after {first} us");
    // After a success it has the gaps of before; what the next silent watch misses counts from that silence.
    schedule.succeeded();
    schedule.failed(60_000 * MS, 0.0, None);
    assert!(next_due(&mut schedule, 60_000 * MS) >= 60_000 * MS + 125 * MS);
    first
}

/// Guards against a second silent watch that moves the deadline of the first; and against odd figures: a
/// silence as long as the clock, or one that ended long ago.
#[test]
fn second_silent_watch_moves_no_deadline() {
    let mut schedule = PollSchedule::new(None, 300, WITHIN, Some(0)).with_drain_grace(250 * MS);
    schedule.failed(3_000 * MS, 1.0, Some(3_000 * MS));
    assert!(
        !schedule.take_due(5_099 * MS) && schedule.take_due(5_101 * MS),
        "its window ends before 6.25 s less the call's second"
    );
    schedule.failed(5_000 * MS, 1.0, Some(1_000 * MS));
    assert!(!schedule.take_due(5_249 * MS) && schedule.take_due(5_251 * MS), "the first silence counts");
    schedule.failed(20_000 * MS, 1.0, None);
    assert!(
        !schedule.take_due(22_099 * MS) && schedule.take_due(22_100 * MS),
        "a deadline that has passed no longer counts"
    );
    for (now, silent_for, grace) in [(0, u64::MAX, 0), (u64::MAX / 2, u64::MAX, u64::MAX), (5, 0, u64::MAX)] {
        let mut schedule = PollSchedule::new(None, u32::MAX, WITHIN, Some(0)).with_drain_grace(grace);
        schedule.failed(now, 1.0, Some(silent_for));
        schedule.failed(now, 0.0, None);
        assert!(schedule.take_due(now + WITHIN));
    }
}
