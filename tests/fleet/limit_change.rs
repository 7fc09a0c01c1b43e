//! Limits that operators change while the fleet is running.

use crate::cluster_harness::{
    Cluster, ClusterConfig, KEEPERS, MEMBER_LIMIT, OperatorFile, PROGRESS_TIMEOUT, Terms,
};
use crate::harness::{run_local, write_test_file};
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The connection limit after the change.
const LOWER_LIMIT: usize = 2;

/// Whether the JSON status of the leader counts at most the total of each budget as granted.
fn is_within_limits(status: &str) -> bool {
    let number = |text: &str| {
        let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<u64>().expect("a number in the status")
    };
    let mut budgets = status.split("\"whole\":").skip(1).peekable();
    assert!(budgets.peek().is_some(), "no budget in {status}");
    budgets.all(|budget| {
        let counted = budget.split_once("\"counted\":").expect("`counted` of a budget").1;
        number(counted) <= number(budget)
    })
}

/// Writes an operators' file with the lower limit and this revision.
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

/// Guards against a limit that is lowered at run time and never takes effect, or that a keeper's older file raises
/// again after its restart.
#[test]
fn a_lowered_limit_holds_over_a_change_of_leader() {
    run_local(async {
        let config = ClusterConfig { terms: Terms::TIGHT, ..ClusterConfig::new("lowered", 2) };
        let mut cluster = Cluster::start_with(config).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        let unchanged = cluster.run_fleet(&["declare"], lower_limit_file(&cluster, 1)).await;
        assert!(unchanged.is_none(), "a file whose revision is not higher should be refused");
        cluster.run_fleet_until_success(&["declare"], lower_limit_file(&cluster, 2)).await;
        let reached = async {
            // The connections alone are not enough: few may be open while older grants are still in force. The leader
            // must count those as expired.
            while cluster.members[0].open_connections() > LOWER_LIMIT
                || !cluster.status().await.is_some_and(|status| is_within_limits(&status))
            {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, reached).await.expect("the lower limit should take effect");
        for index in 0..KEEPERS {
            cluster.restart_keeper(index);
            cluster.wait_until_settled().await;
            let connections = cluster.members[0].open_connections();
            assert!(connections <= LOWER_LIMIT, "an older file raised the limit: {connections} connections");
        }
    });
}
