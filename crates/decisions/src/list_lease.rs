//! The lease under which the list of members may be used.
//!
//! A change that discovery could not deliver counts as notified [`NOTIFIED_AFTER`] later, and nothing new may be sent
//! to a drained member once the drain grace has elapsed after that. Each message from discovery therefore renews the
//! lease for [`NOTIFIED_AFTER`] plus the drain grace, less [`MAX_HOLD_UP`] for a delay between the check and the write.
//!
//! An outage of discovery must not end the lease. With [`Discovery::OnRequest`], a first failed call extends a lease
//! that a message or an outage has renewed by the call's duration; from the second failed call in a row on, discovery
//! counts as unreachable and every failed call renews the lease for the same span as a message. With
//! [`Discovery::Pushed`], discovery counts as unreachable from the first failed call on. The lease expires if no
//! message arrives and no call fails, for example while the process is suspended.
//!
//! The lease is checked at the write, not when the send is decided. Nothing but a message or a failed call may renew or
//! extend the lease.

use crate::api::{Discovery, Micros, Time};
use crate::platform_bounds::{MAX_HOLD_UP, MAX_RESTART_TIME, NOTIFIED_AFTER};

/// The decision driver runs a turn at least this often, even without events.
const MAX_TURN_INTERVAL: Micros = Micros(100_000);
/// A longer gap between two turns is a hold-up of the process.
const HOLD_UP_THRESHOLD: Micros = Micros(MAX_TURN_INTERVAL.0 + MAX_HOLD_UP.0 + 50_000);
/// After a hold-up nothing is sent for this long, so that input that arrived during it, such as a drain or a client's
/// disconnect, is read first.
const CATCH_UP_TIME: Micros = Micros(50_000);
/// Minimum lease of a saved list, and of a pushed list after its watch was broken, however short the drain grace.
const MIN_SAVED_LIST_LEASE: Micros = Micros(50_000);

/// With [`Discovery::OnRequest`], a process that has received no message from discovery may use its saved list beyond
/// that list's own lease only if discovery is unreachable, and not before this long after the start: the list may lack
/// changes that counted as notified before the start.
const SAVED_LIST_RESUMES_AFTER: Micros = Micros(READY_WITHIN.0 + 3_500_000);
/// A process without a confirmed list reports ready at the latest this long after its start. The platform requires
/// nine in ten processes to be ready within 10 s, and no ready process to reject every request for 4 s.
pub const READY_WITHIN: Micros = Micros(8_500_000);
/// With [`Discovery::OnRequest`], number of calls that must fail in a row before discovery counts as unreachable, since
/// a single failure may have another cause. With [`Discovery::Pushed`], one failed call is enough.
const FAILURES_FOR_OUTAGE: u32 = 2;

/// Why no request may be sent under the list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUnusable {
    /// The lease of the list has expired, or the saved list's own lease has expired and the list may not be used again
    /// yet.
    Expired,
    /// The process was held up, and may not yet have read the input that arrived during the hold-up.
    CatchingUp,
}

impl std::fmt::Display for ListUnusable {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            ListUnusable::Expired => "list-expired",
            ListUnusable::CatchingUp => "catching-up",
        })
    }
}

impl std::error::Error for ListUnusable {}

/// The last event that set the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The process started with the list from its configuration and has received no message from discovery.
    Saved,
    /// Discovery sent a message.
    Confirmed,
    /// Discovery counts as unreachable: calls failed before they returned anything.
    Unreachable,
}

impl std::fmt::Display for Basis {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Basis::Saved => "saved",
            Basis::Confirmed => "confirmed",
            Basis::Unreachable => "unreachable",
        })
    }
}

/// The lease. All times are on one monotonic clock.
#[derive(Clone, Debug)]
pub struct ListLease {
    discovery: Discovery,
    drain_grace: Micros,
    started_at: Time,
    basis: Basis,
    usable_until: Time,
    /// End of the saved list's own lease. From then until `resumes_at` nothing is sent.
    saved_until: Time,
    /// When the list may be used after the end of the saved list's own lease; `None` until a message arrives or
    /// discovery counts as unreachable.
    resumes_at: Option<Time>,
    /// Lower bound on `resumes_at` without a message, with [`Discovery::OnRequest`].
    saved_list_resumes_at: Time,
    /// Number of calls that failed in a row; a broken watch counts as one.
    failures: u32,
    last_turn: Time,
    caught_up_at: Time,
    /// The last turn before the most recent hold-up.
    held_up_since: Time,
}

impl ListLease {
    /// A lease on the saved list of a process that starts at `now`. The list may lack changes made while no process
    /// ran. Nothing new may reach a member later than `drain_grace` after its drain was notified.
    pub fn new(now: Time, discovery: Discovery, drain_grace: Micros) -> ListLease {
        let drain_effective_after = match discovery {
            // Worst case: a change missing from the list was made when the previous process exited, and the restart
            // took the longest possible time.
            Discovery::OnRequest => {
                NOTIFIED_AFTER.0.saturating_add(drain_grace.0).saturating_sub(MAX_RESTART_TIME.0)
            }
            // Changes count as notified once the local agent has them, in the worst case at the start.
            Discovery::Pushed => drain_grace.0,
        };
        let usable_for = drain_effective_after.saturating_sub(MAX_HOLD_UP.0).max(MIN_SAVED_LIST_LEASE.0);
        ListLease {
            discovery,
            drain_grace,
            started_at: now,
            basis: Basis::Saved,
            usable_until: time_after(now, usable_for),
            saved_until: time_after(now, usable_for),
            resumes_at: None,
            saved_list_resumes_at: time_after(now, SAVED_LIST_RESUMES_AFTER.0),
            failures: 0,
            last_turn: now,
            caught_up_at: now,
            held_up_since: now,
        }
    }

