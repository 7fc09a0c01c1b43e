//! What a keeper does at each tick: elections, the declaration of a new leader, and retries.

use super::RaftNode;
use crate::log_entry::{Command, Declaration};
use crate::protocol::{Body, NotLeader};
use log::{info, warn};
use raft::{ProgressState, SnapshotStatus, Storage as _};

/// Interval of [`Event::Tick`](super::Event::Tick), in microseconds.
pub const TICK_US: u64 = 50_000;
/// Least ticks without a leader before an election; each election draws up to twice as many.
pub(super) const ELECTION_TICKS: usize = 10;
/// Ticks between heartbeats of the leader.
pub(super) const HEARTBEAT_TICKS: usize = 2;
/// Ticks after which a snapshot that was not confirmed is sent again.
const SNAPSHOT_RETRY_TICKS: u64 = 40;
/// Ticks between the join requests of a keeper that is no voter.
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

    /// Sets the timeout of the next election. The engine would draw it from a random source that no simulation can repeat.
    fn draw_election_timeout(&mut self) {
        let round = self.ticks / ELECTION_TICKS as u64;
        let mut rng = fastrand::Rng::with_seed(self.seed.wrapping_add(round));
        let timeout = ELECTION_TICKS + rng.usize(0..ELECTION_TICKS);
        self.engine.raft.set_randomized_election_timeout(timeout);
    }

    /// Sends everyone who waits here to the leader: a keeper that does not lead cannot answer them.
    fn redirect_pending(&mut self) {
        self.log_clock = None;
        let redirect = Body::NotLeader(NotLeader { leader: self.leader_name() });
        for request in std::mem::take(&mut self.pending) {
            self.reply(request.reply, redirect.clone());
        }
        self.proposals.clear();
    }

    /// Whether an entry of the current term is applied. Only then the state includes all entries of earlier terms.
    fn has_applied_entry_of_term(&self) -> bool {
        self.engine.store().term(self.applied).unwrap_or(0) == self.term()
    }

    /// Declares the budgets of this keeper's file if they are newer than the agreed ones.
    fn declare_file(&mut self) {
        let declaration = Declaration::from(&self.operator);
        let agreed = &self.state.quota;
        let revision = declaration.revision;
        if agreed.accepts_revision(revision) {
            info!("fleet: budgets are declared as this file has them, revision {revision}");
            self.proposals.push(Command::Declare(declaration).into());
        } else if agreed.terms != declaration.terms || agreed.declared != declaration.budgets {
            let agreed = agreed.revision;
            warn!(
                "fleet: this file's budgets, revision {revision}, are not those agreed on, revision {agreed}"
            );
        }
    }

    /// Reports unconfirmed snapshots as failed. The engine waits for a confirmation, which may have been lost.
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
