//! Keeps one watch at discovery: opens the next one when it is due, follows discovery to another address, and
//! reports each watch that failed. It must never hold two watches at a time, since a service that answers all
//! proxies in turn would serve each of them more slowly.

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
    /// A request of the decisions: one service answers the calls of all proxies in turn.
    OnRequest(Rc<Notify>),
    /// The schedule of a watch that is always open, at an agent on this machine to which lists are pushed.
    Always(WatchSchedule),
}

impl WatchTrigger {
    /// Waits until the next watch is due.
    async fn due(&self, clock: Clock) {
        match self {
            WatchTrigger::OnRequest(request) => request.notified().await,
            WatchTrigger::Always(schedule) => match schedule.next_watch() {
                Some(at) => sleep_until(clock.instant(at)).await,
                None => std::future::pending().await,
            },
        }
    }

    fn opening(&mut self, now: Time) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.watch_opening(now);
        }
    }

    /// `chance` is a random number from 0 to 1.
    fn ended(&mut self, now: Time, chance: f64) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.watch_ended(now, chance);
        }
    }

    fn agent_moved(&mut self, now: Time) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.agent_address_changed(now);
        }
    }
}

/// The client of discovery.
pub struct DiscoveryClient {
    /// Discovery's address; each change, also one to the same address, moves the watch.
    pub address: watch::Receiver<SocketAddr>,
    /// What opens the next watch.
    pub trigger: WatchTrigger,
    /// Records each message and list.
    pub status: Rc<DiscoveryStatus>,
    /// Where list events go.
    pub inbox: mpsc::UnboundedSender<DriverInput>,
    /// Counts the calls.
    pub counters: Rc<Counters>,
    /// Counts how calls ended.
    pub metrics: Rc<Metrics>,
    /// The longest time until the first message of a watch, from the start of the call.
    pub first_message_timeout: Duration,
    /// Spreads the watches of proxies that lose their agent together.
    pub rng: fastrand::Rng,
}

/// A watch that ended other than by discovery's move.
struct EndedWatch {
    opened_at: Time,
    reason: CloseReason,
}

impl DiscoveryClient {
    /// Keeps one watch at a time until nobody takes its events any more. When discovery moves, a new watch begins
    /// there at once, from the list version in use.
    pub async fn run(mut self) {
        let clock = self.status.clock();
        let mut last_reason = None;
        loop {
            tokio::select! {
                () = self.trigger.due(clock) => {}
                () = address_changed(&mut self.address) => {}
            }
            let ended = self.watch_until_failure(clock, &mut last_reason).await;
            let now = clock.now();
            self.trigger.ended(now, self.rng.f64());
            let silence = self.silence_of(&ended, now);
            if self.inbox.send(DriverInput::List(ListEvent::Failed { silence })).is_err() {
                return;
            }
        }
    }

    /// Opens a watch, and another one for each move of discovery, until one ends by itself.
    async fn watch_until_failure(
        &mut self, clock: Clock, last_reason: &mut Option<CloseReason>,
    ) -> EndedWatch {
        loop {
            let address = *self.address.borrow_and_update();
            self.counters.calls.add();
            let opened_at = clock.now();
            self.trigger.opening(opened_at);
            let call = self.counters.calls.get();
            info!("discovery: call {call} to {address} from version {}", self.status.list_version());
            let failure = tokio::select! {
                reason = open_watch(address, &self.status, &self.inbox, self.first_message_timeout) => Some(reason),
                () = address_changed(&mut self.address) => None,
            };
            let reason = failure.unwrap_or(CloseReason::DiscoveryAddressChanged);
            self.metrics.record_discovery_call_end(reason);
            let lasted = seconds(Micros(clock.now().0.saturating_sub(opened_at.0)));
            let silent = seconds(self.status.silence());
            info!(
                "discovery: call {call} ended after {lasted:.3} s, silent for {silent:.3} s, code={reason}"
            );
            self.log_end(address, reason, *last_reason);
            *last_reason = Some(reason);
            if failure.is_some() {
                self.status.record_end(opened_at, reason == CloseReason::WatchTimeout);
                return EndedWatch { opened_at, reason };
            }
            self.trigger.agent_moved(clock.now());
        }
    }

    /// Logs the end of a watch. An agent that is away is tried many times a second: only the first refusal is logged.
    fn log_end(&self, address: SocketAddr, reason: CloseReason, last_reason: Option<CloseReason>) {
        let is_repeated_refusal = reason == CloseReason::Refused && last_reason == Some(reason);
        let is_on_request = matches!(self.trigger, WatchTrigger::OnRequest(_));
        if is_on_request || !is_repeated_refusal {
            log_close(Side::Discovery, address, reason);
        }
    }

    /// For how long a watch that fell silent may have been so: since its last message, or since the call if none
    /// came.
    fn silence_of(&self, ended: &EndedWatch, now: Time) -> Option<Micros> {
        let since_opened = now.0.saturating_sub(ended.opened_at.0);
        let silence = Micros(self.status.silence().0.min(since_opened));
        (ended.reason == CloseReason::WatchTimeout).then_some(silence)
    }
}

/// Waits until a reload sets discovery's address, be it to the same one.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    // Without a sender the address never changes again.
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
