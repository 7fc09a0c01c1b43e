//! Membership of the log: the voters, their addresses, and how a keeper joins or is removed.

use super::operators::{ChangeRejected, immediate_reply};
use super::{Action, KeeperError, RaftNode};
use crate::protocol::{Body, Envelope, JoinRequest};
use crate::replicated_state::KeeperRecord;
use log::{info, warn};
use prost::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType};
use std::net::SocketAddr;

/// Limit of the peers that a keeper without a list of keepers adds when it receives their messages.
const MAX_PROVISIONAL_PEERS: usize = 16;

impl<R> RaftNode<R> {
    /// Whether this keeper is a voter in the state that it has applied.
    pub(super) fn is_voter(&self) -> bool {
        self.state.keepers.contains_key(&self.id())
    }

    /// Address of the keeper `name` in this keeper's operators' file.
    fn configured_address(&self, name: &str) -> Option<SocketAddr> {
        self.operator.keepers.iter().find(|keeper| keeper.name == name).map(|keeper| keeper.address)
    }

    /// Updates the peers from the replicated list of keepers. Addresses in this keeper's operators' file override those
    /// in the log.
    pub(super) fn update_peers(&mut self) {
        // A keeper without a list of keepers keeps its provisional peers.
        if !self.state.keepers.is_empty() {
            self.peers.retain(|id, _| self.state.keepers.contains_key(id));
        }
        let own_id = self.id();
        for (id, keeper) in self.state.keepers.iter().filter(|(id, _)| **id != own_id) {
            let configured = self.configured_address(&keeper.name);
            if let Some(address) = configured.or_else(|| keeper.address.parse().ok()) {
                self.peers.insert(*id, address);
            }
        }
        self.actions.push(Action::SetPeers(self.peers.clone()));
    }

    /// Adds the sender of a Raft message to the peers while this keeper has no list of keepers, so that it can be
    /// answered. Senders that the operators' file does not name are not added.
    pub(super) fn add_provisional_peer(&mut self, name: &str, id: u64) {
        let may_add = self.state.keepers.is_empty() && self.peers.len() < MAX_PROVISIONAL_PEERS;
        if !may_add || self.peers.contains_key(&id) {
            return;
        }
        if let Some(address) = self.configured_address(name) {
            self.peers.insert(id, address);
            self.actions.push(Action::SetPeers(self.peers.clone()));
        }
    }

    /// Sends a join request to every other configured keeper, since the leader may be any of them. Only the leader adds
    /// voters.
    pub(super) fn request_join(&mut self) {
        let Some(own_address) = self.configured_address(&self.identity.name) else { return };
        for keeper in self.operator.keepers.iter().filter(|keeper| keeper.name != self.identity.name) {
            let join = JoinRequest { address: own_address.to_string() };
            let envelope = self.identity.envelope(self.log_id(), Body::Join(join));
            self.actions.push(Action::RequestJoin(keeper.address, envelope));
        }
    }

    pub(super) fn on_join_reply(&mut self, answer: Envelope) -> Result<(), KeeperError> {
        let Some(Body::OperatorReply(reply)) = answer.body else { return Ok(()) };
        if !reply.ok {
            warn!("fleet: {} rejected the join request: {}", answer.from, reply.text);
        } else if answer.log_id > 0 && self.log_id() == 0 {
            info!("fleet: {} lets this keeper in", answer.from);
            self.engine.mut_store().set_log_id(answer.log_id)?;
        }
        Ok(())
    }

    pub(super) fn on_join_request(&mut self, name: &str, id: u64, join: &JoinRequest, reply: R) {
        let known_id = self.state.keeper_id(name);
        // Any keeper confirms an existing voter: the reply of the leader may have been lost, and without the voter's
        // vote there may be no leader. Only the leader answers other requests.
        if !self.is_leader() && known_id != Some(id) {
            return;
        }
        let outcome = match known_id {
            // The joining keeper ignores the text of an accepted request.
            Some(known_id) if known_id == id => Ok("known".to_string()),
            Some(_) => Err(ChangeRejected::StoreMismatch { name: name.to_string() }),
            None => self.propose_voter(name, id, join),
        };
        self.reply_with_log_id(reply, self.log_id(), Body::OperatorReply(immediate_reply(outcome)));
    }

    fn propose_voter(&mut self, name: &str, id: u64, join: &JoinRequest) -> Result<String, ChangeRejected> {
        if self.configured_address(name).is_none() {
            return Err(ChangeRejected::NotConfigured { name: name.to_string() });
        }
        let record = KeeperRecord { name: name.to_string(), address: join.address.clone() };
        self.propose_voter_change(ConfChangeType::AddNode, id, record.encode_to_vec())?;
        Ok("being let in".to_string())
    }

    /// Proposes to remove a voter that lost its store, so that the keeper can join with a new one. Operators' scripts
    /// read the returned text, which must not change.
    pub(super) fn replace_keeper(&mut self, name: &str) -> Result<String, ChangeRejected> {
        let id = self
            .state
            .keeper_id(name)
            .ok_or_else(|| ChangeRejected::UnknownKeeper { name: name.to_string() })?;
        if id == self.id() {
            return Err(ChangeRejected::IsLeader);
        }
        self.propose_voter_change(ConfChangeType::RemoveNode, id, Vec::new())?;
        Ok(format!("{name} with number {id} votes no more; another store may join"))
    }

    /// Proposes to add or remove a voter. `record` is the encoded [`KeeperRecord`] of an added voter, and empty
    /// otherwise.
    fn propose_voter_change(
        &mut self, change_type: ConfChangeType, id: u64, record: Vec<u8>,
    ) -> Result<(), raft::Error> {
        let mut change = ConfChange::default();
        change.set_change_type(change_type);
        change.node_id = id;
        change.set_context(record.into());
        self.engine.propose_conf_change(Vec::new(), change)
    }

    pub(super) fn apply_voter_change(&mut self, change: &ConfChange) -> Result<(), KeeperError> {
        let conf = self.engine.apply_conf_change(change)?;
        if change.get_change_type() == ConfChangeType::RemoveNode {
            self.state.keepers.remove(&change.node_id);
        } else {
            let record = KeeperRecord::decode(change.get_context()).unwrap_or_default();
            info!("fleet: keeper {} is a voter", record.name);
            self.state.keepers.insert(change.node_id, record);
        }
        self.update_peers();
        // Takes a snapshot now: the engine sends a new voter the last snapshot, and a voter accepts only a snapshot
        // that lists the voter itself.
        self.compact(&conf)
    }
}
