//! The granter's half of the fleet's quotas: what each proxy may use, and for how long that counts. The same at every
//! keeper, and changed only by entries of the agreed log; see [`crate::membership`] for what time means here.
//!
//! It must stay deterministic: no clock, no random numbers, and no order but that of keys and commands.

pub use super::allocation::{ActiveGrant, Allocation, BudgetEntry};

use super::division::{Division, DivisionContext};
use super::{
    Budget, Budgets, Grant, MAX_ALLOCATIONS, MAX_BUDGET_ENTRIES, MAX_BUDGETS, MAX_ENTRY_NAME_BYTES,
    MAX_UNITS, Quota, QuotaNeed, QuotaRequest,
};
use crate::fault_injection::{Fault, is_injected};
use crate::membership::{LeaseTerms, Membership, SessionRejected, SessionUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// A command of the agreed log about quotas.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaCommand {
    /// Declares all budgets, in the place of those declared before.
    Declare {
        /// How long grants and sessions last.
        terms: LeaseTerms,
        /// The budgets.
        budgets: Budgets,
        /// Revision of the declaration. One that is not higher than the agreed one changes nothing.
        revision: u64,
    },
    /// An instance requests its quotas.
    Request {
        /// Name of the instance.
        name: String,
        /// Its incarnation.
        incarnation: u64,
        /// Its version.
        version: String,
        /// Its zone.
        zone: String,
        /// The request.
        request: QuotaRequest,
    },
    /// Operators declare an instance gone for good. What it holds expires by itself, and it is granted nothing more.
    Remove {
        /// Name of the instance.
        name: String,
    },
}

/// The answer to one request.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaReply {
    /// Name of the instance that sent the request.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The grant, or why there is none.
    pub result: Result<Grant, SessionRejected>,
}

/// An entry of which more can be in use than its total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overcommitment<'a> {
    /// Name of the entry.
    pub entry: &'a str,
    /// Units that can be in use.
    pub committed: u64,
    /// Units that may be.
    pub total: u64,
}

/// The membership of the fleet, its budgets, and what is granted of them.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaTable {
    /// Who belongs to the fleet.
    #[prost(message, required, tag = "1")]
    pub membership: Membership,
    /// How long grants and sessions last.
    #[prost(message, required, tag = "2")]
    pub terms: LeaseTerms,
    /// Entries by name. The entries of a budget that exists per key are named as in `links/m-1`.
    #[prost(btree_map = "string, message", tag = "3")]
    pub entries: BTreeMap<String, BudgetEntry>,
    /// The budgets as declared.
    #[prost(btree_map = "string, message", tag = "4")]
    pub declared: Budgets,
    /// Revision of the declaration.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// A request whose session was opened or renewed.
struct AcceptedRequest {
    name: String,
    incarnation: u64,
    request: QuotaRequest,
}

impl QuotaTable {
    /// Applies an entry of the log: first `elapsed` microseconds of its leader's clock, counted from the same leader's
    /// previous entry or from when it became leader; then the commands in their order.
    ///
    /// Returns an answer to each request: the rejected ones first, then the grants, each in the order of the commands.
    pub fn apply(&mut self, elapsed: u64, commands: Vec<QuotaCommand>) -> Vec<QuotaReply> {
        self.membership.advance(elapsed);
        self.expire();
        let mut replies = Vec::new();
        let mut accepted = Vec::new();
        for command in commands {
            match command {
                QuotaCommand::Declare { terms, budgets, revision } => self.declare(terms, budgets, revision),
                QuotaCommand::Remove { name } => self.remove(&name),
                QuotaCommand::Request { name, incarnation, version, zone, request } => {
                    let result = self.accept(&name, incarnation, &request, version, zone);
                    if let Err(rejected) = result {
                        replies.push(QuotaReply { name, incarnation, result: Err(rejected) });
                    } else {
                        accepted.push(AcceptedRequest { name, incarnation, request });
                    }
                }
            }
        }
        replies.extend(self.grant_all(accepted));
        replies
    }

