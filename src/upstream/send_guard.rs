//! Issues the permits without which no statement is written to a member.
//!
//! Every write requires a [`SendPermit`]. [`SendGuard`] issues it right before the write, from the state at that moment
//! rather than from the state at which the attempt was decided. The guard evaluates [`ListLease`] against a clock and
//! makes no decisions of its own. A permit must not be held across an `await` before its write.

use crate::api::{MemberId, RequestId, Time};
use crate::clock::Clock;
use crate::invariants::{Invariant, InvariantMonitor};
use crate::list_lease::{ListLease, ListUnusable};
use crate::platform_bounds::MAX_HOLD_UP;
use crate::upstream::send_eligibility::SendEligibility;
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Interval at which a pending send polls the lease while the process catches up after a hold-up.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The reason for sending a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An attempt of a request, with its number.
    Attempt(RequestId, u32),
    /// A health check of the member. Printed as `probe`, like the counter of health checks.
    HealthCheck,
}

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Purpose::Attempt(request, attempt) => write!(f, "request {request} attempt {attempt}"),
            Purpose::HealthCheck => f.write_str("probe"),
        }
    }
}

/// The statement that a permit is requested for.
#[derive(Clone, Debug)]
pub struct SendIntent {
    /// The member to send to.
    pub member: MemberId,
    /// Identifies the statement in the log.
    pub purpose: Purpose,
    /// No permit is issued at or after this time.
    pub deadline: Instant,
    /// Set once the request has its final answer or its client has disconnected; no permit is issued from then on.
    pub is_request_over: Rc<Cell<bool>>,
}

/// Proof that a statement may be written now; consumed by the write.
pub struct SendPermit {
    intent: SendIntent,
    /// Start time of the member according to the endpoint list; `None` if the list gives none.
    incarnation: Option<Time>,
    list_version: u64,
    issued_at: Instant,
    has_waited: bool,
    guard: SendGuard,
    eligibility: SendEligibility,
}

impl SendPermit {
    /// Whether the request for the permit had to wait because the process was catching up after a hold-up. The state of
    /// the connection may have changed in that time.
    pub fn has_waited(&self) -> bool {
        self.has_waited
    }

    /// Checks that the permit's conditions still hold, and counts each one that does not as a violated invariant. The
    /// write proceeds in either case.
    pub fn check_at_write(&self) {
        let SendIntent { member, purpose, deadline, is_request_over } = &self.intent;
        let age = self.issued_at.elapsed();
        let max_age = Duration::from_micros(MAX_HOLD_UP.0);
        let checks = [
            (Invariant::MemberAccepts, self.eligibility.is_accepting(*member)),
            (Invariant::ListLeased, self.guard.check_lease_at(self.issued_at) != Err(ListUnusable::Expired)),
            (Invariant::RequestOpen, !is_request_over.get()),
            (Invariant::BeforeDeadline, self.issued_at < *deadline),
            (Invariant::PermitCurrent, age <= max_age),
        ];
        let incarnation = self.incarnation.map_or(0, |started| started.0);
        let version = self.list_version;
        for (invariant, holds) in checks {
            self.guard.0.monitor.check(
                invariant,
                holds,
                format_args!(
                    "{purpose} to member {} incarnation {incarnation}, list version {version}, permit age {age:?}",
                    member.0
                ),
            );
        }
    }
}

struct Inner {
    /// `None` for a pool without discovery, to which no list lease applies.
    lease: Option<RefCell<ListLease>>,
    clock: Clock,
    list_version: Cell<u64>,
    /// Whether the lease had expired at the driver's last turn; only changes are logged.
    was_expired: Cell<bool>,
    /// Set by the first event of the lease at which [`ListLease::is_ready`] holds, and never reset. Set from the start
    /// if there is no lease.
    readiness: watch::Sender<bool>,
    monitor: Rc<InvariantMonitor>,
}

/// Checks the conditions of every send. Clones share their state.
#[derive(Clone)]
pub struct SendGuard(Rc<Inner>);

impl SendGuard {
    /// A guard for the endpoint list of version `list_version`, used under `lease`.
    pub fn new(
        lease: ListLease, list_version: u64, clock: Clock, monitor: Rc<InvariantMonitor>,
    ) -> SendGuard {
        SendGuard::from_lease(Some(RefCell::new(lease)), list_version, clock, monitor)
    }

    /// A guard without a list lease, for a pool whose members do not come from discovery.
    pub fn without_list() -> SendGuard {
        SendGuard::from_lease(None, 0, Clock::start(), Rc::default())
    }

    fn from_lease(
        lease: Option<RefCell<ListLease>>, list_version: u64, clock: Clock, monitor: Rc<InvariantMonitor>,
    ) -> SendGuard {
        let (readiness, _) = watch::channel(lease.is_none());
        SendGuard(Rc::new(Inner {
            lease,
            clock,
            list_version: Cell::new(list_version),
            was_expired: Cell::new(false),
            readiness,
            monitor,
        }))
    }

    /// The monitor that counts violated invariants.
    pub fn monitor(&self) -> &InvariantMonitor {
        &self.0.monitor
    }

    /// Records that discovery sent a message on the open watch, which renews the lease.
    pub fn record_list_confirmed(&self) {
        self.update_lease(|lease, now| lease.confirmed(now));
    }

