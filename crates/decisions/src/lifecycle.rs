//! Serving, draining, standing by, stopping: one state machine for operators' calls, signals and upgrades. It is told
//! what happened and when, and says how clients are treated; it must never say that a connection with an open request
//! be ended.

use crate::api::Time;

/// From the start of a drain or stop, newcomers still come and kept connections still ask for so long: the platform's
/// front keeps sending for up to 0.4 s. In microseconds.
const STILL_COMING: u64 = 450_000;

/// From the start of a stop, requests are taken for so long: the platform ends the process without regard to what came
/// over 0.7 s after it. In microseconds.
const TAKEN_FOR: u64 = 600_000;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Operators want it drained.
    Standby,
    /// Operators want it back.
    Active,
    /// The process was told to stop. Where a successor takes newcomers from the same socket, it need not.
    Stop {
        /// A successor serves.
        handed_over: bool,
    },
}

/// The process is stopping: it neither drains nor serves again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping;

/// How clients are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingState {
    /// The empty query, by which the front asks whether to send clients, is answered yes.
    pub reports_ready: bool,
    /// Newcomers are accepted, and served.
    pub accepts_connections: bool,
    /// A connection ends once no request of it is open.
    pub closes_idle: bool,
    /// What still comes is refused at once: there may be no time left to serve it.
    pub rejects_requests: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    Draining { since: Time },
    Stopping { since: Time, closing_from: Time, handed_over: bool },
}

/// The state of one process.
#[derive(Debug)]
pub struct Lifecycle(State);

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle(State::Serving)
    }
}

fn after(since: Time) -> Time {
    Time(since.0.saturating_add(STILL_COMING))
}

impl Lifecycle {
    /// Takes an event in. Said again, it changes nothing: a second call doesn't prolong a drain.
    pub fn handle(&mut self, now: Time, event: Event) -> Result<(), Stopping> {
        self.0 = match (event, self.0) {
            (Event::Standby, State::Serving) => State::Draining { since: now },
            (Event::Standby, draining @ State::Draining { .. }) => draining,
            (Event::Active, State::Serving | State::Draining { .. }) => State::Serving,
            (Event::Standby | Event::Active, State::Stopping { .. }) => return Err(Stopping),
            (Event::Stop { .. }, stopping @ State::Stopping { .. }) => stopping,
            (Event::Stop { handed_over }, before) => {
                // What drains already closes when it would have; nobody is kept longer for a stop.
                let closing_from = match before {
                    State::Draining { since } => after(since).min(after(now)),
                    _ => after(now),
                };
                State::Stopping { since: now, closing_from, handed_over }
            }
        };
        Ok(())
    }

    /// Whether clients are taken: neither draining, nor standing by, nor stopping.
    pub fn is_serving(&self) -> bool {
        self.0 == State::Serving
    }

    /// Whether the process stops.
    pub fn is_stopping(&self) -> bool {
        matches!(self.0, State::Stopping { .. })
    }

    /// How clients are treated now. A stop leaves the front's question answered as it was: what the front then sends
    /// is still served, or its successor serves at the same address.
    pub fn serving_state(&self, now: Time) -> ServingState {
        match self.0 {
            State::Serving => ServingState {
                reports_ready: true,
                accepts_connections: true,
                closes_idle: false,
                rejects_requests: false,
            },
            State::Draining { since } => ServingState {
                reports_ready: false,
                accepts_connections: true,
                closes_idle: now >= after(since),
                rejects_requests: false,
            },
            State::Stopping { since, closing_from, handed_over } => {
                let rejects_requests = now.0 >= since.0.saturating_add(TAKEN_FOR);
                let accepts_connections = !handed_over && now < after(since);
                ServingState {
                    reports_ready: true,
                    accepts_connections,
                    closes_idle: now >= closing_from,
                    rejects_requests,
                }
            }
        }
    }

    /// When the view changes next by itself.
    pub fn wake(&self, now: Time) -> Option<Time> {
        let moments = match self.0 {
            State::Serving => [None; 3],
            State::Draining { since } => [Some(after(since)), None, None],
            State::Stopping { since, closing_from, .. } => {
                [Some(after(since)), Some(closing_from), Some(Time(since.0.saturating_add(TAKEN_FOR)))]
            }
        };
        moments.into_iter().flatten().filter(|at| *at > now).min()
    }
}
