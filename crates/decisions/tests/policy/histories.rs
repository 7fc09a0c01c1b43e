//! Random sequences of events from fixed seeds: requests, ends of attempts, disconnecting clients, lists, health checks
//! and timers in any order. The rules are checked at each action.

use crate::history_model::{ActionCounts, HistoryModel};

const HISTORIES: u64 = 600;
const STEPS: usize = 250;

/// Runs the history of this seed.
fn run_history(seed: u64) -> ActionCounts {
    let mut model = HistoryModel::new(seed);
    for _ in 0..STEPS {
        match model.rng.u32(..16) {
            0..5 => model.send_request(),
            5..10 => model.end_any_attempt(),
            10 => model.disconnect_client(),
            11 => model.update_members(),
            12 => model.end_health_check(),
            _ => {
                let ms = *model.rng.choice(&[0, 1, 3, 10, 30, 120]).expect("choices are not empty");
                model.advance(ms);
            }
        }
    }
    model.advance(3_000);
    assert!(model.requests.values().all(|request| request.is_over), "a request has no final answer");
    model.counts
}

/// Guards against sequences of events that break a rule on attempts and answers: no final answer or two, a retry that
/// the idempotency, the window or the limits forbid, two attempts in flight without hedging, an attempt for a client
/// that has disconnected or at a member announced as draining or gone, a cancel or a health check that is not allowed.
#[test]
fn any_order_of_events_keeps_the_rules() {
    let mut total = ActionCounts::default();
    for seed in 0..HISTORIES {
        let Ok(counts) = std::panic::catch_unwind(|| run_history(seed)) else {
            panic!("history of seed {seed} failed")
        };
        total.add(counts);
    }
    assert!(total.smallest() > 1_000, "each type of action must occur over 1,000 times: {total:?}");
}
