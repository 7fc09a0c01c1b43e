//! Disruption limits in a fleet of processes: compares the responses to operators with which proxies serve and which
//! members receive requests, from outside.

mod cluster_harness;
mod harness;

use cluster_harness::{Cluster, ClusterConfig, KEEPERS, PROGRESS_TIMEOUT};
use harness::{run_local, try_operator_call};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Disruption limits of one proxy and one member at a time, with at least one replica of each group in service.
const ONE_OF_EACH: &str = "outages { proxies { count: 1 } members { count: 1 } members_least: 1 }\n";

/// Time after which an operator's call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a `POST` request to a proxy's operators' address; returns the status and body, or `None` if it is unanswered.
async fn call(address: SocketAddr, target: &str) -> Option<(u16, String)> {
    timeout(CALL_TIMEOUT, try_operator_call(address, &format!("POST {target}"))).await.ok()?
}

/// Same as [`call`], without the body.
async fn call_status(address: SocketAddr, target: &str) -> Option<u16> {
    call(address, target).await.map(|(status, _)| status)
}

/// Target of the call that takes a member out of service.
fn enter_maintenance(id: &str) -> String {
    format!("/maintenance/enter?name={id}")
}

impl Cluster {
    /// Address of a proxy for operators' calls.
    fn operator_address(&self, proxy: usize) -> SocketAddr {
        self.proxies[proxy].running().logged_address("operators call at ")
    }

