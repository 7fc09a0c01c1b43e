//! The network between simulated instances. It delays messages and, under faults, loses, duplicates and blocks them.
//! It never alters a message.

use super::Simulation;
use super::events::{Endpoint, KeeperEvent, ProxyEvent, ScheduledEvent};
use super::{MILLISECOND_US, TrafficCounts};
use linenhill_cluster::protocol::{Body, Envelope};
use prost::Message;
use std::collections::BTreeSet;
use std::ops::Range;

/// Delay of a message on a network without faults.
const DELAY_US: Range<u64> = 200..2_000;
/// Additional delay of a late message.
const LATE_DELAY_US: Range<u64> = 0..1_500 * MILLISECOND_US;

/// Present faults of the network.
#[derive(Default)]
pub(super) struct Network {
    /// Blocked directions, as sender and recipient.
    blocked: BTreeSet<(Endpoint, Endpoint)>,
    /// Percentage of messages that are lost.
    pub(super) loss_percent: u64,
    /// Percentage of messages that are duplicated, and percentage of copies that are late.
    pub(super) late_percent: u64,
}

impl Network {
    pub(super) fn block(&mut self, from: Endpoint, to: Endpoint) {
        self.blocked.insert((from, to));
    }

    /// Ends all faults.
    pub(super) fn heal(&mut self) {
        *self = Network::default();
    }

    fn loses(&self, from: Endpoint, to: Endpoint, rng: &mut fastrand::Rng) -> bool {
        self.blocked.contains(&(from, to)) || rng.u64(0..100) < self.loss_percent
    }

    fn draw_delay_us(&self, rng: &mut fastrand::Rng) -> u64 {
        let delay_us = rng.u64(DELAY_US);
        if rng.u64(0..100) < self.late_percent { delay_us + rng.u64(LATE_DELAY_US) } else { delay_us }
    }
}

impl TrafficCounts {
    fn count(&mut self, envelope: &Envelope) {
        self.messages += 1;
        self.bytes += envelope.encoded_len() as u64;
        self.grants += u64::from(matches!(envelope.body, Some(Body::LeaseGranted(_))));
    }
}

impl Simulation {
    /// Counts a message and schedules its arrival, unless it is lost.
    pub(super) fn send(&mut self, from: Endpoint, to: Endpoint, envelope: Envelope) {
        self.traffic.count(&envelope);
        if self.network.loses(from, to, &mut self.rng) {
            return;
        }
        let is_duplicated = self.rng.u64(0..100) < self.network.late_percent;
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let delay_us = self.network.draw_delay_us(&mut self.rng);
            let arrival = self.arrival(from, to, envelope.clone());
            self.schedule_after(delay_us, arrival);
        }
    }

    /// Builds the event of a message's arrival at the recipient's present incarnation: connections end with their
    /// process.
    fn arrival(&self, from: Endpoint, to: Endpoint, envelope: Envelope) -> ScheduledEvent {
        let envelope = Box::new(envelope);
        match to {
            Endpoint::Keeper(keeper) => {
                let event = match envelope.body {
                    Some(Body::OperatorReply(_)) => KeeperEvent::JoinReply(envelope),
                    _ => KeeperEvent::Message { from, envelope },
                };
                let incarnation = self.keepers[keeper].incarnation;
                ScheduledEvent::ForKeeper { keeper, incarnation, event }
            }
            Endpoint::Proxy(proxy) => {
                let incarnation = self.proxies[proxy].incarnation;
                ScheduledEvent::ForProxy { proxy, incarnation, event: ProxyEvent::Message(envelope) }
            }
        }
    }
}
