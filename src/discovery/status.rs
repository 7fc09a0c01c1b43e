//! What discovery was last heard to say, and when: carries out [`StalenessMonitor`] with a clock and the log.

use crate::api::Span;
use crate::clock::Clock;
use crate::staleness::{Notice, StalenessMonitor};
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::sleep;

/// How often its silence is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// The version of the last list taken, and the age of the news.
pub struct DiscoveryStatus {
    version: Cell<u64>,
    staleness: RefCell<StalenessMonitor>,
    clock: Clock,
}

impl DiscoveryStatus {
    /// Nothing was heard yet; a saved list has this version, or 0.
    pub fn new(version: u64, clock: Clock) -> DiscoveryStatus {
        let staleness = RefCell::new(StalenessMonitor::new(clock.now().0));
        DiscoveryStatus { version: Cell::new(version), staleness, clock }
    }

    /// The clock that it goes by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The version of the last list taken.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Something was said, be it that there is nothing new.
    pub fn record_message(&self) {
        let notice = self.staleness.borrow_mut().word(self.clock.now().0);
        self.tell(notice);
    }

    /// A list of this version was taken.
    pub fn record_list(&self, version: u64) {
        self.version.set(version);
        self.staleness.borrow_mut().list(self.clock.now().0);
    }

    /// How long nothing was said.
    pub fn silence(&self) -> Span {
        Span(self.staleness.borrow().age(self.clock.now().0).0)
    }

    /// Seconds since anything was said (or since the start), and since a list was taken, if one was.
    pub fn ages(&self) -> (f64, Option<f64>) {
        let (word, list) = self.staleness.borrow().age(self.clock.now().0);
        (seconds(word), list.map(seconds))
    }

    fn tell(&self, notice: Option<Notice>) {
        let version = self.version();
        match notice {
            Some(Notice::Quiet(us)) => {
                warn!(
                    "discovery: nothing heard for {:.1} s, list version {version} stays in use",
                    seconds(us)
                );
            }
            Some(Notice::Again(us)) => info!("discovery: heard again after {:.1} s", seconds(us)),
            None => {}
        }
    }

    /// Logs its silence, for as long as the program runs.
    pub async fn log_silence(&self) {
        loop {
            sleep(LOOK_EVERY).await;
            let notice = self.staleness.borrow_mut().quiet(self.clock.now().0);
            self.tell(notice);
        }
    }
}

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}
