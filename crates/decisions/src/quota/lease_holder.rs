//! A proxy's half of the fleet's quotas: what it may use now, checked at the moment of use, and what it requests. Pure;
//! all times are microseconds on one clock of the caller that never stands still, not even while the machine sleeps.
//!
//! No decision here may rest on the arrival of a message or on a timer. A quota ends by the clock, so that a process
//! that was suspended finds its lease over when it resumes, before it uses anything.

use super::expiry::{LeaseExpiry, LeasePhase};
use super::local_budget::LocalBudget;
use super::{Grant, Quota, QuotaRequest};
use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Requests whose answers are still awaited; the oldest is forgotten beyond that.
const MAX_PENDING_REQUESTS: usize = 16;
/// A lease is renewed this many times before it ends, so that two answers may be lost.
const RENEWALS_PER_LEASE: u64 = 3;
/// A holder that lacks units, or lost some, sends its next request after this time. Microseconds.
const EAGER_INTERVAL_US: u64 = 100_000;
/// Shortest time between two requests that demand per second is calculated from. Microseconds.
const MIN_REQUEST_INTERVAL_US: u64 = 1_000;

/// Whether a unit may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// It may, and counts from now on.
    Acquired,
    /// This proxy's quota has no room.
    Exhausted,
    /// No such budget was declared, so nothing limits it here.
    Unlimited,
}

/// The quotas of one incarnation of a proxy.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// Number of the last request.
    last_seq: u64,
    /// Number of the last applied grant, 0 for none.
    acked_seq: u64,
    /// When each request was sent whose answer is still awaited, by its number.
    sent_at: BTreeMap<u64, u64>,
    last_request_at: Option<u64>,
    /// When the last applied grant ends.
    expiry: LeaseExpiry,
    /// Length of a lease, by the last applied grant.
    lease_us: u64,
    /// Bound on clock drift, by the last applied grant.
    drift_ppm: u64,
    budgets: BTreeMap<String, LocalBudget>,
    /// The last grant took units away, which the granter should soon learn to be free.
    has_lost_units: bool,
    /// Another process has the name: requests yield to it until it is silent.
    yields_name: bool,
}

impl LeaseHolder {
    /// A holder without a grant. `lease_us` is the expected length of a lease, until a grant tells the true one.
    pub fn new(lease_us: u64) -> LeaseHolder {
        LeaseHolder {
            last_seq: 0,
            acked_seq: 0,
            sent_at: BTreeMap::new(),
            last_request_at: None,
            expiry: LeaseExpiry::default(),
            lease_us,
            drift_ppm: 0,
            budgets: BTreeMap::new(),
            has_lost_units: false,
            yields_name: false,
        }
    }

    /// Enforces a budget here. Until a grant names it, nothing of it may be used.
    pub fn enforce(&mut self, budget: &str, is_rate: bool) {
        let local = self.budgets.entry(budget.to_string()).or_default();
        local.quota.is_rate = is_rate;
        local.is_ending = false;
    }

