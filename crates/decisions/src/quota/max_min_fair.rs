//! Max-min fair division of units by demand, in integer arithmetic that loses no unit to rounding.

/// One participant in a division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Units that the participant could use.
    pub demand: u64,
    /// Rank for the units left over by rounding: the lowest value comes first.
    pub priority: u64,
}

/// Divides `total` units among the claims and returns the units of each, in the order of `claims`.
///
/// No claim gets more than its demand, and no claim can be raised without lowering one that has no more units than it.
/// Units left over by rounding go one each to the claims with unmet demand, in order of priority.
pub fn max_min_fair(total: u64, claims: &[Claim]) -> Vec<u64> {
    let mut by_demand: Vec<usize> = (0..claims.len()).collect();
    by_demand.sort_unstable_by_key(|index| (claims[*index].demand, *index));
    let mut remaining = total;
    let mut units = vec![0; claims.len()];
    for (served, index) in by_demand.iter().enumerate() {
        let unserved = &by_demand[served..];
        let fair_share = remaining / unserved.len() as u64;
        let demand = claims[*index].demand;
        if demand > fair_share {
            // All following claims demand more than this share as well.
            divide_evenly(remaining, unserved, claims, &mut units);
            break;
        }
        units[*index] = demand;
        remaining -= demand;
    }
    units
}

/// Divides `remaining` evenly among the claims at the indices `unserved` and writes the shares to `units`.
fn divide_evenly(remaining: u64, unserved: &[usize], claims: &[Claim], units: &mut [u64]) {
    let mut by_priority = unserved.to_vec();
    by_priority.sort_unstable_by_key(|index| (claims[*index].priority, *index));
    let count = by_priority.len() as u64;
    let fair_share = remaining / count;
    let left_over = remaining % count;
    for (position, index) in (0..count).zip(by_priority) {
        units[index] = fair_share + u64::from(position < left_over);
    }
}
