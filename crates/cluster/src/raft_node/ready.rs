//! Processes the Raft engine's output in the order that safety requires: writes to the store come before the messages
//! that depend on them.

use super::{KeeperError, RaftNode, decode_state};
use crate::protocol::Body;
use crate::store::WriteBatch;
use log::error;
use protobuf::Message as _;
use raft::Ready;
use raft::eraftpb::{ConfChange, Entry, EntryType, Message, Snapshot};

/// Number of applied entries after which the log is replaced by a snapshot.
const COMPACTION_INTERVAL: u64 = 4_096;

impl<R> RaftNode<R> {
    /// Persists, applies and sends the engine's output until there is none left. Compacts the log if at least
    /// [`COMPACTION_INTERVAL`] entries were applied since the last snapshot.
    pub(super) fn process_ready(&mut self) -> Result<(), KeeperError> {
        while self.engine.has_ready() {
            let ready = self.engine.ready();
            self.process_one_ready(ready)?;
        }
        if self.applied >= self.compacted + COMPACTION_INTERVAL {
            let conf = self.engine.raft.prs().conf().to_conf_state();
            self.compact(&conf)?;
        }
        Ok(())
    }

    fn process_one_ready(&mut self, mut ready: Ready) -> Result<(), KeeperError> {
        self.send_messages(ready.take_messages());
        let snapshot = Some(ready.snapshot().clone()).filter(|snapshot| snapshot.get_metadata().index > 0);
        if let Some(snapshot) = &snapshot {
            self.install_snapshot(snapshot)?;
        }
        let batch =
            WriteBatch { snapshot: snapshot.as_ref(), entries: ready.entries(), hard_state: ready.hs() };
        self.engine.mut_store().save(&batch)?;
        if snapshot.is_some() {
            self.update_peers();
        }
        self.apply_entries(ready.take_committed_entries())?;
        self.send_messages(ready.take_persisted_messages());
        let mut light_ready = self.engine.advance(ready);
        if let Some(commit_index) = light_ready.commit_index() {
            self.engine.mut_store().set_commit_index(commit_index);
        }
        self.send_messages(light_ready.take_messages());
        self.apply_entries(light_ready.take_committed_entries())?;
        self.engine.advance_apply();
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), KeeperError> {
        self.state = decode_state(snapshot.get_data())?;
        self.applied = snapshot.get_metadata().index;
        self.compacted = self.applied;
        Ok(())
    }

    /// Replaces the log up to the last applied entry with a snapshot of the state.
    pub(super) fn compact(&mut self, conf: &raft::eraftpb::ConfState) -> Result<(), KeeperError> {
        let state = prost::Message::encode_to_vec(&self.state);
        self.engine.mut_store().compact(self.applied, conf, state)?;
        self.compacted = self.applied;
        Ok(())
    }

    fn send_messages(&mut self, messages: Vec<Message>) {
        let log_id = self.log_id();
        for message in messages {
            let Ok(bytes) = message.write_to_bytes() else { continue };
            if self.peers.contains_key(&message.to) {
                let envelope = self.identity.envelope(log_id, Body::Raft(bytes));
                self.actions.push(super::Action::Send(message.to, envelope));
            } else {
                self.engine.report_unreachable(message.to);
            }
        }
    }

    fn apply_entries(&mut self, entries: Vec<Entry>) -> Result<(), KeeperError> {
        for entry in entries {
            self.applied = entry.index;
            self.last_applied_at = self.now;
            match entry.get_entry_type() {
                // A new leader's engine appends an empty entry at the start of its term.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    for result in self.state.apply(&entry.data) {
                        self.reply_to_pending(result);
                    }
                }
                EntryType::EntryConfChange => {
                    let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { continue };
                    self.apply_voter_change(&change)?;
                }
                EntryType::EntryConfChangeV2 => error!(
                    "fleet: ignored entry {}: unsupported type {:?}",
                    entry.index,
                    EntryType::EntryConfChangeV2
                ),
            }
        }
        Ok(())
    }
}
