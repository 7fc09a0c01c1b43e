//! Proposals of the leader: commands that wait for an entry, and the log time that entries count.

use super::RaftNode;
use crate::log_entry::{LogEntry, LoggedCommand};
use log::info;
use prost::Message as _;
use std::collections::VecDeque;

/// Interval of entries without commands: the leader still counts its time. Microseconds.
const IDLE_ENTRY_INTERVAL_US: u64 = 500_000;
/// Least interval of entries. Commands that arrive within it share an entry, a sync of each store and one division of the
/// quotas; no client's request waits for that. Microseconds.
const ENTRY_INTERVAL_US: u64 = 10_000;
/// Length after which an entry takes no further command, in bytes. With the longest command it must fit a frame.
const MAX_ENTRY_BYTES: usize = 1 << 20;

/// Up to when a leader has counted the time of its term.
#[derive(Clone, Copy)]
pub(super) struct LogClock {
    /// The term in which it leads.
    pub term: u64,
    /// On the leader's clock. Microseconds.
    pub counted_until: u64,
}

impl LogClock {
    /// When waiting commands get their entry. Microseconds.
    pub fn entry_due_at(self) -> u64 {
        self.counted_until.saturating_add(ENTRY_INTERVAL_US)
    }
}

/// Commands that wait for their entry.
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

    pub fn clear(&mut self) {
        self.commands.clear();
    }

    /// Takes commands for one entry, in their order.
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
    /// Proposes entries, if this keeper leads, and commands wait or time is to be counted.
    pub(super) fn propose(&mut self) {
        if !self.is_leader() {
            return;
        }
        let (now, term) = (self.now, self.term());
        let log_clock = self.log_clock.filter(|log_clock| log_clock.term == term);
        let log_clock = *self.log_clock.insert(log_clock.unwrap_or(LogClock { term, counted_until: now }));
        let interval = if self.proposals.is_empty() { IDLE_ENTRY_INTERVAL_US } else { ENTRY_INTERVAL_US };
        if now < log_clock.counted_until.saturating_add(interval) {
            return;
        }
        let mut elapsed_us = now.saturating_sub(log_clock.counted_until);
        loop {
            let entry = LogEntry { elapsed_us, commands: self.proposals.take_batch() };
            match self.engine.propose(Vec::new(), entry.encode_to_vec()) {
                Ok(()) => {
                    self.log_clock = Some(LogClock { term, counted_until: now });
                    elapsed_us = 0;
                }
                // The engine has too many entries in flight. The requests in this entry time out and are sent again.
                Err(error) => info!("fleet: an entry was not taken: {error}"),
            }
            if self.proposals.is_empty() {
                return;
            }
        }
    }
}
