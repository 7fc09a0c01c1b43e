//! A keeper's logic without sockets or a clock: [`RaftNode`] drives the Raft engine, persists its state before any
//! message that depends on it is sent, and applies committed entries.
//!
//! [`crate::keeper`] carries out the [`Action`]s; tests run the same node under virtual time. The node writes to its
//! store itself, because safety depends on the order of writes and messages. The node must do no other I/O.
//!
//! Only the leader proposes entries. Each entry carries the time that elapsed on the leader's clock since its previous
//! entry, or since it became leader. Log time therefore does not advance without a leader, so no grant expires at the
//! keepers before it expires at its proxy.
//!
//! Each step has a module: `ticks` (elections and the declaration of a new leader), `requests` and `operators`
//! (received messages), `voters` (membership of the keepers), `proposals` (new entries), `ready` (store, messages and
//! committed entries in the order that the engine requires), `replies` (requests whose entry is not applied yet) and
//! `status`.

mod bootstrap;
mod error;
mod operators;
mod proposals;
mod ready;
mod replies;
mod requests;
mod status;
mod ticks;
mod voters;

pub use bootstrap::{initial_state, open_store};
pub use error::KeeperError;
pub use ticks::TICK_US;

use crate::protocol::{Body, Envelope};
use crate::replicated_state::ReplicatedState;
use crate::store::KeeperStore;
use crate::transport::InstanceIdentity;
use linenhill_settings::operator::Operator;
use log::info;
use proposals::{LogClock, ProposalQueue};
use prost::Message as _;
use raft::{Config, RawNode, StateRole};
use replies::PendingRequest;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum size of the engine's append messages, in bytes.
const MAX_APPEND_BYTES: u64 = 1 << 20;
/// Limit of append messages in flight to one keeper.
const MAX_IN_FLIGHT_APPENDS: usize = 256;

/// An input of a keeper. `R` is a handle for the reply to a message's sender.
pub enum Event<R> {
    /// At least [`TICK_US`] elapsed since the previous tick.
    Tick,
    /// A message arrived.
    Received(Envelope, R),
    /// The answer to an [`Action::RequestJoin`] arrived.
    JoinReply(Envelope),
}

/// An output of a keeper. Actions must be carried out in the order in which they are returned.
pub enum Action<R> {
    /// Send a reply to the sender of a received message.
    Reply(R, Envelope),
    /// Send a message to the keeper with this Raft identifier. Delivery is not guaranteed; see
    /// [`RaftNode::report_unreachable`].
    Send(u64, Envelope),
    /// Open connections to these keepers, by Raft identifier, and close all others.
    SetPeers(BTreeMap<u64, SocketAddr>),
    /// Send a join request to the keeper at this address; its answer is to be passed in as [`Event::JoinReply`].
    RequestJoin(SocketAddr, Envelope),
}

/// A keeper without sockets or a clock.
pub struct RaftNode<R> {
    engine: RawNode<KeeperStore>,
    operator: Operator,
    identity: Rc<InstanceIdentity>,
    state: ReplicatedState,
    /// Index of the last applied entry.
    applied: u64,
    /// Index of the last entry included in the latest snapshot.
    compacted: u64,
    peers: BTreeMap<u64, SocketAddr>,
    actions: Vec<Action<R>>,
    /// Time of the current call. Microseconds.
    now: u64,
    /// Seed of election timeouts and request identifiers. Keepers must have different seeds; fixed seeds make
    /// simulations reproducible.
    seed: u64,
    /// Time up to which this keeper has proposed log time as leader; `None`, or of an earlier term, while it does not
    /// lead.
    log_clock: Option<LogClock>,
    proposals: ProposalQueue,
    pending: VecDeque<PendingRequest<R>>,
    /// Last term in which this keeper led and called [`RaftNode::declare_file`]. Once in its term, a leader proposes
    /// its operators' file, or compares it with the committed declaration to warn operators of differences.
    declared_in_term: Option<u64>,
    /// Time at which the last entry was applied, or of the start before the first one. Microseconds.
    last_applied_at: u64,
    /// Leader named by the last log line about a change of leader; `None` if the leader was unknown.
    logged_leader: Option<String>,
    ticks: u64,
    /// Number of disruption requests queued as proposals so far; seeds their request identifiers.
    disruption_requests: u64,
}

