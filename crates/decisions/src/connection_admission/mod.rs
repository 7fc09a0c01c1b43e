//! Admission of clients' connections: which are served, which are asked to close to make room, and which are
//! rejected, with the time after which to retry.
//!
//! A state machine without sockets and without a clock: [`ConnectionAdmission::handle`] is told what happened
//! and when, and pushes what is to be done. It must never ask a connection to close while a request of it is
//! open.
//!
//! Two resources run short here. The first is slots: descriptors that this process has for clients. The
//! second is request connections: the platform lets its clients hold a third of the descriptors for requests,
//! so clients that send one request and then hold their connection use up all of theirs long before the slots
//! are taken, and whoever comes then can't even connect. Some of those connections are therefore kept free by
//! closing the ones that have been idle longest (`docs/design/door.md`).

mod retry_after;
mod table;

use crate::api::{Micros, Time};
use retry_after::RetryAfterEstimator;
use table::{ConnectionState, ConnectionTable};

/// One connection. The driver numbers them and never uses a number again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// How many connections there may be of each kind.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Connections that are served.
    pub max_served: usize,
    /// Connections beyond those, whose first request is rejected.
    pub max_rejected: usize,
    /// Connections beyond `max_served` that were asked to close and have not closed yet.
    pub max_closing: usize,
    /// Connections that clients may hold for requests, by the platform's promise.
    pub max_request_connections: usize,
    /// The longest time after which to retry that may be named.
    pub max_retry_after: Micros,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was accepted.
    Accepted(ConnectionId),
    /// It has sent its startup message, and no request of it is open.
    Started(ConnectionId),
    /// A request of it is open.
    RequestOpened(ConnectionId),
    /// No request of it is open any more.
    RequestsFinished(ConnectionId),
    /// It has ended.
    Closed(ConnectionId),
    /// The moment of [`Action::SetTimer`] has come.
    TimerFired,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Serve the new connection.
    Serve(ConnectionId),
    /// Reject the first request of the new connection; its client may retry after this time.
    Reject(ConnectionId, Micros),
    /// Close the new connection at once; it is not known here.
    CloseAtOnce(ConnectionId),
    /// Ask a connection to close as soon as no request of it is open.
    RequestClose(ConnectionId),
    /// Send [`Event::TimerFired`] at this time; replaces an earlier timer.
    SetTimer(Time),
}

/// The share of clients' request connections that is kept free: at 300 requests a second of under 100 ms
/// each, some 30 are open at once, and a quarter of 85 to 341 lets nearly as many come in the same moment.
const FREE_SHARE: f64 = 0.25;
/// A connection stays at least this long after its answer, because the client's next request may be on the
/// way. At the busiest, 900 requests a second on new connections each, a third of 256 descriptors lasts for
/// 70 ms.
const IDLE_MIN: Micros = Micros(20_000);
/// When all slots are taken, a connection that has sent no request for this long makes room first: a client
/// that connects in order to send a request does so with the startup message or a round trip later.
const SUSPECT_AFTER: Micros = Micros(200_000);
/// Next, one that has been idle for this long: nobody counts on a connection after 2 s (the platform's own
/// figure).
const IDLE_LONG: Micros = Micros(2_000_000);
/// Last, one that has been idle for this long, rather than that the new connection is rejected.
const IDLE_SHORT: Micros = Micros(200_000);
/// At most this share of the slots is for connections that have not sent their startup message.
const SILENT_SHARE: f64 = 0.25;

/// The connections of one proxy.
pub struct ConnectionAdmission {
    limits: AdmissionLimits,
    /// Request connections beyond which idle ones are closed, so that clients always have some free.
    request_connections_target: usize,
    silent_max: usize,
    served: ConnectionTable,
    rejected: ConnectionTable,
    timer: Option<Time>,
    retry_after: RetryAfterEstimator,
}

impl ConnectionAdmission {
    /// No connections yet.
    pub fn new(limits: AdmissionLimits) -> ConnectionAdmission {
        let kept_free = share_of(limits.max_request_connections, FREE_SHARE);
        ConnectionAdmission {
            limits,
            request_connections_target: limits.max_request_connections - kept_free,
            silent_max: share_of(limits.max_served, SILENT_SHARE).max(1),
            served: ConnectionTable::default(),
            rejected: ConnectionTable::default(),
            timer: None,
            retry_after: RetryAfterEstimator::new(limits.max_retry_after),
        }
    }

