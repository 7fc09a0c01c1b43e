//! The watch at an agent on the proxy's own machine: always open again, soon enough for a drain, never in a loop.

use linenhill_decisions::staleness::{Notice, StalenessMonitor};
use linenhill_decisions::watch_schedule::WatchSchedule;

const MS: u64 = 1_000;
const GRACE: u64 = 250 * MS;

// Guards against the slots and windows made for a service that a whole fleet asks: here what the agent holds counts as
// told, so each gap must leave most of the grace, whatever the grace is. A new agent starts without the old one's gaps.
#[test]
fn an_agent_that_is_away_is_tried_often_enough_for_a_drain_and_never_in_a_loop() {
    let mut rng = fastrand::Rng::with_seed(5);
    for grace in [0, 20 * MS, GRACE, 2_000 * MS, u64::MAX] {
        let (mut watch_schedule, mut now, mut gaps) = (WatchSchedule::new(7, grace), 7, Vec::new());
        assert_eq!(watch_schedule.due(), Some(7), "the first watch is opened at the start");
        for _ in 0..200 {
            watch_schedule.opening(now);
            assert_eq!(watch_schedule.due(), None, "one watch at a time");
            watch_schedule.ended(now, rng.f64());
            let next = watch_schedule.due().expect("another");
            gaps.push(next - now);
            now = next;
        }
        let (least, most) = (gaps.iter().min().expect("a gap"), gaps.iter().max().expect("a gap"));
        assert!(*least >= 5 * MS && *most <= (grace / 4).clamp(10 * MS, 250 * MS), "{grace}: {gaps:?}");
        watch_schedule.opening(now);
        watch_schedule.moved(now);
        assert_eq!(watch_schedule.due(), Some(now));
        watch_schedule.opening(now);
        watch_schedule.ended(now, 1.0);
        assert_eq!(watch_schedule.due(), Some(now + 10 * MS));
    }
}

// Guards against a pause after a watch that simply ended, during which a drain would go unheard.
#[test]
fn a_watch_that_held_is_opened_again_at_once() {
    let mut watch_schedule = WatchSchedule::new(0, GRACE);
    for round in 1..5 {
        let now = round * 10_000 * MS;
        watch_schedule.opening(now);
        watch_schedule.ended(now + 1_000 * MS, 1.0);
        assert_eq!(watch_schedule.due(), Some(now + 1_000 * MS));
    }
}

// Guards against an age that a heartbeat hides or a list resets wrongly, and against a log flooded by one silence.
#[test]
fn silence_is_told_once_in_each_doubling_and_so_is_its_end() {
    let mut news = StalenessMonitor::new(0);
    let seconds = |news: &mut StalenessMonitor, span: std::ops::Range<u64>| -> Vec<(u64, Notice)> {
        span.filter_map(|s| news.quiet(s * 1_000 * MS).map(|n| (s, n))).collect()
    };
    let told: Vec<u64> = seconds(&mut news, 0..60).into_iter().map(|(s, _)| s).collect();
    assert_eq!(told, [6, 12, 24, 48]);
    assert_eq!(news.word(60_000 * MS), Some(Notice::Again(60_000 * MS)));
    news.list(60_000 * MS);
    assert_eq!(news.word(62_000 * MS), None);
    assert_eq!(news.age(63_000 * MS), (1_000 * MS, Some(3_000 * MS)));
    assert_eq!(seconds(&mut news, 62..68), []);
    assert_eq!(seconds(&mut news, 68..69), [(68, Notice::Quiet(6_000 * MS))]);
}

// Any order of watches that end at once or later, and of moves. Guards against a second watch beside one that is open, and
// against a pause of over a quarter of a drain's grace.
#[test]
fn in_any_order_one_watch_is_open_and_the_next_comes_in_time() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let grace = rng.u64(..3_000) * MS;
        let (mut watch_schedule, mut now) = (WatchSchedule::new(0, grace), 0);
        for _ in 0..80 {
            let due = watch_schedule.due().expect("a watch is due where none is open");
            assert!(due <= now + (grace / 4).clamp(10 * MS, 250 * MS), "{seed}: {due} at {now}");
            now = now.max(due);
            watch_schedule.opening(now);
            assert_eq!(watch_schedule.due(), None, "{seed}: one at a time");
            now += *rng.choice(&[0, 1, 900, 1_000, 5_000]).expect("one") * MS;
            if rng.u32(..4) == 0 {
                watch_schedule.moved(now);
                assert_eq!(watch_schedule.due(), Some(now), "{seed}: at once where it moved to");
            } else {
                watch_schedule.ended(now, rng.f64());
            }
        }
    }
}
