//! For how long the list of members may be used: a lease, renewed by whatever discovery sends.
//!
//! A list says nothing of its age. What discovery had to tell and could not counts as notified
//! [`NOTIFIED_AFTER`] later, and after the grace of a drain nothing may be sent to a member that it names. So each
//! message is a lease on the list for that long. While discovery can't be reached the time stands still: a call that
//! fails prolongs the lease by what it took, and from the second one in a row on discovery counts as out of reach, so
//! that the list in use stays in use. What ends it is that nobody has asked, or that this process did not run: after a
//! stop it finds its lease over before it sends anything.
//!
//! The lease is checked where something is sent, not where it was decided. It must never be renewed by anything but
//! a message, or a call that failed.

use crate::api::{Discovery, Micros, Time};
use crate::platform_bounds::{MAX_HOLD_UP, MAX_RESTART_TIME, NOTIFIED_AFTER};

/// The driver of the decisions takes a turn at least this often, also when nothing happens.
const TURN_EVERY: Micros = Micros(100_000);
/// A gap between two turns beyond this is a hold-up of the process.
const HELD_UP_AFTER: Micros = Micros(TURN_EVERY.0 + MAX_HOLD_UP.0 + 50_000);
/// After a hold-up nothing is sent for this long: whatever arrived meanwhile is read first, a drain or a client's
/// end among it.
const CATCH_UP: Micros = Micros(50_000);
/// A saved list may be used for at least this long, however short the grace.
const SAVED_LIST_MIN: Micros = Micros(50_000);

/// A process that has never heard discovery goes on with its saved list, beyond the lease of that, only so long after its
/// start, and only if discovery can't be reached: the list may lack what counted as notified before the start.
const UNCONFIRMED_FOR: Micros = Micros(READY_WITHIN.0 + 3_500_000);
/// So long after its start at the latest such a process reports that it is ready. The platform wants nine in ten
/// processes ready within 10 s, and none that rejects everything for 4 s.
pub const READY_WITHIN: Micros = Micros(8_500_000);
/// So many calls must fail in a row before discovery counts as out of reach: one may break for a reason of its own.
const FAILURES_FOR_OUTAGE: u32 = 2;

/// Why nothing may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUnusable {
    /// Nothing has confirmed the list for too long.
    Expired,
    /// The process was held up, and has not read yet what arrived meanwhile.
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

/// On what the lease rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The list is the one that the configuration holds, and discovery was not heard since the start.
    Saved,
    /// Discovery has sent a message.
    Confirmed,
    /// Calls fail one after the other before they bring anything.
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

/// The lease. Times are of one monotonic clock.
#[derive(Clone, Debug)]
pub struct ListLease {
    discovery: Discovery,
    drain_grace: Micros,
    started_at: Time,
    basis: Basis,
    usable_until: Time,
    /// Nothing is sent between these two moments. The second one is none while the process has not heard discovery.
    saved_until: Time,
    resumes_at: Option<Time>,
    unconfirmed_until: Time,
    /// Calls that failed in a row.
    failures: u32,
    last_turn: Time,
    caught_up_at: Time,
    /// The last turn before the last hold-up.
    held_up_since: Time,
}

impl ListLease {
    /// The process starts with a saved list, which may lack what changed while no process ran. Nothing new may reach
    /// a draining member after `drain_grace`.
    pub fn new(now: Time, discovery: Discovery, drain_grace: Micros) -> ListLease {
        let binds_after = match discovery {
            // The oldest change that is missing was made as the process before this one died.
            Discovery::OnRequest => {
                NOTIFIED_AFTER.0.saturating_add(drain_grace.0).saturating_sub(MAX_RESTART_TIME.0)
            }
            // What the agent on this machine holds counts from the first moment.
            Discovery::Pushed => drain_grace.0,
        };
        let usable_for = binds_after.saturating_sub(MAX_HOLD_UP.0).max(SAVED_LIST_MIN.0);
        ListLease {
            discovery,
            drain_grace,
            started_at: now,
            basis: Basis::Saved,
            usable_until: later(now, usable_for),
            saved_until: later(now, usable_for),
            resumes_at: None,
            unconfirmed_until: later(now, UNCONFIRMED_FOR.0),
            failures: 0,
            last_turn: now,
            caught_up_at: now,
            held_up_since: now,
        }
    }