    /// Whether a declaration of this revision would be applied: an older file at a new leader changes nothing.
    pub fn accepts_revision(&self, revision: u64) -> bool {
        revision > self.revision || self.terms == LeaseTerms::default()
    }

    /// Entries of which more can be in use than their total, since the budget was lowered.
    pub fn overcommitted(&self) -> Vec<Overcommitment<'_>> {
        let now = self.membership.now;
        let entries = self.entries.iter().map(|(name, entry)| {
            let total = entry.budget.as_ref().map_or(0, |budget| budget.total);
            Overcommitment { entry: name, committed: entry.committed(now), total }
        });
        entries.filter(|entry| entry.committed > entry.total).collect()
    }

    /// Drops what is over by log time: grants, entries without any, and sessions.
    fn expire(&mut self) {
        let now = self.membership.now;
        let kept_for = self.session_span();
        self.entries.values_mut().for_each(|entry| entry.expire(now));
        self.entries.retain(|_, entry| entry.is_permanent() || !entry.allocations.is_empty());
        self.membership.sessions.retain(|_, s| now < s.last_request_at.saturating_add(kept_for));
    }

    /// How long a session is kept after its last request, in microseconds: until nothing of it can count any more.
    fn session_span(&self) -> u64 {
        let outlives_us = self.entries.values().map(BudgetEntry::outlives_us).max().unwrap_or(0);
        let longest = self.terms.membership_us.max(self.terms.lease_us);
        self.terms.with_drift_margin(longest.saturating_add(outlives_us))
    }

    /// Replaces the declaration by one of a newer revision. Allocations stay, also those of budgets that are no longer
    /// declared: a budget that comes back smaller starts with what is still out.
    fn declare(&mut self, terms: LeaseTerms, budgets: Budgets, revision: u64) {
        if !self.accepts_revision(revision) {
            return;
        }
        self.revision = revision;
        self.terms = terms;
        self.declared = budgets.into_iter().take(MAX_BUDGETS).collect();
        for (name, entry) in &mut self.entries {
            entry.budget = budget_of(&self.declared, name);
        }
        for (name, budget) in self.declared.iter().filter(|(_, budget)| !budget.per_key) {
            self.entries.entry(name.clone()).or_default().budget = Some(budget.clone());
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(session) = self.membership.sessions.remove(name) {
            self.membership.retire(session.incarnation);
        }
    }

    /// Opens or renews the session of a request and records what it reports.
    fn accept(
        &mut self, name: &str, incarnation: u64, request: &QuotaRequest, version: String, zone: String,
    ) -> Result<(), SessionRejected> {
        let lease = self.terms.with_drift_margin(self.terms.lease_us);
        let takeover_after = request.yields_name.then_some(lease);
        let update = self.membership.open_or_renew(name, incarnation, request.seq, takeover_after)?;
        if update == SessionUpdate::Opened {
            if is_injected(Fault::PredecessorReleased) {
                self.release_predecessors();
            }
            if let Some(session) = self.membership.sessions.get_mut(name) {
                session.version = version;
                session.zone = zone;
            }
        }
        self.open_keyed_entries(request);
        self.record_needs(incarnation, request);
        Ok(())
    }

    /// For [`Fault::PredecessorReleased`] only: drops the allocations of every incarnation without a session.
    fn release_predecessors(&mut self) {
        let incarnations: BTreeSet<u64> = self.membership.incarnations().collect();
        let entries = self.entries.values_mut();
        entries.for_each(|entry| entry.allocations.retain(|i, _| incarnations.contains(i)));
    }

    /// Adds the entries that a request names of budgets that exist per key.
    fn open_keyed_entries(&mut self, request: &QuotaRequest) {
        for name in request.needs.keys().filter(|name| name.len() <= MAX_ENTRY_NAME_BYTES) {
            if self.entries.contains_key(name) || self.entries.len() >= MAX_BUDGET_ENTRIES {
                continue;
            }
            if let Some(budget) = budget_of(&self.declared, name) {
                let entry = BudgetEntry { budget: Some(budget), allocations: BTreeMap::new() };
                self.entries.insert(name.clone(), entry);
            }
        }
    }

    /// Records what an incarnation reports. Its grants before the acknowledged one are over; units in use count until it
    /// reports otherwise or they must have ended.
    fn record_needs(&mut self, incarnation: u64, request: &QuotaRequest) {
        let now = self.membership.now;
        let terms = self.terms;
        let mut allocation_count: usize = self.entries.values().map(|entry| entry.allocations.len()).sum();
        for (name, entry) in &mut self.entries {
            let reported = request.needs.get(name);
            if !entry.allocations.contains_key(&incarnation) {
                // It gets no allocation of a key that it does not name.
                let is_wanted = entry.is_permanent() || (entry.budget.is_some() && reported.is_some());
                if !is_wanted || allocation_count >= MAX_ALLOCATIONS {
                    continue;
                }
                allocation_count += 1;
            }
            let need = reported.map(bounded_need).unwrap_or_default();
            let in_use_expires_at = if need.in_use == 0 || is_injected(Fault::InUseFreedEarly) {
                0
            } else {
                let longest = terms.lease_us.saturating_add(entry.outlives_us());
                now.saturating_add(terms.with_drift_margin(longest))
            };
            let allocation = entry.allocations.entry(incarnation);
            let allocation = allocation.or_insert_with(|| Allocation::waiting_since(now));
            allocation.record_need(&need, request.acked, now, in_use_expires_at);
        }
    }

    /// Divides every budget among the requests of one entry of the log.
    fn grant_all(&mut self, accepted: Vec<AcceptedRequest>) -> Vec<QuotaReply> {
        let context = DivisionContext::new(&self.membership, self.terms);
        let mut quotas: Vec<BTreeMap<String, Quota>> = vec![BTreeMap::new(); accepted.len()];
        for (name, entry) in &mut self.entries {
            grant_entry(name, entry, &context, &accepted, &mut quotas);
        }
        let LeaseTerms { lease_us, membership_us, drift_ppm } = self.terms;
        let reply = |(accepted, quotas): (AcceptedRequest, BTreeMap<String, Quota>)| {
            let AcceptedRequest { name, incarnation, request } = accepted;
            let grant = Grant { seq: request.seq, lease_us, membership_us, drift_ppm, quotas };
            QuotaReply { name, incarnation, result: Ok(grant) }
        };
        accepted.into_iter().zip(quotas).map(reply).collect()
    }
}

