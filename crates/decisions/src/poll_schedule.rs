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

use std::collections::BTreeSet;

/// Time that the service is assumed to need for one call. Microseconds. An assumption: nothing tells its
/// capacity.
const SERVICE_TURN: u64 = 40_000;
/// The backoff window after a first failure is at least this long. Microseconds.
const FIRST_WINDOW_MIN: u64 = 250_000;
/// The backoff window grows at least to this length. Microseconds.
const LONGEST_WINDOW_MIN: u64 = 2_000_000;
/// What a silent watch misses counts as notified this long after it fell silent. Microseconds; the platform's
/// figure.
const NOTIFIED_AFTER: u64 = 6_000_000;
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
    first_window: u64,
    longest_window: u64,
    /// The window from which the gap after the next failure is drawn.
    window: u64,
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

impl PollSchedule {
    /// A schedule for the proxy at `index` of a fleet; without an index its first slot is a matter of chance.
    /// The first poll is due at `first_poll`, which is `None` where lists are pushed. A proxy that has not
    /// polled for `poll_within` microseconds counts as notified, so every gap stays well below that.
    pub fn new(
        index: Option<u32>, fleet_size: u32, poll_within: u64, first_poll: Option<u64>,
    ) -> PollSchedule {
        let fleet_size = fleet_size.max(1);
        let fleet_turns = u64::from(fleet_size) * SERVICE_TURN;
        let longest_window = LONGEST_WINDOW_MIN.max(2 * fleet_turns).min(poll_within / 5 * 4).max(1);
        let first_window = FIRST_WINDOW_MIN.max(fleet_turns).min(longest_window);
        let first_slot = match index {
            Some(index) => FirstSlot {
                offset: (u64::from(index % fleet_size) * SERVICE_TURN).min(longest_window),
                length: SERVICE_TURN,
            },
            None => FirstSlot { offset: 0, length: fleet_turns.min(longest_window) },
        };
        PollSchedule {
            next_poll: first_poll,
            first_slot,
            first_window,
            longest_window,
            window: first_window,
            drain_grace: 0,
            deadlines: BTreeSet::new(),
        }
    }

    /// The same schedule, where a draining member may receive requests for `grace` microseconds after the
    /// notification.
    pub fn with_drain_grace(self, grace: u64) -> PollSchedule {
        PollSchedule { drain_grace: grace, ..self }
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
        self.window = self.first_window;
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
        self.window = (self.window * 2).min(self.longest_window);
    }

    /// Remembers a watch that fell silent at this moment. Each silent watch keeps a deadline of its own: a
    /// later one leaves no more time for what an earlier one missed, and still counts once the earlier
    /// deadline has passed.
    fn add_deadline(&mut self, silent_since: u64) {
        let drain_binds = silent_since.saturating_add(NOTIFIED_AFTER).saturating_add(self.drain_grace);
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
