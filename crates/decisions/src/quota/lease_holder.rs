//! The proxy's side of the fleet's quotas: the units it may use, checked at the time of use, and its requests. No I/O;
//! all times are microseconds on one clock of the caller that must keep running while the machine is suspended.
//!
//! A quota expires by the clock alone, never by a message or a timer, so that a process that was suspended finds its
//! lease expired when it resumes, before it uses a unit.

use super::expiry::{LeaseExpiry, LeasePhase};
use super::local_budget::LocalBudget;
use super::{Grant, Quota, QuotaRequest};
use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Bound on the pending requests; beyond it the oldest one is dropped, and its answer is ignored.
const MAX_PENDING_REQUESTS: usize = 16;
/// Requests sent within one lease, so that two answers in a row may be lost.
const RENEWALS_PER_LEASE: u64 = 3;
/// Interval between requests of a holder that lacks units or has units to release. Microseconds.
const EAGER_INTERVAL_US: u64 = 100_000;
/// Shortest interval between requests that is used to compute a demand per second. Microseconds.
const MIN_REQUEST_INTERVAL_US: u64 = 1_000;

/// The result of an attempt to acquire or spend a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// The unit may be used. A held unit counts as in use until it is released.
    Acquired,
    /// This proxy's quota is exhausted.
    Exhausted,
    /// The budget is not enforced by this holder, so it sets no limit.
    Unlimited,
}

/// The quotas of one incarnation of a proxy.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// Sequence number of the last request.
    last_seq: u64,
    /// Sequence number of the last applied grant; 0 for none.
    acked_seq: u64,
    /// Send times of the pending requests, by sequence number.
    sent_at: BTreeMap<u64, u64>,
    last_request_at: Option<u64>,
    /// When the last applied grant expires.
    expiry: LeaseExpiry,
    /// Length of a lease according to the last applied grant.
    lease_us: u64,
    /// Bound on clock drift according to the last applied grant.
    drift_ppm: u64,
    budgets: BTreeMap<String, LocalBudget>,
    /// A quota has shrunk since the last request. The next request is sent early, so that its acknowledgement frees the
    /// units for other holders.
    has_lost_units: bool,
    /// The session was taken over or removed: requests take over the session of another process only after that process
    /// has sent none for a lease.
    yields_name: bool,
}

impl LeaseHolder {
    /// A holder without a grant. `lease_us` is the length of a lease that is assumed until the first grant.
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

    /// Starts to enforce a budget. No unit of it may be used until a grant contains it.
    pub fn enforce(&mut self, budget: &str, is_rate: bool) {
        let local = self.budgets.entry(budget.to_string()).or_default();
        local.quota.is_rate = is_rate;
        local.drop_when_unused = false;
    }

    /// Stops enforcing a budget once none of its units is in use.
    pub fn stop_enforcing(&mut self, budget: &str) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.drop_when_unused = true;
        }
        self.drop_if_unused(budget);
    }

    fn drop_if_unused(&mut self, budget: &str) {
        if self.budgets.get(budget).is_some_and(|local| local.drop_when_unused && local.in_use == 0) {
            self.budgets.remove(budget);
        }
    }

    /// When the next request is due; 0 before the first one.
    pub fn next_request_at(&self) -> u64 {
        let Some(last) = self.last_request_at else { return 0 };
        if self.is_waiting_for_name() {
            return last.saturating_add(self.lease_us);
        }
        let renewal = self.lease_us / RENEWALS_PER_LEASE;
        let is_eager = self.has_lost_units || self.budgets.values().any(|local| local.has_unmet_demand);
        let interval = if is_eager { EAGER_INTERVAL_US.min(renewal) } else { renewal };
        last.saturating_add(interval)
    }

    /// Makes the next request due at once, because the previous one reached a keeper that could not grant it. Has no
    /// effect while the holder waits for its name to become free.
    pub fn request_at_once(&mut self) {
        if self.is_waiting_for_name() {
            return;
        }
        if let Some(last) = &mut self.last_request_at {
            *last = last.saturating_sub(self.lease_us);
        }
    }

    /// Whether the holder was superseded and no grant has arrived since.
    fn is_waiting_for_name(&self) -> bool {
        self.yields_name && self.acked_seq == 0
    }

    /// Builds the request to send at `now`: takes the next sequence number, records the request as sent and starts a
    /// new interval for the reported demand. The lease of the grant that answers it starts at `now`.
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

    /// Applies a grant that arrived at `now`. Returns false, without any change, if the grant is a duplicate, answers a
    /// request that is no longer pending, or is older than the last applied one.
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
        // A smaller bucket loses the tokens beyond its size; a larger one keeps its tokens.
        self.refill_all(now);
        true
    }

    fn replace_quotas(&mut self, quotas: BTreeMap<String, Quota>, now: u64) {
        for (name, local) in &mut self.budgets {
            if !quotas.contains_key(name) {
                // The budget is no longer declared, or the table has no allocation of it for this holder.
                self.has_lost_units |= local.clear_quota();
            }
        }
        for (name, quota) in quotas {
            // A late answer may contain a key that is no longer enforced.
            let is_keyed = name.contains('/');
            if is_keyed && !self.budgets.contains_key(&name) {
                continue;
            }
            let local = self.budgets.entry(name).or_insert_with(|| LocalBudget::newly_granted(now));
            self.has_lost_units |= local.replace_quota(quota, now);
        }
    }

    /// Drops all grants, because another incarnation of the name holds the session or operators removed this one. The
    /// holder continues as a new incarnation whose requests yield to the one that holds the name. Units in use stay in
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

    /// When the last applied grant expires.
    pub fn expiry(&self) -> LeaseExpiry {
        self.expiry
    }

    /// Whether the lease is valid at `now`; if not, at most the floors may be used.
    pub fn has_lease(&self, now: u64) -> bool {
        self.expiry.phase(now) == LeasePhase::Leased
    }

    /// The units of a budget that may be in use at `now`; for a rate, thousandths of a unit per second. `None` if the
    /// budget is not enforced.
    pub fn limit(&self, now: u64, budget: &str) -> Option<u64> {
        self.budgets.get(budget).map(|local| local.limit(now, self.expiry))
    }

    /// Units of a held budget in use in excess of its limit; the caller closes idle ones. 0 for a rate.
    pub fn excess(&self, now: u64, budget: &str) -> u64 {
        let held = self.budgets.get(budget).filter(|local| !local.quota.is_rate);
        held.map_or(0, |local| local.in_use.saturating_sub(local.limit(now, self.expiry)))
    }

    /// Acquires a unit of a held budget for immediate use. The caller must read `now` right before the call.
    pub fn acquire(&mut self, now: u64, budget: &str) -> AcquireDecision {
        let expiry = self.expiry;
        let Some(local) = self.budgets.get_mut(budget) else { return AcquireDecision::Unlimited };
        local.acquire(local.limit(now, expiry))
    }

    /// Raises the demand for a held budget to at least `units` without acquiring any. The next request is sent early if
    /// no more than the floor is granted.
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
        self.drop_if_unused(budget);
    }

    /// Spends one unit of a rate if its token bucket contains one at `now`.
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

    /// Names of the enforced budgets.
    pub fn budgets(&self) -> impl Iterator<Item = &str> {
        self.budgets.keys().map(String::as_str)
    }
}
