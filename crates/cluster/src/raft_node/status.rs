//! The fleet's status, as a keeper reports it to operators.

use super::RaftNode;
use crate::protocol::{BudgetStatus, SessionStatus, Status, UnavailableStatus};
use linenhill_decisions::disruption::Availability;
use linenhill_decisions::disruption::table::{LivenessView, Permit};
use linenhill_decisions::membership::ProxySession;
use linenhill_decisions::quota::table::BudgetEntry;
use raft::StateRole;

impl<R> RaftNode<R> {
    /// The state of the fleet as of the last entry applied here.
    pub fn status(&self) -> Status {
        let quota = &self.state.quota;
        let keepers = self.state.keepers.values();
        let liveness = LivenessView::new(&quota.membership, &quota.terms);
        let unavailable = self.state.disruption.unavailable(&liveness);
        Status {
            role: self.role_name().to_string(),
            leader: self.leader_name(),
            term: self.term(),
            applied: self.applied,
            keepers: keepers.map(|keeper| (keeper.name.clone(), keeper.address.clone())).collect(),
            sessions: quota.membership.sessions.iter().map(|(n, s)| self.session_status(n, s)).collect(),
            budgets: quota.entries.iter().map(|(n, e)| self.budget_status(n, e)).collect(),
            log_age_ms: self.now.saturating_sub(self.last_applied_at) / 1_000,
            unavailable: unavailable.into_iter().map(|(s, c)| self.unavailable_status(s, c)).collect(),
        }
    }

    fn role_name(&self) -> &'static str {
        match self.engine.raft.state {
            StateRole::Leader => "leader",
            StateRole::Follower => "follower",
            StateRole::Candidate | StateRole::PreCandidate => "candidate",
        }
    }

    fn session_status(&self, name: &str, session: &ProxySession) -> SessionStatus {
        let quota = &self.state.quota;
        let now = quota.membership.now;
        let lease_us = quota.terms.with_drift_margin(quota.terms.lease_us);
        SessionStatus {
            name: name.to_string(),
            incarnation: session.incarnation,
            version: session.version.clone(),
            zone: session.zone.clone(),
            last_request_age_ms: now.saturating_sub(session.last_request_at) / 1_000,
            has_lease: now <= session.last_request_at.saturating_add(lease_us),
        }
    }

    fn budget_status(&self, name: &str, entry: &BudgetEntry) -> BudgetStatus {
        BudgetStatus {
            name: name.to_string(),
            total: entry.budget.as_ref().map_or(0, |budget| budget.total),
            committed: entry.committed(self.state.quota.membership.now),
            in_use: entry.allocations.values().map(|allocation| allocation.in_use).sum(),
        }
    }

    fn unavailable_status(&self, subject: String, cause: Availability) -> UnavailableStatus {
        let record = self.state.disruption.subjects.get(&subject);
        let permit = record.and_then(|record| record.permit.clone()).unwrap_or_default();
        let Permit { number, requested_by, reason, forced, .. } = permit;
        let cause = cause.label().to_string();
        UnavailableStatus { subject, cause, permit: number, requested_by, reason, forced }
    }
}
