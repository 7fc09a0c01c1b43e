//! A table of connections, ordered by the time that each has been in its state. The table makes no decisions.

use super::ConnectionId;
use crate::api::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The startup message has not arrived.
    AwaitingStartup,
    /// The startup message has arrived, but no request.
    Started,
    /// Requests have arrived, and all of them have completed.
    Idle,
    /// A request is open.
    Busy,
    /// The close was requested, and no request is open.
    Closing,
}

const STATE_COUNT: usize = 5;

struct ConnectionSlot {
    state: ConnectionState,
    since: Time,
    /// The close was requested. Remains set if a request arrives before the connection is closed.
    close_requested: bool,
}

/// Connections by id, and in each state by age.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: BTreeMap<ConnectionId, ConnectionSlot>,
    /// The connections in each state, ordered by the time since when they have been in it.
    by_age: [BTreeSet<(Time, ConnectionId)>; STATE_COUNT],
}

impl ConnectionTable {
    /// Adds a new connection, whose startup message has not arrived.
    pub(super) fn insert(&mut self, id: ConnectionId, now: Time) {
        let state = ConnectionState::AwaitingStartup;
        self.by_age[state as usize].insert((now, id));
        self.slots.insert(id, ConnectionSlot { state, since: now, close_requested: false });
    }

    /// Moves a connection to another state; an unknown connection is ignored. If a close was requested, the
    /// new state is [`ConnectionState::Closing`], unless `state` is [`ConnectionState::Busy`].
    pub(super) fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: Time) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let closes = slot.close_requested && state != ConnectionState::Busy;
        let state = if closes { ConnectionState::Closing } else { state };
        self.by_age[slot.state as usize].remove(&(slot.since, id));
        self.by_age[state as usize].insert((now, id));
        slot.state = state;
        slot.since = now;
    }

    /// Removes a connection. Returns whether the table contained it.
    pub(super) fn remove(&mut self, id: ConnectionId) -> bool {
        let Some(slot) = self.slots.remove(&id) else { return false };
        self.by_age[slot.state as usize].remove(&(slot.since, id))
    }

    /// Marks the connection that has been in this state longest as closing, if for at least `min_age`, and returns it;
    /// `None` if there is no such connection.
    pub(super) fn close_oldest(
        &mut self, state: ConnectionState, min_age: Micros, now: Time,
    ) -> Option<ConnectionId> {
        let (since, id) = self.oldest(state)?;
        if now.0.saturating_sub(since.0) < min_age.0 {
            return None;
        }
        self.slots.get_mut(&id)?.close_requested = true;
        self.set_state(id, ConnectionState::Closing, now);
        Some(id)
    }

    /// The connection that has been in this state longest, and since when.
    pub(super) fn oldest(&self, state: ConnectionState) -> Option<(Time, ConnectionId)> {
        self.by_age[state as usize].first().copied()
    }

    /// Number of connections in this state.
    pub(super) fn count(&self, state: ConnectionState) -> usize {
        self.by_age[state as usize].len()
    }

    /// Number of connections.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Number of connections that are not closing.
    pub(super) fn len_without_closing(&self) -> usize {
        self.len() - self.count(ConnectionState::Closing)
    }
}