    /// Renews the lease: discovery sent a message on the open watch.
    pub fn confirmed(&mut self, now: Time) {
        self.basis = Basis::Confirmed;
        self.resumes_at = Some(now);
        self.usable_until = time_after(now, self.renewal_span());
        self.failures = 0;
    }

    /// Records that a call that began at `began` failed before it returned anything. Renews the lease if discovery
    /// counts as unreachable; otherwise extends it by the call's duration, but not if its basis is [`Basis::Saved`].
    pub fn call_failed(&mut self, now: Time, began: Time) {
        self.failures = self.failures.saturating_add(1);
        // A local agent that is unreachable receives no new lists either, so one failed call to it is enough.
        if self.failures >= FAILURES_FOR_OUTAGE || self.discovery == Discovery::Pushed {
            let saved_list_resumes_at = match self.discovery {
                Discovery::OnRequest => self.saved_list_resumes_at,
                Discovery::Pushed => now,
            };
            self.resumes_at.get_or_insert(now.max(saved_list_resumes_at));
            self.basis = Basis::Unreachable;
            self.usable_until = time_after(now, self.renewal_span());
        } else if self.basis != Basis::Saved {
            self.usable_until = time_after(self.usable_until, now.0.saturating_sub(began.0));
        }
    }

    /// Records that a watch that had delivered messages ended; `was_silent` if it was ended because no message arrived.
    /// A watch that ended otherwise counts as a first failed call, because an outage of discovery breaks its watches.
    /// With [`Discovery::Pushed`] such an end also cuts the lease to the drain grace less [`MAX_HOLD_UP`], since
    /// further changes count as notified once the local agent has them.
    pub fn watch_ended(&mut self, now: Time, was_silent: bool) {
        self.failures = u32::from(!was_silent);
        if self.discovery == Discovery::Pushed && !was_silent {
            let usable_for = self.drain_grace.0.saturating_sub(MAX_HOLD_UP.0).max(MIN_SAVED_LIST_LEASE.0);
            self.usable_until = self.usable_until.min(time_after(now, usable_for));
        }
    }

    /// Records that the decision driver begins a turn. Returns the gap since the last turn if it was a hold-up.
    pub fn record_turn(&mut self, now: Time) -> Option<Micros> {
        let gap = now.0.saturating_sub(self.last_turn.0);
        let last_turn = self.last_turn;
        self.last_turn = last_turn.max(now);
        if gap <= HOLD_UP_THRESHOLD.0 {
            return None;
        }
        self.held_up_since = last_turn;
        self.caught_up_at = time_after(now, CATCH_UP_TIME.0);
        Some(Micros(gap))
    }

    /// The start of the hold-up if the process is held up or catching up at `now`; `None` otherwise. Input that is read
    /// at `now` may have arrived at any time since the start of the hold-up.
    pub fn held_up_since(&self, now: Time) -> Option<Time> {
        if now.0.saturating_sub(self.last_turn.0) > HOLD_UP_THRESHOLD.0 {
            return Some(self.last_turn);
        }
        (now < self.caught_up_at).then_some(self.held_up_since)
    }

    /// Checks that a request may be sent under the list in use. Must be called right before the write.
    pub fn check(&self, now: Time) -> Result<(), ListUnusable> {
        if now.0.saturating_sub(self.last_turn.0) > HOLD_UP_THRESHOLD.0 || now < self.caught_up_at {
            return Err(ListUnusable::CatchingUp);
        }
        let is_unconfirmed = now >= self.saved_until && self.resumes_at.is_none_or(|at| now < at);
        if is_unconfirmed || now >= self.usable_until { Err(ListUnusable::Expired) } else { Ok(()) }
    }

    /// Whether a message from discovery has arrived, or discovery was found unreachable and the saved list may be used
    /// again. Does not check the lease.
    pub fn is_ready(&self, now: Time) -> bool {
        self.resumes_at.is_some_and(|at| now >= at)
    }

    /// Whether the process may report ready: [`Self::is_ready`], or [`READY_WITHIN`] has elapsed since its start.
    pub fn may_report_ready(&self, now: Time) -> bool {
        self.is_ready(now) || now >= time_after(self.started_at, READY_WITHIN.0)
    }

    /// The last event that set the lease.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// When the lease expires, unless it is renewed. [`Self::check`] may reject a saved list earlier.
    pub fn usable_until(&self) -> Time {
        self.usable_until
    }

    fn renewal_span(&self) -> u64 {
        NOTIFIED_AFTER.0.saturating_add(self.drain_grace.0).saturating_sub(MAX_HOLD_UP.0)
    }
}

fn time_after(time: Time, by: u64) -> Time {
    Time(time.0.saturating_add(by))
}
