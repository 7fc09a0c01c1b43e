//! What one incarnation may have of one budget, as the granter counts it. Pure; times are microseconds of log time.
//!
//! The count must never fall below what the incarnation can have in use: absence is not release.

use super::{Budget, QuotaNeed};
use std::collections::BTreeMap;

/// Grants of one incarnation that are counted apart. Beyond that, the two oldest are merged into one that is as large as
/// the larger and lasts as long as the longer.
const MAX_ACTIVE_GRANTS: usize = 8;

/// A grant that its holder may still use.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ActiveGrant {
    /// Number of the request that it answers.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Units.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// When the units stop counting.
    #[prost(uint64, tag = "3")]
    pub expires_at: u64,
    /// Units of the floor.
    #[prost(uint64, tag = "4")]
    pub floor: u64,
    /// When the floor stops counting.
    #[prost(uint64, tag = "5")]
    pub floor_expires_at: u64,
}

impl ActiveGrant {
    /// Units that this grant allows at `now`.
    fn committed(&self, now: u64) -> u64 {
        let units = if now < self.expires_at { self.units } else { 0 };
        let floor = if now < self.floor_expires_at { self.floor } else { 0 };
        units.max(floor)
    }

    /// Whether `newer` allows at least as much, for at least as long.
    fn is_covered_by(&self, newer: &ActiveGrant) -> bool {
        let units = self.units <= newer.units && self.expires_at <= newer.expires_at;
        let floor = self.floor <= newer.floor && self.floor_expires_at <= newer.floor_expires_at;
        (units || self.units == 0) && (floor || self.floor == 0)
    }

    /// Widens this grant so that it covers `older` as well.
    fn merge(&mut self, older: &ActiveGrant) {
        self.seq = self.seq.max(older.seq);
        self.units = self.units.max(older.units);
        self.expires_at = self.expires_at.max(older.expires_at);
        self.floor = self.floor.max(older.floor);
        self.floor_expires_at = self.floor_expires_at.max(older.floor_expires_at);
    }
}

/// What one incarnation has of one budget.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Allocation {
    /// Grants that the incarnation may still use, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<ActiveGrant>,
    /// Units that it reported to be in use.
    #[prost(uint64, tag = "2")]
    pub in_use: u64,
    /// When the reported units stop counting.
    #[prost(uint64, tag = "3")]
    pub in_use_expires_at: u64,
    /// Units that it reported it could use.
    #[prost(uint64, tag = "4")]
    pub demand: u64,
    /// When it last reported its need.
    #[prost(uint64, tag = "5")]
    pub reported_at: u64,
    /// Start of the current rotation turn, or of the current wait for one.
    #[prost(uint64, tag = "6")]
    pub turn_changed_at: u64,
    /// Whether it has a turn: it was last granted more than its base part.
    #[prost(bool, tag = "7")]
    pub has_turn: bool,
}

impl Allocation {
    /// An allocation of nothing, which waits for a turn from `now` on.
    pub(super) fn waiting_since(now: u64) -> Allocation {
        Allocation { turn_changed_at: now, ..Allocation::default() }
    }

    /// The most units that the incarnation can have in use at `now`.
    pub fn committed(&self, now: u64) -> u64 {
        let granted = self.grants.iter().map(|grant| grant.committed(now)).max().unwrap_or(0);
        let in_use = if now < self.in_use_expires_at { self.in_use } else { 0 };
        granted.max(in_use)
    }

    /// Records what the incarnation reports. Grants before number `acked` are over; the reported units in use count until
    /// `in_use_expires_at` unless it reports otherwise before.
    pub(super) fn record_need(&mut self, need: &QuotaNeed, acked: u64, now: u64, in_use_expires_at: u64) {
        self.grants.retain(|grant| grant.seq >= acked);
        self.in_use = need.in_use;
        self.demand = need.demand.max(need.in_use);
        self.reported_at = now;
        self.in_use_expires_at = in_use_expires_at;
    }

    /// Adds a grant. Grants that it covers count no longer on their own.
    pub(super) fn add_grant(&mut self, grant: ActiveGrant) {
        self.grants.retain(|older| !older.is_covered_by(&grant));
        self.grants.push(grant);
        if self.grants.len() > MAX_ACTIVE_GRANTS {
            let oldest = self.grants.remove(0);
            self.grants[0].merge(&oldest);
        }
    }

    /// Units beyond `base` of the newest grant.
    pub(super) fn last_granted_beyond(&self, base: u64) -> u64 {
        self.grants.last().map_or(0, |grant| grant.units.saturating_sub(base))
    }

    /// Drops grants that are over at `now`.
    pub(super) fn expire(&mut self, now: u64) {
        self.grants.retain(|grant| now < grant.expires_at || now < grant.floor_expires_at);
    }

    /// Whether nothing of the allocation counts at `now`, once [`Allocation::expire`] was called.
    pub(super) fn is_over(&self, now: u64) -> bool {
        self.grants.is_empty() && now >= self.in_use_expires_at
    }
}

/// One budget, or one key of a budget that exists per key, with its allocations.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct BudgetEntry {
    /// The budget; `None` once it is no longer declared, until everything of it has expired.
    #[prost(message, optional, tag = "1")]
    pub budget: Option<Budget>,
    /// Allocations by incarnation.
    #[prost(btree_map = "uint64, message", tag = "2")]
    pub allocations: BTreeMap<u64, Allocation>,
}

impl BudgetEntry {
    /// The most units that all incarnations together can have in use at `now`.
    pub fn committed(&self, now: u64) -> u64 {
        self.allocations.values().map(|allocation| allocation.committed(now)).fold(0, u64::saturating_add)
    }

    /// Drops what is over at `now`.
    pub(super) fn expire(&mut self, now: u64) {
        self.allocations.values_mut().for_each(|allocation| allocation.expire(now));
        self.allocations.retain(|_, allocation| !allocation.is_over(now));
    }

    /// Whether the entry is kept without allocations: it is a declared budget that does not exist per key.
    pub(super) fn is_permanent(&self) -> bool {
        self.budget.as_ref().is_some_and(|budget| !budget.per_key)
    }

    /// How long a unit can outlive its lease, in microseconds; 0 once the budget is no longer declared.
    pub(super) fn outlives_us(&self) -> u64 {
        self.budget.as_ref().map_or(0, |budget| budget.outlives_us)
    }
}
