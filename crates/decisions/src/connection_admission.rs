//! The door: who of the clients' connections is let in, who makes room, and who is refused with which time to
//! come back. A state machine without sockets and without a clock: [`ConnectionAdmission::handle`] is told what happened and
//! when, and pushes what is to be done. It must never ask a connection to leave whose request is open.
//!
//! Two things run short here. Places: descriptors that this process has for clients. And connections for
//! requests: the platform lets its clients hold a third of the descriptors for requests, so that clients that
//! ask once and then hold their connection use up all of theirs long before the places are taken; whoever comes
//! then can't even reach the door. Some of them are therefore kept free by ending those idle longest.

use crate::api::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// One connection, numbered by the driver and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// How much there is of everything.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Connections that are served.
    pub max_served: usize,
    /// Connections beyond those, whose first request is refused.
    pub max_rejected: usize,
    /// Connections that were told to leave and have not left yet, beyond the places.
    pub max_closing: usize,
    /// Connections that clients may hold for requests, by the platform's promise.
    pub max_request_connections: usize,
    /// The longest time to come back that may be named.
    pub max_retry_after: Span,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was accepted.
    Arrived(ConnectionId),
    /// It has sent its startup message, and no request of it is open.
    Started(ConnectionId),
    /// A request of it is open.
    Asked(ConnectionId),
    /// No request of it is open any more.
    Answered(ConnectionId),
    /// It has ended.
    Left(ConnectionId),
    /// The moment of [`Action::Wake`] has come.
    Woke,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Serve the newcomer.
    Serve(ConnectionId),
    /// Refuse the newcomer's first request; it may come back after so long.
    Refuse(ConnectionId, Span),
    /// End the newcomer's connection at once; it is not known here.
    TurnAway(ConnectionId),
    /// Ask a connection to leave as soon as no request of it is open.
    Leave(ConnectionId),
    /// Send [`Event::Woke`] then; stands in place of an earlier one.
    Wake(Time),
}

/// The part of clients' connections for requests that is kept free: at 300 requests a second of under 100 ms
/// each, some 30 are open at once, and a quarter of 85 to 341 lets nearly as many come in the same moment.
const FREE_PART: f64 = 0.25;
/// A connection stays at least this long after its answer; the client's next request may be on the way. At the
/// busiest, 900 requests a second on new connections each, a third of 256 descriptors lasts for 70 ms.
const IDLE_LEAST: Span = Span(20_000);
/// When all places are taken, whoever has not asked anything for this long leaves first: a client that
/// connects in order to ask sends its query with the startup message or a round trip later.
const SUSPECT_AFTER: Span = Span(200_000);
/// Then whoever was idle so long: nobody counts on a connection after 2 s (the platform's own figure).
const IDLE_LONG: Span = Span(2_000_000);
/// Then whoever was idle so long, rather than that a newcomer is refused.
const IDLE_SOME: Span = Span(200_000);
/// At most this part of the places is for connections that have not sent their startup message.
const SILENT_PART: f64 = 0.25;
/// The time to come back before any place has come free.
const ADVICE_FIRST: Span = Span(250_000);
/// The shortest time to come back: less would be the same attempt once more.
const ADVICE_LEAST: Span = Span(50_000);
/// The weight of the newest gap between places that come free.
const GAP_NEW: f64 = 0.125;

/// What a connection is doing; it is idle from the answer to its first request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Silent,
    Started,
    Idle,
    Busy,
    Leaving,
}

const CONNECTION_STATES: usize = 5;

struct ConnectionSlot {
    state: ConnectionState,
    since: Time,
    /// It has been asked to leave, which holds when a request came in the same moment.
    told: bool,
}

/// Connections of one manner, ordered by how long each has stood as it does.
#[derive(Default)]
struct ConnectionTable {
    seats: BTreeMap<ConnectionId, ConnectionSlot>,
    order: [BTreeSet<(Time, ConnectionId)>; CONNECTION_STATES],
}

impl ConnectionTable {
    fn count(&self, state: ConnectionState) -> usize {
        self.order[state as usize].len()
    }

    /// Those that hold a place and were not asked to give it back.
    fn staying(&self) -> usize {
        self.seats.len() - self.count(ConnectionState::Leaving)
    }

    fn sit(&mut self, id: ConnectionId, now: Time) {
        self.order[ConnectionState::Silent as usize].insert((now, id));
        self.seats.insert(id, ConnectionSlot { state: ConnectionState::Silent, since: now, told: false });
    }

    fn stand(&mut self, id: ConnectionId, state: ConnectionState, now: Time) {
        let Some(seat) = self.seats.get_mut(&id) else { return };
        let state =
            if seat.told && state != ConnectionState::Busy { ConnectionState::Leaving } else { state };
        self.order[seat.state as usize].remove(&(seat.since, id));
        self.order[state as usize].insert((now, id));
        (seat.state, seat.since) = (state, now);
    }

    fn rise(&mut self, id: ConnectionId) -> bool {
        let Some(seat) = self.seats.remove(&id) else { return false };
        self.order[seat.state as usize].remove(&(seat.since, id))
    }

    fn oldest(&self, state: ConnectionState) -> Option<(Time, ConnectionId)> {
        self.order[state as usize].first().copied()
    }

    /// Asks the one that has stood like this longest to leave, if for so long.
    fn dismiss(&mut self, state: ConnectionState, least: Span, now: Time, out: &mut Vec<Action>) -> bool {
        let Some((since, id)) = self.oldest(state) else { return false };
        if now.0.saturating_sub(since.0) < least.0 {
            return false;
        }
        if let Some(seat) = self.seats.get_mut(&id) {
            seat.told = true;
        }
        self.stand(id, ConnectionState::Leaving, now);
        out.push(Action::Leave(id));
        true
    }
}

