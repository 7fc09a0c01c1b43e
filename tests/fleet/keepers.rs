//! Keepers that are unreachable, killed or replaced, or that receive calls from another fleet.

use crate::cluster_harness::{Cluster, KEEPERS, MEMBER_LIMIT, PROGRESS_TIMEOUT, linenhill_command};
use crate::harness::{run_local, write_test_file};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Guards against a busy proxy that keeps using its quota after it is partitioned from the keepers, while they grant
/// that quota to another proxy; and against losing the quotas when all keepers are killed at once.
#[test]
fn an_unreachable_proxy_gives_way_and_all_keepers_may_restart() {
    run_local(async {
        let mut cluster = Cluster::start("fleet-cut", 2).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.proxies[0].partition_from_keepers();
        cluster.history.push("p0 partitioned from the keepers".into());
        cluster.wait_for_status("without p0", |status| !status.contains("\"name\":\"p0\"")).await;
        let served = || cluster.members[0].served.get();
        let before = served();
        let used = async {
            while served() < before + 300 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, used).await.expect("the other proxy should use the quota of p0");
        cluster.check_limits().unwrap_or_else(|error| panic!("{error}"));
        cluster.heal();
        cluster.keepers.iter_mut().for_each(|keeper| keeper.program = None);
        (0..KEEPERS).for_each(|index| cluster.start_keeper(index, false));
        cluster.history.push("all keepers killed and restarted".into());
        cluster.wait_until_settled().await;
        cluster.check_limits().unwrap_or_else(|error| panic!("{error}"));
    });
}

/// Guards against a keeper that lost its disk and still votes under its Raft identifier, and against one that cannot be
/// replaced.
#[test]
fn a_keeper_without_its_disk_stays_out_until_it_is_replaced() {
    run_local(async {
        let mut cluster = Cluster::start("fleet-disk", 1).await;
        cluster.wait_until_settled().await;
        // Wait until every keeper is a member of the fleet: one that is not yet would be accepted with an empty store.
        cluster.wait_for_status("with all keepers", |status| status.contains("\"k2\":")).await;
        let lost = cluster.keepers.len() - 1;
        cluster.keepers[lost].program = None;
        let _ = std::fs::remove_dir_all(cluster.folder.join(format!("k{lost}")));
        cluster.start_keeper(lost, false);
        let refused = cluster.keepers[lost].running().wait_for_log("has another store");
        timeout(PROGRESS_TIMEOUT, refused).await.expect("the keeper with a new store should be refused");
        let operator_file = cluster.keepers[0].operator_file.clone();
        cluster.run_fleet_until_success(&["replace", "k2"], operator_file).await;
        let accepted = cluster.keepers[lost].running().wait_for_log("lets this keeper in");
        timeout(PROGRESS_TIMEOUT, accepted).await.expect("the replaced keeper should be accepted");
        cluster.wait_until_settled().await;
    });
}

/// Guards against a call from another fleet that a keeper accepts or does not log.
#[test]
fn strangers_are_refused_with_one_line() {
    run_local(async {
        let cluster = Cluster::start("fleet-strangers", 1).await;
        let text =
            std::fs::read_to_string(&cluster.proxies[0].operator_file).expect("read the operators' file");
        let other_fleet = text.replace("cluster: \"test\"", "cluster: \"other\"");
        let other_file = write_test_file("fleet-other.textproto", &other_fleet);
        let run = move || {
            let mut command = linenhill_command();
            command.args(["fleet", "status", "--operator"]).arg(other_file);
            command.output().expect("run the program")
        };
        let output = tokio::task::spawn_blocking(run).await.expect("join the run of the program");
        assert!(!output.status.success());
        let refused = cluster.keepers[0].running().wait_for_log("it is of the fleet 'other'");
        timeout(PROGRESS_TIMEOUT, refused).await.expect("the keeper should log the refused fleet");
    });
}
