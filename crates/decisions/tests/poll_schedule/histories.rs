//! Random sequences of calls that succeed, fail, or end because their watch fell silent.

use crate::fixtures::*;
use linenhill_decisions::poll_schedule::PollSchedule;

/// Guards against a second call while one is in progress, against a call that is never due, and against a call that is
/// due too late for a drain that a silent watch missed.
#[test]
fn any_order_keeps_one_poll_out_and_the_deadlines() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fleet = *rng.choice(&[1, 12, 300]).expect("choices are not empty");
        let grace = rng.u64(..2_000) * MS;
        let mut schedule = PollSchedule::new(None, fleet, POLL_WITHIN, Some(0)).with_drain_grace(grace);
        let mut now = 0;
        let mut is_in_progress = false;
        let mut opened_at = 0;
        let mut due_by = 0;
        // When the drains that silent watches missed become effective.
        let mut missed_drains = Vec::new();
        for _ in 0..80 {
            if rng.bool() {
                now += rng.u64(..1_500) * MS;
            }
            let due = schedule.take_due(now);
            assert!(!due || !is_in_progress, "seed {seed}: a second call while one is in progress");
            assert!(
                due || is_in_progress || now <= due_by,
                "seed {seed}: no call due by {due_by}, time is {now}"
            );
            opened_at = if due { now } else { opened_at };
            is_in_progress |= due;
            assert!(!schedule.take_due(now), "seed {seed}: the same call is due twice");
            if !is_in_progress {
                continue;
            }
            match rng.u32(..4) {
                0 => {
                    schedule.succeeded();
                    missed_drains.clear();
                }
                1 => {}
                failure => {
                    // A watch is silent for at most the time it is open, and silence is detected within 3 s.
                    let open_for = (now - opened_at).min(3_000 * MS);
                    let silent_for = (failure == 3).then(|| rng.u64(..=open_for));
                    schedule.failed(now, rng.f64(), silent_for);
                    let drain_effective_at =
                        silent_for.map(|length| now.saturating_sub(length) + 6_000 * MS + grace);
                    // Each silence since the last success counts until its drain is effective.
                    missed_drains.extend(drain_effective_at);
                    missed_drains.retain(|drain_effective_at| *drain_effective_at > now + 1_050 * MS);
                    let first = missed_drains
                        .iter()
                        .min()
                        .map_or(u64::MAX, |drain_effective_at| drain_effective_at - 1_000 * MS);
                    due_by = first.min(now + POLL_WITHIN / 5 * 4);
                    is_in_progress = false;
                }
            }
        }
    }
}
