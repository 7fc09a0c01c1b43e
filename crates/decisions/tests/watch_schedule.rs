//! Tests of the watch at an agent on the proxy's own machine: always reopened, in time for a drain, never in a busy
//! loop.

use linenhill_decisions::api::{Micros, Time};
use linenhill_decisions::watch_schedule::WatchSchedule;

const MS: u64 = 1_000;
const GRACE: Micros = Micros(250 * MS);

fn later(time: Time, by: u64) -> Time {
    Time(time.0 + by)
}

/// The longest gap that a drain's grace allows, in microseconds.
fn longest_gap(grace: Micros) -> u64 {
    (grace.0 / 4).clamp(10 * MS, 250 * MS)
}

/// Guards against gaps as long as those for a service that a whole fleet polls: the agent's list counts as notified, so
/// each gap must leave most of the grace. Also guards against a busy loop, and against the old agent's backoff at a new
/// address.
#[test]
fn absent_agent_is_retried_within_the_grace_and_never_in_a_loop() {
    let mut rng = fastrand::Rng::with_seed(5);
    for grace in [0, 20 * MS, GRACE.0, 2_000 * MS, u64::MAX].map(Micros) {
        let start = Time(7);
        let mut schedule = WatchSchedule::new(start, grace);
        assert_eq!(schedule.next_watch(), Some(start), "the first watch is opened at the start");
        let mut now = start;
        let mut gaps = Vec::new();
        for _ in 0..200 {
            schedule.watch_opening(now);
            assert_eq!(schedule.next_watch(), None, "one watch at a time");
            schedule.watch_ended(now, rng.f64());
            let next = schedule.next_watch().expect("the next watch is due");
            gaps.push(next.0 - now.0);
            now = next;
        }
        let shortest = *gaps.iter().min().expect("a gap");
        let longest = *gaps.iter().max().expect("a gap");
        assert!(shortest >= 5 * MS && longest <= longest_gap(grace), "{grace:?}: {gaps:?}");
        schedule.watch_opening(now);
        schedule.agent_address_changed(now);
        assert_eq!(schedule.next_watch(), Some(now));
        schedule.watch_opening(now);
        schedule.watch_ended(now, 1.0);
        assert_eq!(schedule.next_watch(), Some(later(now, 10 * MS)));
    }
}

/// Guards against a pause after a watch that was open for a second or more: a drain announced meanwhile would be
/// missed.
#[test]
fn stable_watch_is_opened_again_at_once() {
    let mut schedule = WatchSchedule::new(Time(0), GRACE);
    for round in 1..5 {
        let opened = Time(round * 10_000 * MS);
        let ended = later(opened, 1_000 * MS);
        schedule.watch_opening(opened);
        schedule.watch_ended(ended, 1.0);
        assert_eq!(schedule.next_watch(), Some(ended));
    }
}

/// Guards against a second watch beside an open one, and against a pause of more than a quarter of a drain's grace, for
/// any sequence of watches that end at once or later and of new agent addresses.
#[test]
fn any_order_keeps_one_watch_open() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let grace = Micros(rng.u64(..3_000) * MS);
        let mut schedule = WatchSchedule::new(Time(0), grace);
        let mut now = Time(0);
        for _ in 0..80 {
            let due = schedule.next_watch().expect("a watch is due where none is open");
            assert!(due <= later(now, longest_gap(grace)), "seed {seed}: {due:?} at {now:?}");
            now = now.max(due);
            schedule.watch_opening(now);
            assert_eq!(schedule.next_watch(), None, "seed {seed}: one watch at a time");
            now = later(now, *rng.choice(&[0, 1, 900, 1_000, 5_000]).expect("choices are not empty") * MS);
            if rng.u32(..4) == 0 {
                schedule.agent_address_changed(now);
                assert_eq!(schedule.next_watch(), Some(now), "seed {seed}: due at once at the new address");
            } else {
                schedule.watch_ended(now, rng.f64());
            }
        }
    }
}
