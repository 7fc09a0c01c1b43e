//! Measures the latency of reads with and without a fleet in one run; makes no assertions.

use crate::cluster_harness::{Budgets, Cluster, ClusterConfig, KEEPERS, Terms};
use crate::harness::run_local;
use std::fmt;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Reads for each printed line.
const READS: usize = 4_000;

/// Latencies of sequential reads, in milliseconds.
struct Latencies {
    median: f64,
    p99: f64,
    longest: f64,
}

impl fmt::Display for Latencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Latencies { median, p99, longest } = self;
        write!(f, "p50 {median:.3} ms, p99 {p99:.3} ms, longest {longest:.3} ms")
    }
}

async fn measure_reads(cluster: &Cluster, proxy: usize) -> Latencies {
    let mut milliseconds = Vec::with_capacity(READS);
    for number in 0..READS {
        let started = Instant::now();
        cluster.read_once(proxy, number).await;
        milliseconds.push(started.elapsed().as_secs_f64() * 1e3);
    }
    milliseconds.sort_by(f64::total_cmp);
    Latencies {
        median: milliseconds[READS / 2],
        p99: milliseconds[READS * 99 / 100],
        longest: milliseconds[READS - 1],
    }
}

#[test]
#[ignore = "a measurement"]
fn measure_latency_with_and_without_a_fleet() {
    run_local(async {
        let terms = Terms { work_ms: 0, budgets: Budgets::Work, ..Terms::DEFAULT };
        let config = ClusterConfig { terms, ..ClusterConfig::new("latency", 1) };
        let mut cluster = Cluster::start_with(config).await;
        cluster.wait_until_settled().await;
        cluster.add_proxy_without_fleet().await;
        for (proxy, label) in [(0, "in a fleet"), (1, "alone"), (0, "in a fleet"), (1, "alone")] {
            println!("{label}: {}", measure_reads(&cluster, proxy).await);
        }
        for index in 0..KEEPERS {
            sleep(Duration::from_millis(300)).await;
            cluster.keepers[index].program = None;
        }
        println!("all keepers killed: {}", measure_reads(&cluster, 0).await);
    });
}