    /// Handles an event and pushes what is to be done about it, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Accepted(id) => self.on_accepted(now, id, out),
            Event::Started(id) => self.set_state(id, ConnectionState::Started, now),
            Event::RequestOpened(id) => self.set_state(id, ConnectionState::Busy, now),
            Event::RequestsFinished(id) => self.set_state(id, ConnectionState::Idle, now),
            Event::Closed(id) => self.on_closed(now, id),
            Event::TimerFired => self.timer = None,
        }
        self.keep_request_connections_free(now, out);
    }

    /// Connections that hold a descriptor now.
    pub fn open_connections(&self) -> usize {
        self.served.len() + self.rejected.len()
    }

    /// Whether any connection was asked to close and has not closed.
    pub fn has_closing(&self) -> bool {
        let closing = |table: &ConnectionTable| table.count(ConnectionState::Closing);
        closing(&self.served) + closing(&self.rejected) > 0
    }

    fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: Time) {
        self.served.set_state(id, state, now);
        self.rejected.set_state(id, state, now);
    }

    fn on_accepted(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Action>) {
        if self.served.count(ConnectionState::Silent) >= self.silent_max {
            self.close_served(ConnectionState::Silent, Micros(0), now, out);
        }
        if self.make_served_slot(now, out) {
            self.served.insert(id, now);
            out.push(Action::Serve(id));
        } else if self.make_rejected_slot(now, out) {
            self.rejected.insert(id, now);
            out.push(Action::Reject(id, self.retry_after.next()));
        } else {
            out.push(Action::CloseAtOnce(id));
        }
    }

    fn on_closed(&mut self, now: Time, id: ConnectionId) {
        if self.served.remove(id) {
            self.retry_after.slot_freed(now);
        } else {
            self.rejected.remove(id);
        }
    }

    /// Whether a new connection can be served; if need be, another one is asked to make room.
    fn make_served_slot(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.served.len() >= self.limits.max_served + self.limits.max_closing {
            return false;
        }
        if self.served.len_without_closing() < self.limits.max_served {
            return true;
        }
        let [first, second] = self.suspects_oldest_first();
        let candidates = [
            (first, SUSPECT_AFTER),
            (second, SUSPECT_AFTER),
            (ConnectionState::Idle, IDLE_LONG),
            (ConnectionState::Idle, IDLE_SHORT),
        ];
        candidates.into_iter().any(|(state, min_age)| self.close_served(state, min_age, now, out))
    }

    /// The two states without a request, the one that has lasted longest for any connection first.
    fn suspects_oldest_first(&self) -> [ConnectionState; 2] {
        let silent = self.served.oldest(ConnectionState::Silent);
        let started = self.served.oldest(ConnectionState::Started);
        match (silent, started) {
            (Some(silent), Some(started)) if started < silent => {
                [ConnectionState::Started, ConnectionState::Silent]
            }
            _ => [ConnectionState::Silent, ConnectionState::Started],
        }
    }

    /// Whether a new connection can be kept until its first request is rejected. If not, another one is asked
    /// to make room, which the connection after this one finds free.
    fn make_rejected_slot(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.rejected.len() < self.limits.max_rejected {
            return true;
        }
        if self.rejected.count(ConnectionState::Closing) > 0 {
            return false;
        }
        let states = [ConnectionState::Silent, ConnectionState::Started, ConnectionState::Idle];
        let closed =
            states.into_iter().find_map(|state| self.rejected.close_oldest(state, SUSPECT_AFTER, now));
        out.extend(closed.map(Action::RequestClose));
        false
    }

    /// Asks the served connection that has been longest in this state to close, if it has been so for
    /// `min_age`.
    fn close_served(
        &mut self, state: ConnectionState, min_age: Micros, now: Time, out: &mut Vec<Action>,
    ) -> bool {
        let closed = self.served.close_oldest(state, min_age, now);
        out.extend(closed.map(Action::RequestClose));
        closed.is_some()
    }

    /// Closes idle connections while clients hold more request connections than the target, and sets a timer
    /// if the oldest idle one is not old enough yet.
    fn keep_request_connections_free(&mut self, now: Time, out: &mut Vec<Action>) {
        for _ in self.request_connections_target..self.request_connections() {
            if !self.close_served(ConnectionState::Idle, IDLE_MIN, now, out) {
                break;
            }
        }
        if self.request_connections() <= self.request_connections_target {
            return;
        }
        let Some((idle_since, _)) = self.served.oldest(ConnectionState::Idle) else { return };
        let due = Time(idle_since.0 + IDLE_MIN.0);
        if self.timer.is_none_or(|timer| timer > due) {
            self.timer = Some(due);
            out.push(Action::SetTimer(due));
        }
    }

    /// Served connections on which a request was sent, and which were not asked to close.
    fn request_connections(&self) -> usize {
        self.served.count(ConnectionState::Idle) + self.served.count(ConnectionState::Busy)
    }
}

/// A share (0 to 1) of a number, rounded down.
fn share_of(whole: usize, share: f64) -> usize {
    (whole as f64 * share) as usize
}
