//! Faults that the program injects into its own division of budgets, each with a scenario in which it exceeds a limit.
//! Without the fault, no limit may be exceeded in that scenario.

use crate::cluster_harness::{Cluster, ClusterConfig, KEEPERS, LimitExceeded, MEMBER_LIMIT, Terms};
use crate::harness::run_local;
use linenhill_decisions::fault_injection::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Guards against a checker that cannot fail: every injected fault must be detected at the members.
#[cfg(feature = "fault-injection")]
#[test]
fn a_planted_fault_is_seen_at_the_members() {
    let chosen = std::env::var("LINENHILL_FAULT").unwrap_or_default();
    for (fault, name) in Fault::QUOTA.into_iter().filter(|(_, name)| chosen.is_empty() || *name == chosen) {
        run_local(run_scenario(fault, None))
            .unwrap_or_else(|error| panic!("{name}, fault not injected: {error}"));
        let found = run_local(run_scenario(fault, Some(name))).err();
        println!("{name}, fault injected: {found:?}");
        assert!(found.is_some(), "{name} was injected but not detected at the members");
    }
}

/// Guards against two processes of the same name that both use its quota, a holder that resumes queued work after a
/// suspension longer than its lease, and a floor that is granted twice. Needs no build with fault injection.
#[test]
fn namesakes_suspended_and_removed_holders_keep_to_the_limit() {
    for fault in [Fault::PredecessorReleased, Fault::LeaseFromReceipt, Fault::FloorExpiresWithLease] {
        run_local(run_scenario(fault, None)).unwrap_or_else(|error| panic!("{fault:?}: {error}"));
    }
}

#[test]
fn planted_faults_have_distinct_names() {
    let names: BTreeSet<&str> = Fault::QUOTA.iter().map(|(_, name)| *name).collect();
    assert_eq!(names.len(), Fault::QUOTA.len());
}

/// A scenario for one fault, run with the fault injected or without it.
struct Scenario {
    label: String,
    injected_fault: Option<&'static str>,
}

async fn run_scenario(fault: Fault, injected_fault: Option<&'static str>) -> Result<(), LimitExceeded> {
    let label = format!("made-{fault:?}-{}", injected_fault.is_some());
    let scenario = Scenario { label, injected_fault };
    match fault {
        Fault::NoDriftMargin => scenario.clocks_drift_apart().await,
        Fault::LeaseFromReceipt => scenario.holder_is_suspended().await,
        Fault::PredecessorReleased => scenario.name_is_used_twice().await,
        Fault::FloorExpiresWithLease => scenario.holders_are_removed().await,
        Fault::InUseFreedEarly => scenario.holders_take_turns().await,
        Fault::RoundingUp => scenario.more_proxies_than_units().await,
        Fault::UnresponsiveProxyUncounted | Fault::ForcedPermitUncounted | Fault::QuarantineUnconfirmed => {
            Ok(())
        }
    }
}

impl Scenario {
    async fn start(self, proxies: usize, terms: Terms) -> Cluster {
        self.start_with_clocks(proxies, terms, BTreeMap::new()).await
    }

    async fn start_with_clocks(
        self, proxies: usize, terms: Terms, clock_rates: BTreeMap<String, u64>,
    ) -> Cluster {
        let injected_fault = self.injected_fault;
        let config = ClusterConfig::new(&self.label, proxies);
        Cluster::start_with(ClusterConfig { injected_fault, terms, clock_rates, ..config }).await
    }

