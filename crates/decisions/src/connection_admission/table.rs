//! The connections of one kind, ordered by how long each has been in its state. Plain records, no decisions.

use super::ConnectionId;
use crate::api::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It has not sent its startup message.
    Silent,
    /// It has sent its startup message, and no request yet.
    Started,
    /// Its requests are answered.
    Idle,
    /// A request of it is open.
    Busy,
    /// It was asked to close, and no request of it is open.
    Closing,
}

const STATE_COUNT: usize = 5;

struct ConnectionSlot {
    state: ConnectionState,
    since: Time,
    /// It was asked to close. That holds also when a request arrived in the same moment.
    close_requested: bool,
}

/// Connections by id, and in each state by age.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: BTreeMap<ConnectionId, ConnectionSlot>,
    /// For each state its connections, those that have been in it longest first.
    by_age: [BTreeSet<(Time, ConnectionId)>; STATE_COUNT],
}

impl ConnectionTable {
    /// Adds a connection that has sent nothing yet.
    pub(super) fn insert(&mut self, id: ConnectionId, now: Time) {
        let state = ConnectionState::Silent;
        self.by_age[state as usize].insert((now, id));
        self.slots.insert(id, ConnectionSlot { state, since: now, close_requested: false });
    }

    /// Moves a connection to another state, unless it is unknown. One that was asked to close is closing as
    /// soon as it is not busy.
    pub(super) fn set_state(&mut self, id: ConnectionId, state: ConnectionState, now: Time) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let closes = slot.close_requested && state != ConnectionState::Busy;
        let state = if closes { ConnectionState::Closing } else { state };
        self.by_age[slot.state as usize].remove(&(slot.since, id));
        self.by_age[state as usize].insert((now, id));
        slot.state = state;
        slot.since = now;
    }

    /// Removes a connection. Returns whether it was here.
    pub(super) fn remove(&mut self, id: ConnectionId) -> bool {
        let Some(slot) = self.slots.remove(&id) else { return false };
        self.by_age[slot.state as usize].remove(&(slot.since, id))
    }

    /// Asks the connection that has been longest in this state to close, if it has been so for `min_age`.
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

    /// The connection that has been longest in this state, and since when.
    pub(super) fn oldest(&self, state: ConnectionState) -> Option<(Time, ConnectionId)> {
        self.by_age[state as usize].first().copied()
    }

    /// Connections in this state.
    pub(super) fn count(&self, state: ConnectionState) -> usize {
        self.by_age[state as usize].len()
    }

    /// All connections.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Connections that are not closing.
    pub(super) fn len_without_closing(&self) -> usize {
        self.len() - self.count(ConnectionState::Closing)
    }
}
