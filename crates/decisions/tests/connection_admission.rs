//! Tests of connection admission: the load of a recorded incident in virtual time, and random sequences of events.

use linenhill_decisions::api::{Micros, Time};
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
    max_retry_after: Micros(2_000 * MS),
};

/// Clients that send one request on each connection and keep it open until it is asked to close: 300 requests a second
/// of 30 to 100 ms each, over at most 128 connections. In addition 46 connections a second that send nothing, and one
/// burst of 300 connections that send only their startup message.
struct ClientLoad {
    admission: ConnectionAdmission,
    rng: fastrand::Rng,
    now: u64,
    next: u64,
    /// Scheduled events by their time in microseconds; the second number distinguishes equal events.
    scheduled: BTreeSet<(u64, u64, LoadEvent)>,
    /// Connections that clients opened for a request and that are still open.
    held: BTreeSet<ConnectionId>,
    closed_while_busy: usize,
    busy: BTreeSet<ConnectionId>,
    requests: usize,
    without_connection: usize,
    rejected: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadEvent {
    Request,
    ConnectOnly,
    StartupOnly,
    RequestAnswered(ConnectionId),
    Closed(ConnectionId),
    Timer,
}

impl ClientLoad {
    /// Delivers an event and schedules what follows. Returns whether a new connection is served; `None` for other
    /// events.
    fn handle(&mut self, event: Event) -> Option<bool> {
        let mut actions = Vec::new();
        self.admission.handle(Time(self.now), event, &mut actions);
        let mut served = None;
        for action in actions {
            match action {
                Action::Serve(_) => served = Some(true),
                Action::Reject(..) | Action::CloseAtOnce(_) => served = Some(false),
                Action::RequestClose(id) => {
                    self.closed_while_busy += usize::from(self.busy.contains(&id));
                    self.scheduled.insert((self.now + MS, 0, LoadEvent::Closed(id)));
                }
                Action::SetTimer(at) => {
                    self.scheduled.insert((at.0, 0, LoadEvent::Timer));
                }
            }
        }
        served
    }

    fn connect(&mut self) -> (ConnectionId, Option<bool>) {
        self.next += 1;
        let id = ConnectionId(self.next);
        (id, self.handle(Event::Accepted(id)))
    }

    fn new() -> ClientLoad {
        ClientLoad {
            admission: ConnectionAdmission::new(LIMITS),
            rng: fastrand::Rng::with_seed(7),
            now: 0,
            next: 0,
            scheduled: BTreeSet::new(),
            held: BTreeSet::new(),
            busy: BTreeSet::new(),
            closed_while_busy: 0,
            requests: 0,
            without_connection: 0,
            rejected: 0,
        }
    }

    /// Runs the load for this many seconds, with the burst at 1.5 s.
    fn run(seconds: u64) -> ClientLoad {
        let mut load = ClientLoad::new();
        load.schedule(seconds, 300, LoadEvent::Request);
        load.schedule(seconds, 46, LoadEvent::ConnectOnly);
        load.scheduled.extend((0..300).map(|n| (1_500_000, n, LoadEvent::StartupOnly)));
        while let Some((at, _, event)) = load.scheduled.pop_first() {
            load.now = at;
            load.process(event);
            let open_max = LIMITS.max_served + LIMITS.max_rejected + LIMITS.max_closing;
            assert!(load.admission.open_connections() <= open_max);
        }
        load
    }

    /// Schedules `rate` events a second.
    fn schedule(&mut self, seconds: u64, rate: u64, event: LoadEvent) {
        self.scheduled.extend((0..rate * seconds).map(|n| (n * 1_000_000 / rate, n, event)));
    }

