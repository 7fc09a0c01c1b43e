//! Random sequences of operators' calls, signals and waits, checked against the guarantees on the state that clients
//! see.

use linenhill_decisions::api::Time;
use linenhill_decisions::lifecycle::{Event, Lifecycle, ServingState, Stopping};
use quickcheck::{Arbitrary, Gen};

/// Idle connections are closed from this long after the start of a drain at the latest, in microseconds. The platform
/// allows no request after 2 s on a kept connection that is still open at 4 s.
const IDLE_CLOSED_WITHIN: u64 = 1_000_000;
/// The platform's load balancer sends clients for this long after a negative readiness answer, in microseconds.
const BALANCER_SENDS_FOR: u64 = 400_000;
/// Requests and connections are accepted for at least this long after a stop, in microseconds.
const ACCEPTED_FOR_MIN: u64 = 450_000;
/// Requests are rejected from this long after a stop at the latest, in microseconds: the platform then ends the process
/// regardless of later requests.
const REJECTED_AFTER: u64 = 700_000;

/// The drain and stop of a process, recorded independently of the state machine under test.
#[derive(Clone, Copy, Debug, Default)]
struct History {
    drained_at: Option<u64>,
    /// When the process was told to stop, and whether a successor accepts its connections.
    stopped: Option<(u64, bool)>,
}

impl History {
    fn expected_answer(&self) -> Result<(), Stopping> {
        if self.stopped.is_some() { Err(Stopping) } else { Ok(()) }
    }

    /// Checks the state that clients see at `now`, in microseconds, against the recorded events.
    fn check(&self, state: ServingState, now: u64) {
        let since = self.drained_at.into_iter().chain(self.stopped.map(|(at, _)| at)).min();
        match since {
            None => {
                assert!(state.reports_ready && state.accepts_connections && !state.closes_idle, "{self:?}")
            }
            Some(since) if now >= since + IDLE_CLOSED_WITHIN => assert!(state.closes_idle, "{self:?}"),
            Some(since) if now <= since + BALANCER_SENDS_FOR => assert!(!state.closes_idle, "{self:?}"),
            Some(_) => {}
        }
        let must_reject = self.stopped.is_some_and(|(at, _)| now >= at + REJECTED_AFTER);
        let may_reject = self.stopped.is_some_and(|(at, _)| now > at + ACCEPTED_FOR_MIN);
        assert!(state.rejects_requests || !must_reject, "{self:?}");
        assert!(!state.rejects_requests || may_reject, "{self:?}");
        match self.stopped {
            None => {
                assert!(state.accepts_connections, "{self:?}");
                assert_eq!(state.reports_ready, self.drained_at.is_none(), "{self:?}");
            }
            Some((_, true)) => assert!(!state.accepts_connections, "{self:?}"),
            Some((at, false)) => {
                assert_eq!(state.accepts_connections, now < at + ACCEPTED_FOR_MIN, "{self:?}");
            }
        }
    }
}

/// Guards against a second standby call that prolongs a drain, a return to service after which idle connections are
/// still closed, a stop that is revoked, and a state change that `next_change` did not announce.
#[test]
fn any_order_of_calls_and_signals_keeps_the_promises() {
    let mut generator = Gen::from_size_and_seed(40, 11);
    for round in 0..2_000 {
        let mut lifecycle = Lifecycle::default();
        let mut history = History::default();
        let mut now = 1_000_000;
        for _ in 0..12 {
            match *generator.choose(&[0, 1, 2, 3]).expect("choices are not empty") {
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
                    // The state does not change before the announced time.
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
