//! The granter's side of the fleet's quotas: the units committed to each proxy, and until when. The table is replicated
//! at every keeper and changed only by entries of the replicated log; [`crate::membership`] describes log time.
//!
//! The table must be deterministic: it reads no clock, draws no random numbers, and depends on no order but that of
//! keys and commands.

pub use super::allocation::{ActiveGrant, Allocation, BudgetEntry};

use super::division::{Division, DivisionContext};
use super::{
    Budget, Budgets, Grant, MAX_ALLOCATIONS, MAX_BUDGET_ENTRIES, MAX_BUDGETS, MAX_ENTRY_NAME_BYTES,
    MAX_UNITS, Quota, QuotaNeed, QuotaRequest,
};
use crate::fault_injection::{Fault, is_injected};
use crate::membership::{LeaseTerms, Membership, SessionRejected, SessionUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// A quota command in the replicated log.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaCommand {
    /// Declares the budgets, replacing the previous declaration.
    Declare {
        /// Durations of grants and sessions, and the bound on clock drift.
        terms: LeaseTerms,
        /// All declared budgets, by name.
        budgets: Budgets,
        /// Revision of the declaration. The declaration is ignored unless it is the first one or its revision is higher
        /// than that of the declaration in force.
        revision: u64,
    },
    /// An instance requests its quotas.
    Request {
        /// Name of the instance.
        name: String,
        /// Incarnation of the instance.
        incarnation: u64,
        /// Software version of the instance.
        version: String,
        /// Zone of the instance.
        zone: String,
        /// The request as received.
        request: QuotaRequest,
    },
    /// Operators remove an instance. Its allocations expire as granted, and its incarnation gets no further grant.
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
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// The grant, or why the request was rejected.
    pub result: Result<Grant, SessionRejected>,
}

/// An entry whose committed units exceed its total.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overcommitment<'a> {
    /// Name of the entry.
    pub entry: &'a str,
    /// Committed units: the most that can be in use.
    pub committed: u64,
    /// Total of the budget; 0 if it is no longer declared.
    pub total: u64,
}

/// The sessions of the fleet, its budgets and their allocations.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaTable {
    /// Sessions of the fleet's instances, and log time.
    #[prost(message, required, tag = "1")]
    pub membership: Membership,
    /// Durations of grants and sessions, and the bound on clock drift.
    #[prost(message, required, tag = "2")]
    pub terms: LeaseTerms,
    /// Entries by name. An entry of a budget per key is named like `links/m-1`.
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
    /// Applies a log entry: advances log time by `elapsed`, then applies the commands in order. `elapsed` is measured
    /// in microseconds on the leader's clock since its previous entry, or since it became leader.
    ///
    /// Returns an answer to each request: first the rejections, then the grants, each in the order of the commands.
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

    /// Whether a declaration of this revision is applied: it is the first one, or its revision is higher than that of
    /// the declaration in force. A new leader with an older configuration must not undo a newer declaration.
    pub fn accepts_revision(&self, revision: u64) -> bool {
        revision > self.revision || self.terms == LeaseTerms::default()
    }

    /// Entries whose committed units exceed their total, after the budget was lowered or withdrawn.
    pub fn overcommitted(&self) -> Vec<Overcommitment<'_>> {
        let now = self.membership.now;
        let entries = self.entries.iter().map(|(name, entry)| {
            let total = entry.budget.as_ref().map_or(0, |budget| budget.total);
            Overcommitment { entry: name, committed: entry.committed(now), total }
        });
        entries.filter(|entry| entry.committed > entry.total).collect()
    }

    /// Drops expired grants and sessions, and entries left without an allocation unless they are permanent.
    fn expire(&mut self) {
        let now = self.membership.now;
        let kept_for = self.session_span();
        self.entries.values_mut().for_each(|entry| entry.expire(now));
        self.entries.retain(|_, entry| entry.is_permanent() || !entry.allocations.is_empty());
        self.membership.sessions.retain(|_, s| now < s.last_request_at.saturating_add(kept_for));
    }

    /// Time in microseconds for which a session is kept after its last request: until none of its units can be in use.
    fn session_span(&self) -> u64 {
        let outlives_us = self.entries.values().map(BudgetEntry::outlives_us).max().unwrap_or(0);
        let longest = self.terms.membership_us.max(self.terms.lease_us);
        self.terms.with_drift_margin(longest.saturating_add(outlives_us))
    }

    /// Replaces the declaration by one of a newer revision. All allocations are kept, also those of budgets that are no
    /// longer declared: if such a budget is declared again with a smaller total, its unexpired units must still count.
    /// Budgets beyond [`MAX_BUDGETS`] are ignored.
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

    /// Opens or renews the session of a request and records its needs.
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

    /// Adds the entries of per-key budgets that a request names for the first time, up to [`MAX_BUDGET_ENTRIES`].
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

    /// Records the needs that an incarnation reports. Grants before the acknowledged one are dropped; units in use stay
    /// committed until the next report, or until they must have been released.
    fn record_needs(&mut self, incarnation: u64, request: &QuotaRequest) {
        let now = self.membership.now;
        let terms = self.terms;
        let mut allocation_count: usize = self.entries.values().map(|entry| entry.allocations.len()).sum();
        for (name, entry) in &mut self.entries {
            let reported = request.needs.get(name);
            if !entry.allocations.contains_key(&incarnation) {
                // An incarnation gets an allocation of a key only if its request names the key.
                let is_wanted = entry.is_permanent() || (entry.budget.is_some() && reported.is_some());
                if !is_wanted || allocation_count >= MAX_ALLOCATIONS {
                    continue;
                }
                allocation_count += 1;
            }
            let need = reported.map(clamped_need).unwrap_or_default();
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

    /// Divides every budget among the requests of one log entry.
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

/// Divides one entry among the requests and adds each quota to the map of its request.
fn grant_entry(
    name: &str, entry: &mut BudgetEntry, context: &DivisionContext, accepted: &[AcceptedRequest],
    quotas: &mut [BTreeMap<String, Quota>],
) {
    let Some(budget) = &entry.budget else { return };
    let is_per_key = budget.per_key;
    let division = Division::of(entry, budget, context);
    let mut committed = entry.committed(context.now);
    for (AcceptedRequest { incarnation, request, .. }, quotas) in accepted.iter().zip(quotas) {
        // The allocation of a key that a holder no longer names must expire. A new grant with each request would renew
        // the allocation, so that it would never expire.
        if is_per_key && !request.needs.contains_key(name) {
            continue;
        }
        if let Some(quota) = division.grant(entry, &mut committed, context, *incarnation, request.seq) {
            quotas.insert(name.to_string(), quota);
        }
    }
}

/// The declared budget of an entry: the budget of that name, or the per-key budget whose name precedes the slash.
fn budget_of(declared: &Budgets, entry: &str) -> Option<Budget> {
    let (name, is_keyed) = match entry.split_once('/') {
        Some((name, _)) => (name, true),
        None => (entry, false),
    };
    declared.get(name).filter(|budget| budget.per_key == is_keyed).cloned()
}

fn clamped_need(need: &QuotaNeed) -> QuotaNeed {
    QuotaNeed { in_use: need.in_use.min(MAX_UNITS), demand: need.demand.min(MAX_UNITS) }
}
