//! Random sequences of faults by seed. LINENHILL_SEQUENCES and LINENHILL_SEED choose more of them.

use crate::cluster_harness::{
    ADMISSION_BURST, Budgets, Cluster, ClusterConfig, LimitExceeded, MEMBER_LIMIT, Terms,
};
use crate::harness::run_local;

/// How much is played.
struct Extent {
    sequences: u64,
    proxies: usize,
    /// In each sequence.
    faults: usize,
}

impl Extent {
    /// Little for every landing, more for the proof.
    fn from_environment() -> Extent {
        match number_from_environment("LINENHILL_SEQUENCES") {
            Some(sequences) => Extent { sequences, proxies: 8, faults: 14 },
            None => Extent { sequences: 2, proxies: 3, faults: 6 },
        }
    }
}

fn number_from_environment(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// What the members saw of a sequence.
struct Seen {
    /// The most connections, or attempts in flight, at once.
    peak: usize,
    served: u64,
}

/// Plays a sequence of faults by seed, with clients throughout; then all is healed, and the fleet must settle.
async fn play_sequence(seed: u64, extent: &Extent, terms: Terms) -> Result<Seen, LimitExceeded> {
    let mut random = fastrand::Rng::with_seed(seed);
    let label = format!("fleet-{seed}-{}", terms.budgets == Budgets::Work);
    let config = ClusterConfig { terms, ..ClusterConfig::new(&label, extent.proxies) };
    let mut cluster = Cluster::start_with(config).await;
    cluster.start_writers(MEMBER_LIMIT);
    cluster.wait_until_settled().await;
    for _ in 0..extent.faults {
        cluster.inject_random_fault(&mut random).await;
        cluster.check_limits()?;
    }
    cluster.heal();
    cluster.wait_until_settled().await;
    cluster.check_limits()?;
    // A request that was admitted by a process suspended before it sent comes late: as many as there are clients.
    let burst = cluster.members[0].admission_burst();
    if burst > (ADMISSION_BURST as usize + MEMBER_LIMIT * extent.proxies) as f64 {
        return Err(cluster.limit_exceeded(&format!("{burst} beyond the rate at once")));
    }
    Ok(Seen { peak: cluster.members[0].peak.get(), served: cluster.members[0].served.get() })
}

fn run_sequence(seed: u64, extent: &Extent, terms: Terms) -> Seen {
    let seen = run_local(play_sequence(seed, extent, terms));
    seen.unwrap_or_else(|error| panic!("seed {seed}: {error}"))
}

/// Guards against connections at a member beyond the limit, whatever happens to the processes and between them; and
/// against a fleet that does not settle, or does not use what it has.
#[test]
fn members_never_see_more_than_the_limit() {
    let extent = Extent::from_environment();
    let first_seed = number_from_environment("LINENHILL_SEED").unwrap_or(1);
    let mut peak = 0;
    let mut served = 0;
    for seed in first_seed..first_seed + extent.sequences {
        let seen = run_sequence(seed, &extent, Terms::DEFAULT);
        println!(
            "seed {seed}: at most {} of {MEMBER_LIMIT} connections, {} requests served",
            seen.peak, seen.served
        );
        peak = peak.max(seen.peak);
        served += seen.served;
    }
    assert!(
        peak >= MEMBER_LIMIT / 2 && served > 0,
        "at most {peak} of {MEMBER_LIMIT} were in use, {served} served"
    );
}

/// Guards against attempts in flight at a member beyond the limit, and admissions beyond the rate, in the same sequences.
#[test]
fn attempts_and_admissions_keep_to_the_fleets_budgets() {
    let extent = Extent::from_environment();
    let terms = Terms { budgets: Budgets::Work, ..Terms::DEFAULT };
    for seed in 1..=extent.sequences.min(20) {
        let seen = run_sequence(seed, &extent, terms);
        println!("seed {seed}: at most {} of {MEMBER_LIMIT} attempts, {} served", seen.peak, seen.served);
        assert!(seen.served > 0);
    }
}
