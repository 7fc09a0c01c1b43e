//! The time since discovery last sent a message, and when that time is logged.
//!
//! A list that is in use because no newer one arrived looks like one that is up to date. Only the time of the last
//! message distinguishes a discovery service without changes from one that is unreachable.

use crate::api::{Micros, Time};

/// Length of silence that is logged first; after each notice the next one is due when the length has doubled. Discovery
/// sends a message at least every 2 s, possibly without changes; 6 s is three such intervals.
const FIRST_NOTICE_AFTER: Micros = Micros(6_000_000);

/// A change of discovery's silence that is to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// No message has arrived for this long.
    Silent(Micros),
    /// A message arrived after a logged silence of this length.
    Resumed(Micros),
}

/// The times of the last message and the last list from discovery.
#[derive(Debug)]
pub struct StalenessMonitor {
    /// When the last message arrived; before the first one, when monitoring began.
    last_message: Time,
    last_list: Option<Time>,
    /// The length of silence at which the next notice is due.
    next_notice: Micros,
}

impl StalenessMonitor {
    /// A monitor that starts at `now`, before any message.
    pub fn new(now: Time) -> StalenessMonitor {
        StalenessMonitor { last_message: now, last_list: None, next_notice: FIRST_NOTICE_AFTER }
    }

    /// Records a message of discovery, with or without changes. Returns a notice if the silence before the message was
    /// logged.
    pub fn record_message(&mut self, now: Time) -> Option<Notice> {
        let silence = self.silence(now);
        let was_logged = self.next_notice > FIRST_NOTICE_AFTER;
        self.last_message = self.last_message.max(now);
        self.next_notice = FIRST_NOTICE_AFTER;
        was_logged.then_some(Notice::Resumed(silence))
    }

    /// Records that a list, or changes to one, came into use.
    pub fn record_list(&mut self, now: Time) {
        self.last_list = Some(now);
    }

    /// Time since the last message, or since monitoring began.
    pub fn silence(&self, now: Time) -> Micros {
        elapsed(self.last_message, now)
    }

    /// Time since a list last came into use; `None` if none did.
    pub fn list_age(&self, now: Time) -> Option<Micros> {
        self.last_list.map(|at| elapsed(at, now))
    }

    /// Returns a notice if one is due, and sets when the next one is due.
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
