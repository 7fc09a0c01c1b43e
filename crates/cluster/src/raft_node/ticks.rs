//! Periodic work of a keeper: elections, the declaration of a new leader, and retries.

use super::RaftNode;
use crate::log_entry::{Command, Declaration};
use crate::protocol::{Body, NotLeader};
use log::{info, warn};
use raft::{ProgressState, SnapshotStatus, Storage as _};

/// Interval of [`Event::Tick`](super::Event::Tick), in microseconds.
pub const TICK_US: u64 = 50_000;
/// Minimum election timeout, in ticks. The timeout is drawn at random from this to one tick less than twice as many.
pub(super) const ELECTION_TICKS: usize = 10;
/// Interval between heartbeats of the leader, in ticks.
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

    /// Sets a random election timeout from this node's seed, another one every [`ELECTION_TICKS`] ticks. The engine's
    /// own random source would make simulations irreproducible.
    fn draw_election_timeout(&mut self) {
        let round = self.ticks / ELECTION_TICKS as u64;
        let mut rng = fastrand::Rng::with_seed(self.seed.wrapping_add(round));
        let timeout = ELECTION_TICKS + rng.usize(0..ELECTION_TICKS);
        self.engine.raft.set_randomized_election_timeout(timeout);
    }

    /// Redirects all pending requests to the leader. Discards the commands that are not proposed yet, since only a
    /// leader can propose them, and the log clock of the term in which this keeper led.
    fn redirect_pending(&mut self) {
        self.log_clock = None;
        let redirect = Body::NotLeader(NotLeader { leader: self.leader_name() });
        for request in std::mem::take(&mut self.pending) {
            self.reply(request.reply, redirect.clone());
        }
        self.proposals.discard_all();
    }

    /// Whether the last applied entry is of the current term. The state then includes all committed entries of earlier
    /// terms.
    fn has_applied_entry_of_term(&self) -> bool {
        self.engine.store().term(self.applied).unwrap_or(0) == self.term()
    }

    /// Proposes the declaration of this keeper's operators' file if its revision is higher than the committed one, or
    /// if no declaration is committed. Otherwise logs a warning if the lease terms or budgets differ from the committed
    /// ones; disruption limits are not compared.
    fn declare_file(&mut self) {
        let declaration = Declaration::from(&self.operator);
        let committed = &self.state.quota;
        let revision = declaration.revision;
        if committed.accepts_revision(revision) {
            info!("fleet: proposing the declaration of the operators' file, revision {revision}");
            self.proposals.push(Command::Declare(declaration).into());
        } else if committed.terms != declaration.terms || committed.declared != declaration.budgets {
            let committed = committed.revision;
            warn!(
                "fleet: this file's budgets, revision {revision}, are not those agreed on, revision {committed}"
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
