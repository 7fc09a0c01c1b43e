//! Tests of when missing messages from discovery are logged, and of the age of its last list.

use linenhill_decisions::api::{Micros, Time};
use linenhill_decisions::staleness::{Notice, StalenessMonitor};

const SECOND: u64 = 1_000_000;

fn seconds(count: u64) -> Time {
    Time(count * SECOND)
}

/// Checks once a second during these seconds. Returns each notice with its second.
fn notices(monitor: &mut StalenessMonitor, during: std::ops::Range<u64>) -> Vec<(u64, Notice)> {
    during
        .filter_map(|second| monitor.check_silence(seconds(second)).map(|notice| (second, notice)))
        .collect()
}

/// Guards against a list age that a heartbeat resets or that is wrong after a new list, and against a log flooded
/// during one period without messages.
#[test]
fn silence_is_logged_once_in_each_doubling() {
    let mut monitor = StalenessMonitor::new(Time(0));
    let noticed: Vec<u64> = notices(&mut monitor, 0..60).into_iter().map(|(second, _)| second).collect();
    assert_eq!(noticed, [6, 12, 24, 48]);
    assert_eq!(monitor.record_message(seconds(60)), Some(Notice::Resumed(Micros(60 * SECOND))));
    monitor.record_list(seconds(60));
    assert_eq!(monitor.record_message(seconds(62)), None);
    assert_eq!(monitor.silence(seconds(63)), Micros(SECOND));
    assert_eq!(monitor.list_age(seconds(63)), Some(Micros(3 * SECOND)));
    assert_eq!(notices(&mut monitor, 62..68), []);
    assert_eq!(notices(&mut monitor, 68..69), [(68, Notice::Silent(Micros(6 * SECOND)))]);
}
