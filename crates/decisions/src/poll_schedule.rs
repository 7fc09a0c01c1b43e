//! When discovery is polled: a pure state machine, told how each poll ended.
//!
//! All proxies of a fleet poll one discovery service, which serves one call at a time. A call that it
//! rejects, or that its caller abandons, still costs it a turn. Calls that arrive together therefore keep
//! arriving together: whoever is rejected returns with all the others. So the first poll of a proxy that has
//! a saved list goes out in a slot of its own, by the proxy's place in the fleet; and after a failure the
//! next poll is drawn from a backoff window that holds one turn for each proxy, and doubles up to two
//! (`docs/design/fleet.md`).
//!
//! A watch that fell silent sets a deadline instead. What it misses counts as notified some seconds later,
//! and the grace of a drain runs from then. Until the deadline, polls are drawn from all the time that is
//! left, because the watches of the whole fleet may have fallen silent at once (`docs/design/crossings.md`).
//!
//! The module must never let a second poll go out beside one that is out, and never leave none due after a
//! failure.

use crate::platform_bounds::{MAX_HOLD_UP, NOTIFIED_AFTER};
use std::collections::BTreeSet;

/// Time that the service is assumed to need for one call. Microseconds. An assumption: nothing tells its
/// capacity.
const SERVICE_TURN: u64 = 40_000;
/// The backoff window after a first failure is at least this long. Microseconds.
const FIRST_WINDOW_MIN: u64 = 250_000;
/// The backoff window grows at least to this length, if that is in time. Microseconds.
const LONGEST_WINDOW_MIN: u64 = 2_000_000;
/// The turns of a whole fleet take no longer than this. Microseconds. Services were seen to serve all proxies in 2.6
/// to 5 s, 300 of them as well as 100: what they bear grows with the fleet (`docs/incidents/`).
const FLEET_TURNS_MAX: u64 = 3_400_000;
/// The longest time that one call is waited for. Microseconds.
const CALL_TIMEOUT: u64 = 3_000_000;
/// Part of the time before the deadline that is reserved for the call itself and what follows it.
/// Microseconds.
const CALL_RESERVE: u64 = 1_000_000;
/// Bound on the silent watches that are remembered. Silence is noticed after 1.5 s and counts for 6 s and a
/// grace.
const SILENT_WATCHES_MAX: usize = 8;
/// The shortest gap between polls. Microseconds. A service that fails calls at once is not polled in a loop.
const GAP_MIN: u64 = 50_000;

/// When the next poll is due. All times are in microseconds on the caller's clock.
#[derive(Debug)]
pub struct PollSchedule {
    /// When the next poll is due; none while one is out, or where lists are pushed.
    next_poll: Option<u64>,
    first_slot: FirstSlot,
    /// One turn of discovery for each proxy of the fleet, as far as there is time for that.
    fleet_turns: u64,
    windows: Windows,
    /// The window from which the gap after the next failure is drawn.
    window: u64,
    /// No gap is longer: `poll_within`, less a fifth.
    longest_gap: u64,
    drain_grace: u64,
    /// One for each watch that fell silent since the last poll that succeeded: what it missed must be polled
    /// by then.
    deadlines: BTreeSet<u64>,
}

/// When the first poll may go out, counted from the moment at which a saved list is known.
#[derive(Debug)]
struct FirstSlot {
    offset: u64,
    /// The poll is placed by chance within this length.
    length: u64,
}

/// The lengths of the backoff window: after a first failure, and at most.
#[derive(Debug)]
struct Windows {
    first: u64,
    longest: u64,
}

impl Windows {
    /// Windows that hold the turns of the fleet, and end in time for a drain that binds after `grace`.
    fn new(fleet_turns: u64, longest_gap: u64, grace: u64) -> Windows {
        // Discovery may come back right after a call was made that is waited for in vain, and the call that brings
        // the news takes its time as well.
        let binds = NOTIFIED_AFTER.0.saturating_add(grace).saturating_sub(MAX_HOLD_UP.0);
        let in_time = binds.saturating_sub(CALL_TIMEOUT + CALL_RESERVE);
        let longest = LONGEST_WINDOW_MIN.max(2 * fleet_turns).min(in_time).min(longest_gap);
        Windows { first: FIRST_WINDOW_MIN.max(fleet_turns).min(longest), longest }
    }
}

impl PollSchedule {
    /// A schedule for the proxy at `index` of a fleet; without an index its first slot is a matter of chance.
    /// The first poll is due at `first_poll`, which is `None` where lists are pushed. A proxy that has not
    /// polled for `poll_within` microseconds counts as notified, so every gap stays well below that.
    pub fn new(
        index: Option<u32>, fleet_size: u32, poll_within: u64, first_poll: Option<u64>,
    ) -> PollSchedule {
        let fleet_size = fleet_size.max(1);
        let longest_gap = (poll_within / 5 * 4).max(1);
        let fleet_turns = (u64::from(fleet_size) * SERVICE_TURN).min(FLEET_TURNS_MAX).min(longest_gap);
        let first_slot = match index {
            Some(index) => FirstSlot {
                offset: fleet_turns * u64::from(index % fleet_size) / u64::from(fleet_size),
                length: fleet_turns / u64::from(fleet_size),
            },
            None => FirstSlot { offset: 0, length: fleet_turns },
        };
        let windows = Windows::new(fleet_turns, longest_gap, 0);
        PollSchedule {
            next_poll: first_poll,
            first_slot,
            fleet_turns,
            longest_gap,
            window: windows.first,
            windows,
            drain_grace: 0,
            deadlines: BTreeSet::new(),
        }
    }

    /// The same schedule, where a draining member may receive requests for `grace` microseconds after the
    /// notification.
    pub fn with_drain_grace(self, grace: u64) -> PollSchedule {
        let windows = Windows::new(self.fleet_turns, self.longest_gap, grace);
        PollSchedule { drain_grace: grace, window: windows.first, windows, ..self }
    }

    /// A saved list of this many members was loaded. Unless it is empty, the first poll waits for its slot,
    /// and is placed within the slot by `chance` (0 to 1).
    pub fn list_loaded(&mut self, now: u64, chance: f64, members: usize) {
        if members == 0 {
            return;
        }
        let slot = now + self.first_slot.offset + (self.first_slot.length as f64 * chance) as u64;
        self.next_poll = self.next_poll.map(|due| due.max(slot));
    }

    /// The poll brought a list, or the answer that nothing has changed.
    pub fn succeeded(&mut self) {
        self.window = self.windows.first;
        self.deadlines.clear();
    }

    /// The poll failed, or its watch ended; `silent_for` tells for how long the watch had been silent, if
    /// that was the cause. `chance` (0 to 1) places the next poll in the later half of the backoff window, or
    /// anywhere before the nearest deadline.
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

    /// Remembers a watch that fell silent at this moment. Each silent watch keeps a deadline of its own: a
    /// later one leaves no more time for what an earlier one missed, and still counts once the earlier
    /// deadline has passed.
    fn add_deadline(&mut self, silent_since: u64) {
        let drain_binds = silent_since.saturating_add(NOTIFIED_AFTER.0).saturating_add(self.drain_grace);
        self.deadlines.insert(drain_binds.saturating_sub(CALL_RESERVE));
        while self.deadlines.len() > SILENT_WATCHES_MAX {
            self.deadlines.pop_last();
        }
    }

    /// Whether a poll is due. Says so once: from then on the poll counts as out.
    pub fn take_due(&mut self, now: u64) -> bool {
        self.next_poll.take_if(|due| *due <= now).is_some()
    }
}
