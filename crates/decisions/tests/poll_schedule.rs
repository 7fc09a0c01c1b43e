//! A hundred proxies and one discovery service that takes calls in turn: when they ask, and how soon all know.

use linenhill_decisions::poll_schedule::PollSchedule;

const MS: u64 = 1_000;
const FLEET: u32 = 100;
const WITHIN: u64 = 10_000 * MS;

/// Plays 20 s with these proxies starting at once, each with a saved list, before a service that needs 50 ms for a
/// call, turns away at once what would wait over a second, and spends its turn on that all the same: when the last
/// was told, and how many calls there were in all and in the busiest second.
fn play(starters: &[Option<u32>]) -> (u64, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet: Vec<PollSchedule> =
        starters.iter().map(|me| PollSchedule::new(*me, FLEET, WITHIN, Some(0))).collect();
    fleet.iter_mut().for_each(|poll_schedule| poll_schedule.known(0, rng.f64(), 60));
    let (mut told, mut by_second, mut free_at) = (vec![u64::MAX; fleet.len()], vec![0; 20], 0);
    for now in (0..20_000).map(|ms| ms * MS) {
        for (poll_schedule, told) in fleet.iter_mut().zip(&mut told) {
            if poll_schedule.due(now) {
                by_second[(now / 1_000 / MS) as usize] += 1;
                free_at = now.max(free_at) + 50 * MS;
                if free_at <= now + 1_050 * MS {
                    *told = (*told).min(free_at);
                    poll_schedule.told();
                } else {
                    poll_schedule.failed(now, rng.f64(), None);
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
            let mut poll_schedule = PollSchedule::new(Some(me), fleet, WITHIN, Some(0));
            poll_schedule.known(0, 1.0, 0);
            assert!(poll_schedule.due(0), "without a list the first call is due at once");
            let mut now = 0;
            for _ in 0..6 {
                poll_schedule.failed(now, rng.f64(), None);
                let from = now;
                now = (from..).step_by(MS as usize).find(|at| poll_schedule.due(*at)).expect("due");
                gaps.push(now - from);
            }
        }
        assert!(gaps.iter().all(|gap| *gap <= WITHIN / 5 * 4 + MS), "{gaps:?}");
        let rate = 1e6 * f64::from(fleet.min(FLEET)) / (gaps.iter().sum::<u64>() as f64 / gaps.len() as f64);
        assert!(rate <= 20.0, "{fleet} proxies call {rate} times a second");
    }
    let mut pushed = PollSchedule::new(None, 0, 0, None);
    pushed.known(0, 0.5, 60);
    assert!(!pushed.due(u64::MAX), "lists that come unasked are never asked for");
}

// Guards against members that drain unheard of: what a silent watch misses counts as told 6 s after it fell silent, and
// a drain's grace runs from there. Silence is noticed after 3 s; each call takes a second; the first ones may fail, or
// their watches be silent, too. A fleet that lost all its watches at once must not call in one wave either.
#[test]
fn after_a_silent_watch_the_next_call_comes_before_a_drain_binds() {
    const NOTICED: u64 = 3_000 * MS;
    for (fleet, grace) in [(2, 250), (2, 2_000), (12, 250), (12, 2_000), (300, 250), (300, 2_000)] {
        let (binds, mut calls, mut rng) = (6_000 * MS + grace * MS, Vec::new(), fastrand::Rng::with_seed(11));
        for me in 0..fleet {
            let mut poll_schedule =
                PollSchedule::new(Some(me), fleet, WITHIN, Some(0)).within_grace(grace * MS);
            assert!(poll_schedule.due(0));
            poll_schedule.told();
            let due = |poll_schedule: &mut PollSchedule, from: u64| {
                (from..).step_by(MS as usize).find(|at| poll_schedule.due(*at)).expect("due")
            };
            poll_schedule.failed(NOTICED, rng.f64(), Some(NOTICED));
            let first = due(&mut poll_schedule, NOTICED);
            assert!(first + 1_000 * MS <= binds + MS, "{fleet}, {grace}: called after {first} us");
            calls.push(first);
            // A call that fails at once is followed by others, the sooner the less time is left.
            let (mut now, mut after) = (first, 0);
            while now + 1_050 * MS < binds {
                poll_schedule.failed(now, rng.f64(), None);
                now = due(&mut poll_schedule, now);
                after += u32::from(now + 1_000 * MS <= binds + MS);
            }
            assert!(first + 1_200 * MS >= binds || after > 0, "{fleet}, {grace}: nothing after {first} us");
            // Heard again, it has the gaps of before; what was missed before the next silence counts from there.
            poll_schedule.told();
            poll_schedule.failed(60_000 * MS, 0.0, None);
            assert!(due(&mut poll_schedule, 60_000 * MS) >= 60_000 * MS + 125 * MS);
        }
        let wave = |from: u64| calls.iter().filter(|at| (from..from + 100 * MS).contains(at)).count();
        let most = (NOTICED..binds).step_by(50 * MS as usize).map(wave).max().expect("a wave");
        assert!(fleet < 300 || most < 40, "{fleet}, {grace}: {most} calls within 100 ms");
    }
}

// Guards against a second silent watch that moves the time by which members count as told of; and against figures out of
// order: a silence as long as the clock, one that is long over.
#[test]
fn a_second_silent_watch_leaves_no_more_time_and_odd_figures_end_in_no_panic() {
    let mut poll_schedule = PollSchedule::new(None, 300, WITHIN, Some(0)).within_grace(250 * MS);
    poll_schedule.failed(3_000 * MS, 1.0, Some(3_000 * MS));
    assert!(
        !poll_schedule.due(5_249 * MS) && poll_schedule.due(5_251 * MS),
        "6.25 s and less the call's second"
    );
    poll_schedule.failed(5_000 * MS, 1.0, Some(1_000 * MS));
    assert!(!poll_schedule.due(5_249 * MS) && poll_schedule.due(5_251 * MS), "the first silence counts");
    poll_schedule.failed(20_000 * MS, 1.0, None);
    assert!(
        !poll_schedule.due(27_999 * MS) && poll_schedule.due(28_000 * MS),
        "what is over is over: gaps as ever"
    );
    for (now, quiet, grace) in [(0, u64::MAX, 0), (u64::MAX / 2, u64::MAX, u64::MAX), (5, 0, u64::MAX)] {
        let mut poll_schedule = PollSchedule::new(None, u32::MAX, WITHIN, Some(0)).within_grace(grace);
        poll_schedule.failed(now, 1.0, Some(quiet));
        poll_schedule.failed(now, 0.0, None);
        assert!(poll_schedule.due(now + WITHIN));
    }
}

// Any order of calls that bring a list, fail, or fall silent once or again. Guards against a second call beside one that is
// out, against one that is never made, and against one after a drain binds of which the silent watch should have told.
#[test]
fn in_any_order_one_call_is_out_and_the_next_comes_in_time() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (fleet, grace) = (*rng.choice(&[1, 12, 300]).expect("one"), rng.u64(..2_000) * MS);
        let mut poll_schedule = PollSchedule::new(None, fleet, WITHIN, Some(0)).within_grace(grace);
        let (mut now, mut out, mut opened, mut by, mut missed) = (0, false, 0, 0, Vec::new());
        for _ in 0..80 {
            if rng.bool() {
                now += rng.u64(..1_500) * MS;
            }
            let due = poll_schedule.due(now);
            assert!(!due || !out, "{seed}: a call beside one that is out");
            assert!(due || out || now <= by, "{seed}: none by {by}, it is {now}");
            opened = if due { now } else { opened };
            out |= due;
            assert!(!poll_schedule.due(now), "{seed}: said twice");
            if !out {
                continue;
            }
            match rng.u32(..4) {
                0 => {
                    poll_schedule.told();
                    missed.clear();
                }
                1 => {}
                failed => {
                    // No watch is silent for longer than it is open, and silence is noticed after 3 s.
                    let quiet = (failed == 3).then(|| rng.u64(..=(now - opened).min(3_000 * MS)));
                    poll_schedule.failed(now, rng.f64(), quiet);
                    let binds = quiet.map(|q| now.saturating_sub(q) + 6_000 * MS + grace);
                    // Every silence since anything was heard counts, until it is over.
                    missed.extend(binds);
                    missed.retain(|binds| *binds > now + 1_050 * MS);
                    let first = missed.iter().min().map(|binds| binds - 1_000 * MS);
                    (out, by) = (false, first.unwrap_or(u64::MAX).min(now + WITHIN / 5 * 4));
                }
            }
        }
    }
}
