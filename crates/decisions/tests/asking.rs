//! A hundred proxies and one discovery service that takes calls in turn: when they ask, and how soon all know.

use linenhill_decisions::asking::Asking;

const MS: u64 = 1_000;
const FLEET: u32 = 100;
const WITHIN: u64 = 10_000 * MS;

/// Plays 20 s with these proxies starting at once, each with a saved list, before a service that needs 50 ms for a
/// call, turns away at once what would wait over a second, and spends its turn on that all the same: when the last
/// was told, and how many calls there were in all and in the busiest second.
fn play(starters: &[Option<u32>]) -> (u64, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet: Vec<Asking> = starters.iter().map(|me| Asking::new(*me, FLEET, WITHIN, Some(0))).collect();
    fleet.iter_mut().for_each(|asking| asking.known(0, rng.f64(), 60));
    let (mut told, mut by_second, mut free_at) = (vec![u64::MAX; fleet.len()], vec![0; 20], 0);
    for now in (0..20_000).map(|ms| ms * MS) {
        for (asking, told) in fleet.iter_mut().zip(&mut told) {
            if asking.due(now) {
                by_second[(now / 1_000 / MS) as usize] += 1;
                free_at = now.max(free_at) + 50 * MS;
                if free_at <= now + 1_050 * MS {
                    *told = (*told).min(free_at);
                    asking.told();
                } else {
                    asking.failed(now, rng.f64());
                }
            }
        }
    }
    let last = told.into_iter().max().expect("somebody");
    (last, by_second.iter().sum(), by_second.into_iter().max().expect("a second"))
}

// Guards against the queue of dead calls: with a call from everybody at once and gaps alike, two thirds of the fleet
// never had a list. After a release only most of them call; those left hold their watch.
#[test]
fn a_fleet_or_a_part_of_it_that_starts_together_is_told_soon_with_hardly_a_call_too_many() {
    for (part, named, calls_most, last_most) in
        [(10, true, 150, 12_000), (7, true, 70, 5_500), (10, false, 180, 12_000)]
    {
        let starters: Vec<Option<u32>> =
            (0..FLEET).filter(|me| me % 10 < part).map(|me| Some(me).filter(|_| named)).collect();
        let (last, calls, busiest) = play(&starters);
        assert!(last <= last_most * MS && calls <= calls_most && busiest <= 30, "{last} {calls} {busiest}");
    }
}

// Guards against a fleet that never lets a service recover: all are turned away, and the gaps must outgrow what the
// dead calls cost; yet whoever asks for nothing too long counts as told. Odd figures end in no panic.
#[test]
fn gaps_after_failures_are_spread_and_stay_well_within_the_rule_on_asking() {
    for fleet in [1, 3, FLEET, u32::MAX] {
        let (mut gaps, mut rng) = (Vec::new(), fastrand::Rng::with_seed(3));
        for me in (0..fleet.min(FLEET)).chain([u32::MAX]) {
            let mut asking = Asking::new(Some(me), fleet, WITHIN, Some(0));
            asking.known(0, 1.0, 0);
            assert!(asking.due(0), "without a list the first call is due at once");
            let mut now = 0;
            for _ in 0..6 {
                asking.failed(now, rng.f64());
                let from = now;
                now = (from..).step_by(MS as usize).find(|at| asking.due(*at)).expect("due");
                gaps.push(now - from);
            }
        }
        assert!(gaps.iter().all(|gap| *gap <= WITHIN / 5 * 4 + MS), "{gaps:?}");
        let rate = 1e6 * f64::from(fleet.min(FLEET)) / (gaps.iter().sum::<u64>() as f64 / gaps.len() as f64);
        assert!(rate <= 20.0, "{fleet} proxies call {rate} times a second");
    }
    let mut pushed = Asking::new(None, 0, 0, None);
    pushed.known(0, 0.5, 60);
    assert!(!pushed.due(u64::MAX), "lists that come unasked are never asked for");
}