impl<R> RaftNode<R> {
    /// Starts a node from its store at `now`, in microseconds of a clock that also advances while the machine is
    /// suspended. The first actions are returned by the first call of [`RaftNode::handle`].
    ///
    /// # Errors
    /// The snapshot cannot be decoded, or the engine rejects the store.
    pub fn start(
        operator: Operator, identity: Rc<InstanceIdentity>, store: KeeperStore, now: u64, seed: u64,
    ) -> Result<RaftNode<R>, KeeperError> {
        let applied = store.snapshot().get_metadata().index;
        let state = decode_state(store.snapshot().get_data())?;
        let config = Config {
            id: identity.incarnation,
            election_tick: ticks::ELECTION_TICKS,
            heartbeat_tick: ticks::HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MAX_APPEND_BYTES,
            max_inflight_msgs: MAX_IN_FLIGHT_APPENDS,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let engine = RawNode::new(&config, store, &logger)?;
        info!("fleet: keeper {} has Raft identifier {}", identity.name, identity.incarnation);
        let mut node = RaftNode {
            engine,
            operator,
            identity,
            state,
            applied,
            compacted: applied,
            peers: BTreeMap::new(),
            actions: Vec::new(),
            now,
            seed,
            log_clock: None,
            proposals: ProposalQueue::default(),
            pending: VecDeque::new(),
            declared_in_term: None,
            last_applied_at: now,
            logged_leader: None,
            ticks: 0,
            disruption_requests: 0,
        };
        node.update_peers();
        Ok(node)
    }

    /// Handles all events since the previous call at `now`, proposes queued commands if an entry is due, and processes
    /// the engine's output. Commands of one call share log entries and syncs of the store.
    ///
    /// # Errors
    /// The store or the engine failed, or a snapshot cannot be decoded. The node must not be used afterwards, since its
    /// state may differ from its store.
    pub fn handle(
        &mut self, now: u64, events: impl IntoIterator<Item = Event<R>>,
    ) -> Result<Vec<Action<R>>, KeeperError> {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::Tick => self.on_tick(),
                Event::Received(envelope, reply) => self.on_envelope(envelope, reply),
                Event::JoinReply(answer) => self.on_join_reply(answer)?,
            }
        }
        self.propose();
        self.process_ready()?;
        Ok(std::mem::take(&mut self.actions))
    }

    /// Time at which [`RaftNode::handle`] must be called even without an event, so that queued commands are proposed.
    /// Microseconds. `None` if no commands are queued, or this keeper does not lead or has just become leader.
    pub fn next_call_at(&self) -> Option<u64> {
        if !self.is_leader() || self.proposals.is_empty() {
            return None;
        }
        let log_clock = self.log_clock.filter(|log_clock| log_clock.term == self.term())?;
        Some(log_clock.entry_due_at())
    }

    /// The state after the last applied entry.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The current term if this keeper leads.
    pub fn leader_term(&self) -> Option<u64> {
        self.is_leader().then_some(self.term())
    }

    /// Reports to the engine that a message to the keeper with this Raft identifier was dropped.
    pub fn report_unreachable(&mut self, keeper: u64) {
        self.engine.report_unreachable(keeper);
    }

    /// Raft identifier of this keeper.
    pub fn id(&self) -> u64 {
        self.identity.incarnation
    }

    fn log_id(&self) -> u64 {
        self.engine.store().identity().log_id
    }

    fn term(&self) -> u64 {
        self.engine.raft.term
    }

    fn is_leader(&self) -> bool {
        self.engine.raft.state == StateRole::Leader
    }

    /// Name of the leader; empty while the leader or its name is unknown.
    fn leader_name(&self) -> String {
        let leader = self.state.keepers.get(&self.engine.raft.leader_id);
        leader.map_or_else(String::new, |keeper| keeper.name.clone())
    }

    fn reply(&mut self, to: R, body: Body) {
        self.reply_with_log_id(to, 0, body);
    }

    fn reply_with_log_id(&mut self, to: R, log_id: u64, body: Body) {
        self.actions.push(Action::Reply(to, self.identity.envelope(log_id, body)));
    }
}

/// Decodes the data of a snapshot; empty data, as in a store without a snapshot, is the default state.
fn decode_state(data: &[u8]) -> Result<ReplicatedState, KeeperError> {
    if data.is_empty() {
        return Ok(ReplicatedState::default());
    }
    ReplicatedState::decode(data).map_err(KeeperError::Snapshot)
}
