//! What is still to happen, in the order of real time. Events of equal time happen in the order in which they were
//! scheduled, so that a seed always plays the same history.

use linenhill_cluster::protocol::Envelope;
use std::collections::BTreeMap;

/// One end of a network link, by its place among the keepers or the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Keeper(usize),
    Proxy(usize),
}

/// An event that lies ahead. It belongs to one incarnation of its process and is dropped once that is over.
#[derive(Clone, Debug)]
pub(super) enum ScheduledEvent {
    ForKeeper {
        keeper: usize,
        incarnation: u64,
        event: KeeperEvent,
    },
    ForProxy {
        proxy: usize,
        incarnation: u64,
        event: ProxyEvent,
    },
    /// A unit in use ends. This happens outside the proxy, so also when the proxy is suspended or dead.
    UnitEnds {
        proxy: usize,
        incarnation: u64,
    },
}

#[derive(Clone, Debug)]
pub(super) enum KeeperEvent {
    Tick,
    /// The node asked to be called at this moment.
    CallDue,
    JoinReply(Box<Envelope>),
    Message {
        from: Endpoint,
        envelope: Box<Envelope>,
    },
}

#[derive(Clone, Debug)]
pub(super) enum ProxyEvent {
    Timer,
    /// The proxy compares the units it uses with its demand.
    UseCheck,
    Message(Box<Envelope>),
}

/// The events that lie ahead.
#[derive(Default)]
pub(super) struct EventQueue {
    /// By real time in microseconds, then by the number under which the event was scheduled.
    events: BTreeMap<(u64, u64), ScheduledEvent>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at_us: u64, event: ScheduledEvent) {
        self.scheduled += 1;
        self.events.insert((at_us, self.scheduled), event);
    }

    /// Removes the next event, with its time, if it is due at `until_us` at the latest.
    pub(super) fn pop_due(&mut self, until_us: u64) -> Option<(u64, ScheduledEvent)> {
        let next = self.events.first_entry()?;
        let (at_us, _) = *next.key();
        (at_us <= until_us).then(|| (at_us, next.remove()))
    }
}
