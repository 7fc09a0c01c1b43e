//! Keeps one watch open at discovery: opens the next one when it is due, reconnects when the address changes, and
//! reports each watch that failed. There must never be two watches at a time: a service that answers all proxies in
//! turn would serve each of them more slowly.

use crate::api::{Micros, Time};
use crate::clock::Clock;
use crate::close_reason::{CloseReason, Side, log_close};
use crate::counters::Counters;
use crate::discovery::list::ListEvent;
use crate::discovery::status::{DiscoveryStatus, seconds};
use crate::discovery::watch::open_watch;
use crate::metrics::Metrics;
use crate::stages::DriverInput;
use crate::watch_schedule::WatchSchedule;
use log::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::sleep_until;

/// What opens the next watch.
pub enum WatchTrigger {
    /// A notification by the driver. Used with a shared service, which answers the calls of all proxies in turn.
    OnRequest(Rc<Notify>),
    /// A schedule that keeps a watch open at all times, at an agent on this machine that lists are pushed to.
    Always(WatchSchedule),
}

impl WatchTrigger {
    /// Waits until the next watch is due.
    async fn wait_until_due(&self, clock: Clock) {
        match self {
            WatchTrigger::OnRequest(request) => request.notified().await,
            WatchTrigger::Always(schedule) => match schedule.next_watch() {
                Some(at) => sleep_until(clock.instant(at)).await,
                None => std::future::pending().await,
            },
        }
    }

    fn record_opening(&mut self, now: Time) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.watch_opening(now);
        }
    }

    /// `jitter` is a random number from 0 to 1.
    fn record_end(&mut self, now: Time, jitter: f64) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.watch_ended(now, jitter);
        }
    }

    fn record_address_change(&mut self, now: Time) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.agent_address_changed(now);
        }
    }
}

/// The client of discovery.
pub struct DiscoveryClient {
    /// Discovery's address; each update, even to the same address, reopens the watch.
    pub address: watch::Receiver<SocketAddr>,
    /// What opens the next watch.
    pub trigger: WatchTrigger,
    /// Records each message and list.
    pub status: Rc<DiscoveryStatus>,
    /// Where list events go.
    pub inbox: mpsc::UnboundedSender<DriverInput>,
    /// Counts the calls.
    pub counters: Rc<Counters>,
    /// Counts the calls by the reason of their end.
    pub metrics: Rc<Metrics>,
    /// Time limit for the response head of a watch, from the start of the call.
    pub first_message_timeout: Duration,
    /// Source of the retry jitter, since all proxies of a machine lose their agent at the same time.
    pub rng: fastrand::Rng,
}

/// A watch that ended for another reason than a change of discovery's address.
struct EndedWatch {
    opened_at: Time,
    reason: CloseReason,
}

impl DiscoveryClient {
    /// Keeps one watch open at a time until the receiver of its events is dropped. When the address changes, a new
    /// watch starts there at once, from the list version in use.
    pub async fn run(mut self) {
        let clock = self.status.clock();
        let mut last_reason = None;
        loop {
            tokio::select! {
                () = self.trigger.wait_until_due(clock) => {}
                () = address_changed(&mut self.address) => {}
            }
            let ended = self.watch_until_failure(clock, &mut last_reason).await;
            let now = clock.now();
            self.trigger.record_end(now, self.rng.f64());
            let silence = self.silence_at_end(&ended, now);
            if self.inbox.send(DriverInput::List(ListEvent::Failed { silence })).is_err() {
                return;
            }
        }
    }

    /// Opens a watch, and another one after each change of the address, until one ends for another reason.
    async fn watch_until_failure(
        &mut self, clock: Clock, last_reason: &mut Option<CloseReason>,
    ) -> EndedWatch {
        loop {
            let address = *self.address.borrow_and_update();
            self.counters.calls.add();
            let opened_at = clock.now();
            self.trigger.record_opening(opened_at);
            let call = self.counters.calls.get();
            let version = self.status.list_version();
            info!("discovery: call {call} started, address {address}, from list version {version}");
            let failure = tokio::select! {
                reason = open_watch(address, &self.status, &self.inbox, self.first_message_timeout) => Some(reason),
                () = address_changed(&mut self.address) => None,
            };
            let reason = failure.unwrap_or(CloseReason::DiscoveryAddressChanged);
            self.metrics.record_discovery_call_end(reason);
            let lasted = seconds(Micros(clock.now().0.saturating_sub(opened_at.0)));
            let silence = seconds(self.status.silence());
            info!(
                "discovery: call {call} ended after {lasted:.3} s, no message for {silence:.3} s, code={reason}"
            );
            self.log_end(address, reason, *last_reason);
            *last_reason = Some(reason);
            if failure.is_some() {
                self.status.record_call_end(opened_at, reason == CloseReason::WatchTimeout);
                return EndedWatch { opened_at, reason };
            }
            self.trigger.record_address_change(clock.now());
        }
    }

    /// Logs the close of a watch's connection. A schedule retries an unreachable agent many times a second, so only the
    /// first of consecutive refusals is logged then.
    fn log_end(&self, address: SocketAddr, reason: CloseReason, last_reason: Option<CloseReason>) {
        let is_repeated_refusal = reason == CloseReason::Refused && last_reason == Some(reason);
        let is_on_request = matches!(self.trigger, WatchTrigger::OnRequest(_));
        if is_on_request || !is_repeated_refusal {
            log_close(Side::Discovery, address, reason);
        }
    }

    /// If the watch ended because no message arrived in time, the time since its last message, or since the start of
    /// the call if none arrived. `None` if the watch ended for another reason.
    fn silence_at_end(&self, ended: &EndedWatch, now: Time) -> Option<Micros> {
        let since_opened = now.0.saturating_sub(ended.opened_at.0);
        let silence = Micros(self.status.silence().0.min(since_opened));
        (ended.reason == CloseReason::WatchTimeout).then_some(silence)
    }
}

/// Waits until a reload sets discovery's address, even to the same value.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    // The sender was dropped: the address can't change any longer.
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
