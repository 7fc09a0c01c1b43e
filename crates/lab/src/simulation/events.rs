//! Queue of scheduled events, ordered by simulation time. Events of equal time run in the order in which they were
//! scheduled, so that a seed always reproduces the same history.

use linenhill_cluster::protocol::Envelope;
use std::collections::BTreeMap;

/// Endpoint of a network link: the index of a keeper or of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Keeper(usize),
    Proxy(usize),
}

/// A scheduled event. Events for an incarnation that has ended are dropped.
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
    /// A unit in use ends. The proxy takes no part in this, so it also happens while the proxy is suspended or has
    /// ended.
    UnitEnds {
        proxy: usize,
        incarnation: u64,
    },
}

#[derive(Clone, Debug)]
pub(super) enum KeeperEvent {
    Tick,
    /// The time at which the node requested a call.
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

/// Scheduled events.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Key: simulation time in microseconds, then the sequence number of the event.
    events: BTreeMap<(u64, u64), ScheduledEvent>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at_us: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.events.insert((at_us, self.last_sequence), event);
    }

    /// Removes the next event, with its time, if it is due at `until_us` at the latest.
    pub(super) fn pop_due(&mut self, until_us: u64) -> Option<(u64, ScheduledEvent)> {
        let next = self.events.first_entry()?;
        let (at_us, _) = *next.key();
        (at_us <= until_us).then(|| (at_us, next.remove()))
    }
}
