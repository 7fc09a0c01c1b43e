//! Checks from outside that the units in use never exceed the total. The checker counts only the use of units; it
//! must not read leases or quotas, which it verifies.

use std::error::Error;
use std::fmt;

/// Maximum number of history entries. The first ones are kept, since they lead to the failure.
const HISTORY_ENTRIES_MAX: usize = 400;

/// A failed check of a simulation. Times are simulation time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// More units were in use than the bound.
    TotalExceeded {
        /// Units in use.
        in_use: u64,
        /// Maximum number of units that may be in use.
        bound: u64,
        /// Time of the first such excess.
        at_us: u64,
    },
    /// Some running proxy had no lease within this time after the start.
    NotStarted {
        /// Time waited.
        within_us: u64,
    },
    /// Some running proxy had no lease within this time after the last fault ended.
    NotRecovered {
        /// Time waited.
        within_us: u64,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Problem::TotalExceeded { in_use, bound, at_us } => {
                write!(f, "{in_use} units in use at {at_us} us, at most {bound} are allowed")
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

/// A problem with the seed and the history that reproduce and explain it.
#[derive(Clone, Debug)]
pub struct SimulationFailure {
    /// Seed that reproduces the problem.
    pub seed: u64,
    /// The failed check.
    pub problem: Problem,
    /// Faults and process ends up to the problem, one per line.
    pub history: Vec<String>,
    /// State of the keepers when this report was made, one keeper per line.
    pub keepers: Vec<String>,
}

impl fmt::Display for SimulationFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "seed {}: {}", self.seed, self.problem)?;
        self.history.iter().chain(&self.keepers).try_for_each(|line| writeln!(f, "{line}"))
    }
}

impl Error for SimulationFailure {}

/// Faults and process ends in chronological order.
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

/// Counts the units in use by all proxies.
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

    /// Counts newly acquired units and checks the sum against the bound.
    pub(super) fn record_acquired(&mut self, units: u64, now_us: u64) {
        self.in_use += units;
        self.peak = self.peak.max(self.in_use);
        if self.in_use > self.bound && self.first_problem.is_none() {
            let problem = Problem::TotalExceeded { in_use: self.in_use, bound: self.bound, at_us: now_us };
            self.first_problem = Some(problem);
        }
    }

    pub(super) fn record_released(&mut self, units: u64) {
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
