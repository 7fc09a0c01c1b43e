//! When discovery is asked: a pure state machine, told what became of each call.
//!
//! All proxies share one discovery service that takes calls in turn, and what it turns away or what is given up
//! still costs it a turn. Calls that come together therefore outlast themselves: whoever was turned away comes
//! again with all the others. So the first call of a proxy that has a saved list has a slot of its own by its
//! place in the fleet, and after a failure the gap is drawn from a window that holds a turn for each proxy,
//! doubling up to two (`docs/design/fleet.md`).
//!
//! A watch that fell silent is another matter: what it misses counts as told soon, and a drain's grace runs from there.
//! Until then the calls use what time is left, all of it by chance, since all watches may have fallen silent at once
//! (`docs/design/crossings.md`).

use std::collections::BTreeSet;

/// A turn that the service is taken to need for a call, in microseconds. A guess: its capacity is told nowhere.
const TURN: u64 = 40_000;
/// The windows of the smallest fleets: after a first failure, and the longest, in microseconds.
const WINDOW: (u64, u64) = (250_000, 2_000_000);
/// What a silent watch misses counts as told so long after it fell silent (the platform's figure), in microseconds.
const TOLD_AFTER: u64 = 6_000_000;
/// Of the time that is left then, what is set aside for the call itself and what comes after it, in microseconds.
const CALL: u64 = 1_000_000;
/// So many silent watches are kept in mind: silence takes 1.5 s to be noticed, and counts for 6 s and a grace.
const SILENCES: usize = 8;
/// The least gap, in microseconds: a service that fails calls at once is not asked in a loop.
const GAP_LEAST: u64 = 50_000;

/// The state of the calls, all times in microseconds on the caller's clock.
pub struct PollSchedule {
    /// When the next call is due; none while one is out, or where lists come unasked.
    at: Option<u64>,
    /// When after a start the first call may go out, and the length from which chance draws its part.
    slot: (u64, u64),
    first: u64,
    longest: u64,
    window: u64,
    grace: u64,
    /// Watches have fallen silent, and nothing was heard since: by then calls must go out at the latest, for what each
    /// of them missed.
    by: BTreeSet<u64>,
}

impl PollSchedule {
    /// For proxy `me` of `fleet`, whose slot is a matter of chance if its place isn't told. Without a list a call is due at once (`now`); `None` where lists come unasked.
    /// Whoever asks for nothing for `within` counts as told, so no gap comes near it.
    pub fn new(me: Option<u32>, fleet: u32, within: u64, now: Option<u64>) -> PollSchedule {
        let turns = u64::from(fleet.max(1)) * TURN;
        let longest = WINDOW.1.max(2 * turns).min(within / 5 * 4).max(1);
        let first = WINDOW.0.max(turns).min(longest);
        let slot = match me {
            Some(me) => ((u64::from(me % fleet.max(1)) * TURN).min(longest), TURN),
            None => (0, turns.min(longest)),
        };
        PollSchedule { at: now, slot, first, longest, window: first, grace: 0, by: BTreeSet::new() }
    }

    /// The same, where a member that drains may be sent to for so long after it was told.
    pub fn within_grace(self, grace: u64) -> PollSchedule {
        PollSchedule { grace, ..self }
    }

    /// A saved list of so many members is at hand: unless it is empty the first call can wait for its slot, and in it
    /// for `chance` (0 to 1).
    pub fn known(&mut self, now: u64, chance: f64, members: usize) {
        self.at = self.at.map(|at| match members {
            0 => at,
            _ => at.max(now + self.slot.0 + (self.slot.1 as f64 * chance) as u64),
        });
    }

    /// The call brought a list, or the word that there is nothing new.
    pub fn told(&mut self) {
        self.window = self.first;
        self.by.clear();
    }

    /// The call failed, or the watch ended; `quiet` where it fell silent, and since when. `chance` (0 to 1) places the
    /// next one in the later half of the window, or anywhere in the time left since a watch fell silent.
    pub fn failed(&mut self, now: u64, chance: f64, quiet: Option<u64>) {
        if let Some(quiet) = quiet {
            let told = now.saturating_sub(quiet).saturating_add(TOLD_AFTER).saturating_add(self.grace);
            // A second silent watch leaves no more time: what the first one missed still counts from there. Once that
            // is over, what the second one missed does.
            self.by.insert(told.saturating_sub(CALL));
            while self.by.len() > SILENCES {
                self.by.pop_last();
            }
        }
        self.by.retain(|by| *by > now);
        let gap = match self.by.first().map(|by| by - now) {
            Some(room) => (self.window.min(room) as f64 * chance) as u64,
            None => (self.window as f64 * (0.5 + 0.5 * chance)) as u64,
        };
        self.at = Some(now + gap.max(GAP_LEAST));
        self.window = (self.window * 2).min(self.longest);
    }

    /// Whether a call is due; says so once.
    pub fn due(&mut self, now: u64) -> bool {
        self.at.take_if(|at| *at <= now).is_some()
    }
}
