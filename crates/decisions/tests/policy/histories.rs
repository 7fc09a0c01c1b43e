//! Random orders of events from fixed seeds: requests, ends of attempts, clients that leave, lists, health checks and
//! time cross in any way, and the rules hold at each action.

use crate::history_model::{ActionCounts, HistoryModel};

const HISTORIES: u64 = 600;
const STEPS: usize = 250;

/// Plays the history of this seed to its end.
fn play(seed: u64) -> ActionCounts {
    let mut model = HistoryModel::new(seed);
    for _ in 0..STEPS {
        match model.rng.u32(..16) {
            0..5 => model.send_request(),
            5..10 => model.end_any_attempt(),
            10 => model.disconnect_client(),
            11 => model.update_members(),
            12 => model.end_health_check(),
            _ => {
                let ms = *model.rng.choice(&[0, 1, 3, 10, 30, 120]).expect("one");
                model.advance(ms);
            }
        }
    }
    model.advance(3_000);
    assert!(model.requests.values().all(|request| request.is_over), "a request without an end");
    model.counts
}

/// Guards against every rule on attempts and answers that an order of events could break: a second final answer or none,
/// a retry that the idempotency, the window or the limits forbid, two attempts in flight, an attempt for a client that has
/// left or at a member that was announced as leaving, a cancel or a health check that is not allowed.
#[test]
fn any_order_of_events_keeps_the_rules() {
    let mut total = ActionCounts::default();
    for seed in 0..HISTORIES {
        let Ok(counts) = std::panic::catch_unwind(|| play(seed)) else { panic!("history {seed}") };
        total.add(counts);
    }
    assert!(total.smallest() > 1_000, "each kind of action was played: {total:?}");
}
