//! Faults that the program injects into its own division of budgets, each with the history in which it must show. The
//! sound program must not exceed a limit in any of them.

use crate::cluster_harness::{Cluster, ClusterConfig, KEEPERS, LimitExceeded, MEMBER_LIMIT, Terms};
use crate::harness::run_local;
use linenhill_decisions::fault_injection::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Guards against a checker that can't fail: a faulty division is seen at the members.
#[cfg(feature = "fault-injection")]
#[test]
fn a_planted_fault_is_seen_at_the_members() {
    let chosen = std::env::var("LINENHILL_FAULT").unwrap_or_default();
    for (fault, name) in Fault::QUOTA.into_iter().filter(|(_, name)| chosen.is_empty() || *name == chosen) {
        run_local(play_history(fault, None)).unwrap_or_else(|error| panic!("{name}, not planted: {error}"));
        let found = run_local(play_history(fault, Some(name))).err();
        println!("{name}, in the history made for it: {found:?}");
        assert!(found.is_some(), "{name} was not caught");
    }
}

/// Guards against two processes of one name that both use the quota, a holder that was suspended for longer than its lease
/// and goes on with what it had queued, and a floor that is given twice: in the sound program, at every landing.
#[test]
fn namesakes_suspended_and_removed_holders_keep_to_the_limit() {
    for fault in [Fault::PredecessorReleased, Fault::LeaseFromReceipt, Fault::FloorExpiresWithLease] {
        run_local(play_history(fault, None)).unwrap_or_else(|error| panic!("{fault:?}: {error}"));
    }
}

#[test]
fn planted_faults_have_distinct_names() {
    let names: BTreeSet<&str> = Fault::QUOTA.iter().map(|(_, name)| *name).collect();
    assert_eq!(names.len(), Fault::QUOTA.len());
}

/// The history in which a fault must show, with that fault injected or without it.
struct FaultHistory {
    label: String,
    injected_fault: Option<&'static str>,
}

async fn play_history(fault: Fault, injected_fault: Option<&'static str>) -> Result<(), LimitExceeded> {
    let label = format!("made-{fault:?}-{}", injected_fault.is_some());
    let history = FaultHistory { label, injected_fault };
    match fault {
        Fault::NoDriftMargin => history.clocks_drift_apart().await,
        Fault::LeaseFromReceipt => history.holder_is_suspended().await,
        Fault::PredecessorReleased => history.name_is_used_twice().await,
        Fault::FloorExpiresWithLease => history.holders_are_removed().await,
        Fault::InUseFreedEarly => history.holders_take_turns().await,
        Fault::RoundingUp => history.more_proxies_than_units().await,
        Fault::UnresponsiveProxyUncounted | Fault::ForcedPermitUncounted | Fault::QuarantineUnconfirmed => {
            Ok(())
        }
    }
}

impl FaultHistory {
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

    /// The keepers' clocks are fast, the holder's is slow, each by 15% under a bound of 20%.
    async fn clocks_drift_apart(self) -> Result<(), LimitExceeded> {
        let fast_keepers = (0..KEEPERS).map(|index| (format!("k{index}"), 1_150_000));
        let clock_rates = fast_keepers.chain([("p0".to_string(), 850_000)]).collect();
        let terms = Terms { lease_ms: 3_000, drift_ppm: 200_000, outlives_ms: 300, ..Terms::TIGHT };
        let mut cluster = self.start_with_clocks(2, terms, clock_rates).await;
        cluster.start_writers(MEMBER_LIMIT);
        for round in 0..3 {
            cluster.wait_until_settled().await;
            cluster.run_for(Duration::from_millis(1_000), &format!("round {round}: settled")).await?;
            cluster.proxies[0].cut_off();
            cluster.run_for(Duration::from_millis(6_000), "p0 cut off").await?;
            cluster.heal();
        }
        Ok(())
    }

    /// A holder is suspended, mostly while a grant is on its way to it, for longer than its lease.
    async fn holder_is_suspended(self) -> Result<(), LimitExceeded> {
        let mut cluster = self.start(2, Terms::TIGHT).await;
        cluster.start_writers(MEMBER_LIMIT);
        for round in 0..8 {
            cluster.wait_until_settled().await;
            cluster.proxies[0].delay_links(Duration::from_millis(100));
            let done = format!("round {round}: the network of p0 is slow");
            cluster.run_for(Duration::from_millis(700), &done).await?;
            cluster.proxies[0].running().signal("-STOP");
            cluster.run_for(Duration::from_millis(2_500), "p0 suspended").await?;
            cluster.proxies[0].running().signal("-CONT");
            cluster.run_for(Duration::from_millis(700), "p0 goes on").await?;
            cluster.heal();
        }
        Ok(())
    }

    /// A second process takes the name of one that does not receive that it was replaced.
    async fn name_is_used_twice(self) -> Result<(), LimitExceeded> {
        let terms = Terms { lease_ms: 3_000, ..Terms::TIGHT };
        let mut cluster = self.start(2, terms).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.run_for(Duration::from_millis(1_000), "settled").await?;
        cluster.proxies[0].hold_replies();
        cluster.add_proxy("p0").await;
        cluster.start_writers_at(2..3, MEMBER_LIMIT);
        cluster.run_for(Duration::from_millis(8_000), "a second process has the name p0").await
    }

    /// Three floors that another proxy is given too; the one that stays need not use all of the limit.
    async fn holders_are_removed(self) -> Result<(), LimitExceeded> {
        let terms = Terms { work_ms: 60, ..Terms::TIGHT };
        let mut cluster = self.start(4, terms).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.proxies[..3].iter().for_each(|proxy| proxy.cut_off());
        cluster.run_for(Duration::from_millis(2_500), "p0 to p2 cut off").await?;
        for name in ["p0", "p1", "p2"] {
            let operator_file = cluster.proxies[3].operator_file.clone();
            cluster.run_fleet_until_done(&["remove", name], operator_file).await;
        }
        cluster.run_for(Duration::from_millis(6_000), "p0 to p2 removed").await
    }

    /// Each proxy in turn takes over what the other has, in the middle of its work.
    async fn holders_take_turns(self) -> Result<(), LimitExceeded> {
        let terms = Terms { work_ms: 600, outlives_ms: 1_500, ..Terms::TIGHT };
        let mut cluster = self.start(2, terms).await;
        cluster.wait_until_settled().await;
        for round in 0..6 {
            let proxy = round % 2;
            cluster.start_writers_for(proxy, 2 * MEMBER_LIMIT, Duration::from_millis(3_000));
            cluster.run_for(Duration::from_millis(2_000), &format!("p{proxy} wants all")).await?;
        }
        Ok(())
    }

    async fn more_proxies_than_units(self) -> Result<(), LimitExceeded> {
        let mut cluster = self.start(8, Terms::TIGHT).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.run_for(Duration::from_millis(3_000), "8 proxies for 6 units").await
    }
}