/// Divides one entry among the requests, and adds each quota to the map that belongs to its request.
fn grant_entry(
    name: &str, entry: &mut BudgetEntry, context: &DivisionContext, accepted: &[AcceptedRequest],
    quotas: &mut [BTreeMap<String, Quota>],
) {
    let Some(budget) = &entry.budget else { return };
    let is_per_key = budget.per_key;
    let division = Division::of(entry, budget, context);
    let mut committed = entry.committed(context.now);
    for (AcceptedRequest { incarnation, request, .. }, quotas) in accepted.iter().zip(quotas) {
        // A key that a holder no longer names ends by itself. Granted again, it would be named and granted for ever.
        if is_per_key && !request.needs.contains_key(name) {
            continue;
        }
        if let Some(quota) = division.grant(entry, &mut committed, context, *incarnation, request.seq) {
            quotas.insert(name.to_string(), quota);
        }
    }
}

/// The declared budget of an entry: the one of that name, or the one that exists per key and has the name before the
/// slash.
fn budget_of(declared: &Budgets, entry: &str) -> Option<Budget> {
    let (name, is_keyed) = match entry.split_once('/') {
        Some((name, _)) => (name, true),
        None => (entry, false),
    };
    declared.get(name).filter(|budget| budget.per_key == is_keyed).cloned()
}

fn bounded_need(need: &QuotaNeed) -> QuotaNeed {
    QuotaNeed { in_use: need.in_use.min(MAX_UNITS), demand: need.demand.min(MAX_UNITS) }
}