    fn process(&mut self, event: LoadEvent) {
        match event {
            LoadEvent::ConnectOnly => drop(self.connect()),
            LoadEvent::StartupOnly => {
                let (id, _) = self.connect();
                self.handle(Event::Started(id));
            }
            LoadEvent::Request => self.request(),
            LoadEvent::RequestAnswered(id) => {
                self.busy.remove(&id);
                self.handle(Event::RequestsFinished(id));
            }
            LoadEvent::Closed(id) => {
                self.held.remove(&id);
                self.handle(Event::Closed(id));
            }
            LoadEvent::Timer => drop(self.handle(Event::TimerFired)),
        }
    }

    fn request(&mut self) {
        self.requests += 1;
        if self.held.len() >= LIMITS.max_request_connections {
            self.without_connection += 1;
            return;
        }
        let (id, served) = self.connect();
        if served != Some(true) {
            self.rejected += 1;
            return;
        }
        self.held.insert(id);
        self.busy.insert(id);
        self.handle(Event::Started(id));
        self.handle(Event::RequestOpened(id));
        let answered_at = self.now + self.rng.u64(30 * MS..100 * MS);
        self.scheduled.insert((answered_at, 0, LoadEvent::RequestAnswered(id)));
    }
}

/// Guards against clients that run out of connections because they keep each one open after its request: without the
/// reserve of free connections, nine requests in ten found no connection.
#[test]
fn idle_connections_close_before_clients_run_out_of_them() {
    let load = ClientLoad::run(10);
    assert_eq!(load.requests, 3_000);
    assert_eq!(load.without_connection, 0, "requests without a connection");
    assert!(
        load.rejected <= 60,
        "{} requests rejected; the burst takes 0.2 s, so 60 are allowed",
        load.rejected
    );
    assert_eq!(load.closed_while_busy, 0, "connections asked to close while a request was open");
}

/// Guards against closing idle connections of clients that reuse a small number of them.
#[test]
fn small_client_pool_is_not_closed() {
    let mut admission = ConnectionAdmission::new(LIMITS);
    let mut out = Vec::new();
    for n in 0..96 {
        for event in [Event::Accepted, Event::Started, Event::RequestOpened, Event::RequestsFinished] {
            admission.handle(Time(n), event(ConnectionId(n)), &mut out);
        }
    }
    admission.handle(Time(60_000 * MS), Event::TimerFired, &mut out);
    assert!(out.iter().all(|a| matches!(a, Action::Serve(_))), "{out:?}");
}

/// Guards against the same Retry-After for all rejected clients: slots become free one at a time, so each further
/// rejected client must wait for one more of them.
#[test]
fn retry_after_follows_the_rate_of_free_slots() {
    let limits = AdmissionLimits {
        max_served: 2,
        max_rejected: 9,
        max_closing: 0,
        max_request_connections: 9,
        max_retry_after: Micros(2_000 * MS),
    };
    let mut admission = ConnectionAdmission::new(limits);
    let mut handle = |at: u64, event| {
        let mut out = Vec::new();
        admission.handle(Time(at * MS), event, &mut out);
        out
    };
    for n in 0..2 {
        handle(0, Event::Accepted(ConnectionId(n)));
        handle(0, Event::RequestOpened(ConnectionId(n)));
    }
    assert_eq!(
        handle(0, Event::Accepted(ConnectionId(8))),
        [Action::Reject(ConnectionId(8), Micros(250 * MS))]
    );
    for n in 0..3 {
        handle(100 * n, Event::Closed(ConnectionId(n)));
        handle(100 * n, Event::Accepted(ConnectionId(n + 2)));
        handle(100 * n, Event::RequestOpened(ConnectionId(n + 2)));
    }
    let rejected = |id, ms| [Action::Reject(ConnectionId(id), Micros(ms * MS))];
    assert_eq!(handle(210, Event::Accepted(ConnectionId(20))), rejected(20, 100));
    assert_eq!(handle(210, Event::Accepted(ConnectionId(21))), rejected(21, 200));
}

/// The state of a connection according to its events and actions.
#[derive(Clone, Copy, Debug, Default)]
struct ModelConnection {
    is_busy: bool,
    close_requested: bool,
}

/// The open connections according to events and actions, to compare with the admission's own count.
#[derive(Default)]
struct Model {
    next: u64,
    connections: BTreeMap<ConnectionId, ModelConnection>,
}

impl Model {
    /// An event for a new connection, or for one of the open connections.
    fn event(&mut self, event_type: u8, selector: u8) -> Event {
        let index = usize::from(selector) % self.connections.len().max(1);
        let chosen = self.connections.keys().nth(index).copied();
        match (event_type % 6, chosen) {
            (0 | 1, _) | (_, None) => {
                self.next += 1;
                Event::Accepted(ConnectionId(self.next))
            }
            (2, Some(id)) => Event::Started(id),
            (3, Some(id)) => Event::RequestOpened(id),
            (4, Some(id)) => Event::RequestsFinished(id),
            (_, Some(id)) => Event::Closed(id),
        }
    }

