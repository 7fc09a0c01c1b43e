//! Proposals of the leader: the queue of commands, and the log time that entries carry.

use super::RaftNode;
use crate::log_entry::{LogEntry, LoggedCommand};
use log::info;
use prost::Message as _;
use std::collections::VecDeque;

/// Minimum interval before an entry without commands, which only advances log time. Microseconds.
const IDLE_ENTRY_INTERVAL_US: u64 = 500_000;
/// Minimum interval before an entry with commands, in microseconds. Commands that arrive within the interval share an
/// entry, a sync of each store and one division of the quotas. Client requests do not wait for entries.
const ENTRY_INTERVAL_US: u64 = 10_000;
/// Size from which no further command is added to an entry, in bytes. An entry exceeds this by at most one command, and
/// must fit into a frame.
const MAX_ENTRY_BYTES: usize = 1 << 20;

/// The time up to which a leader has proposed log time in its term.
#[derive(Clone, Copy)]
pub(super) struct LogClock {
    /// Term of the leader.
    pub term: u64,
    /// Time on the leader's clock. Microseconds.
    pub proposed_until: u64,
}

impl LogClock {
    /// Time at which an entry for queued commands is due. Microseconds.
    pub fn entry_due_at(self) -> u64 {
        self.proposed_until.saturating_add(ENTRY_INTERVAL_US)
    }
}

/// Commands that are not proposed yet.
#[derive(Default)]
pub(super) struct ProposalQueue {
    commands: VecDeque<LoggedCommand>,
}

impl ProposalQueue {
    pub fn push(&mut self, command: LoggedCommand) {
        self.commands.push_back(command);
    }

    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    pub fn discard_all(&mut self) {
        self.commands.clear();
    }

    /// Removes the commands of the next entry from the front of the queue.
    fn take_batch(&mut self) -> Vec<LoggedCommand> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while bytes < MAX_ENTRY_BYTES
            && let Some(command) = self.commands.pop_front()
        {
            bytes += command.encoded_len();
            batch.push(command);
        }
        batch
    }
}

impl<R> RaftNode<R> {
    /// Proposes entries if this keeper leads and an entry is due. Without commands, an entry only advances the log
    /// time.
    pub(super) fn propose(&mut self) {
        if !self.is_leader() {
            return;
        }
        let (now, term) = (self.now, self.term());
        let log_clock = self.log_clock.filter(|log_clock| log_clock.term == term);
        let log_clock = *self.log_clock.insert(log_clock.unwrap_or(LogClock { term, proposed_until: now }));
        let interval = if self.proposals.is_empty() { IDLE_ENTRY_INTERVAL_US } else { ENTRY_INTERVAL_US };
        if now < log_clock.proposed_until.saturating_add(interval) {
            return;
        }
        let mut elapsed_us = now.saturating_sub(log_clock.proposed_until);
        loop {
            let entry = LogEntry { elapsed_us, commands: self.proposals.take_batch() };
            match self.engine.propose(Vec::new(), entry.encode_to_vec()) {
                Ok(()) => {
                    self.log_clock = Some(LogClock { term, proposed_until: now });
                    elapsed_us = 0;
                }
                // The engine may reject a proposal, for example after this keeper was removed from the voters. The
                // commands of the entry are lost: their requests time out, and the senders retry.
                Err(error) => info!("fleet: proposal of an entry rejected: {error}"),
            }
            if self.proposals.is_empty() {
                return;
            }
        }
    }
}
