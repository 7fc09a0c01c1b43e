//! The division of one budget among the incarnations that request it in one log entry. No I/O; times are microseconds
//! of log time.
//!
//! A grant must never raise the committed units above the budget's total. The division computes a target for each
//! incarnation; its grant is the target, limited to the units that are not committed to the others.

use super::allocation::{ActiveGrant, Allocation, BudgetEntry};
use super::max_min_fair::{Claim, max_min_fair};
use super::{Budget, Quota};
use crate::fault_injection::{Fault, is_injected};
use crate::membership::{LeaseTerms, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// Length of a turn in leases. When units cannot be divided evenly, the incarnations with a turn get the extra units;
/// after its turn an incarnation yields them to others.
const TURN_LEASES: u64 = 3;
/// Spare units are granted beyond the demand, up to the demand divided by this, so that a small growth in demand is
/// met without a new grant.
const HEADROOM_DIVISOR: u64 = 5;
/// A quota that exceeds the demand by at most the demand divided by this, plus one unit, is not reduced, so that a
/// steady demand gets a steady quota.
const STEADY_MARGIN_DIVISOR: u64 = 4;
/// Thousandths of a unit in a unit.
const MILLIUNITS_PER_UNIT: u128 = 1_000;

/// The membership and the lease terms at one log entry.
pub(super) struct DivisionContext {
    /// Log time.
    pub(super) now: u64,
    terms: LeaseTerms,
    /// Incarnations that hold a session.
    incarnations: BTreeSet<u64>,
    /// Length of a lease in microseconds of log time, with the drift margin.
    lease: u64,
    /// Length of a turn in microseconds of log time.
    turn: u64,
}

impl DivisionContext {
    pub(super) fn new(membership: &Membership, terms: LeaseTerms) -> DivisionContext {
        let lease = terms.with_drift_margin(terms.lease_us);
        DivisionContext {
            now: membership.now,
            terms,
            incarnations: membership.incarnations().collect(),
            lease,
            turn: lease.saturating_mul(TURN_LEASES),
        }
    }
}

/// The target units of each incarnation for one budget.
pub(super) struct Division {
    /// Units that every incarnation gets before the rest is divided.
    base: u64,
    /// Whether the demand beyond the base exceeds the units to divide.
    is_scarce: bool,
    /// Units by incarnation, including the base.
    targets: BTreeMap<u64, u64>,
}

impl Division {
    /// Divides the budget of `entry`.
    pub(super) fn of(entry: &BudgetEntry, budget: &Budget, context: &DivisionContext) -> Division {
        // The base of an incarnation that sends no requests stays reserved while it has a session.
        let sessions = context.incarnations.len();
        let base = budget.floor.min(budget.total / sessions.max(1) as u64);
        let divisible = budget.total - base * sessions as u64;
        let members = entry.allocations.iter().filter(|(i, _)| context.incarnations.contains(*i));
        let members: Vec<(u64, &Allocation)> = members.map(|(i, allocation)| (*i, allocation)).collect();
        let claims: Vec<Claim> = members.iter().map(|(_, a)| claim(a, base, context)).collect();
        let total_demand = claims.iter().map(|claim| claim.demand).fold(0, u64::saturating_add);
        let needed = max_min_fair(divisible, &claims);
        let spare = divisible - needed.iter().sum::<u64>();
        let headroom: Vec<Claim> = std::iter::zip(&members, &claims)
            .map(|((_, allocation), claim)| headroom_claim(allocation, base, claim))
            .collect();
        let extra = max_min_fair(spare, &headroom);
        let units = std::iter::zip(needed, extra).map(|(needed, extra)| base + needed + extra);
        let targets = members.iter().map(|(incarnation, _)| *incarnation).zip(units).collect();
        Division { base, is_scarce: total_demand > divisible, targets }
    }

    /// Grants `incarnation` its share of `entry` for request `seq`; `None` if the entry has no declared budget or the
    /// incarnation has no allocation. `committed` is the number of committed units of the entry and is updated.
    pub(super) fn grant(
        &self, entry: &mut BudgetEntry, committed: &mut u64, context: &DivisionContext, incarnation: u64,
        seq: u64,
    ) -> Option<Quota> {
        let budget = entry.budget.as_ref()?;
        let allocation = entry.allocations.get_mut(&incarnation)?;
        let held = allocation.committed(context.now);
        let room = budget.total.saturating_sub(*committed - held);
        let target = self.targets.get(&incarnation).copied().unwrap_or(0);
        let mut units = target.min(room);
        if is_injected(Fault::RoundingUp) && allocation.demand > 0 {
            units = units.max(1);
        }
        let floor = budget.floor.min(room);
        self.update_turn(allocation, units, context);
        allocation.add_grant(active_grant(budget, seq, units, floor, context));
        *committed = *committed - held + allocation.committed(context.now);
        Some(Quota {
            units,
            floor,
            burst: burst_share(budget, units),
            floor_burst: burst_share(budget, floor),
            is_rate: budget.is_rate(),
        })
    }

    fn update_turn(&self, allocation: &mut Allocation, units: u64, context: &DivisionContext) {
        let has_turn = units > self.base;
        let has_changed = has_turn != allocation.has_turn;
        let is_over = context.now >= allocation.turn_changed_at.saturating_add(context.turn);
        allocation.has_turn = has_turn;
        if has_changed || (has_turn && self.is_scarce && is_over) {
            allocation.turn_changed_at = context.now;
        }
    }
}

/// The claim of an incarnation beyond the base.
fn claim(allocation: &Allocation, base: u64, context: &DivisionContext) -> Claim {
    // The demand of an incarnation expires a lease after its last request.
    let is_live = context.now < allocation.reported_at.saturating_add(context.lease);
    let demand = if is_live { allocation.demand.saturating_sub(base) } else { 0 };
    let turn_lasts = context.now < allocation.turn_changed_at.saturating_add(context.turn);
    // First incarnations in their turn, then those waiting for one, longest wait first, then those whose turn is over.
    let priority = match (allocation.has_turn, turn_lasts) {
        (true, true) => 0,
        (false, _) => 1 + allocation.turn_changed_at,
        (true, false) => u64::MAX,
    };
    Claim { demand, priority }
}

/// The claim of an incarnation to the units left after all demands are met.
fn headroom_claim(allocation: &Allocation, base: u64, claim: &Claim) -> Claim {
    let granted = allocation.last_granted_beyond(base);
    let steady_max = claim.demand + claim.demand / STEADY_MARGIN_DIVISOR + 1;
    let is_steady = claim.demand <= granted && granted <= steady_max;
    let demand = if is_steady { granted - claim.demand } else { claim.demand / HEADROOM_DIVISOR };
    Claim { demand, priority: claim.priority }
}

/// The grant as the table commits it: for as long as the holder may use it, plus the time that a held unit can stay in
/// use after the lease, with the drift margin.
fn active_grant(budget: &Budget, seq: u64, units: u64, floor: u64, context: &DivisionContext) -> ActiveGrant {
    let outlives_us = if budget.is_rate() { 0 } else { budget.outlives_us };
    let expires_after = |span: u64| {
        let counted = context.terms.with_drift_margin(span.saturating_add(outlives_us));
        context.now.saturating_add(counted)
    };
    let LeaseTerms { lease_us, membership_us, .. } = context.terms;
    let floor_span = if is_injected(Fault::FloorExpiresWithLease) { lease_us } else { membership_us };
    ActiveGrant {
        seq,
        units,
        expires_at: expires_after(lease_us),
        floor,
        floor_expires_at: expires_after(floor_span),
    }
}

/// The share of a rate's burst for `units` of its total, in thousandths of a unit.
fn burst_share(budget: &Budget, units: u64) -> u64 {
    let burst = u128::from(budget.burst) * MILLIUNITS_PER_UNIT;
    let part = burst * u128::from(units) / u128::from(budget.total.max(1));
    u64::try_from(part).unwrap_or(u64::MAX)
}
