//! Random orders of operators' calls, signals and waits: the state that clients see keeps its promises.

use linenhill_decisions::api::Time;
use linenhill_decisions::lifecycle::{Event, Lifecycle, ServingState, Stopping};
use quickcheck::{Arbitrary, Gen};

/// Connections end at the latest this long after a drain began, in microseconds: under the platform's 2 s,
/// after which no request may be on a kept connection that is open at 4 s.
const CLOSED_BY: u64 = 1_000_000;
/// The platform's load balancer still sends for this long after a negative readiness answer, in microseconds.
const BALANCER_SENDS: u64 = 400_000;
/// Requests are accepted for at least this long after a stop, and rejected at the latest from the platform's
/// 0.7 s on.
const ACCEPTED_AT_LEAST: u64 = 450_000;
const REJECTED_FROM: u64 = 700_000;

/// The events of a process, recorded independently of the state machine under test.
#[derive(Clone, Copy, Debug, Default)]
struct History {
    drained_at: Option<u64>,
    /// When it was stopped, and whether a successor serves.
    stopped: Option<(u64, bool)>,
}

impl History {
    fn expected_answer(&self) -> Result<(), Stopping> {
        if self.stopped.is_some() { Err(Stopping) } else { Ok(()) }
    }

    /// Checks the state that clients see at `now`, in microseconds.
    fn check(&self, state: ServingState, now: u64) {
        let since = self.drained_at.into_iter().chain(self.stopped.map(|(at, _)| at)).min();
        match since {
            None => {
                assert!(state.reports_ready && state.accepts_connections && !state.closes_idle, "{self:?}")
            }
            Some(since) if now >= since + CLOSED_BY => assert!(state.closes_idle, "{self:?}"),
            Some(since) if now <= since + BALANCER_SENDS => assert!(!state.closes_idle, "{self:?}"),
            Some(_) => {}
        }
        let must_reject = self.stopped.is_some_and(|(at, _)| now >= at + REJECTED_FROM);
        let may_reject = self.stopped.is_some_and(|(at, _)| now > at + ACCEPTED_AT_LEAST);
        assert!(state.rejects_requests || !must_reject, "{self:?}");
        assert!(!state.rejects_requests || may_reject, "{self:?}");
        match self.stopped {
            None => {
                assert!(state.accepts_connections, "{self:?}");
                assert_eq!(state.reports_ready, self.drained_at.is_none(), "{self:?}");
            }
            Some((_, true)) => assert!(!state.accepts_connections, "{self:?}"),
            Some((at, false)) => {
                assert_eq!(state.accepts_connections, now < at + ACCEPTED_AT_LEAST, "{self:?}");
            }
        }
    }
}

/// Guards against a second call that prolongs a drain, an /active that leaves connections ending, a stop that
/// is taken back, and a state that changes without being announced.
#[test]
fn any_order_of_calls_and_signals_keeps_the_promises() {
    let mut generator = Gen::from_size_and_seed(40, 11);
    for round in 0..2_000 {
        let mut lifecycle = Lifecycle::default();
        let mut history = History::default();
        let mut now = 1_000_000;
        for _ in 0..12 {
            match *generator.choose(&[0, 1, 2, 3]).expect("one of them") {
                0 => {
                    let answer = lifecycle.handle(Time(now), Event::Standby);
                    assert_eq!(answer, history.expected_answer(), "{history:?}");
                    let begins = history.stopped.is_none().then_some(now);
                    history.drained_at = history.drained_at.or(begins);
                }
                1 => {
                    let answer = lifecycle.handle(Time(now), Event::Active);
                    assert_eq!(answer, history.expected_answer(), "{history:?}");
                    history.drained_at = history.drained_at.filter(|_| history.stopped.is_some());
                }
                2 if round % 2 == 0 => {
                    let handed_over = bool::arbitrary(&mut generator);
                    assert_eq!(lifecycle.handle(Time(now), Event::Stop { handed_over }), Ok(()));
                    history.stopped = history.stopped.or(Some((now, handed_over)));
                }
                _ => {
                    let wait = u64::from(u32::arbitrary(&mut generator)) % 700_000;
                    // Changes in between are announced.
                    let before = lifecycle.serving_state(Time(now));
                    let change = lifecycle.next_change(Time(now));
                    let unchanged_until = change.map_or(now + wait, |change| (change.0 - 1).min(now + wait));
                    assert_eq!(lifecycle.serving_state(Time(unchanged_until)), before, "{history:?}");
                    now += wait;
                }
            }
            let serves = history.drained_at.is_none() && history.stopped.is_none();
            assert_eq!(lifecycle.is_serving(), serves, "{history:?}");
            history.check(lifecycle.serving_state(Time(now)), now);
        }
    }
}
