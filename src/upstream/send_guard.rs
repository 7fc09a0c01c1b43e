//! The one place that allows a statement to be written to a member.
//!
//! A write needs a [`SendPermit`], and only [`SendGuard`] makes one: right before the write, from what is true at that
//! moment. The guard applies [`ListLease`] with a clock, and decides nothing itself. A permit must never be kept across a
//! wait.

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

/// Interval at which a send asks again while the process catches up after a hold-up.
const CATCH_UP_POLL: Duration = Duration::from_millis(10);

/// What a statement is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An attempt of a request.
    Attempt(RequestId, u32),
    /// A health check of the member. Printed as `probe`, as the metrics call it.
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

/// What a permit is asked for.
#[derive(Clone, Debug)]
pub struct SendIntent {
    /// The member to send to.
    pub member: MemberId,
    /// What it is sent for.
    pub purpose: Purpose,
    /// From then on nothing is sent.
    pub deadline: Instant,
    /// Set once the request is answered or its client has left.
    pub is_request_over: Rc<Cell<bool>>,
}

/// The proof that a statement may be written now.
pub struct SendPermit {
    intent: SendIntent,
    /// When the member last started, by the list; `None` if long ago.
    incarnation: Option<Time>,
    list_version: u64,
    issued_at: Instant,
    has_waited: bool,
    guard: SendGuard,
    eligibility: SendEligibility,
}

impl SendPermit {
    /// Whether the process was catching up when the permit was asked for, so that time has passed since.
    pub fn has_waited(&self) -> bool {
        self.has_waited
    }

    /// Checks at the write that the permit's conditions still hold, and counts each one that does not as a violated
    /// invariant. It stops nothing.
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
                    "{purpose} to member {} incarnation {incarnation}, list version {version}, permit of {age:?}",
                    member.0
                ),
            );
        }
    }
}

struct Inner {
    /// `None` where no list binds: a pool without discovery.
    lease: Option<RefCell<ListLease>>,
    clock: Clock,
    list_version: Cell<u64>,
    /// Whether the lease had expired at the driver's last turn.
    was_expired: Cell<bool>,
    is_ready: watch::Sender<bool>,
    monitor: Rc<InvariantMonitor>,
}

/// The guard; copies share its state.
#[derive(Clone)]
pub struct SendGuard(Rc<Inner>);

impl SendGuard {
    /// A guard by this lease on the list of this version.
    pub fn new(
        lease: ListLease, list_version: u64, clock: Clock, monitor: Rc<InvariantMonitor>,
    ) -> SendGuard {
        SendGuard::with(Some(RefCell::new(lease)), list_version, clock, monitor)
    }

    /// A guard where no list binds, for a pool of members that no discovery names.
    pub fn without_list() -> SendGuard {
        SendGuard::with(None, 0, Clock::start(), Rc::default())
    }

    fn with(
        lease: Option<RefCell<ListLease>>, list_version: u64, clock: Clock, monitor: Rc<InvariantMonitor>,
    ) -> SendGuard {
        let (is_ready, _) = watch::channel(lease.is_none());
        SendGuard(Rc::new(Inner {
            lease,
            clock,
            list_version: Cell::new(list_version),
            was_expired: Cell::new(false),
            is_ready,
            monitor,
        }))
    }

    /// The monitor that counts violated invariants.
    pub fn monitor(&self) -> &InvariantMonitor {
        &self.0.monitor
    }

    /// Records that discovery sent a message on the open watch.
    pub fn record_list_confirmed(&self) {
        self.update_lease(|lease, now| lease.confirmed(now));
    }

    /// Records that a call of discovery, begun at `began`, failed before it brought anything.
    pub fn record_call_failed(&self, began: Time) {
        self.update_lease(|lease, now| lease.call_failed(now, began));
    }

    /// Records the end of a watch that had brought something; `was_silent` if it ended for silence.
    pub fn record_watch_ended(&self, was_silent: bool) {
        self.update_lease(|lease, now| lease.watch_ended(now, was_silent));
    }

    /// Sets the version of the list in use.
    pub fn set_list_version(&self, version: u64) {
        self.0.list_version.set(version);
        self.0.monitor.record_change(format_args!("list version {version}"));
    }

    /// Applies an event to the lease, logs a change of its basis, and reports readiness.
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
            self.0.is_ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    /// Whether the process may report that it is ready.
    pub fn may_report_ready(&self) -> bool {
        let now = self.0.clock.now();
        self.0.lease.as_ref().is_none_or(|lease| lease.borrow().may_report_ready(now))
    }

    /// Returns once discovery has confirmed the list, or has had its time for that.
    pub async fn wait_until_ready(&self) {
        let _ = self.0.is_ready.subscribe().wait_for(|ready| *ready).await;
    }

    /// While the process catches up after a hold-up: since when it was held up. What it reads now may have arrived as
    /// early as that.
    pub fn held_up_since(&self) -> Option<Instant> {
        let lease = self.0.lease.as_ref()?.borrow();
        lease.held_up_since(self.0.clock.now()).map(|since| self.0.clock.instant(since))
    }

    /// Whether the process was held up, and has not read yet what arrived meanwhile.
    pub fn is_catching_up(&self) -> bool {
        self.check_lease() == Err(ListUnusable::CatchingUp)
    }

    /// Records that the driver of the decisions begins a turn. A long gap since the last one is a hold-up.
    pub fn begin_turn(&self) {
        let Some(lease) = &self.0.lease else { return };
        let now = self.0.clock.now();
        let held_up = lease.borrow_mut().record_turn(now);
        if let Some(held_up) = held_up {
            let seconds = held_up.0 as f64 / 1e6;
            self.0.monitor.record_change(format_args!("held up for {seconds:.3} s"));
            warn!("held up for {seconds:.3} s: nothing is sent before what arrived meanwhile is read");
        }
        let is_expired = lease.borrow().check(now) == Err(ListUnusable::Expired);
        if self.0.was_expired.replace(is_expired) != is_expired {
            let (basis, version) = (lease.borrow().basis(), self.0.list_version.get());
            let change = if is_expired { "expired" } else { "renewed" };
            self.0.monitor.record_change(format_args!("list lease {change}"));
            warn!("list lease {change}: {basis}, list version {version}");
        }
    }

    /// Checks that the list in use allows sends now.
    ///
    /// # Errors
    /// Why it does not: its lease has expired, or the process is catching up after a hold-up.
    pub fn check_lease(&self) -> Result<(), ListUnusable> {
        self.check_lease_at(Instant::now())
    }

    /// Like [`Self::check_lease`], at a moment just past. The lease allows for a hold-up between a permit and its write.
    fn check_lease_at(&self, moment: Instant) -> Result<(), ListUnusable> {
        match &self.0.lease {
            Some(lease) => lease.borrow().check(self.0.clock.time(moment)),
            None => Ok(()),
        }
    }

    /// A permit to write now; none if the member accepts nothing new, the request is over, its deadline has passed, or
    /// the list's lease is over. Waits while the process catches up after a hold-up.
    pub(super) async fn permit(
        &self, eligibility: &SendEligibility, intent: SendIntent,
    ) -> Option<SendPermit> {
        let mut has_waited = false;
        loop {
            let issued_at = Instant::now();
            let is_wanted = !intent.is_request_over.get() && issued_at < intent.deadline;
            if !is_wanted || !eligibility.is_accepting(intent.member) {
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
                Err(ListUnusable::CatchingUp) => sleep(CATCH_UP_POLL).await,
            }
            has_waited = true;
        }
    }
}
