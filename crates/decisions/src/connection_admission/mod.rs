//! Admission control for client connections: which are served, which are closed to free a slot, and which are rejected
//! with a Retry-After time.
//!
//! A state machine without sockets and without a clock: [`ConnectionAdmission::handle`] receives timed events and
//! pushes actions. It must never request the close of a connection that has an open request.
//!
//! Two resources are limited. The first is slots: file descriptors that this process has for clients. The second is
//! request connections: the platform lets its clients hold a third of the descriptors for requests, so clients that
//! send one request and then keep their connection exhaust that third long before the slots, and further clients cannot
//! connect. Some request connections are therefore kept free by closing those that have been idle longest
//! (`docs/design/door.md`).

mod retry_after;
mod table;

use crate::api::{Micros, Time};
use retry_after::RetryAfterEstimator;
use table::{ConnectionState, ConnectionTable};

/// Identifies a connection. The driver assigns the numbers and never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Limits on the connections of each kind.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Connections that are served.
    pub max_served: usize,
    /// Additional connections whose first request is rejected.
    pub max_rejected: usize,
    /// Additional served connections whose close was requested and is not complete.
    pub max_closing: usize,
    /// Connections that clients may hold for requests, as guaranteed by the platform.
    pub max_request_connections: usize,
    /// Longest Retry-After time that a rejection may carry.
    pub max_retry_after: Micros,
}

/// An event of a connection, or the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was accepted.
    Accepted(ConnectionId),
    /// The connection has sent its startup message and has no open request.
    Started(ConnectionId),
    /// The connection has an open request.
    RequestOpened(ConnectionId),
    /// The last open request of the connection has completed.
    RequestsFinished(ConnectionId),
    /// The connection was closed.
    Closed(ConnectionId),
    /// The time of [`Action::SetTimer`] was reached.
    TimerFired,
}

/// An action that the driver must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Serve the new connection.
    Serve(ConnectionId),
    /// Reject the first request of the new connection, with this Retry-After time.
    Reject(ConnectionId, Micros),
    /// Close the new connection at once. It is not tracked, so no event of it is expected.
    CloseAtOnce(ConnectionId),
    /// Close a connection as soon as it has no open request.
    RequestClose(ConnectionId),
    /// Send [`Event::TimerFired`] at this time. Replaces the previous timer.
    SetTimer(Time),
}

/// Share of the request connections that is kept free. At 300 requests per second of under 100 ms each, up to 30 are
/// open at once; a quarter of 85 to 341 connections, that is 21 to 85, has room for a burst of about that size.
const FREE_SHARE: f64 = 0.25;
/// Shortest time that a connection is kept after its last request, because the client's next one may be in transit. A
/// third of 256 descriptors, less [`FREE_SHARE`], is 64 connections. At the peak load, 900 requests per second on a new
/// connection each, a connection can be open for 64/900 s, about 70 ms; 20 ms of idle time leave 50 ms for the request.
const IDLE_MIN: Micros = Micros(20_000);
/// When all slots are taken, the first connection to close is one that has sent no request and has been in its state
/// for this long: a client that connects to send a request sends it with the startup message or one round trip later. A
/// rejected connection without an open request may be closed after this long as well.
const NO_REQUEST_MIN: Micros = Micros(200_000);
/// When all slots are taken and no connection without a request can be closed, a connection that has been idle for this
/// long is closed: by the platform's rules, clients do not rely on a connection after 2 s.
const IDLE_LONG: Micros = Micros(2_000_000);
/// When all slots are taken and no other connection can be closed, a connection that has been idle for this long is
/// closed in preference to rejecting the new one.
const IDLE_SHORT: Micros = Micros(200_000);
/// Share of the slots for connections that have not sent their startup message. Once they are taken, each new
/// connection causes the oldest of these to be closed, whatever its age.
const AWAITING_STARTUP_SHARE: f64 = 0.25;

/// The connections of one proxy.
pub struct ConnectionAdmission {
    limits: AdmissionLimits,
    /// Number of request connections above which idle ones are closed, so that some always remain free.
    request_connections_target: usize,
    awaiting_startup_max: usize,
    served: ConnectionTable,
    rejected: ConnectionTable,
    timer: Option<Time>,
    retry_after: RetryAfterEstimator,
}

