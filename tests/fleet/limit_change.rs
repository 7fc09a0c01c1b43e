//! Limits that operators change while the fleet runs.

use crate::cluster_harness::{
    Cluster, ClusterConfig, KEEPERS, MEMBER_LIMIT, OperatorFile, PROGRESS_TIMEOUT, Terms,
};
use crate::harness::{run_local, write_test_file};
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The limit that the test lowers to.
const LOWER_LIMIT: usize = 2;

/// Whether the leader counts no more than the whole of each budget as granted, by its status in JSON.
fn is_within_limits(status: &str) -> bool {
    let number = |text: &str| {
        let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<u64>().expect("a number")
    };
    let mut budgets = status.split("\"whole\":").skip(1).peekable();
    assert!(budgets.peek().is_some(), "no budget in {status}");
    budgets.all(|budget| {
        let counted = budget.split_once("\"counted\":").expect("what is counted").1;
        number(counted) <= number(budget)
    })
}

/// An operators' file with the lower limit.
fn lower_limit_file(cluster: &Cluster, revision: u64) -> PathBuf {
    let operator_file = OperatorFile {
        name: "p0",
        relays: &cluster.proxies[0].relays,
        store: "",
        terms: Terms::TIGHT,
        revision,
        member_limit: LOWER_LIMIT,
    };
    write_test_file(&format!("lowered-{revision}.textproto"), &operator_file.text())
}

/// Guards against a limit that is lowered at run time and never reached, or that an older file raises again.
#[test]
fn a_lowered_limit_holds_over_a_change_of_leader() {
    run_local(async {
        let config = ClusterConfig { terms: Terms::TIGHT, ..ClusterConfig::new("lowered", 2) };
        let mut cluster = Cluster::start_with(config).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        let unchanged = cluster.run_fleet(&["declare"], lower_limit_file(&cluster, 1)).await;
        assert!(unchanged.is_none(), "no change without a higher revision");
        cluster.run_fleet_until_done(&["declare"], lower_limit_file(&cluster, 2)).await;
        let reached = async {
            // Few connections may happen to be open while older grants are in force; the leader must count them as over.
            while cluster.members[0].open_connections() > LOWER_LIMIT
                || !cluster.status().await.is_some_and(|status| is_within_limits(&status))
            {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, reached).await.expect("the lower limit is reached");
        for index in 0..KEEPERS {
            cluster.restart_keeper(index);
            cluster.wait_until_settled().await;
            let connections = cluster.members[0].open_connections();
            assert!(connections <= LOWER_LIMIT, "an older file raised it again");
        }
    });
}