    /// Stops enforcing a budget as soon as nothing of it is in use.
    pub fn stop_enforcing(&mut self, budget: &str) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.is_ending = true;
        }
        self.drop_if_ended(budget);
    }

    fn drop_if_ended(&mut self, budget: &str) {
        if self.budgets.get(budget).is_some_and(|local| local.is_ending && local.in_use == 0) {
            self.budgets.remove(budget);
        }
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> u64 {
        let Some(last) = self.last_request_at else { return 0 };
        if self.is_waiting_for_name() {
            return last.saturating_add(self.lease_us);
        }
        let renewal = self.lease_us / RENEWALS_PER_LEASE;
        let is_eager = self.has_lost_units || self.budgets.values().any(|local| local.is_short);
        let interval = if is_eager { EAGER_INTERVAL_US.min(renewal) } else { renewal };
        last.saturating_add(interval)
    }

    /// Makes the next request due at once, because the previous one reached a keeper that cannot answer it.
    pub fn request_at_once(&mut self) {
        if self.is_waiting_for_name() {
            return;
        }
        if let Some(last) = &mut self.last_request_at {
            *last = last.saturating_sub(self.lease_us);
        }
    }

    /// Whether another process has the name and no grant has come since.
    fn is_waiting_for_name(&self) -> bool {
        self.yields_name && self.acked_seq == 0
    }

    /// The next request, to be sent at `now`. The lease that answers it counts from this moment.
    pub fn next_request(&mut self, now: u64) -> QuotaRequest {
        self.last_seq += 1;
        self.sent_at.insert(self.last_seq, now);
        if self.sent_at.len() > MAX_PENDING_REQUESTS {
            self.sent_at.pop_first();
        }
        let since_last = now.saturating_sub(self.last_request_at.unwrap_or(now));
        let since_last = since_last.max(MIN_REQUEST_INTERVAL_US);
        self.last_request_at = Some(now);
        self.has_lost_units = false;
        let needs = self.budgets.iter_mut().map(|(name, local)| (name.clone(), local.next_need(since_last)));
        QuotaRequest {
            seq: self.last_seq,
            acked: self.acked_seq,
            needs: needs.collect(),
            yields_name: self.yields_name,
        }
    }

    /// Applies a grant that arrived at `now`. Returns false, and changes nothing, for an answer that is late, duplicated
    /// or out of order.
    pub fn apply_grant(&mut self, now: u64, grant: Grant) -> bool {
        if grant.seq <= self.acked_seq {
            return false;
        }
        let Some(sent_at) = self.sent_at.get(&grant.seq).copied() else { return false };
        self.refill_all(now);
        self.acked_seq = grant.seq;
        self.sent_at.retain(|seq, _| *seq > grant.seq);
        let counted_from = if is_injected(Fault::LeaseFromReceipt) { now } else { sent_at };
        self.expiry = LeaseExpiry {
            quotas: counted_from.saturating_add(grant.lease_us),
            floors: counted_from.saturating_add(grant.membership_us),
        };
        self.lease_us = grant.lease_us;
        self.drift_ppm = grant.drift_ppm;
        self.replace_quotas(grant.quotas, now);
        // Tokens beyond a smaller bucket are lost; a larger bucket starts with the tokens that there were.
        self.refill_all(now);
        true
    }

    fn replace_quotas(&mut self, quotas: BTreeMap<String, Quota>, now: u64) {
        for (name, local) in &mut self.budgets {
            if !quotas.contains_key(name) {
                // No longer declared.
                self.has_lost_units |= local.clear_quota();
            }
        }
        for (name, quota) in quotas {
            // A late answer may still name a member that is gone here.
            let is_keyed = name.contains('/');
            if is_keyed && !self.budgets.contains_key(&name) {
                continue;
            }
            let local = self.budgets.entry(name).or_insert_with(|| LocalBudget::granted_first(now));
            self.has_lost_units |= local.replace_quota(quota, now);
        }
    }

    /// Gives up every grant, because another incarnation of the name holds the session or operators removed this one.
    /// The holder goes on as a new incarnation whose requests yield to the one that has the name. Units in use stay in
    /// use.
    pub fn handle_superseded(&mut self, now: u64) {
        self.refill_all(now);
        self.expiry = LeaseExpiry::default();
        self.acked_seq = 0;
        self.yields_name = true;
        self.sent_at.clear();
        self.last_request_at = Some(now);
        for local in self.budgets.values_mut() {
            local.clear_quota();
        }
        self.refill_all(now);
    }

    /// When the last applied grant ends.
    pub fn expiry(&self) -> LeaseExpiry {
        self.expiry
    }

    /// Whether the lease lasts at `now`; otherwise there are floors at most.
    pub fn has_lease(&self, now: u64) -> bool {
        self.expiry.phase(now) == LeasePhase::Leased
    }

    /// The units of a budget that may be in use at `now`; for a rate, thousandths of a unit a second. `None` where the
    /// budget is not enforced.
    pub fn limit(&self, now: u64, budget: &str) -> Option<u64> {
        self.budgets.get(budget).map(|local| local.limit(now, self.expiry))
    }

    /// Units of a held budget in use beyond its limit: idle ones are to be closed. 0 for a rate.
    pub fn excess(&self, now: u64, budget: &str) -> u64 {
        let held = self.budgets.get(budget).filter(|local| !local.quota.is_rate);
        held.map_or(0, |local| local.in_use.saturating_sub(local.limit(now, self.expiry)))
    }

    /// Acquires a unit of a held budget, to be used at once. The caller reads `now` just before.
    pub fn acquire(&mut self, now: u64, budget: &str) -> AcquireDecision {
        let expiry = self.expiry;
        let Some(local) = self.budgets.get_mut(budget) else { return AcquireDecision::Unlimited };
        local.acquire(local.limit(now, expiry))
    }

    /// Reports that `units` of a held budget could be used from now on, without acquiring any. The next request is sent
    /// early where no more than the floor is granted.
    pub fn request_units(&mut self, budget: &str, units: u64) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.raise_demand(units);
        }
    }

    /// Releases a unit of a held budget.
    pub fn release(&mut self, budget: &str) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.in_use = local.in_use.saturating_sub(1);
        }
        self.drop_if_ended(budget);
    }

    /// Spends a unit of a rate, at once.
    pub fn spend_token(&mut self, now: u64, budget: &str) -> AcquireDecision {
        let Some(local) = self.budgets.get_mut(budget) else { return AcquireDecision::Unlimited };
        local.refill(now, self.expiry, self.drift_ppm);
        local.spend()
    }

    fn refill_all(&mut self, now: u64) {
        for local in self.budgets.values_mut() {
            local.refill(now, self.expiry, self.drift_ppm);
        }
    }

    /// Units of a budget in use.
    pub fn in_use(&self, budget: &str) -> u64 {
        self.budgets.get(budget).map_or(0, |local| local.in_use)
    }

    /// The names of the budgets that are enforced here.
    pub fn budgets(&self) -> impl Iterator<Item = &str> {
        self.budgets.keys().map(String::as_str)
    }
}