    fn record(&mut self, event: Event) {
        match event {
            Event::Started(id) | Event::RequestOpened(id) | Event::RequestsFinished(id) => {
                let is_busy = matches!(event, Event::RequestOpened(_));
                self.connections.entry(id).and_modify(|connection| connection.is_busy = is_busy);
            }
            Event::Closed(id) => drop(self.connections.remove(&id)),
            _ => {}
        }
    }

    /// Fails if a connection is asked to close while a request is open, or a second time.
    fn request_close(&mut self, id: ConnectionId) -> Result<(), String> {
        match self.connections.get_mut(&id) {
            Some(connection) if !connection.is_busy && !connection.close_requested => {
                connection.close_requested = true;
                Ok(())
            }
            other => Err(format!("{id:?} is asked to close: {other:?}")),
        }
    }

    /// Applies the actions that follow from an event. Fails unless each new connection is answered exactly once.
    fn apply_actions(&mut self, now: u64, event: Event, actions: Vec<Action>) -> Result<(), String> {
        let mut answers = 0;
        for action in actions {
            match action {
                Action::Serve(id) | Action::Reject(id, _) => {
                    answers += 1;
                    self.connections.insert(id, ModelConnection::default());
                }
                Action::CloseAtOnce(_) => answers += 1,
                Action::RequestClose(id) => self.request_close(id)?,
                Action::SetTimer(at) => assert!(at.0 > now, "the timer is set to the past"),
            }
        }
        if answers != usize::from(matches!(event, Event::Accepted(_))) {
            return Err(format!("{answers} answers to {event:?}"));
        }
        Ok(())
    }
}

/// Runs a sequence of events, each up to 3.3 s after the previous one.
fn check_any_order(steps: Vec<(u8, u8, u16)>) -> Result<(), String> {
    let limits = AdmissionLimits {
        max_served: 5,
        max_rejected: 2,
        max_closing: 2,
        max_request_connections: 4,
        max_retry_after: Micros(900 * MS),
    };
    let mut admission = ConnectionAdmission::new(limits);
    let mut model = Model::default();
    let mut now = 0;
    for (event_type, selector, pause) in steps {
        now += u64::from(pause) * 50;
        let event = model.event(event_type, selector);
        model.record(event);
        let mut actions = Vec::new();
        admission.handle(Time(now), event, &mut actions);
        model.apply_actions(now, event, actions)?;
        let counted = admission.open_connections();
        let expected = model.connections.len();
        if counted != expected || expected > 9 {
            return Err(format!("{counted} connections open, {expected} expected, 9 allowed"));
        }
    }
    Ok(())
}

/// Guards against any sequence of events in which a busy connection is asked to close, a new connection is not answered
/// exactly once, or more connections are open than the limits allow.
#[test]
fn any_order_keeps_busy_connections_and_the_limits() {
    fn holds(steps: Vec<(u8, u8, u16)>) -> TestResult {
        check_any_order(steps).map_or_else(TestResult::error, |()| TestResult::passed())
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(300);
    check.quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> TestResult);
}
