//! A hundred proxies and one discovery service that takes calls in turn: when they ask, and how soon all know.

use linenhill_decisions::asking::Asking;
use std::collections::VecDeque;

const MS: u64 = 1_000;
const FLEET: u32 = 100;
const WITHIN: u64 = 10_000 * MS;

/// A service that needs `turn` for each call and turns away what would wait longer than `patience`; what it turns
/// away costs it a turn all the same.
struct Service {
    turn: u64,
    patience: u64,
    queue: VecDeque<(u64, usize, bool)>,
    free_at: u64,
}

impl Service {
    fn call(&mut self, now: u64, who: usize) {
        let begins = self.free_at.max(now);
        let served = begins <= now + self.patience;
        self.free_at = begins + self.turn;
        // What is turned away hears it at once.
        self.queue.push_back((if served { self.free_at } else { now }, who, served));
    }
}

/// Plays `seconds` with these proxies starting at once, each with a saved list: when each was told, and its calls.
fn play(starters: &[u32], turn: u64, patience: u64, seconds: u64) -> (Vec<Option<u64>>, usize, Vec<usize>) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet: Vec<Asking> = starters.iter().map(|me| Asking::new(*me, FLEET, WITHIN, Some(0))).collect();
    for asking in &mut fleet {
        asking.known(0, rng.f64());
    }
    let mut service = Service { turn, patience, queue: VecDeque::new(), free_at: 0 };
    let (mut told, mut calls) = (vec![None; fleet.len()], 0);
    let mut by_second = vec![0; seconds as usize];
    for now in (0..seconds * 1_000).map(|ms| ms * MS) {
        for (who, asking) in fleet.iter_mut().enumerate() {
            if asking.due(now) {
                (calls, by_second[(now / 1_000 / MS) as usize]) =
                    (calls + 1, by_second[(now / 1_000 / MS) as usize] + 1);
                service.call(now, who);
            }
        }
        let (done, waiting): (Vec<_>, Vec<_>) = service.queue.drain(..).partition(|c| c.0 <= now);
        service.queue = waiting.into();
        for (_, who, served) in done {
            if served {
                told[who] = Some(now);
                fleet[who].told();
            } else {
                fleet[who].failed(now, rng.f64());
            }
        }
    }
    (told, calls, by_second)
}

// Guards against the queue of dead calls: with a call from everybody at once, a service of 20 calls a second that
// turns away what waits over a second was never heard of again by two thirds of the fleet.
#[test]
fn a_fleet_that_starts_together_is_told_in_a_few_seconds_with_hardly_a_call_too_many() {
    let everybody: Vec<u32> = (0..FLEET).collect();
    let (told, calls, by_second) = play(&everybody, 50 * MS, 1_000 * MS, 20);
    assert!(told.iter().all(Option::is_some), "all know");
    let last = told.iter().flatten().max().expect("somebody");
    assert!(*last <= 12_000 * MS, "the last one after {last} us");
    assert!(calls <= FLEET as usize * 3 / 2, "{calls} calls");
    assert!(by_second.iter().all(|n| *n <= 30), "{by_second:?}");
}

// A release that kills most of them: those left hold their watch and don't call, and the others are spread.
#[test]
fn a_part_of_the_fleet_that_comes_back_is_told_without_a_call_turned_away() {
    let most: Vec<u32> = (0..FLEET).filter(|me| me % 10 < 7).collect();
    let (told, calls, _) = play(&most, 50 * MS, 1_000 * MS, 10);
    let last = told.iter().flatten().max().expect("somebody");
    assert!(told.iter().all(Option::is_some) && *last <= 5_500 * MS, "{last}");
    assert_eq!(calls, most.len());
}

// Guards against a fleet that never lets a service recover: all are turned away at first, and the gaps must
// outgrow what the dead calls cost.
#[test]
fn gaps_after_failures_are_spread_and_stay_well_within_the_rule_on_asking() {
    for fleet in [1, 3, FLEET] {
        let mut gaps = Vec::new();
        let mut rng = fastrand::Rng::with_seed(3);
        for me in 0..fleet {
            let mut asking = Asking::new(me, fleet, WITHIN, Some(0));
            assert!(asking.due(0), "without a list the first call is due at once");
            let mut now = 0;
            for _ in 0..6 {
                asking.failed(now, rng.f64());
                let from = now;
                while !asking.due(now) {
                    now += MS;
                }
                gaps.push(now - from);
            }
        }
        let (least, most) = (gaps.iter().min().expect("some"), gaps.iter().max().expect("some"));
        assert!(*most <= WITHIN / 5 * 4 + MS, "{most}");
        assert!(*least >= if fleet == FLEET { 2_000 * MS } else { 125 * MS }, "{least}");
        let rate = 1e6 * f64::from(fleet) / (gaps.iter().sum::<u64>() as f64 / gaps.len() as f64);
        assert!(rate <= 20.0, "{fleet} proxies call {rate} times a second");
    }
}

// Where lists come unasked nothing is ever due, and odd figures end in no panic.
#[test]
fn odd_figures_do_no_harm() {
    let mut pushed = Asking::new(0, 1, WITHIN, None);
    pushed.known(0, 0.5);
    assert!(!pushed.due(u64::MAX));
    for (me, fleet, within) in [(0, 0, 0), (u32::MAX, 1, 1), (7, 3, u64::MAX), (u32::MAX, u32::MAX, u64::MAX)]
    {
        let mut asking = Asking::new(me, fleet, within, Some(0));
        asking.known(0, 1.0);
        asking.failed(1, 1.0);
        asking.told();
        asking.due(u64::MAX / 2);
    }
}