/// The door of one proxy.
pub struct ConnectionAdmission {
    limits: AdmissionLimits,
    /// Of the connections that clients may hold for requests, those that may be open at a time before the idle
    /// ones among them leave.
    wanted: usize,
    silent_most: usize,
    served: ConnectionTable,
    refused: ConnectionTable,
    wake: Option<Time>,
    /// The smoothed gap between places that come free, the moment of the last, and refusals since then.
    gap: Option<f64>,
    freed: Option<Time>,
    turned: u64,
}

impl ConnectionAdmission {
    /// Nobody is in.
    pub fn new(limits: AdmissionLimits) -> ConnectionAdmission {
        let part = |of: usize, part: f64| (of as f64 * part) as usize;
        ConnectionAdmission {
            wanted: limits.max_request_connections - part(limits.max_request_connections, FREE_PART),
            silent_most: part(limits.max_served, SILENT_PART).max(1),
            limits,
            served: ConnectionTable::default(),
            refused: ConnectionTable::default(),
            wake: None,
            gap: None,
            freed: None,
            turned: 0,
        }
    }

    /// Takes an event in and pushes what is to be done about it, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(id) => self.arrived(now, id, out),
            Event::Started(id) => self.stand(id, ConnectionState::Started, now),
            Event::Asked(id) => self.stand(id, ConnectionState::Busy, now),
            Event::Answered(id) => self.stand(id, ConnectionState::Idle, now),
            Event::Left(id) => self.left(now, id),
            Event::Woke => self.wake = None,
        }
        self.keep_free(now, out);
    }

    /// Connections that hold a descriptor now.
    pub fn held(&self) -> usize {
        self.served.seats.len() + self.refused.seats.len()
    }

    /// Whether somebody was asked to leave and has not left.
    pub fn has_closing(&self) -> bool {
        self.served.count(ConnectionState::Leaving) + self.refused.count(ConnectionState::Leaving) > 0
    }

    fn stand(&mut self, id: ConnectionId, state: ConnectionState, now: Time) {
        self.served.stand(id, state, now);
        self.refused.stand(id, state, now);
    }

    fn arrived(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Action>) {
        if self.served.count(ConnectionState::Silent) >= self.silent_most {
            self.served.dismiss(ConnectionState::Silent, Span(0), now, out);
        }
        if self.seat(now, out) {
            self.served.sit(id, now);
            out.push(Action::Serve(id));
            return;
        }
        if self.stand_free(now, out) {
            self.refused.sit(id, now);
            out.push(Action::Refuse(id, self.advice()));
        } else {
            out.push(Action::TurnAway(id));
        }
    }

    /// Whether there is a place for a newcomer, made if need be.
    fn seat(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.served.seats.len() >= self.limits.max_served + self.limits.max_closing {
            return false;
        }
        if self.served.staying() < self.limits.max_served {
            return true;
        }
        let longest_first =
            match (self.served.oldest(ConnectionState::Silent), self.served.oldest(ConnectionState::Started))
            {
                (Some(silent), Some(started)) if started < silent => {
                    [ConnectionState::Started, ConnectionState::Silent]
                }
                _ => [ConnectionState::Silent, ConnectionState::Started],
            };
        let [first, second] = longest_first.map(|state| (state, SUSPECT_AFTER));
        [first, second, (ConnectionState::Idle, IDLE_LONG), (ConnectionState::Idle, IDLE_SOME)]
            .into_iter()
            .any(|(state, least)| self.served.dismiss(state, least, now, out))
    }

    /// Whether there is a stand for somebody who is refused, made if need be.
    fn stand_free(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.refused.seats.len() < self.limits.max_rejected {
            return true;
        }
        if !self.refused.order[ConnectionState::Leaving as usize].is_empty() {
            return false;
        }
        // Who comes now is turned away; whoever comes next finds the stand free.
        for state in [ConnectionState::Silent, ConnectionState::Started, ConnectionState::Idle] {
            if self.refused.dismiss(state, SUSPECT_AFTER, now, out) {
                break;
            }
        }
        false
    }

    fn left(&mut self, now: Time, id: ConnectionId) {
        if !self.served.rise(id) {
            self.refused.rise(id);
            return;
        }
        if let Some(before) = self.freed.replace(now) {
            let gap = now.0.saturating_sub(before.0) as f64;
            self.gap = Some(self.gap.map_or(gap, |old| old + GAP_NEW * (gap - old)));
        }
        self.turned = 0;
    }

    /// When a place should be free for one more of those refused: places come free at the rate seen, and those
    /// refused since the last one come before.
    fn advice(&mut self) -> Span {
        self.turned += 1;
        let longest = self.limits.max_retry_after.max(ADVICE_LEAST);
        let Some(gap) = self.gap else { return ADVICE_FIRST.min(longest) };
        Span((gap * self.turned as f64) as u64).clamp(ADVICE_LEAST, longest)
    }

    /// Keeps some of the clients' connections for requests free.
    fn keep_free(&mut self, now: Time, out: &mut Vec<Action>) {
        let asking = self.served.count(ConnectionState::Idle) + self.served.count(ConnectionState::Busy);
        for _ in self.wanted..asking {
            if !self.served.dismiss(ConnectionState::Idle, IDLE_LEAST, now, out) {
                break;
            }
        }
        let asking = self.served.count(ConnectionState::Idle) + self.served.count(ConnectionState::Busy);
        let Some((since, _)) = self.served.oldest(ConnectionState::Idle).filter(|_| asking > self.wanted)
        else {
            return;
        };
        let at = Time(since.0 + IDLE_LEAST.0);
        if self.wake.is_none_or(|wake| wake > at) {
            self.wake = Some(at);
            out.push(Action::Wake(at));
        }
    }
}
