//! Tracks when discovery last sent a message and which list is in use. Runs [`StalenessMonitor`] with a clock and
//! writes its notices to the log.

use crate::api::{Micros, Time};
use crate::clock::Clock;
use crate::staleness::{Notice, StalenessMonitor};
use crate::upstream::send_guard::SendGuard;
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::sleep;

/// How often the time since the last message is checked.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The version of the list in use, its age, and the time since the last message.
pub struct DiscoveryStatus {
    list_version: Cell<u64>,
    monitor: RefCell<StalenessMonitor>,
    clock: Clock,
    guard: SendGuard,
}

impl DiscoveryStatus {
    /// Creates the status before the first message. `saved_version` is the version of the saved list, or 0 without one.
    /// Messages and ends of calls update the list lease in `guard`.
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

    /// Records a message from discovery, including one that reports no change.
    pub fn record_message(&self) {
        let notice = self.monitor.borrow_mut().record_message(self.clock.now());
        self.log_notice(notice);
    }

    /// Records that a message was decoded, which confirms the list in use or the one that the message carries.
    pub fn record_list_confirmed(&self) {
        self.guard.record_list_confirmed();
    }

    /// Records the end of the call that began at `began`. If a message was received since then, a watch has ended,
    /// otherwise the call has failed. `was_silent` is set if the reason was that no message arrived in time.
    pub fn record_call_end(&self, began: Time, was_silent: bool) {
        let since_began = self.clock.now().0.saturating_sub(began.0);
        if self.silence().0 < since_began {
            self.guard.record_watch_ended(was_silent);
        } else {
            self.guard.record_call_failed(began);
        }
    }

    /// Records that the list with this version came into use.
    pub fn record_list(&self, version: u64) {
        self.list_version.set(version);
        self.monitor.borrow_mut().record_list(self.clock.now());
    }

    /// Time since the last message, or since monitoring began if none arrived.
    pub fn silence(&self) -> Micros {
        self.monitor.borrow().silence(self.clock.now())
    }

    /// Time since a list from discovery last came into use; `None` if none did. A saved list does not count.
    pub fn list_age(&self) -> Option<Micros> {
        self.monitor.borrow().list_age(self.clock.now())
    }

    /// Logs the notices of [`StalenessMonitor`] about missing messages. Runs for the lifetime of the process.
    pub async fn log_silence(&self) {
        loop {
            sleep(SILENCE_CHECK_INTERVAL).await;
            let notice = self.monitor.borrow_mut().check_silence(self.clock.now());
            self.log_notice(notice);
        }
    }

    fn log_notice(&self, notice: Option<Notice>) {
        let version = self.list_version();
        match notice {
            Some(Notice::Silent(silence)) => warn!(
                "discovery: nothing heard for {:.1} s, list version {version} stays in use",
                seconds(silence)
            ),
            Some(Notice::Resumed(silence)) => {
                info!("discovery: message received again after {:.1} s", seconds(silence));
            }
            None => {}
        }
    }
}

/// Converts a duration to seconds, for metrics and log lines.
pub fn seconds(span: Micros) -> f64 {
    span.0 as f64 / 1e6
}