    /// Records that a call to discovery, started at `started_at`, failed before a message was received.
    pub fn record_call_failed(&self, started_at: Time) {
        self.update_lease(|lease, now| lease.call_failed(now, started_at));
    }

    /// Records the end of a watch on which a message had been received. `was_silent` is set if the watch timed out
    /// waiting for the next message.
    pub fn record_watch_ended(&self, was_silent: bool) {
        self.update_lease(|lease, now| lease.watch_ended(now, was_silent));
    }

    /// Sets the version of the list in use.
    pub fn set_list_version(&self, version: u64) {
        self.0.list_version.set(version);
        self.0.monitor.record_change(format_args!("list version {version}"));
    }

    /// Applies an event to the lease, logs a change of its basis, and publishes readiness.
    fn update_lease(&self, apply: impl FnOnce(&mut ListLease, Time)) {
        let Some(lease) = &self.0.lease else { return };
        let before = lease.borrow().basis();
        apply(&mut lease.borrow_mut(), self.0.clock.now());
        let after = lease.borrow().basis();
        if before != after {
            self.0.monitor.record_change(format_args!("list lease {before} to {after}"));
            info!("list lease: {before} to {after}, list version {}", self.0.list_version.get());
        }
        if lease.borrow().is_ready(self.0.clock.now()) {
            self.0.readiness.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    /// Whether the process may report readiness: the list is confirmed, discovery is unreachable and the saved list may
    /// be used, the time limit of [`ListLease::may_report_ready`] has passed, or no list lease applies.
    pub fn may_report_ready(&self) -> bool {
        let now = self.0.clock.now();
        self.0.lease.as_ref().is_none_or(|lease| lease.borrow().may_report_ready(now))
    }

    /// Returns once discovery has confirmed the list, or failed calls have shown that it is unreachable and the list in
    /// use may be used without a confirmation.
    pub async fn wait_until_ready(&self) {
        let _ = self.0.readiness.subscribe().wait_for(|ready| *ready).await;
    }

    /// The start of the hold-up after which the process is catching up; `None` if it is not. Input read now may have
    /// arrived at any time since then.
    pub fn held_up_since(&self) -> Option<Instant> {
        let lease = self.0.lease.as_ref()?.borrow();
        lease.held_up_since(self.0.clock.now()).map(|since| self.0.clock.instant(since))
    }

    /// Whether the process was held up and may not yet have read the input that arrived during the hold-up.
    pub fn is_catching_up(&self) -> bool {
        self.check_lease() == Err(ListUnusable::CatchingUp)
    }

    /// Records the start of a turn of the driver. Logs a hold-up, that is, a long gap since the previous turn, and the
    /// expiry or renewal of the lease.
    pub fn begin_turn(&self) {
        let Some(lease) = &self.0.lease else { return };
        let now = self.0.clock.now();
        let held_up = lease.borrow_mut().record_turn(now);
        if let Some(held_up) = held_up {
            let seconds = held_up.0 as f64 / 1e6;
            self.0.monitor.record_change(format_args!("held up for {seconds:.3} s"));
            warn!(
                "held up for {seconds:.3} s: sends wait until input that arrived in the meantime has been read"
            );
        }
        let is_expired = lease.borrow().check(now) == Err(ListUnusable::Expired);
        if self.0.was_expired.replace(is_expired) != is_expired {
            let (basis, version) = (lease.borrow().basis(), self.0.list_version.get());
            let change = if is_expired { "expired" } else { "renewed" };
            self.0.monitor.record_change(format_args!("list lease {change}"));
            warn!("list lease {change}: {basis}, list version {version}");
        }
    }

    /// Checks whether the list in use allows sends now.
    ///
    /// # Errors
    /// The lease has expired, or the process is catching up after a hold-up.
    pub fn check_lease(&self) -> Result<(), ListUnusable> {
        self.check_lease_at(Instant::now())
    }

    /// Like [`Self::check_lease`], at a time in the recent past. The lease ends early enough to allow for a hold-up
    /// between issuing a permit and the write.
    fn check_lease_at(&self, instant: Instant) -> Result<(), ListUnusable> {
        match &self.0.lease {
            Some(lease) => lease.borrow().check(self.0.clock.time(instant)),
            None => Ok(()),
        }
    }

    /// Issues a permit to write now. Returns `None` if the member accepts no new statements, the request is over, its
    /// deadline has passed, or the list lease has expired. Waits while the process catches up after a hold-up.
    pub(super) async fn issue_permit(
        &self, eligibility: &SendEligibility, intent: SendIntent,
    ) -> Option<SendPermit> {
        let mut has_waited = false;
        loop {
            let issued_at = Instant::now();
            let is_open = !intent.is_request_over.get() && issued_at < intent.deadline;
            if !is_open || !eligibility.is_accepting(intent.member) {
                return None;
            }
            match self.check_lease() {
                Ok(()) => {
                    return Some(SendPermit {
                        incarnation: eligibility.incarnation(intent.member),
                        intent,
                        list_version: self.0.list_version.get(),
                        issued_at,
                        has_waited,
                        guard: self.clone(),
                        eligibility: eligibility.clone(),
                    });
                }
                Err(ListUnusable::Expired) => return None,
                Err(ListUnusable::CatchingUp) => sleep(CATCH_UP_POLL_INTERVAL).await,
            }
            has_waited = true;
        }
    }
}
