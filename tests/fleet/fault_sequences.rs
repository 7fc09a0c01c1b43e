//! Random sequences of faults by seed. `LINENHILL_SEQUENCES` sets their number and `LINENHILL_SEED` the first seed.

use crate::cluster_harness::{
    ADMISSION_BURST, Budgets, Cluster, ClusterConfig, LimitExceeded, MEMBER_LIMIT, Terms,
};
use crate::harness::run_local;

/// Size of a test run.
struct RunSize {
    sequences: u64,
    proxies: usize,
    /// Faults in each sequence.
    faults: usize,
}

impl RunSize {
    /// Few short sequences by default; longer ones with more proxies if `LINENHILL_SEQUENCES` is set.
    fn from_environment() -> RunSize {
        match number_from_environment("LINENHILL_SEQUENCES") {
            Some(sequences) => RunSize { sequences, proxies: 8, faults: 14 },
            None => RunSize { sequences: 2, proxies: 3, faults: 6 },
        }
    }
}

fn number_from_environment(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// Counters of the member after a sequence.
struct SequenceCounts {
    /// Highest number of concurrent connections or attempts in flight, whichever is limited.
    peak: usize,
    served: u64,
}

/// Runs a sequence of faults under constant load, heals all of them, and waits until the fleet is settled.
async fn run_sequence(seed: u64, size: &RunSize, terms: Terms) -> Result<SequenceCounts, LimitExceeded> {
    let mut random = fastrand::Rng::with_seed(seed);
    let label = format!("fleet-{seed}-{}", terms.budgets == Budgets::Work);
    let config = ClusterConfig { terms, ..ClusterConfig::new(&label, size.proxies) };
    let mut cluster = Cluster::start_with(config).await;
    cluster.start_writers(MEMBER_LIMIT);
    cluster.wait_until_settled().await;
    for _ in 0..size.faults {
        cluster.inject_random_fault(&mut random).await;
        cluster.check_limits()?;
    }
    cluster.heal();
    cluster.wait_until_settled().await;
    cluster.check_limits()?;
    // A process may be suspended between admitting a request and sending it, so every client may add one late arrival.
    let burst = cluster.members[0].admission_burst();
    if burst > (ADMISSION_BURST as usize + MEMBER_LIMIT * size.proxies) as f64 {
        return Err(cluster.limit_exceeded(&format!("{burst} admissions in excess of the rate")));
    }
    Ok(SequenceCounts { peak: cluster.members[0].peak.get(), served: cluster.members[0].served.get() })
}

fn run_sequence_or_panic(seed: u64, size: &RunSize, terms: Terms) -> SequenceCounts {
    let counts = run_local(run_sequence(seed, size, terms));
    counts.unwrap_or_else(|error| panic!("seed {seed}: {error}"))
}

/// Guards against connections at a member beyond the limit while processes and links fail, against a fleet that does
/// not settle after the faults, and against one that leaves most of its limit unused.
#[test]
fn members_never_see_more_than_the_limit() {
    let size = RunSize::from_environment();
    let first_seed = number_from_environment("LINENHILL_SEED").unwrap_or(1);
    let mut peak = 0;
    let mut served = 0;
    for seed in first_seed..first_seed + size.sequences {
        let counts = run_sequence_or_panic(seed, &size, Terms::DEFAULT);
        println!(
            "seed {seed}: at most {} of {MEMBER_LIMIT} connections, {} requests served",
            counts.peak, counts.served
        );
        peak = peak.max(counts.peak);
        served += counts.served;
    }
    assert!(
        peak >= MEMBER_LIMIT / 2 && served > 0,
        "at most {peak} of {MEMBER_LIMIT} connections in use, {served} requests served"
    );
}

/// Guards against attempts in flight at a member beyond the limit, and admissions beyond the rate, under the same
/// faults.
#[test]
fn attempts_and_admissions_keep_to_the_fleets_budgets() {
    let size = RunSize::from_environment();
    let terms = Terms { budgets: Budgets::Work, ..Terms::DEFAULT };
    for seed in 1..=size.sequences.min(20) {
        let counts = run_sequence_or_panic(seed, &size, terms);
        println!(
            "seed {seed}: at most {} of {MEMBER_LIMIT} attempts, {} requests served",
            counts.peak, counts.served
        );
        assert!(counts.served > 0);
    }
}
