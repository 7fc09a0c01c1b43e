//! Periodic work of a keeper: elections, the declaration of a new leader, and retries.

use super::RaftNode;
use crate::log_entry::{Command, Declaration};
use crate::protocol::{Body, NotLeader};
use log::{info, warn};
use raft::{ProgressState, SnapshotStatus, Storage as _};

/// Interval of [`Event::Tick`](super::Event::Tick), in microseconds.
pub const TICK_US: u64 = 50_000;
/// Minimum election timeout, in ticks. The timeout is drawn at random from this up to twice as many ticks.
pub(super) const ELECTION_TICKS: usize = 10;
/// Interval between the leader's heartbeats, in ticks.
pub(super) const HEARTBEAT_TICKS: usize = 2;
/// Interval at which unconfirmed snapshots are sent again, in ticks.
const SNAPSHOT_RETRY_TICKS: u64 = 40;
/// Interval between the join requests of a keeper that is not a voter, in ticks.
const JOIN_RETRY_TICKS: u64 = 10;

impl<R> RaftNode<R> {
    pub(super) fn on_tick(&mut self) {
        self.draw_election_timeout();
        self.engine.tick();
        if !self.is_voter() && self.ticks.is_multiple_of(JOIN_RETRY_TICKS) {
            self.request_join();
        }
        if !self.is_leader() {
            self.redirect_pending();
        } else if self.declared_in_term != Some(self.term()) && self.has_applied_entry_of_term() {
            self.declared_in_term = Some(self.term());
            self.declare_file();
        }
        self.expire_pending();
        self.ticks += 1;
        if self.is_leader() && self.ticks.is_multiple_of(SNAPSHOT_RETRY_TICKS) {
            self.retry_snapshots();
        }
        self.log_leader_change();
    }

    /// Sets a random election timeout from this node's seed. The engine's own random source would make simulations
    /// irreproducible.
    fn draw_election_timeout(&mut self) {
        let round = self.ticks / ELECTION_TICKS as u64;
        let mut rng = fastrand::Rng::with_seed(self.seed.wrapping_add(round));
        let timeout = ELECTION_TICKS + rng.usize(0..ELECTION_TICKS);
        self.engine.raft.set_randomized_election_timeout(timeout);
    }

    /// Redirects all pending requests to the leader, and drops their commands: only a leader can propose them.
    fn redirect_pending(&mut self) {
        self.log_clock = None;
        let redirect = Body::NotLeader(NotLeader { leader: self.leader_name() });
        for request in std::mem::take(&mut self.pending) {
            self.reply(request.reply, redirect.clone());
        }
        self.proposals.clear();
    }

    /// Whether the last applied entry is of the current term. The state then includes all entries of earlier terms.
    fn has_applied_entry_of_term(&self) -> bool {
        self.engine.store().term(self.applied).unwrap_or(0) == self.term()
    }

    /// Proposes this keeper's operators' file as the declaration if its revision is accepted; logs a warning if it
    /// differs from the agreed declaration otherwise.
    fn declare_file(&mut self) {
        let declaration = Declaration::from(&self.operator);
        let agreed = &self.state.quota;
        let revision = declaration.revision;
        if agreed.accepts_revision(revision) {
            info!("fleet: proposing the declaration of this keeper's file, revision {revision}");
            self.proposals.push(Command::Declare(declaration).into());
        } else if agreed.terms != declaration.terms || agreed.declared != declaration.budgets {
            let agreed = agreed.revision;
            warn!(
                "fleet: this file's budgets, revision {revision}, are not those agreed on, revision {agreed}"
            );
        }
    }

    /// Reports unconfirmed snapshots as failed, so that the engine sends them again: the snapshot or its confirmation
    /// may have been lost.
    fn retry_snapshots(&mut self) {
        let unconfirmed: Vec<u64> = self
            .engine
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        for id in unconfirmed {
            self.engine.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    fn log_leader_change(&mut self) {
        let leader = Some(self.leader_name()).filter(|name| !name.is_empty());
        if leader != self.logged_leader {
            let term = self.term();
            info!("fleet: leader {} in term {term}", leader.as_deref().unwrap_or("unknown"));
            self.logged_leader = leader;
        }
    }
}