    /// Discovery sent a message on the watch that is open.
    pub fn confirmed(&mut self, now: Time) {
        self.basis = Basis::Confirmed;
        self.resumes_at = Some(now);
        self.usable_until = later(now, self.renewed_for());
        self.failures = 0;
    }

    /// A call that began at `began` failed before it brought anything.
    pub fn call_failed(&mut self, now: Time, began: Time) {
        self.failures = self.failures.saturating_add(1);
        // An agent on this machine that is away learns nothing either.
        if self.failures >= FAILURES_FOR_OUTAGE || self.discovery == Discovery::Pushed {
            let unconfirmed_until = match self.discovery {
                Discovery::OnRequest => self.unconfirmed_until,
                Discovery::Pushed => now,
            };
            self.resumes_at.get_or_insert(now.max(unconfirmed_until));
            self.basis = Basis::Unreachable;
            self.usable_until = later(now, self.renewed_for());
        } else if self.basis != Basis::Saved {
            self.usable_until = later(self.usable_until, now.0.saturating_sub(began.0));
        }
    }

    /// The watch ended that had brought something. What is missing from here on binds as before; but what an agent on
    /// this machine holds counts at once, unless its watch fell silent. A watch that is broken off counts as a first
    /// failure: discovery that goes away breaks its watches.
    pub fn watch_ended(&mut self, now: Time, was_silent: bool) {
        self.failures = u32::from(!was_silent);
        if self.discovery == Discovery::Pushed && !was_silent {
            let usable_for = self.drain_grace.0.saturating_sub(MAX_HOLD_UP.0).max(SAVED_LIST_MIN.0);
            self.usable_until = self.usable_until.min(later(now, usable_for));
        }
    }

    /// The driver of the decisions takes a turn. Returns for how long the process was held up, if it was.
    pub fn record_turn(&mut self, now: Time) -> Option<Micros> {
        let gap = now.0.saturating_sub(self.last_turn.0);
        let last_turn = self.last_turn;
        self.last_turn = last_turn.max(now);
        if gap <= HELD_UP_AFTER.0 {
            return None;
        }
        self.held_up_since = last_turn;
        self.caught_up_at = later(now, CATCH_UP.0);
        Some(Micros(gap))
    }

    /// While the process catches up after a hold-up: since when it was held up. What it reads now may have come as early
    /// as that.
    pub fn held_up_since(&self, now: Time) -> Option<Time> {
        if now.0.saturating_sub(self.last_turn.0) > HELD_UP_AFTER.0 {
            return Some(self.last_turn);
        }
        (now < self.caught_up_at).then_some(self.held_up_since)
    }

    /// Whether something may be sent by the list in use. To be asked right before it is written.
    pub fn check(&self, now: Time) -> Result<(), ListUnusable> {
        if now.0.saturating_sub(self.last_turn.0) > HELD_UP_AFTER.0 || now < self.caught_up_at {
            return Err(ListUnusable::CatchingUp);
        }
        let is_unconfirmed = now >= self.saved_until && self.resumes_at.is_none_or(|at| now < at);
        if is_unconfirmed || now >= self.usable_until { Err(ListUnusable::Expired) } else { Ok(()) }
    }

    /// Whether the process may report that it is ready: its list was confirmed, or nobody can tell a better one.
    pub fn is_ready(&self, now: Time) -> bool {
        self.resumes_at.is_some_and(|at| now >= at)
    }

    /// The same, or its time for that is over.
    pub fn may_report_ready(&self, now: Time) -> bool {
        self.is_ready(now) || now >= later(self.started_at, READY_WITHIN.0)
    }

    /// On what the lease rests.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// When the lease ends, unless it is renewed.
    pub fn usable_until(&self) -> Time {
        self.usable_until
    }

    fn renewed_for(&self) -> u64 {
        NOTIFIED_AFTER.0.saturating_add(self.drain_grace.0).saturating_sub(MAX_HOLD_UP.0)
    }
}

fn later(time: Time, by: u64) -> Time {
    Time(time.0.saturating_add(by))
}
