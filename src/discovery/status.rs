//! When discovery last sent something, and which list is in use: carries out [`StalenessMonitor`] with a
//! clock and the log. Decides nothing, and never touches a connection.

use crate::api::{Micros, Time};
use crate::clock::Clock;
use crate::staleness::{Notice, StalenessMonitor};
use crate::upstream::send_guard::SendGuard;
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::sleep;

/// How often the silence is checked.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// The version of the list in use, and the time since the last message.
pub struct DiscoveryStatus {
    list_version: Cell<u64>,
    monitor: RefCell<StalenessMonitor>,
    clock: Clock,
    guard: SendGuard,
}

impl DiscoveryStatus {
    /// Nothing has arrived yet; `saved_version` is that of a saved list, or 0. What arrives renews the lease of `guard`.
    pub fn new(saved_version: u64, clock: Clock, guard: SendGuard) -> DiscoveryStatus {
        let monitor = RefCell::new(StalenessMonitor::new(clock.now()));
        DiscoveryStatus { list_version: Cell::new(saved_version), monitor, clock, guard }
    }

    /// The clock by which ages are measured.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The version of the list in use; 0 before the first one.
    pub fn list_version(&self) -> u64 {
        self.list_version.get()
    }

    /// Discovery sent a message, possibly only that nothing is new.
    pub fn record_message(&self) {
        let notice = self.monitor.borrow_mut().record_message(self.clock.now());
        self.log(notice);
    }

    /// The message could be read: the list in use, or the one that it brings, is what discovery has.
    pub fn record_confirmed(&self) {
        self.guard.record_list_confirmed();
    }

    /// A call that began at `began` ended, or the watch that it became, for silence or another reason.
    pub fn record_end(&self, began: Time, was_silent: bool) {
        let since_began = self.clock.now().0.saturating_sub(began.0);
        if self.silence().0 < since_began {
            self.guard.record_watch_ended(was_silent);
        } else {
            self.guard.record_call_failed(began);
        }
    }

    /// A list of this version came into use.
    pub fn record_list(&self, version: u64) {
        self.list_version.set(version);
        self.monitor.borrow_mut().record_list(self.clock.now());
    }

    /// Time since the last message, or since the start.
    pub fn silence(&self) -> Micros {
        self.monitor.borrow().silence(self.clock.now())
    }

    /// Time since a list came into use, if one did.
    pub fn list_age(&self) -> Option<Micros> {
        self.monitor.borrow().list_age(self.clock.now())
    }

    /// Logs silences and their ends, for as long as the program runs.
    pub async fn log_silence(&self) {
        loop {
            sleep(CHECK_EVERY).await;
            let notice = self.monitor.borrow_mut().check_silence(self.clock.now());
            self.log(notice);
        }
    }

    fn log(&self, notice: Option<Notice>) {
        let version = self.list_version();
        match notice {
            Some(Notice::Silent(silence)) => warn!(
                "discovery: nothing heard for {:.1} s, list version {version} stays in use",
                seconds(silence)
            ),
            Some(Notice::Resumed(silence)) => {
                info!("discovery: heard again after {:.1} s", seconds(silence));
            }
            None => {}
        }
    }
}

/// A length of time in seconds, as figures and log lines give it.
pub fn seconds(span: Micros) -> f64 {
    span.0 as f64 / 1e6
}
