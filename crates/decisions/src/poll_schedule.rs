//! The schedule by which discovery is polled: a state machine without I/O that is driven by the result of each poll.
//!
//! All proxies of a fleet poll one discovery service, which serves one call at a time. A call that the service rejects,
//! or that its caller abandons, still takes up service time, so calls that collide once would collide at each retry. A
//! proxy with a saved list therefore sends its first poll in a slot of its own, given by its index in the fleet. After
//! a failure the next poll is drawn from a backoff window that has room for one call of each proxy and doubles until it
//! has room for two, unless the drain grace or `poll_within` requires shorter windows (`docs/design/fleet.md`).
//!
//! A watch that became silent sets a deadline: the changes that the watch missed count as notified [`NOTIFIED_AFTER`]
//! after the start of the silence, and the drain grace starts then. Before a deadline, polls are drawn from the whole
//! backoff window, limited by the deadline, which spreads the calls of a fleet whose watches all became silent at once
//! (`docs/design/crossings.md`).
//!
//! At most one poll is in progress at any time, and after a failure another one is always due.

use crate::platform_bounds::{MAX_HOLD_UP, NOTIFIED_AFTER};
use std::collections::BTreeSet;

/// Time allowed for the service to answer one call; the service does not report its capacity. Microseconds.
const SERVICE_TIME: u64 = 40_000;
/// Lower bound on the backoff window after a first failure, unless the longest window is shorter. Microseconds.
const FIRST_WINDOW_MIN: u64 = 250_000;
/// The backoff window grows to at least this length, unless a drain or `poll_within` requires less. Microseconds.
const LONGEST_WINDOW_MIN: u64 = 2_000_000;
/// Upper bound on the time planned for one call of every proxy. Microseconds. Services took 2.6 to 5 s to answer all
/// proxies, both for 100 and for 300 proxies: their capacity grows with the fleet (`docs/incidents/`).
const FLEET_POLL_TIME_MAX: u64 = 3_400_000;
/// Longest time that a poll waits for its answer. Microseconds.
const CALL_TIMEOUT: u64 = 3_000_000;
/// Time reserved before a deadline for the call itself and for applying its result. Microseconds.
const CALL_RESERVE: u64 = 1_000_000;
/// Maximum number of deadlines of silent watches; the earliest ones are kept. Silence is detected after 3 s, and a
/// deadline lies within 6 s plus the drain grace after the start of the silence.
const SILENT_WATCHES_MAX: usize = 8;
/// Shortest gap between polls, so that a service that fails calls at once is not polled in a tight loop. Microseconds.
const GAP_MIN: u64 = 50_000;

/// The schedule of one proxy. All times are in microseconds on the caller's clock.
#[derive(Debug)]
pub struct PollSchedule {
    /// When the next poll is due; `None` while one is in progress, or where lists are pushed.
    next_poll: Option<u64>,
    first_slot: FirstSlot,
    /// Time planned for one call of every proxy in the fleet: [`SERVICE_TIME`] for each, limited by
    /// [`FLEET_POLL_TIME_MAX`] and `longest_gap`.
    fleet_poll_time: u64,
    windows: Windows,
    /// The window from which the gap after the next failure is drawn.
    window: u64,
    /// Longest gap between polls: four fifths of `poll_within`.
    longest_gap: u64,
    drain_grace: u64,
    /// For each watch that became silent since the last successful poll, the time by which the changes that it missed
    /// must be polled.
    deadlines: BTreeSet<u64>,
}

/// When the first poll may be sent, counted from when a saved list was loaded.
#[derive(Debug)]
struct FirstSlot {
    offset: u64,
    /// The poll is placed at random within this length.
    length: u64,
}

/// Lengths of the backoff window.
#[derive(Debug)]
struct Windows {
    /// After a first failure.
    first: u64,
    longest: u64,
}

impl Windows {
    /// Windows that have room for the calls of the fleet, and end before a drain with this grace takes effect.
    fn new(fleet_poll_time: u64, longest_gap: u64, grace: u64) -> Windows {
        // Discovery may recover, and a drain be notified, while a call is in progress that still times out. The gap and
        // the next call must then fit into the time before the drain takes effect.
        let drain_effective_after = NOTIFIED_AFTER.0.saturating_add(grace).saturating_sub(MAX_HOLD_UP.0);
        let longest_before_drain = drain_effective_after.saturating_sub(CALL_TIMEOUT + CALL_RESERVE);
        let longest = LONGEST_WINDOW_MIN.max(2 * fleet_poll_time).min(longest_before_drain).min(longest_gap);
        Windows { first: FIRST_WINDOW_MIN.max(fleet_poll_time).min(longest), longest }
    }
}

