//! Any order of calls, signals and waits: what a process says of itself holds together.

use linenhill_decisions::api::Time;
use linenhill_decisions::lifecycle::{Event, Lifecycle};
use quickcheck::{Arbitrary, Gen};

/// Connections end at the latest this long after a drain began, in microseconds: under the platform's 2 s, after which
/// no request may be on a kept connection that is open at 4 s.
const ENDS_BY: u64 = 1_000_000;
/// The platform's front sends for so long after it was told no.
const FRONT: u64 = 400_000;

// Guards against a second call that prolongs a drain, an /active that leaves connections ending, a stop that is taken
// back, and a view that changes without a wake-up.
#[test]
fn every_order_of_calls_and_signals_keeps_the_promises() {
    let mut g = Gen::from_size_and_seed(40, 11);
    for round in 0..2_000 {
        let (mut life, mut now) = (Lifecycle::default(), 1_000_000);
        // Since when it drains or stops, and whether it is stopping, handed over.
        let (mut drained, mut stopped) = (None::<u64>, None::<(u64, bool)>);
        for _ in 0..12 {
            let event = *g.choose(&[0, 1, 2, 3]).expect("one of them");
            let known = (drained, stopped, event);
            match event {
                0 => {
                    assert_eq!(
                        life.handle(Time(now), Event::Standby).is_err(),
                        stopped.is_some(),
                        "{known:?}"
                    );
                    drained = drained.or(stopped.is_none().then_some(now));
                }
                1 => {
                    assert_eq!(
                        life.handle(Time(now), Event::Active).is_err(),
                        stopped.is_some(),
                        "{known:?}"
                    );
                    drained = drained.filter(|_| stopped.is_some());
                }
                2 if round % 2 == 0 => {
                    let handed_over = bool::arbitrary(&mut g);
                    assert!(life.handle(Time(now), Event::Stop { handed_over }).is_ok());
                    stopped = stopped.or(Some((now, handed_over)));
                }
                _ => {
                    let wait = u64::from(u32::arbitrary(&mut g)) % 700_000;
                    // What changes in between is announced.
                    let (before, wake) = (life.serving_state(Time(now)), life.wake(Time(now)));
                    let last = wake.map_or(now + wait, |at| (at.0 - 1).min(now + wait));
                    assert_eq!(life.serving_state(Time(last)), before, "{known:?}");
                    now += wait;
                }
            }
            let serving_state = life.serving_state(Time(now));
            assert_eq!(life.is_serving(), drained.is_none() && stopped.is_none(), "{known:?}");
            let since = drained.into_iter().chain(stopped.map(|s| s.0)).min();
            match since {
                None => assert!(
                    serving_state.reports_ready
                        && serving_state.accepts_connections
                        && !serving_state.closes_idle,
                    "{known:?}"
                ),
                Some(since) if now >= since + ENDS_BY => assert!(serving_state.closes_idle, "{known:?}"),
                Some(since) if now <= since + FRONT => assert!(!serving_state.closes_idle, "{known:?}"),
                Some(_) => {}
            }
            // The platform's 0.7 s.
            let late = stopped.is_some_and(|(at, _)| now >= at + 700_000);
            assert!(serving_state.rejects_requests || !late, "{known:?}");
            assert!(
                !serving_state.rejects_requests || stopped.is_some_and(|(at, _)| now > at + 450_000),
                "{known:?}"
            );
            match stopped {
                None => assert!(
                    serving_state.accepts_connections && serving_state.reports_ready == drained.is_none(),
                    "{known:?}"
                ),
                Some((_, true)) => assert!(!serving_state.accepts_connections, "{known:?}"),
                Some((at, false)) => {
                    assert_eq!(serving_state.accepts_connections, now < at + 450_000, "{known:?}")
                }
            }
        }
    }
}
