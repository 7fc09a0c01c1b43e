//! How one budget is divided among the incarnations that request it in one entry of the log. Pure; times are
//! microseconds of log time.
//!
//! A grant must never raise the committed units above the budget's total. The division says what each should have; what
//! it gets is bounded by what the others still hold.

use super::allocation::{ActiveGrant, Allocation, BudgetEntry};
use super::max_min_fair::{Claim, max_min_fair};
use super::{Budget, Quota};
use crate::fault_injection::{Fault, is_injected};
use crate::membership::{LeaseTerms, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// A turn lasts this many leases: then whoever has more than others of units that cannot be divided evenly passes it on.
const TURN_LEASES: u64 = 3;
/// What nobody needs is granted on top of a need, up to this part of it, so that a need that grows a little is met at
/// once.
const HEADROOM_DIVISOR: u64 = 5;
/// A quota that exceeds the need by no more than this part of it, and one unit, stays as it is. So steady needs get
/// steady quotas.
const STEADY_DIVISOR: u64 = 4;
/// Thousandths in a unit.
const MILLI: u128 = 1_000;

/// What a division knows beside the entry of the budget.
pub(super) struct DivisionContext {
    /// Log time.
    pub(super) now: u64,
    terms: LeaseTerms,
    /// Incarnations that hold a session.
    incarnations: BTreeSet<u64>,
    /// Length of a lease and of a turn in log time, in microseconds.
    lease: u64,
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

/// What each incarnation should have of one budget.
pub(super) struct Division {
    /// Units that every incarnation has before the rest is divided.
    base: u64,
    /// Whether the needs beyond the base exceed what there is.
    is_scarce: bool,
    /// Units by incarnation, the base included.
    targets: BTreeMap<u64, u64>,
}

impl Division {
    /// Divides the budget of `entry`.
    pub(super) fn of(entry: &BudgetEntry, budget: &Budget, context: &DivisionContext) -> Division {
        // The base of a silent incarnation stays reserved while it has a session.
        let sessions = context.incarnations.len();
        let base = budget.floor.min(budget.total / sessions.max(1) as u64);
        let divisible = budget.total - base * sessions as u64;
        let members = entry.allocations.iter().filter(|(i, _)| context.incarnations.contains(*i));
        let members: Vec<(u64, &Allocation)> = members.map(|(i, allocation)| (*i, allocation)).collect();
        let claims: Vec<Claim> = members.iter().map(|(_, a)| claim(a, base, context)).collect();
        let wanted = claims.iter().map(|claim| claim.demand).fold(0, u64::saturating_add);
        let needed = max_min_fair(divisible, &claims);
        let spare = divisible - needed.iter().sum::<u64>();
        let headroom: Vec<Claim> = std::iter::zip(&members, &claims)
            .map(|((_, allocation), claim)| headroom_claim(allocation, base, claim))
            .collect();
        let extra = max_min_fair(spare, &headroom);
        let units = std::iter::zip(needed, extra).map(|(needed, extra)| base + needed + extra);
        let targets = members.iter().map(|(incarnation, _)| *incarnation).zip(units).collect();
        Division { base, is_scarce: wanted > divisible, targets }
    }

    /// Grants `incarnation` its part of `entry` for request `seq`; `None` where it has no allocation. `committed` is the
    /// sum over the entry, and is kept up to date.
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
            burst: burst_part(budget, units),
            floor_burst: burst_part(budget, floor),
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

/// What an incarnation claims beyond the base.
fn claim(allocation: &Allocation, base: u64, context: &DivisionContext) -> Claim {
    // An incarnation that was silent for a lease wants nothing.
    let is_live = context.now < allocation.reported_at.saturating_add(context.lease);
    let demand = if is_live { allocation.demand.saturating_sub(base) } else { 0 };
    let turn_lasts = context.now < allocation.turn_changed_at.saturating_add(context.turn);
    // First whoever has a turn that lasts, then whoever has waited longest, then those whose turn is over.
    let priority = match (allocation.has_turn, turn_lasts) {
        (true, true) => 0,
        (false, _) => 1 + allocation.turn_changed_at,
        (true, false) => u64::MAX,
    };
    Claim { demand, priority }
}

/// What an incarnation claims of the units that nobody needs.
fn headroom_claim(allocation: &Allocation, base: u64, claim: &Claim) -> Claim {
    let granted = allocation.last_granted_beyond(base);
    let steady_most = claim.demand + claim.demand / STEADY_DIVISOR + 1;
    let is_steady = claim.demand <= granted && granted <= steady_most;
    let demand = if is_steady { granted - claim.demand } else { claim.demand / HEADROOM_DIVISOR };
    Claim { demand, priority: claim.priority }
}

/// The grant as the granter counts it: longer than the holder may use it, by the bound on drift.
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

/// The part of a rate's burst that goes with `units` of its total, in thousandths of a unit.
fn burst_part(budget: &Budget, units: u64) -> u64 {
    let burst = u128::from(budget.burst) * MILLI;
    let part = burst * u128::from(units) / u128::from(budget.total.max(1));
    u64::try_from(part).unwrap_or(u64::MAX)
}