    /// The keepers' clocks are 15% fast and the holder's is 15% slow, within the drift bound of 20%.
    async fn clocks_drift_apart(self) -> Result<(), LimitExceeded> {
        let fast_keepers = (0..KEEPERS).map(|index| (format!("k{index}"), 1_150_000));
        let clock_rates = fast_keepers.chain([("p0".to_string(), 850_000)]).collect();
        let terms = Terms { lease_ms: 3_000, drift_ppm: 200_000, outlives_ms: 300, ..Terms::TIGHT };
        let mut cluster = self.start_with_clocks(2, terms, clock_rates).await;
        cluster.start_writers(MEMBER_LIMIT);
        for round in 0..3 {
            cluster.wait_until_settled().await;
            cluster.run_for(Duration::from_millis(1_000), &format!("round {round}: settled")).await?;
            cluster.proxies[0].partition_from_keepers();
            cluster.run_for(Duration::from_millis(6_000), "p0 partitioned from the keepers").await?;
            cluster.heal();
        }
        Ok(())
    }

    /// A holder is suspended for longer than its lease, in most rounds while a grant to it is in transit.
    async fn holder_is_suspended(self) -> Result<(), LimitExceeded> {
        let mut cluster = self.start(2, Terms::TIGHT).await;
        cluster.start_writers(MEMBER_LIMIT);
        for round in 0..8 {
            cluster.wait_until_settled().await;
            cluster.proxies[0].delay_links(Duration::from_millis(100));
            let action = format!("round {round}: links of p0 delayed");
            cluster.run_for(Duration::from_millis(700), &action).await?;
            cluster.proxies[0].running().signal("-STOP");
            cluster.run_for(Duration::from_millis(2_500), "p0 suspended").await?;
            cluster.proxies[0].running().signal("-CONT");
            cluster.run_for(Duration::from_millis(700), "p0 resumed").await?;
            cluster.heal();
        }
        Ok(())
    }

    /// A second process starts under the name of a proxy that receives nothing from the keepers, and so is not notified
    /// that it was replaced.
    async fn name_is_used_twice(self) -> Result<(), LimitExceeded> {
        let terms = Terms { lease_ms: 3_000, ..Terms::TIGHT };
        let mut cluster = self.start(2, terms).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.run_for(Duration::from_millis(1_000), "settled").await?;
        cluster.proxies[0].hold_replies();
        cluster.add_proxy("p0").await;
        cluster.start_writers_at(2..3, MEMBER_LIMIT);
        cluster.run_for(Duration::from_millis(8_000), "second process started as p0").await
    }

    /// Three partitioned proxies are removed. With the fault, their floors are granted to the remaining proxy while
    /// they still use them, which exceeds the limit even if that proxy uses only a part of its quota.
    async fn holders_are_removed(self) -> Result<(), LimitExceeded> {
        let terms = Terms { work_ms: 60, ..Terms::TIGHT };
        let mut cluster = self.start(4, terms).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.proxies[..3].iter().for_each(|proxy| proxy.partition_from_keepers());
        cluster.run_for(Duration::from_millis(2_500), "p0 to p2 partitioned from the keepers").await?;
        for name in ["p0", "p1", "p2"] {
            let operator_file = cluster.proxies[3].operator_file.clone();
            cluster.run_fleet_until_success(&["remove", name], operator_file).await;
        }
        cluster.run_for(Duration::from_millis(6_000), "p0 to p2 removed").await
    }

    /// The load alternates between two proxies, so that each is granted quota that unfinished statements of the other
    /// use.
    async fn holders_take_turns(self) -> Result<(), LimitExceeded> {
        let terms = Terms { work_ms: 600, outlives_ms: 1_500, ..Terms::TIGHT };
        let mut cluster = self.start(2, terms).await;
        cluster.wait_until_settled().await;
        for round in 0..6 {
            let proxy = round % 2;
            cluster.start_writers_for(proxy, 2 * MEMBER_LIMIT, Duration::from_millis(3_000));
            cluster.run_for(Duration::from_millis(2_000), &format!("load at p{proxy} alone")).await?;
        }
        Ok(())
    }

    /// Eight proxies share a budget of six units, so that not every proxy can be granted one.
    async fn more_proxies_than_units(self) -> Result<(), LimitExceeded> {
        let mut cluster = self.start(8, Terms::TIGHT).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.run_for(Duration::from_millis(3_000), "8 proxies for 6 units").await
    }
}
