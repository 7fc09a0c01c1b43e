//! The lifecycle of a process (serving, draining, standby, stopping): one state machine for operators' calls, signals
//! and upgrades.
//!
//! It receives timed events and returns how clients are to be treated. It must never cause a connection to be closed
//! while one of its requests is open.

use crate::api::{Micros, Time};
use crate::list_lease::READY_WITHIN;
use std::fmt;

/// Time from the start of a drain or stop until the platform's load balancer sends no more clients to the process: up
/// to 0.4 s, plus a margin.
const LOAD_BALANCER_SEND_TIME: Micros = Micros(450_000);

/// Requests are accepted for this long after a stop begins: when the platform terminates the process, it does not wait
/// for requests that arrived more than 0.7 s after the stop.
const REQUEST_ACCEPT_TIME: Micros = Micros(600_000);

/// An event in the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list of members is confirmed, or discovery is unreachable and the saved list may be used.
    ListKnown,
    /// Operators drain the process.
    Standby,
    /// Operators put the process back in service.
    Active,
    /// The process must stop.
    Stop {
        /// A successor accepts new connections on the same socket, so that this process stops accepting at once.
        handed_over: bool,
    },
}

/// The event was rejected because the process is stopping, which cannot be undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping;

impl fmt::Display for Stopping {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the process is stopping")
    }
}

impl std::error::Error for Stopping {}

/// How clients are to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingState {
    /// The empty query, which the load balancer sends as its readiness check, is answered with success.
    pub reports_ready: bool,
    /// The process has started and is waiting for [`Event::ListKnown`]. The answer to the empty query is delayed until
    /// that event, or until [`READY_WITHIN`] after the start.
    pub is_starting: bool,
    /// The process is stopping.
    pub is_stopping: bool,
    /// New connections are accepted and served.
    pub accepts_connections: bool,
    /// Each connection is closed once it has no open request.
    pub closes_idle: bool,
    /// New requests are rejected at once, since the process may be terminated before they are served.
    pub rejects_requests: bool,
}

/// The lifecycle state of one process.
#[derive(Debug, Default)]
pub struct Lifecycle {
    phase: Phase,
    /// When the starting phase ends; `None` after [`Event::ListKnown`].
    starting_until: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Serving,
    Draining {
        since: Time,
    },
    Stopping {
        since: Time,
        close_idle_from: Time,
        handed_over: bool,
    },
}

impl Lifecycle {
    /// A process that starts at `now` with an unconfirmed list of members.
    pub fn starting(now: Time) -> Lifecycle {
        let starting_until = Some(Time(now.0.saturating_add(READY_WITHIN.0)));
        Lifecycle { starting_until, ..Lifecycle::default() }
    }

    /// Handles an event. A repeated event changes nothing; in particular it does not extend a drain.
    ///
    /// # Errors
    ///
    /// [`Stopping`] if the process is stopping and the event is `Standby` or `Active`.
    pub fn handle(&mut self, now: Time, event: Event) -> Result<(), Stopping> {
        self.phase = match (event, self.phase) {
            (Event::ListKnown, phase) => {
                self.starting_until = None;
                phase
            }
            (Event::Standby, Phase::Serving) => Phase::Draining { since: now },
            (Event::Standby, draining @ Phase::Draining { .. }) => draining,
            (Event::Active, Phase::Serving | Phase::Draining { .. }) => Phase::Serving,
            (Event::Standby | Event::Active, Phase::Stopping { .. }) => return Err(Stopping),
            (Event::Stop { .. }, stopping @ Phase::Stopping { .. }) => stopping,
            (Event::Stop { handed_over }, Phase::Serving) => {
                Phase::Stopping { since: now, close_idle_from: load_balancer_stopped_at(now), handed_over }
            }
            // A stop during a drain must not keep idle connections longer than the drain would have.
            (Event::Stop { handed_over }, Phase::Draining { since }) => {
                let close_idle_from = load_balancer_stopped_at(since).min(load_balancer_stopped_at(now));
                Phase::Stopping { since: now, close_idle_from, handed_over }
            }
        };
        Ok(())
    }

    /// Whether the process is serving, that is, neither draining, nor on standby, nor stopping.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }

    /// How clients are to be treated at `now`. While the process is stopping, the empty query is answered with success:
    /// clients that the load balancer then sends are served by this process, or by a successor at the same address.
    pub fn serving_state(&self, now: Time) -> ServingState {
        let is_starting = self.starting_until.is_some_and(|until| now < until);
        match self.phase {
            Phase::Serving => ServingState {
                reports_ready: true,
                is_starting,
                is_stopping: false,
                accepts_connections: true,
                closes_idle: false,
                rejects_requests: false,
            },
            Phase::Draining { since } => ServingState {
                reports_ready: false,
                is_starting: false,
                is_stopping: false,
                accepts_connections: true,
                closes_idle: now >= load_balancer_stopped_at(since),
                rejects_requests: false,
            },
            Phase::Stopping { since, close_idle_from, handed_over } => ServingState {
                reports_ready: true,
                is_starting: false,
                is_stopping: true,
                accepts_connections: !handed_over && now < load_balancer_stopped_at(since),
                closes_idle: now >= close_idle_from,
                rejects_requests: now >= requests_rejected_from(since),
            },
        }
    }

    /// The earliest time after `now` at which [`Lifecycle::serving_state`] may change without another event; `None` if
    /// it cannot.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let is_in_future = |at: &Time| *at > now;
        match self.phase {
            Phase::Serving => self.starting_until.filter(is_in_future),
            Phase::Draining { since } => Some(load_balancer_stopped_at(since)).filter(is_in_future),
            Phase::Stopping { since, close_idle_from, .. } => {
                let changes =
                    [load_balancer_stopped_at(since), close_idle_from, requests_rejected_from(since)];
                changes.into_iter().filter(is_in_future).min()
            }
        }
    }
}

fn load_balancer_stopped_at(since: Time) -> Time {
    Time(since.0.saturating_add(LOAD_BALANCER_SEND_TIME.0))
}

fn requests_rejected_from(stop: Time) -> Time {
    Time(stop.0.saturating_add(REQUEST_ACCEPT_TIME.0))
}
