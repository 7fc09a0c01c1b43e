//! The door alone: the crowd of a recorded incident in virtual time, and whatever may happen in any order.

use linenhill_decisions::api::{Span, Time};
use linenhill_decisions::connection_admission::{
    Action, AdmissionLimits, ConnectionAdmission, ConnectionId, Event,
};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000;
const LIMITS: AdmissionLimits = AdmissionLimits {
    max_served: 218,
    max_rejected: 18,
    max_closing: 6,
    max_request_connections: 128,
    max_retry_after: Span(2_000 * MS),
};

/// Clients that ask once on a connection each and hold it for good, until they are told to leave: 300 requests
/// a second over at most 128 connections, of 30 to 100 ms each. Beside them 46 connections a second that say
/// nothing, and once 300 at once that only start.
struct Crowd {
    admission: ConnectionAdmission,
    now: u64,
    next: u64,
    /// What happens when: to the same door, in order.
    due: BTreeSet<(u64, u64, Kind)>,
    holding: BTreeSet<ConnectionId>,
    left_busy: usize,
    busy: BTreeSet<ConnectionId>,
    asked: usize,
    without: usize,
    refused: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Request,
    Silent,
    Starter,
    Answer(ConnectionId),
    Gone(ConnectionId),
    Wake,
}

impl Crowd {
    fn tell(&mut self, event: Event) -> Option<bool> {
        let (mut out, mut served) = (Vec::new(), None);
        self.admission.handle(Time(self.now), event, &mut out);
        for action in out {
            match action {
                Action::Serve(_) => served = Some(true),
                Action::Refuse(..) | Action::TurnAway(_) => served = Some(false),
                Action::Leave(id) => {
                    self.left_busy += usize::from(self.busy.contains(&id));
                    self.due.insert((self.now + MS, 0, Kind::Gone(id)));
                }
                Action::Wake(at) => {
                    self.due.insert((at.0, 0, Kind::Wake));
                }
            }
        }
        served
    }

    fn come(&mut self) -> (ConnectionId, Option<bool>) {
        self.next += 1;
        let id = ConnectionId(self.next);
        (id, self.tell(Event::Arrived(id)))
    }

    fn play(seconds: u64) -> Crowd {
        let mut rng = fastrand::Rng::with_seed(7);
        let admission = ConnectionAdmission::new(LIMITS);
        let sets = BTreeSet::new;
        let (holding, busy) = (sets(), sets());
        let due = BTreeSet::new();
        let mut c = Crowd {
            admission,
            now: 0,
            next: 0,
            due,
            holding,
            left_busy: 0,
            busy,
            asked: 0,
            without: 0,
            refused: 0,
        };
        let mut plan = |rate: u64, kind| {
            for n in 0..rate * seconds {
                c.due.insert((n * 1_000_000 / rate, n, kind));
            }
        };
        plan(300, Kind::Request);
        plan(46, Kind::Silent);
        c.due.extend((0..300).map(|n| (1_500_000, n, Kind::Starter)));
        while let Some((at, _, kind)) = c.due.pop_first() {
            c.now = at;
            match kind {
                Kind::Silent => drop(c.come()),
                Kind::Starter => {
                    let (id, _) = c.come();
                    c.tell(Event::Started(id));
                }
                Kind::Request => {
                    c.asked += 1;
                    if c.holding.len() >= LIMITS.max_request_connections {
                        c.without += 1;
                        continue;
                    }
                    let (id, served) = c.come();
                    if served != Some(true) {
                        c.refused += 1;
                        continue;
                    }
                    c.holding.insert(id);
                    c.busy.insert(id);
                    c.tell(Event::Started(id));
                    c.tell(Event::Asked(id));
                    c.due.insert((at + rng.u64(30 * MS..100 * MS), 0, Kind::Answer(id)));
                }
                Kind::Answer(id) => {
                    c.busy.remove(&id);
                    c.tell(Event::Answered(id));
                }
                Kind::Gone(id) => {
                    c.holding.remove(&id);
                    c.tell(Event::Left(id));
                }
                Kind::Wake => drop(c.tell(Event::Woke)),
            }
            assert!(c.admission.held() <= LIMITS.max_served + LIMITS.max_rejected + LIMITS.max_closing);
        }
        c
    }
}

// Guards against clients that hold their connections for good and so can't reach the door any more: without the
// part that the door keeps free, nine requests in ten find no connection.
#[test]
fn who_asks_once_and_holds_on_leaves_before_the_clients_run_out_of_connections() {
    let c = Crowd::play(10);
    assert_eq!(c.asked, 3_000);
    assert_eq!(c.without, 0, "requests without a connection");
    assert!(c.refused <= 60, "{} requests refused, in the 0.2 s of the burst at most", c.refused);
    assert_eq!(c.left_busy, 0, "nobody is asked to leave whose request is open");
}

