//! Tests of max-min fair division.

use linenhill_decisions::quota::max_min_fair::{Claim, max_min_fair};

/// Guards against units lost to rounding, more units than a claim demands, and a division that favours a claim.
#[test]
fn division_is_fair_and_loses_nothing() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..2_000 {
        let total = rng.u64(0..60);
        let claims: Vec<Claim> = (0..rng.usize(0..12))
            .map(|_| Claim { demand: rng.u64(0..20), priority: rng.u64(0..4) })
            .collect();
        let units = max_min_fair(total, &claims);
        let demanded: u64 = claims.iter().map(|claim| claim.demand).sum();
        assert_eq!(units.iter().sum::<u64>(), total.min(demanded), "{claims:?}");
        assert!(units.iter().zip(&claims).all(|(got, claim)| *got <= claim.demand));
        // A claim below its demand has at most one unit less than any other claim, from the remainder of the division.
        for (got, claim) in units.iter().zip(&claims).filter(|(got, claim)| **got < claim.demand) {
            assert!(units.iter().all(|other| *other <= got + 1), "{claims:?} {units:?} {claim:?}");
        }
    }
    let claims = [3, 1, 2].map(|priority| Claim { demand: 5, priority });
    assert_eq!(max_min_fair(2, &claims), [0, 1, 1], "the lowest priority values first");
}