impl PollSchedule {
    /// A schedule for the proxy at `index` of a fleet. The first poll is due at `first_poll`, which is `None` where
    /// lists are pushed. If a saved list is loaded, the first poll waits for the proxy's slot; without an index the
    /// slot spans the time planned for the calls of all proxies. The backoff window is limited to four fifths of
    /// `poll_within` (microseconds), since the platform assumes that a proxy that has not polled for `poll_within` has
    /// received all list changes.
    pub fn new(
        index: Option<u32>, fleet_size: u32, poll_within: u64, first_poll: Option<u64>,
    ) -> PollSchedule {
        let fleet_size = fleet_size.max(1);
        let longest_gap = (poll_within / 5 * 4).max(1);
        let fleet_poll_time =
            (u64::from(fleet_size) * SERVICE_TIME).min(FLEET_POLL_TIME_MAX).min(longest_gap);
        let first_slot = match index {
            Some(index) => FirstSlot {
                offset: fleet_poll_time * u64::from(index % fleet_size) / u64::from(fleet_size),
                length: fleet_poll_time / u64::from(fleet_size),
            },
            None => FirstSlot { offset: 0, length: fleet_poll_time },
        };
        let windows = Windows::new(fleet_poll_time, longest_gap, 0);
        PollSchedule {
            next_poll: first_poll,
            first_slot,
            fleet_poll_time,
            longest_gap,
            window: windows.first,
            windows,
            drain_grace: 0,
            deadlines: BTreeSet::new(),
        }
    }

    /// Sets the drain grace: a draining member may receive requests for `grace` microseconds after the notification.
    pub fn with_drain_grace(self, grace: u64) -> PollSchedule {
        let windows = Windows::new(self.fleet_poll_time, self.longest_gap, grace);
        PollSchedule { drain_grace: grace, window: windows.first, windows, ..self }
    }

    /// Records that a saved list of this many members was loaded. Unless it is empty, the first poll waits for its
    /// slot; `chance`, a random number from 0 to 1, places it within the slot.
    pub fn list_loaded(&mut self, now: u64, chance: f64, members: usize) {
        if members == 0 {
            return;
        }
        let slot = now + self.first_slot.offset + (self.first_slot.length as f64 * chance) as u64;
        self.next_poll = self.next_poll.map(|due| due.max(slot));
    }

    /// Records that the poll returned a list, or that nothing has changed.
    pub fn succeeded(&mut self) {
        self.window = self.windows.first;
        self.deadlines.clear();
    }

    /// Records that the poll failed or its watch ended; `silent_for` is the time since the watch's last message, if
    /// silence was the cause. `chance`, a random number from 0 to 1, places the next poll in the later half of the
    /// backoff window, or, with a deadline ahead, anywhere in the window before it.
    pub fn failed(&mut self, now: u64, chance: f64, silent_for: Option<u64>) {
        if let Some(silent_for) = silent_for {
            self.add_deadline(now.saturating_sub(silent_for));
        }
        self.deadlines.retain(|deadline| *deadline > now);
        let gap = match self.deadlines.first() {
            Some(deadline) => (self.window.min(deadline - now) as f64 * chance) as u64,
            None => (self.window as f64 * (0.5 + 0.5 * chance)) as u64,
        };
        self.next_poll = Some(now + gap.max(GAP_MIN));
        self.window = (self.window * 2).min(self.windows.longest);
    }

    /// Adds the deadline for a watch that became silent at `silent_since`. Each silent watch has its own deadline: the
    /// new deadline does not replace earlier deadlines, and remains in force after they have passed. Beyond
    /// [`SILENT_WATCHES_MAX`] deadlines, the latest is dropped.
    fn add_deadline(&mut self, silent_since: u64) {
        let drain_effective_at =
            silent_since.saturating_add(NOTIFIED_AFTER.0).saturating_add(self.drain_grace);
        self.deadlines.insert(drain_effective_at.saturating_sub(CALL_RESERVE));
        while self.deadlines.len() > SILENT_WATCHES_MAX {
            self.deadlines.pop_last();
        }
    }

    /// Returns whether a poll is due. If so, the poll counts as in progress from then on.
    pub fn take_due(&mut self, now: u64) -> bool {
        self.next_poll.take_if(|due| *due <= now).is_some()
    }
}
