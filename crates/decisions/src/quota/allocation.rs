//! The units of one budget that are committed to one incarnation. No I/O; times are microseconds of log time.
//!
//! The committed units must never be fewer than the incarnation can have in use: units of an incarnation that sends no
//! requests stay committed until they must have expired.

use super::{Budget, QuotaNeed};
use std::collections::BTreeMap;

/// Grants of one incarnation that are tracked separately. Beyond that, the two oldest are merged into one with the
/// larger amounts and the later expiries of both.
const MAX_ACTIVE_GRANTS: usize = 8;

/// A grant that its holder may still use.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ActiveGrant {
    /// Sequence number of the answered request.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Units granted until `expires_at`.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// When the units are no longer committed.
    #[prost(uint64, tag = "3")]
    pub expires_at: u64,
    /// Units granted until `floor_expires_at`.
    #[prost(uint64, tag = "4")]
    pub floor: u64,
    /// When the floor is no longer committed.
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

    /// Whether `newer` allows at least as many units for at least as long.
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

/// The share of one budget that one incarnation has.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Allocation {
    /// Grants that the incarnation may still use, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<ActiveGrant>,
    /// Units in use according to its last report.
    #[prost(uint64, tag = "2")]
    pub in_use: u64,
    /// When the reported units in use are no longer committed.
    #[prost(uint64, tag = "3")]
    pub in_use_expires_at: u64,
    /// Units that the incarnation could use according to its last report.
    #[prost(uint64, tag = "4")]
    pub demand: u64,
    /// Time of the last report.
    #[prost(uint64, tag = "5")]
    pub reported_at: u64,
    /// Start of the current turn in the rotation, or of the current wait for one.
    #[prost(uint64, tag = "6")]
    pub turn_changed_at: u64,
    /// Whether the incarnation has a turn in the rotation: its last grant exceeded its base share.
    #[prost(bool, tag = "7")]
    pub has_turn: bool,
}

impl Allocation {
    /// An empty allocation that waits for a turn from `now` on.
    pub(super) fn waiting_since(now: u64) -> Allocation {
        Allocation { turn_changed_at: now, ..Allocation::default() }
    }

    /// The most units that the incarnation can have in use at `now`.
    pub fn committed(&self, now: u64) -> u64 {
        let granted = self.grants.iter().map(|grant| grant.committed(now)).max().unwrap_or(0);
        let in_use = if now < self.in_use_expires_at { self.in_use } else { 0 };
        granted.max(in_use)
    }

    /// Records the reported need. Grants with a sequence number below `acked` are dropped; the reported units in use
    /// are committed until `in_use_expires_at` or the next report.
    pub(super) fn record_need(&mut self, need: &QuotaNeed, acked: u64, now: u64, in_use_expires_at: u64) {
        self.grants.retain(|grant| grant.seq >= acked);
        self.in_use = need.in_use;
        self.demand = need.demand.max(need.in_use);
        self.reported_at = now;
        self.in_use_expires_at = in_use_expires_at;
    }

    /// Adds a grant and drops the older grants that it covers.
    pub(super) fn add_grant(&mut self, grant: ActiveGrant) {
        self.grants.retain(|older| !older.is_covered_by(&grant));
        self.grants.push(grant);
        if self.grants.len() > MAX_ACTIVE_GRANTS {
            let oldest = self.grants.remove(0);
            self.grants[0].merge(&oldest);
        }
    }

    /// Units of the newest grant in excess of `base`.
    pub(super) fn last_granted_beyond(&self, base: u64) -> u64 {
        self.grants.last().map_or(0, |grant| grant.units.saturating_sub(base))
    }

    /// Drops grants that have expired at `now`.
    pub(super) fn expire(&mut self, now: u64) {
        self.grants.retain(|grant| now < grant.expires_at || now < grant.floor_expires_at);
    }

    /// Whether nothing of the allocation is committed at `now`. [`Allocation::expire`] must have been called before.
    pub(super) fn is_expired(&self, now: u64) -> bool {
        self.grants.is_empty() && now >= self.in_use_expires_at
    }
}

/// A budget, or one key of a per-key budget, with its allocations.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct BudgetEntry {
    /// The budget; `None` if it is no longer declared but has unexpired allocations.
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

    /// Drops grants and allocations that have expired at `now`.
    pub(super) fn expire(&mut self, now: u64) {
        self.allocations.values_mut().for_each(|allocation| allocation.expire(now));
        self.allocations.retain(|_, allocation| !allocation.is_expired(now));
    }

    /// Whether the entry is kept without allocations, as are declared budgets that are not per key.
    pub(super) fn is_permanent(&self) -> bool {
        self.budget.as_ref().is_some_and(|budget| !budget.per_key)
    }

    /// Longest time in microseconds that a unit stays in use after its lease; 0 if the budget is no longer declared.
    pub(super) fn outlives_us(&self) -> u64 {
        self.budget.as_ref().map_or(0, |budget| budget.outlives_us)
    }
}
