//! Checks the invariant of budgets from outside: the units in use never exceed the total. The checker counts uses alone.
//! It must never look at leases or quotas, since those are what it checks.

use std::error::Error;
use std::fmt;

/// How many entries of a history are kept: its beginning, which is what a failure is explained by.
const HISTORY_ENTRIES_MAX: usize = 400;

/// What a simulation found wrong. Times are real times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// More units were in use than the budget allows.
    TotalExceeded {
        /// Units in use.
        in_use: u64,
        /// Units that may be in use.
        bound: u64,
        /// When it was seen first.
        at_us: u64,
    },
    /// Some proxy got no lease in this time after the start.
    NotStarted {
        /// The time that was waited.
        within_us: u64,
    },
    /// Some proxy had no lease this long after the last fault ended.
    NotRecovered {
        /// The time that was waited.
        within_us: u64,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Problem::TotalExceeded { in_use, bound, at_us } => {
                write!(f, "{in_use} of {bound} in use at {at_us}")
            }
            Problem::NotStarted { within_us } => {
                write!(f, "expected a lease at every proxy within {within_us} us of the start")
            }
            Problem::NotRecovered { within_us } => {
                write!(f, "expected a lease at every proxy within {within_us} us of the last fault")
            }
        }
    }
}

/// A problem with what is needed to play it again and to understand it.
#[derive(Clone, Debug)]
pub struct SimulationFailure {
    /// The seed that plays it again.
    pub seed: u64,
    /// What is wrong.
    pub problem: Problem,
    /// What happened, one event a line.
    pub history: Vec<String>,
    /// The state of the keepers at the time of this report, one keeper a line.
    pub keepers: Vec<String>,
}

impl fmt::Display for SimulationFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "seed {}: {}", self.seed, self.problem)?;
        self.history.iter().chain(&self.keepers).try_for_each(|line| writeln!(f, "{line}"))
    }
}

impl Error for SimulationFailure {}

/// Faults and ends of processes, in the order in which they happened.
#[derive(Default)]
pub(super) struct History(Vec<String>);

impl History {
    pub(super) fn record(&mut self, now_us: u64, event: &str) {
        if self.0.len() < HISTORY_ENTRIES_MAX {
            self.0.push(format!("{:.3} {event}", now_us as f64 / 1e6));
        }
    }

    pub(super) fn lines(&self) -> &[String] {
        &self.0
    }
}

/// Counts the units that all proxies use together.
pub(super) struct UsageChecker {
    in_use: u64,
    peak: u64,
    bound: u64,
    first_problem: Option<Problem>,
}

impl UsageChecker {
    pub(super) fn new(bound: u64) -> UsageChecker {
        UsageChecker { in_use: 0, peak: 0, bound, first_problem: None }
    }

    /// Counts units of which the use begins, and checks the sum.
    pub(super) fn units_begun(&mut self, units: u64, now_us: u64) {
        self.in_use += units;
        self.peak = self.peak.max(self.in_use);
        if self.in_use > self.bound && self.first_problem.is_none() {
            let problem = Problem::TotalExceeded { in_use: self.in_use, bound: self.bound, at_us: now_us };
            self.first_problem = Some(problem);
        }
    }

    pub(super) fn units_ended(&mut self, units: u64) {
        self.in_use -= units;
    }

    pub(super) fn in_use(&self) -> u64 {
        self.in_use
    }

    pub(super) fn peak(&self) -> u64 {
        self.peak
    }

    pub(super) fn bound(&self) -> u64 {
        self.bound
    }

    pub(super) fn set_max_units_in_use(&mut self, units: u64) {
        self.bound = units;
    }

    pub(super) fn first_problem(&self) -> Option<Problem> {
        self.first_problem
    }
}
