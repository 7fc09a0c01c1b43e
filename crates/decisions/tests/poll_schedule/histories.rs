//! Random orders of calls that bring a list, fail, or fall silent.

use crate::fixtures::*;
use linenhill_decisions::poll_schedule::PollSchedule;

/// Guards against a second call
/// beside one that is out, against one that is never made, and against one that comes after a drain binds
/// that the silent watch missed.
#[test]
fn any_order_keeps_one_poll_out_and_the_deadlines() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fleet = *rng.choice(&[1, 12, 300]).expect("one");
        let grace = rng.u64(..2_000) * MS;
        let mut schedule = PollSchedule::new(None, fleet, WITHIN, Some(0)).with_drain_grace(grace);
        let mut now = 0;
        let mut is_out = false;
        let mut opened_at = 0;
        let mut due_by = 0;
        // When the drains bind that silent watches have missed.
        let mut missed = Vec::new();
        for _ in 0..80 {
            if rng.bool() {
                now += rng.u64(..1_500) * MS;
            }
            let due = schedule.take_due(now);
            assert!(!due || !is_out, "{seed}: a call beside one that is out");
            assert!(due || is_out || now <= due_by, "{seed}: none by {due_by}, it is {now}");
            opened_at = if due { now } else { opened_at };
            is_out |= due;
            assert!(!schedule.take_due(now), "{seed}: due twice");
            if !is_out {
                continue;
            }
            match rng.u32(..4) {
                0 => {
                    schedule.succeeded();
                    missed.clear();
                }
                1 => {}
                failure => {
                    // No watch is silent for longer than it is open, and silence is noticed after 3 s.
                    let open_for = (now - opened_at).min(3_000 * MS);
                    let silent_for = (failure == 3).then(|| rng.u64(..=open_for));
                    schedule.failed(now, rng.f64(), silent_for);
                    let binds = silent_for.map(|length| now.saturating_sub(length) + 6_000 * MS + grace);
                    // Every silence since a success counts, until its drain binds.
                    missed.extend(binds);
                    missed.retain(|binds| *binds > now + 1_050 * MS);
                    let first = missed.iter().min().map_or(u64::MAX, |binds| binds - 1_000 * MS);
                    due_by = first.min(now + WITHIN / 5 * 4);
                    is_out = false;
                }
            }
        }
    }
}
