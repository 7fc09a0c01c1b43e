//! Who should have how much: max-min fair by demand, in whole units, with nothing lost to rounding. Pure.

/// One who wants something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What it could use.
    pub demand: u64,
    /// Of units that don't go round, who is first: the lowest turn.
    pub priority: u64,
}

/// Divides `whole` among the claims: nobody gets more than its demand, and nobody could get more without somebody who
/// has no more than it getting less. Units that are left over by rounding go one each by turn.
pub fn max_min_fair(whole: u64, claims: &[Claim]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_unstable_by_key(|i| (claims[*i].demand, *i));
    let (mut left, mut given) = (whole, vec![0; claims.len()]);
    for (done, i) in order.iter().enumerate() {
        let fair = left / (order.len() - done) as u64;
        if claims[*i].demand > fair {
            // All that follow want more than that, too.
            let mut rest: Vec<usize> = order[done..].to_vec();
            rest.sort_unstable_by_key(|i| (claims[*i].priority, *i));
            let over = (left - fair * rest.len() as u64) as usize;
            rest.iter().enumerate().for_each(|(n, i)| given[*i] = fair + u64::from(n < over));
            break;
        }
        given[*i] = claims[*i].demand;
        left -= given[*i];
    }
    given
}