// Guards against thinning out clients that use few connections and use them again.
#[test]
fn a_pool_that_fits_is_left_alone() {
    let mut admission = ConnectionAdmission::new(LIMITS);
    let mut out = Vec::new();
    for n in 0..96 {
        for event in [Event::Arrived, Event::Started, Event::Asked, Event::Answered] {
            admission.handle(Time(n), event(ConnectionId(n)), &mut out);
        }
    }
    admission.handle(Time(60_000 * MS), Event::Woke, &mut out);
    assert!(out.iter().all(|a| matches!(a, Action::Serve(_))), "{out:?}");
}

// Guards against advice that tells everybody the same: places come free at a rate, and one after the other
// gets them.
#[test]
fn the_time_to_come_back_follows_the_rate_at_which_places_come_free() {
    let limits = AdmissionLimits {
        max_served: 2,
        max_rejected: 9,
        max_closing: 0,
        max_request_connections: 9,
        max_retry_after: Span(2_000 * MS),
    };
    let mut admission = ConnectionAdmission::new(limits);
    let mut play = |at: u64, event| {
        let mut out = Vec::new();
        admission.handle(Time(at * MS), event, &mut out);
        out
    };
    for n in 0..2 {
        play(0, Event::Arrived(ConnectionId(n)));
        play(0, Event::Asked(ConnectionId(n)));
    }
    assert_eq!(play(0, Event::Arrived(ConnectionId(8))), [Action::Refuse(ConnectionId(8), Span(250 * MS))]);
    for n in 0..3 {
        play(100 * n, Event::Left(ConnectionId(n)));
        play(100 * n, Event::Arrived(ConnectionId(n + 2)));
        play(100 * n, Event::Asked(ConnectionId(n + 2)));
    }
    let refused = |id, ms| [Action::Refuse(ConnectionId(id), Span(ms * MS))];
    assert_eq!(play(210, Event::Arrived(ConnectionId(20))), refused(20, 100));
    assert_eq!(play(210, Event::Arrived(ConnectionId(21))), refused(21, 200));
}

// Guards against any order of events that asks a busy connection to leave, answers an arrival not once, or
// takes more descriptors than there are.
#[test]
fn in_any_order_nobody_busy_leaves_and_the_bounds_hold() {
    fn holds(steps: Vec<(u8, u8, u16)>) -> TestResult {
        let limits = AdmissionLimits {
            max_served: 5,
            max_rejected: 2,
            max_closing: 2,
            max_request_connections: 4,
            max_retry_after: Span(900 * MS),
        };
        let (mut admission, mut now, mut next) = (ConnectionAdmission::new(limits), 0, 0);
        // Whether a request of it is open, and whether it was told to leave.
        let mut seats: BTreeMap<ConnectionId, (bool, bool)> = BTreeMap::new();
        for (what, which, later) in steps {
            now += u64::from(later) * 50;
            let some = seats.keys().nth(usize::from(which) % seats.len().max(1)).copied();
            let event = match (what % 6, some) {
                (0 | 1, _) | (_, None) => {
                    next += 1;
                    Event::Arrived(ConnectionId(next))
                }
                (2, Some(id)) => Event::Started(id),
                (3, Some(id)) => Event::Asked(id),
                (4, Some(id)) => Event::Answered(id),
                (_, Some(id)) => Event::Left(id),
            };
            match event {
                Event::Started(id) | Event::Asked(id) | Event::Answered(id) => {
                    let busy = matches!(event, Event::Asked(_));
                    seats.entry(id).and_modify(|s| s.0 = busy);
                }
                Event::Left(id) => drop(seats.remove(&id)),
                _ => {}
            }
            let mut out = Vec::new();
            admission.handle(Time(now), event, &mut out);
            let mut verdicts = 0;
            for action in out {
                match action {
                    Action::Serve(id) | Action::Refuse(id, _) => {
                        verdicts += 1;
                        seats.insert(id, (false, false));
                    }
                    Action::TurnAway(_) => verdicts += 1,
                    Action::Leave(id) => match seats.get_mut(&id) {
                        Some((false, told)) if !*told => *told = true,
                        other => return TestResult::error(format!("{id:?} is told to leave: {other:?}")),
                    },
                    Action::Wake(at) => assert!(at.0 > now, "a time to wake that is over"),
                }
            }
            if verdicts != usize::from(matches!(event, Event::Arrived(_))) {
                return TestResult::error(format!("{verdicts} verdicts on {event:?}"));
            }
            if admission.held() != seats.len() || seats.len() > 9 {
                return TestResult::error(format!("{} held, {} there", admission.held(), seats.len()));
            }
        }
        TestResult::passed()
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(300);
    check.quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> TestResult);
}
