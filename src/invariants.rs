//! Invariants of sending, answering and closing, checked at run time in production.
//!
//! A check evaluates the state at the moment of the operation, not the state at which the operation was decided. A
//! violation is a bug in this program: it is counted in the metrics and logged with its context and the most recent
//! state changes. A violation never ends the process.

use log::error;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use tokio::time::Instant;

/// State changes kept for the log line of a violation.
const MAX_RECENT_CHANGES: usize = 12;

/// A condition that must always hold. Its `Display` form is the value of the metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No statement is sent to a member that is draining, gone, or out of service.
    MemberAccepts,
    /// No statement is sent while the lease on the endpoint list is expired.
    ListLeased,
    /// No statement is sent for a request that has its final answer or whose client has disconnected.
    RequestOpen,
    /// No statement is sent under a permit that was issued at or after the deadline of its attempt.
    BeforeDeadline,
    /// No statement is written later than [`MAX_HOLD_UP`](crate::platform_bounds::MAX_HOLD_UP) after its permit was
    /// issued.
    PermitCurrent,
    /// No attempt of a request starts while another one is in flight and not cancelled, unless the settings allow
    /// hedged requests.
    OneAttempt,
    /// The proxy closes no connection before the requests accepted on it are answered, except for a reason of
    /// [`CloseReason::is_by_peer`](crate::close_reason::CloseReason::is_by_peer).
    AnsweredBeforeClose,
    /// Every request is answered within a short grace after its deadline, unless the process is catching up after a
    /// hold-up.
    AnsweredInTime,
    /// A process that is not stopping does not report readiness before
    /// [`SendGuard::may_report_ready`](crate::upstream::send_guard::SendGuard::may_report_ready) allows it.
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

/// Label names and values of the metric.
type Labels = Vec<(String, String)>;

/// Counts violations, and keeps the most recent state changes for their log lines.
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
    /// Registers the counter of violations, which has a series with value 0 for each invariant from the start.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Violated invariants: faults of this program";
        registry.register("invariant_violations", help, self.violations.clone());
    }

    /// Records a state change for the log line of a violation. Meant for rare events, not for each request.
    pub fn record_change(&self, change: fmt::Arguments) {
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= MAX_RECENT_CHANGES {
            recent.pop_front();
        }
        recent.push_back(format!("{:.3} s {change}", self.started.elapsed().as_secs_f64()));
    }

    /// Counts and logs a violation if `holds` is false. `context` identifies the request, the member or the connection.
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

    /// The number of violations of all invariants since the start.
    pub fn total(&self) -> u64 {
        self.total.get()
    }
}

fn labels(invariant: Invariant) -> Labels {
    vec![("invariant".to_string(), invariant.to_string())]
}
