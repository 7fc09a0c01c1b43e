//! What must hold whenever something is sent, answered or closed, checked where it happens and counted in service.
//!
//! A check looks at the state at the moment of the act, and not at what was decided before. A violation is a fault of this
//! program.
//! It is counted in the metrics and logged with its context and the last changes of state, and it never ends the process.

use log::error;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use tokio::time::Instant;

/// Changes of state that are remembered for the log line of a violation.
const MAX_RECENT_CHANGES: usize = 12;

/// A condition that must always hold; printed as its metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Nothing is sent to a member that drains, is gone, or is out of service.
    MemberAccepts,
    /// Nothing is sent by a list whose lease is over.
    ListLeased,
    /// Nothing is sent for a request that is answered, or whose client has left.
    RequestOpen,
    /// Nothing is sent after the request's deadline.
    BeforeDeadline,
    /// What is written follows its permit at once.
    PermitCurrent,
    /// No second attempt of a request runs beside one that was not cancelled, unless the settings allow hedged
    /// requests.
    OneAttempt,
    /// Every request that was accepted is answered before its connection is closed by this side.
    AnsweredBeforeClose,
    /// Every request is answered by its deadline.
    AnsweredInTime,
    /// No process that has just started reports that it is ready before its list is confirmed, or its time for that is
    /// over.
    ReadyWithList,
}

impl Invariant {
    /// All invariants, in the order of their declaration.
    pub const ALL: [Invariant; 9] = [
        Invariant::MemberAccepts,
        Invariant::ListLeased,
        Invariant::RequestOpen,
        Invariant::BeforeDeadline,
        Invariant::PermitCurrent,
        Invariant::OneAttempt,
        Invariant::AnsweredBeforeClose,
        Invariant::AnsweredInTime,
        Invariant::ReadyWithList,
    ];
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Invariant::MemberAccepts => "member-accepts",
            Invariant::ListLeased => "list-leased",
            Invariant::RequestOpen => "request-open",
            Invariant::BeforeDeadline => "before-deadline",
            Invariant::PermitCurrent => "permit-current",
            Invariant::OneAttempt => "one-attempt",
            Invariant::AnsweredBeforeClose => "answered-before-close",
            Invariant::AnsweredInTime => "answered-in-time",
            Invariant::ReadyWithList => "ready-with-list",
        })
    }
}

/// The metric's labels, by name.
type Labels = Vec<(String, String)>;

/// Counts violations, and keeps the last changes of state for their log lines.
pub struct InvariantMonitor {
    violations: Family<Labels, Counter>,
    total: Cell<u64>,
    started: Instant,
    recent: RefCell<VecDeque<String>>,
}

impl Default for InvariantMonitor {
    fn default() -> InvariantMonitor {
        let violations: Family<Labels, Counter> = Family::default();
        for invariant in Invariant::ALL {
            violations.get_or_create_owned(&labels(invariant));
        }
        InvariantMonitor {
            violations,
            total: Cell::new(0),
            started: Instant::now(),
            recent: RefCell::default(),
        }
    }
}

impl InvariantMonitor {
    /// Registers the counts as metrics; each invariant has one from the start, of 0.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Violated invariants: faults of this program";
        registry.register("invariant_violations", help, self.violations.clone());
    }

    /// Remembers a change of state for the log line of a violation. For rare events, not for each request.
    pub fn record_change(&self, change: fmt::Arguments) {
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= MAX_RECENT_CHANGES {
            recent.pop_front();
        }
        recent.push_back(format!("{:.3} s {change}", self.started.elapsed().as_secs_f64()));
    }

    /// Counts and logs a violation unless `holds`. `context` names the request, the member or the connection.
    pub fn check(&self, invariant: Invariant, holds: bool, context: fmt::Arguments) {
        if holds {
            return;
        }
        self.total.set(self.total.get() + 1);
        self.violations.get_or_create_owned(&labels(invariant)).inc();
        let recent: Vec<String> = self.recent.borrow().iter().cloned().collect();
        error!(
            "invariant {invariant} violated at {:.3} s: {context}; last changes: {}",
            self.started.elapsed().as_secs_f64(),
            recent.join("; ")
        );
    }

    /// The number of violations since the start.
    pub fn total(&self) -> u64 {
        self.total.get()
    }
}

fn labels(invariant: Invariant) -> Labels {
    vec![("invariant".to_string(), invariant.to_string())]
}
