//! How old the news of the members is, and when that is worth a line in the log: pure, told what came and when.
//!
//! A list that stays in use because nothing newer came looks like one that is right. Whether discovery has nothing to
//! tell or can't be heard shows only in when it last said anything at all.

/// Discovery says something every 2 s, if only that there is nothing new: after three times that its silence is worth
/// a line, and again after each doubling. In microseconds.
const QUIET: u64 = 6_000_000;

/// A line for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Nothing was heard for so long, in microseconds.
    Quiet(u64),
    /// Something was heard again after so long, in microseconds.
    Again(u64),
}

/// When discovery was last heard, in microseconds on the caller's clock.
#[derive(Debug)]
pub struct StalenessMonitor {
    word: u64,
    list: Option<u64>,
    /// The silence that is worth the next line.
    worth: u64,
}

impl StalenessMonitor {
    /// Nothing was heard yet.
    pub fn new(now: u64) -> StalenessMonitor {
        StalenessMonitor { word: now, list: None, worth: QUIET }
    }

    /// It said something, be it that there is nothing new.
    pub fn word(&mut self, now: u64) -> Option<Notice> {
        let quiet = now.saturating_sub(self.word);
        let told = self.worth > QUIET;
        (self.word, self.worth) = (self.word.max(now), QUIET);
        told.then_some(Notice::Again(quiet))
    }

    /// A list of its, or changes to one, were taken.
    pub fn list(&mut self, now: u64) {
        self.list = Some(now);
    }

    /// How long ago it last said anything, or this began; and how long ago a list was taken, if one was.
    pub fn age(&self, now: u64) -> (u64, Option<u64>) {
        (now.saturating_sub(self.word), self.list.map(|at| now.saturating_sub(at)))
    }

    /// Whether its silence is worth a line now.
    pub fn quiet(&mut self, now: u64) -> Option<Notice> {
        let quiet = now.saturating_sub(self.word);
        let worth = quiet >= self.worth;
        if worth {
            self.worth = quiet.saturating_mul(2);
        }
        worth.then_some(Notice::Quiet(quiet))
    }
}
