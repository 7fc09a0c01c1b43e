//! How old the news of discovery is, and when that is worth a line in the log: a pure record, told what
//! arrived and when.
//!
//! A list that stays in use because nothing newer arrived looks like one that is up to date. Whether
//! discovery has nothing to tell or can't be reached shows only in when it last sent anything at all.

use crate::api::{Micros, Time};

/// Silence of this length is worth a line in the log, and again after each doubling. Discovery sends
/// something every 2 s, if only that nothing is new: this is three times that.
const SILENCE_NOTICED: Micros = Micros(6_000_000);

/// A line for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Nothing has arrived for this long.
    Silent(Micros),
    /// Something arrived again, after this long.
    Resumed(Micros),
}

/// When discovery last sent something.
#[derive(Debug)]
pub struct StalenessMonitor {
    /// When the last message arrived; before that, when monitoring began.
    last_message: Time,
    last_list: Option<Time>,
    /// The length of silence that is worth the next line.
    next_notice: Micros,
}

impl StalenessMonitor {
    /// Nothing has arrived yet.
    pub fn new(now: Time) -> StalenessMonitor {
        StalenessMonitor { last_message: now, last_list: None, next_notice: SILENCE_NOTICED }
    }

    /// Discovery sent a message, possibly only that nothing is new. A notice if a silence was logged before.
    pub fn record_message(&mut self, now: Time) -> Option<Notice> {
        let silence = self.silence(now);
        let was_noticed = self.next_notice > SILENCE_NOTICED;
        self.last_message = self.last_message.max(now);
        self.next_notice = SILENCE_NOTICED;
        was_noticed.then_some(Notice::Resumed(silence))
    }

    /// A list, or changes to one, came into use.
    pub fn record_list(&mut self, now: Time) {
        self.last_list = Some(now);
    }

    /// Time since the last message, or since monitoring began.
    pub fn silence(&self, now: Time) -> Micros {
        elapsed(self.last_message, now)
    }

    /// Time since a list last came into use, if one did.
    pub fn list_age(&self, now: Time) -> Option<Micros> {
        self.last_list.map(|at| elapsed(at, now))
    }

    /// A notice if the silence is worth a line now.
    pub fn check_silence(&mut self, now: Time) -> Option<Notice> {
        let silence = self.silence(now);
        if silence < self.next_notice {
            return None;
        }
        self.next_notice = Micros(silence.0.saturating_mul(2));
        Some(Notice::Silent(silence))
    }
}

fn elapsed(since: Time, now: Time) -> Micros {
    Micros(now.0.saturating_sub(since.0))
}