impl ConnectionAdmission {
    /// Admission control without connections.
    pub fn new(limits: AdmissionLimits) -> ConnectionAdmission {
        let kept_free = share_of(limits.max_request_connections, FREE_SHARE);
        ConnectionAdmission {
            limits,
            request_connections_target: limits.max_request_connections - kept_free,
            awaiting_startup_max: share_of(limits.max_served, AWAITING_STARTUP_SHARE).max(1),
            served: ConnectionTable::default(),
            rejected: ConnectionTable::default(),
            timer: None,
            retry_after: RetryAfterEstimator::new(limits.max_retry_after),
        }
    }

    /// Handles an event and pushes the resulting actions to `out`, in order.
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

    /// Number of tracked connections, each of which holds a descriptor.
    pub fn open_connections(&self) -> usize {
        self.served.len() + self.rejected.len()
    }

    /// Whether any connection is closing: its close was requested, it has no open request, and it is not closed yet.
    pub fn has_closing(&self) -> bool {
        let closing = |table: &ConnectionTable| table.count(ConnectionState::Closing);
        closing(&self.served) + closing(&self.rejected) > 0
    }

    fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: Time) {
        self.served.set_state(id, state, now);
        self.rejected.set_state(id, state, now);
    }

    fn on_accepted(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Action>) {
        if self.served.count(ConnectionState::AwaitingStartup) >= self.awaiting_startup_max {
            self.close_served(ConnectionState::AwaitingStartup, Micros(0), now, out);
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

    /// Whether a new connection can be served. If all slots are taken, it can be only if the close of another
    /// connection is requested and `max_closing` is not reached.
    fn make_served_slot(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.served.len() >= self.limits.max_served + self.limits.max_closing {
            return false;
        }
        if self.served.len_without_closing() < self.limits.max_served {
            return true;
        }
        let [first, second] = self.requestless_states_oldest_first();
        let candidates = [
            (first, NO_REQUEST_MIN),
            (second, NO_REQUEST_MIN),
            (ConnectionState::Idle, IDLE_LONG),
            (ConnectionState::Idle, IDLE_SHORT),
        ];
        candidates.into_iter().any(|(state, min_age)| self.close_served(state, min_age, now, out))
    }

    /// The two states before the first request, ordered by the age of the oldest connection in each, oldest first.
    fn requestless_states_oldest_first(&self) -> [ConnectionState; 2] {
        let awaiting_startup = self.served.oldest(ConnectionState::AwaitingStartup);
        let started = self.served.oldest(ConnectionState::Started);
        match (awaiting_startup, started) {
            (Some(awaiting_startup), Some(started)) if started < awaiting_startup => {
                [ConnectionState::Started, ConnectionState::AwaitingStartup]
            }
            _ => [ConnectionState::AwaitingStartup, ConnectionState::Started],
        }
    }

    /// Whether there is room for a new connection whose first request will be rejected. If not, and if none is closing
    /// already, the close of another one is requested, which makes room for a later connection.
    fn make_rejected_slot(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        if self.rejected.len() < self.limits.max_rejected {
            return true;
        }
        if self.rejected.count(ConnectionState::Closing) > 0 {
            return false;
        }
        let states = [ConnectionState::AwaitingStartup, ConnectionState::Started, ConnectionState::Idle];
        let closed =
            states.into_iter().find_map(|state| self.rejected.close_oldest(state, NO_REQUEST_MIN, now));
        out.extend(closed.map(Action::RequestClose));
        false
    }

    /// Requests the close of the served connection that has been in this state longest, if for at least `min_age`.
    /// Returns whether a close was requested.
    fn close_served(
        &mut self, state: ConnectionState, min_age: Micros, now: Time, out: &mut Vec<Action>,
    ) -> bool {
        let closed = self.served.close_oldest(state, min_age, now);
        out.extend(closed.map(Action::RequestClose));
        closed.is_some()
    }

    /// Requests the close of connections that have been idle for [`IDLE_MIN`] while clients hold more request
    /// connections than the target. If too many remain, sets a timer for when the oldest idle one may be closed.
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

    /// Number of served connections that have sent a request, without those that are closing and have no open request.
    fn request_connections(&self) -> usize {
        self.served.count(ConnectionState::Idle) + self.served.count(ConnectionState::Busy)
    }
}

/// A share (0 to 1) of a number, rounded down.
fn share_of(total: usize, share: f64) -> usize {
    (total as f64 * share) as usize
}
