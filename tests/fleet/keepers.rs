//! Keepers that are out of reach, killed, replaced, or asked by strangers.

use crate::cluster_harness::{Cluster, KEEPERS, MEMBER_LIMIT, PROGRESS_TIMEOUT, linenhill_command};
use crate::harness::{run_local, write_test_file};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Guards against a busy proxy that no keeper reaches and that uses its connections on and on, while what it held is
/// granted to others; and against quotas that are lost with all keepers at once.
#[test]
fn an_unreachable_proxy_gives_way_and_all_keepers_may_restart() {
    run_local(async {
        let mut cluster = Cluster::start("fleet-cut", 2).await;
        cluster.start_writers(MEMBER_LIMIT);
        cluster.wait_until_settled().await;
        cluster.proxies[0].cut_off();
        cluster.history.push("p0 cut off".into());
        cluster.wait_for_status("without p0", |status| !status.contains("\"name\":\"p0\"")).await;
        let served = || cluster.members[0].served.get();
        let before = served();
        let used = async {
            while served() < before + 300 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, used).await.expect("its part is used by the other");
        cluster.check_limits().unwrap_or_else(|error| panic!("{error}"));
        cluster.heal();
        cluster.keepers.iter_mut().for_each(|keeper| keeper.program = None);
        (0..KEEPERS).for_each(|index| cluster.start_keeper(index, false));
        cluster.history.push("all keepers killed and started".into());
        cluster.wait_until_settled().await;
        cluster.check_limits().unwrap_or_else(|error| panic!("{error}"));
    });
}

/// Guards against a keeper that lost its disk and votes under its old number, and against one that can't be replaced.
#[test]
fn a_keeper_without_its_disk_stays_out_until_it_is_replaced() {
    run_local(async {
        let mut cluster = Cluster::start("fleet-disk", 1).await;
        cluster.wait_until_settled().await;
        // All must be part of the fleet: one that wasn't yet would not be out.
        cluster.wait_for_status("with all keepers", |status| status.contains("\"k2\":")).await;
        let lost = cluster.keepers.len() - 1;
        cluster.keepers[lost].program = None;
        let _ = std::fs::remove_dir_all(cluster.folder.join(format!("k{lost}")));
        cluster.start_keeper(lost, false);
        let refused = cluster.keepers[lost].running().wait_for_log("has another store");
        timeout(PROGRESS_TIMEOUT, refused).await.expect("it is refused");
        let operator_file = cluster.keepers[0].operator_file.clone();
        cluster.run_fleet_until_done(&["replace", "k2"], operator_file).await;
        let accepted = cluster.keepers[lost].running().wait_for_log("lets this keeper in");
        timeout(PROGRESS_TIMEOUT, accepted).await.expect("it is accepted");
        cluster.wait_until_settled().await;
    });
}

/// Guards against an instance of another fleet, or from outside the allowed prefixes, that is accepted.
#[test]
fn strangers_are_refused_with_one_line() {
    run_local(async {
        let cluster = Cluster::start("fleet-strangers", 1).await;
        let text = std::fs::read_to_string(&cluster.proxies[0].operator_file).expect("a file");
        let other_fleet = text.replace("cluster: \"test\"", "cluster: \"other\"");
        let other_file = write_test_file("fleet-other.textproto", &other_fleet);
        let run = move || {
            let mut command = linenhill_command();
            command.args(["fleet", "status", "--operator"]).arg(other_file);
            command.output().expect("the program")
        };
        let output = tokio::task::spawn_blocking(run).await.expect("done");
        assert!(!output.status.success());
        let refused = cluster.keepers[0].running().wait_for_log("it is of the fleet 'other'");
        timeout(PROGRESS_TIMEOUT, refused).await.expect("a line");
    });
}
