//! Serving, draining, standing by, stopping: one state machine for operators' calls, signals and upgrades.
//!
//! It is told what happened and when, and says how clients are treated. It must never let a connection be
//! ended while a request of it is open.

use crate::api::{Micros, Time};
use crate::list_lease::READY_WITHIN;
use std::fmt;

/// After a drain or stop begins, new connections and requests still arrive for this long: the platform's
/// front keeps sending for up to 0.4 s.
const FRONT_SENDS_FOR: Micros = Micros(450_000);

/// After a stop begins, requests are accepted for this long: the platform ends the process regardless of
/// requests that arrived more than 0.7 s after it.
const REQUESTS_ACCEPTED_FOR: Micros = Micros(600_000);

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list of members is known, or it is known that nobody can tell it.
    ListKnown,
    /// Operators drain the process.
    Standby,
    /// Operators put it back in service.
    Active,
    /// The process was told to stop.
    Stop {
        /// A successor accepts new connections from the same socket, so that this process need not.
        handed_over: bool,
    },
}

/// The process is stopping: it neither drains nor serves again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping;

impl fmt::Display for Stopping {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the process is stopping")
    }
}

impl std::error::Error for Stopping {}

/// How clients are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingState {
    /// The empty query, by which the front asks whether to send clients, is answered with yes.
    pub reports_ready: bool,
    /// The process has just started and does not know yet which members there are: the answer to the empty query is
    /// held until it does.
    pub is_starting: bool,
    /// The process was told to stop.
    pub is_stopping: bool,
    /// New connections are accepted and served.
    pub accepts_connections: bool,
    /// A connection is closed once no request of it is open.
    pub closes_idle: bool,
    /// New requests are rejected at once: there may be no time left to serve them.
    pub rejects_requests: bool,
}

/// The state of one process.
#[derive(Debug, Default)]
pub struct Lifecycle {
    phase: Phase,
    /// Until when the process counts as starting, unless the list is known before.
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
    /// A process that has just started, with a list that nobody has confirmed yet.
    pub fn starting(now: Time) -> Lifecycle {
        let starting_until = Some(Time(now.0.saturating_add(READY_WITHIN.0)));
        Lifecycle { starting_until, ..Lifecycle::default() }
    }

    /// Handles an event. A repeated one changes nothing: a second call does not prolong a drain.
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
                Phase::Stopping { since: now, close_idle_from: front_silent_at(now), handed_over }
            }
            // A stop keeps no connection for longer than the drain before it would have.
            (Event::Stop { handed_over }, Phase::Draining { since }) => {
                let close_idle_from = front_silent_at(since).min(front_silent_at(now));
                Phase::Stopping { since: now, close_idle_from, handed_over }
            }
        };
        Ok(())
    }

    /// Whether the process serves: it is neither draining, nor standing by, nor stopping.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }

    /// How clients are treated at `now`. A stop leaves the answer to the front's empty query as it was: what
    /// the front then sends is still served, or a successor serves it at the same address.
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
                closes_idle: now >= front_silent_at(since),
                rejects_requests: false,
            },
            Phase::Stopping { since, close_idle_from, handed_over } => ServingState {
                reports_ready: true,
                is_starting: false,
                is_stopping: true,
                accepts_connections: !handed_over && now < front_silent_at(since),
                closes_idle: now >= close_idle_from,
                rejects_requests: now >= requests_end_at(since),
            },
        }
    }

    /// When [`Lifecycle::serving_state`] changes next without a further event.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let is_ahead = |at: &Time| *at > now;
        match self.phase {
            Phase::Serving => self.starting_until.filter(is_ahead),
            Phase::Draining { since } => Some(front_silent_at(since)).filter(is_ahead),
            Phase::Stopping { since, close_idle_from, .. } => {
                let changes = [front_silent_at(since), close_idle_from, requests_end_at(since)];
                changes.into_iter().filter(is_ahead).min()
            }
        }
    }
}

fn front_silent_at(since: Time) -> Time {
    Time(since.0.saturating_add(FRONT_SENDS_FOR.0))
}

fn requests_end_at(stop: Time) -> Time {
    Time(stop.0.saturating_add(REQUESTS_ACCEPTED_FOR.0))
}