    /// Repeats a call until the response has the expected status.
    async fn call_until(&self, proxy: usize, target: &str, expected: u16) {
        let mut last = None;
        let done = async {
            loop {
                last = call(self.operator_address(proxy), target).await;
                if last.as_ref().is_some_and(|(status, _)| *status == expected) {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        let done = timeout(PROGRESS_TIMEOUT, done).await;
        done.unwrap_or_else(|_| {
            panic!(
                "{target} at p{proxy}: expected {expected}, last response {last:?}; history: {:?}",
                self.history
            )
        });
    }

    /// Waits until the leader reports no proxy and no member as out.
    async fn wait_until_none_is_out(&self) {
        self.wait_for_status("all in service", |status| status.contains("\"out\":[]")).await;
    }

    /// Waits until a member has served at least `count` requests.
    async fn wait_until_served(&self, member: usize, count: u64) {
        let served = async {
            while self.members[member].served.get() < count {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let served = timeout(PROGRESS_TIMEOUT, served).await;
        served.unwrap_or_else(|_| {
            panic!("m-{}: expected {count} requests served; history: {:?}", member + 1, self.history)
        });
    }

    /// Waits until the proxies have identified the primary. Taking it out is rejected before and after.
    async fn wait_until_primary_is_known(&self) {
        let known = async {
            loop {
                let answer = call(self.operator_address(0), &enter_maintenance("m-1")).await;
                let (status, text) = answer.expect("a response");
                assert_eq!(status, 409, "taking out the primary should be rejected: {text}");
                if text.contains("hands over") {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, known).await.expect("the primary should be identified");
    }

    /// Requests standby from all proxies at once; returns the proxies that accepted.
    async fn request_standby_from_all(&self) -> Vec<usize> {
        let addresses: Vec<SocketAddr> =
            (0..self.proxies.len()).map(|proxy| self.operator_address(proxy)).collect();
        let calls: Vec<_> = addresses.iter().map(|address| spawn_local(call(*address, "/standby"))).collect();
        let mut standing_by = Vec::new();
        for (proxy, answer) in calls.into_iter().enumerate() {
            match answer.await.expect("join a call").expect("a response") {
                (200, _) => standing_by.push(proxy),
                (409, text) => assert!(text.contains("out"), "the rejection should name who is out: {text}"),
                other => panic!("p{proxy}: expected 200 or 409, got {other:?}"),
            }
        }
        standing_by
    }
}

/// Starts a fleet with [`ONE_OF_EACH`] and waits until it is settled.
async fn start_cluster(label: &str, proxies: usize) -> Cluster {
    let config = ClusterConfig { disruption_limits: ONE_OF_EACH, ..ClusterConfig::new(label, proxies) };
    let cluster = Cluster::start_with(config).await;
    cluster.wait_until_settled().await;
    cluster.wait_until_none_is_out().await;
    cluster
}

/// Guards against two proxies that drain while the limit is one, in any order of requests; against a permit that is
/// lost when its holder crashes or the leader changes; and against a permit that is never released.
#[test]
fn one_proxy_is_out_at_a_time_through_deaths_and_elections() {
    run_local(async {
        let mut cluster = start_cluster("outages-one", 4).await;
        let standing_by = cluster.request_standby_from_all().await;
        assert_eq!(standing_by.len(), 1, "one of the simultaneous requests should be accepted");
        let out = standing_by[0];
        let next = (out + 1) % 4;
        let last = (out + 2) % 4;
        cluster.proxies[out].program = None;
        cluster.history.push(format!("p{out} killed while in standby"));
        for keeper in 0..KEEPERS {
            let action = cluster.restart_keeper(keeper);
            cluster.history.push(action);
            cluster.call_until(next, "/standby", 409).await;
        }
        cluster.start_proxy(out);
        cluster.history.push(format!("p{out} restarted"));
        cluster.call_until(next, "/standby", 200).await;
        assert_eq!(call_status(cluster.operator_address(out), "/standby").await, Some(409));
        assert_eq!(call_status(cluster.operator_address(out), "/standby?force=1").await, Some(200));
        cluster.call_until(next, "/active", 200).await;
        let status = call_status(cluster.operator_address(last), "/standby").await;
        assert_eq!(status, Some(409), "a forced permit should count towards the limit");
        cluster.call_until(out, "/active", 200).await;
        cluster.call_until(last, "/standby", 200).await;
    });
}

/// Guards against a rolling release that continues while a proxy is partitioned from the keepers, and against permits
/// granted without a majority of keepers.
#[test]
fn hidden_proxies_count_as_out_and_a_minority_permits_nothing() {
    run_local(async {
        let mut cluster = start_cluster("outages-hidden", 3).await;
        cluster.proxies[0].partition_from_keepers();
        cluster.history.push("p0 partitioned from the keepers".into());
        cluster.wait_for_status("p0 without heartbeat", |status| status.contains("not heard of")).await;
        cluster.call_until(1, "/standby", 409).await;
        cluster.heal();
        cluster.wait_until_none_is_out().await;
        cluster.keepers[1..].iter_mut().for_each(|keeper| keeper.program = None);
        cluster.history.push("all keepers but k0 killed".into());
        let answer = call(cluster.operator_address(0), "/standby").await;
        let (status, text) = answer.expect("a response");
        assert!(status == 503 || status == 409, "{status} {text}");
        assert_ne!(status, 200, "permitted by a minority of keepers: {text}");
    });
}

/// Guards against a permit for a member to which some proxy still sends, against both replicas of a group being taken
/// out through two different proxies, and against a member that receives no requests after its return.
#[test]
fn a_member_is_out_for_every_proxy_once_one_has_permitted_it() {
    run_local(async {
        let mut cluster = start_cluster("outages-member", 3).await;
        cluster.start_writers(1);
        cluster.start_readers(4);
        cluster.wait_until_served(1, 20).await;
        cluster.wait_until_served(2, 20).await;
        cluster.wait_until_primary_is_known().await;
        take_out_while_p0_receives_nothing(&mut cluster).await;
        let before = cluster.members[1].served.get();
        let status = call_status(cluster.operator_address(2), &enter_maintenance("m-3")).await;
        assert_eq!(status, Some(409), "the last replica should stay in service");
        cluster.heal();
        cluster.history.push("links of p0 healed".into());
        cluster.wait_until_settled().await;
        let others = cluster.members[2].served.get();
        cluster.wait_until_served(2, others + 100).await;
        // Attempts that were in flight when the permit was granted may have been counted later.
        let after = cluster.members[1].served.get() - before;
        assert!(after <= 12, "{after} requests served after the permit");
        cluster.call_until(1, "/maintenance/exit?name=m-2", 200).await;
        cluster.wait_until_served(1, before + 100).await;
        cluster.call_until(1, &enter_maintenance("m-3"), 200).await;
    });
}

/// Guards against a member that is called out again while it still counts as out, is answered as out, and gets requests.
#[test]
fn a_member_that_is_taken_out_again_at_once_gets_nothing() {
    run_local(async {
        let cluster = start_cluster("outages-again", 2).await;
        cluster.start_writers(1);
        cluster.start_readers(4);
        cluster.wait_until_served(1, 20).await;
        cluster.wait_until_primary_is_known().await;
        cluster.call_until(1, &enter_maintenance("m-2"), 200).await;
        cluster.call_until(1, "/maintenance/exit?name=m-2", 200).await;
        cluster.call_until(1, &enter_maintenance("m-2"), 200).await;
        let before = cluster.members[1].served.get();
        let others = cluster.members[2].served.get();
        cluster.wait_until_served(2, others + 300).await;
        // Attempts that were in flight when the permit was granted may have been counted later.
        let after = cluster.members[1].served.get() - before;
        assert!(after <= 12, "{after} requests served after the permit");
        let status = call_status(cluster.operator_address(0), &enter_maintenance("m-3")).await;
        assert_eq!(status, Some(409), "one member may be out, and m-2 is");
    });
}

/// Takes m-2 out while p0 receives nothing from the keepers. It must not be permitted while p0 may still send to m-2.
async fn take_out_while_p0_receives_nothing(cluster: &mut Cluster) {
    cluster.proxies[0].hold_replies();
    cluster.history.push("p0 receives nothing from the keepers".into());
    let answer = call(cluster.operator_address(1), &enter_maintenance("m-2")).await;
    let (status, text) = answer.expect("a response");
    if status == 200 {
        // Permitted only if p0 was removed from the fleet meanwhile, and so serves no clients.
        let fleet_status = cluster.status().await;
        assert!(!fleet_status.is_some_and(|status| status.contains("\"name\":\"p0\"")), "{text}");
    } else {
        assert!(status == 503 && text.contains("p0"), "{status} {text}");
    }
    cluster.call_until(1, &enter_maintenance("m-2"), 200).await;
}

/// A random sequence, by seed, of standby and activation requests, restarts of proxies and keepers, and held links.
struct OutageSequence {
    seed: u64,
    random: fastrand::Rng,
    cluster: Cluster,
    /// Proxies whose standby was accepted and that were not activated since.
    out: BTreeSet<usize>,
}

impl OutageSequence {
    async fn run(seed: u64, steps: usize) {
        let cluster = start_cluster(&format!("outages-{seed}"), 4).await;
        let random = fastrand::Rng::with_seed(seed);
        let mut sequence = OutageSequence { seed, random, cluster, out: BTreeSet::new() };
        for _ in 0..steps {
            sequence.step().await;
        }
        sequence.cluster.heal();
        for proxy in sequence.out {
            sequence.cluster.call_until(proxy, "/active", 200).await;
        }
        sequence.cluster.wait_until_none_is_out().await;
    }

    async fn step(&mut self) {
        let proxy = self.random.usize(0..4);
        let is_suspended = self.cluster.proxies[proxy].is_suspended;
        match self.random.u8(0..8) {
            0..4 if !is_suspended => self.request_standby(proxy).await,
            4 if !is_suspended => self.request_activation(proxy).await,
            5 if self.out.is_empty() => {
                // A restarted proxy serves; it counts as out only until the keepers receive its heartbeat.
                let action = self.cluster.restart_proxy(proxy);
                self.cluster.history.push(action);
            }
            6 => {
                let keeper = self.random.usize(0..KEEPERS);
                let action = self.cluster.restart_keeper(keeper);
                self.cluster.history.push(action);
            }
            7 => self.hold_link_briefly(proxy).await,
            _ => sleep(Duration::from_millis(self.random.u64(50..600))).await,
        }
    }

    async fn request_standby(&mut self, proxy: usize) {
        let answer = call(self.cluster.operator_address(proxy), "/standby").await;
        self.cluster.history.push(format!("p{proxy} standby: {answer:?}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            self.out.insert(proxy);
        }
        let OutageSequence { seed, out, .. } = self;
        assert!(
            out.len() <= 1,
            "seed {seed}: proxies {out:?} are out at once; history: {:#?}",
            self.cluster.history
        );
    }

    async fn request_activation(&mut self, proxy: usize) {
        if call_status(self.cluster.operator_address(proxy), "/active").await == Some(200) {
            self.cluster.history.push(format!("p{proxy} active"));
            self.out.remove(&proxy);
        }
    }

    async fn hold_link_briefly(&mut self, proxy: usize) {
        let keeper = self.random.usize(0..KEEPERS);
        let to_keeper = self.random.bool();
        self.cluster.proxies[proxy].hold_link(keeper, to_keeper, true);
        self.cluster.history.push(format!("link of p{proxy} and k{keeper} held"));
        sleep(Duration::from_millis(self.random.u64(100..2_500))).await;
        self.cluster.heal();
    }
}

/// Guards against more proxies out at once than the limit, and against permits that are never released, in random
/// sequences.
#[test]
fn never_more_are_out_than_is_permitted() {
    let number = |variable: &str| std::env::var(variable).ok().and_then(|text| text.parse().ok());
    let sequences: u64 = number("LINENHILL_SEQUENCES").unwrap_or(1);
    let first_seed: u64 = number("LINENHILL_SEED").unwrap_or(1);
    let steps = if sequences > 1 { 40 } else { 16 };
    for seed in first_seed..first_seed + sequences {
        run_local(OutageSequence::run(seed, steps));
        println!("seed {seed}: never more than one proxy out");
    }
}
