//! Several processes of the program that agree on who may be out: what operators are answered, against who serves and which
//! members get requests, seen from outside.

mod cluster_harness;
mod harness;

use cluster_harness::{Cluster, ClusterConfig, KEEPERS, PROGRESS_TIMEOUT};
use harness::{run_local, try_operator_call};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// One proxy and one member may be out at once, and one replica of each group must stay.
const ONE_OF_EACH: &str = "outages { proxies { count: 1 } members { count: 1 } members_least: 1 }\n";

/// A proxy answers an operator within this time, or is taken for silent.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// One call at a proxy's address for operators: the status and the text, if it answers.
async fn call(at: SocketAddr, target: &str) -> Option<(u16, String)> {
    timeout(CALL_TIMEOUT, try_operator_call(at, &format!("POST {target}"))).await.ok()?
}

/// The status of such a call.
async fn call_status(at: SocketAddr, target: &str) -> Option<u16> {
    call(at, target).await.map(|(status, _)| status)
}

/// The call that takes a member out of service.
fn enter_maintenance(id: &str) -> String {
    format!("/maintenance/enter?name={id}")
}

impl Cluster {
    /// Where operators call a proxy.
    fn operator_address(&self, proxy: usize) -> SocketAddr {
        self.proxies[proxy].running().logged_address("operators call at ")
    }

    /// Calls until the answer has this status.
    async fn call_until(&self, proxy: usize, target: &str, wanted: u16) {
        let mut last = None;
        let done = async {
            loop {
                last = call(self.operator_address(proxy), target).await;
                if last.as_ref().is_some_and(|(status, _)| *status == wanted) {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        let done = timeout(PROGRESS_TIMEOUT, done).await;
        done.unwrap_or_else(|_| {
            panic!("{target} at p{proxy} never led to {wanted}: {last:?}, {:?}", self.history)
        });
    }

    /// Waits until the leader says that none is out.
    async fn wait_until_none_is_out(&self) {
        self.wait_for_status("all in service", |status| status.contains("\"out\":[]")).await;
    }

    /// Waits until a member has served at least so many requests.
    async fn wait_until_served(&self, member: usize, count: u64) {
        let served = async {
            while self.members[member].served.get() < count {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let served = timeout(PROGRESS_TIMEOUT, served).await;
        served.unwrap_or_else(|_| panic!("m-{} serves too little: {:?}", member + 1, self.history));
    }

    /// Waits until the proxies know the primary: until then, and afterwards, it may not be taken out.
    async fn wait_until_primary_is_known(&self) {
        let known = async {
            loop {
                let answer = call(self.operator_address(0), &enter_maintenance("m-1")).await;
                let (status, text) = answer.expect("an answer");
                assert_eq!(status, 409, "the primary, or none is known: {text}");
                if text.contains("hands over") {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, known).await.expect("the primary is known");
    }

    /// Asks all proxies at once to stand by, and returns those that may.
    async fn ask_all_to_stand_by(&self) -> Vec<usize> {
        let addresses: Vec<SocketAddr> =
            (0..self.proxies.len()).map(|proxy| self.operator_address(proxy)).collect();
        let calls: Vec<_> = addresses.iter().map(|at| spawn_local(call(*at, "/standby"))).collect();
        let mut standing_by = Vec::new();
        for (proxy, answer) in calls.into_iter().enumerate() {
            match answer.await.expect("done").expect("an answer") {
                (200, _) => standing_by.push(proxy),
                (409, text) => {
                    assert!(text.contains("unavailable proxies in the fleet"), "the reached limit: {text}");
                    assert!(text.contains("proxy/p"), "it says who is out: {text}");
                }
                other => panic!("p{proxy}: {other:?}"),
            }
        }
        standing_by
    }
}

/// A settled fleet in which one proxy and one member may be out at once.
async fn start_cluster(label: &str, proxies: usize) -> Cluster {
    let config = ClusterConfig { disruption_limits: ONE_OF_EACH, ..ClusterConfig::new(label, proxies) };
    let cluster = Cluster::start_with(config).await;
    cluster.wait_until_settled().await;
    cluster.wait_until_none_is_out().await;
    cluster
}

/// Guards against two proxies that drain where one may, whichever is asked when; against a permit that is lost with its
/// holder or with the leader; and against one that never ends.
#[test]
fn one_proxy_is_out_at_a_time_through_deaths_and_elections() {
    run_local(async {
        let mut cluster = start_cluster("outages-one", 4).await;
        let standing_by = cluster.ask_all_to_stand_by().await;
        assert_eq!(standing_by.len(), 1, "all asked at once");
        let out = standing_by[0];
        let next = (out + 1) % 4;
        let last = (out + 2) % 4;
        cluster.proxies[out].program = None;
        cluster.history.push(format!("p{out} killed while it stands by"));
        for keeper in 0..KEEPERS {
            let done = cluster.restart_keeper(keeper);
            cluster.history.push(done);
            cluster.call_until(next, "/standby", 409).await;
        }
        cluster.start_proxy(out);
        cluster.history.push(format!("p{out} started"));
        cluster.call_until(next, "/standby", 200).await;
        assert_eq!(call_status(cluster.operator_address(out), "/standby").await, Some(409));
        assert_eq!(call_status(cluster.operator_address(out), "/standby?force=1").await, Some(200));
        cluster.call_until(next, "/active", 200).await;
        let status = call_status(cluster.operator_address(last), "/standby").await;
        assert_eq!(status, Some(409), "force counts");
        cluster.call_until(out, "/active", 200).await;
        cluster.call_until(last, "/standby", 200).await;
    });
}

/// Guards against a release that goes on while a part of the fleet is hidden, and against permits given without a majority.
#[test]
fn hidden_proxies_count_as_out_and_a_minority_permits_nothing() {
    run_local(async {
        let mut cluster = start_cluster("outages-hidden", 3).await;
        cluster.proxies[0].cut_off();
        cluster.history.push("p0 hidden".into());
        cluster.wait_for_status("hidden", |status| status.contains("not heard of")).await;
        cluster.call_until(1, "/standby", 409).await;
        cluster.heal();
        cluster.wait_until_none_is_out().await;
        cluster.keepers[1..].iter_mut().for_each(|keeper| keeper.program = None);
        cluster.history.push("one keeper is left".into());
        let answer = call(cluster.operator_address(0), "/standby").await;
        let (status, text) = answer.expect("an answer");
        assert!(status == 503 || status == 409, "{status} {text}");
        assert_ne!(status, 200, "a minority permitted it: {text}");
    });
}

/// Guards against a yes while some proxy still sends to the member, against the last two of a group taken out through two
/// proxies, and against a member that is never used again.
#[test]
fn a_member_is_out_for_every_proxy_once_one_has_permitted_it() {
    run_local(async {
        let mut cluster = start_cluster("outages-member", 3).await;
        cluster.start_writers(1);
        cluster.start_readers(4);
        cluster.wait_until_served(1, 20).await;
        cluster.wait_until_served(2, 20).await;
        cluster.wait_until_primary_is_known().await;
        take_out_with_a_deaf_proxy(&mut cluster).await;
        let before = cluster.members[1].served.get();
        let status = call_status(cluster.operator_address(2), &enter_maintenance("m-3")).await;
        assert_eq!(status, Some(409), "the last replica");
        cluster.heal();
        cluster.history.push("p0 receives again".into());
        cluster.wait_until_settled().await;
        let others = cluster.members[2].served.get();
        cluster.wait_until_served(2, others + 100).await;
        // Attempts in flight when it was permitted may still have ended there.
        let after = cluster.members[1].served.get() - before;
        assert!(after <= 12, "{after} after it was permitted");
        cluster.call_until(1, "/maintenance/exit?name=m-2", 200).await;
        cluster.wait_until_served(1, before + 100).await;
        cluster.call_until(1, &enter_maintenance("m-3"), 200).await;
    });
}

/// Takes m-2 out while p0 receives nothing from the keepers: it is not permitted while p0 may still send there.
async fn take_out_with_a_deaf_proxy(cluster: &mut Cluster) {
    cluster.proxies[0].hold_replies();
    cluster.history.push("p0 receives nothing".into());
    let answer = call(cluster.operator_address(1), &enter_maintenance("m-2")).await;
    let (status, text) = answer.expect("an answer");
    if status == 200 {
        // p0 was removed from the fleet meanwhile, and serves no client any more.
        let fleet_status = cluster.status().await;
        assert!(!fleet_status.is_some_and(|status| status.contains("\"name\":\"p0\"")), "{text}");
    } else {
        assert!(status == 503 && text.contains("p0"), "{status} {text}");
    }
    cluster.call_until(1, &enter_maintenance("m-2"), 200).await;
}

/// Proxies ask to go, come back, are killed, suspended and cut off, by seed. It knows which were permitted to be out.
struct OutageSequence {
    seed: u64,
    random: fastrand::Rng,
    cluster: Cluster,
    out: BTreeSet<usize>,
}

impl OutageSequence {
    async fn play(seed: u64, steps: usize) {
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
            0..4 if !is_suspended => self.ask_to_stand_by(proxy).await,
            4 if !is_suspended => self.ask_to_come_back(proxy).await,
            5 if self.out.is_empty() => {
                // Started anew it serves: it is out only until the keepers receive from it.
                let done = self.cluster.restart_proxy(proxy);
                self.cluster.history.push(done);
            }
            6 => {
                let keeper = self.random.usize(0..KEEPERS);
                let done = self.cluster.restart_keeper(keeper);
                self.cluster.history.push(done);
            }
            7 => self.cut_link_for_a_while(proxy).await,
            _ => sleep(Duration::from_millis(self.random.u64(50..600))).await,
        }
    }

    async fn ask_to_stand_by(&mut self, proxy: usize) {
        let answer = call(self.cluster.operator_address(proxy), "/standby").await;
        self.cluster.history.push(format!("p{proxy} asks: {answer:?}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            self.out.insert(proxy);
        }
        let OutageSequence { seed, out, .. } = self;
        assert!(out.len() <= 1, "seed {seed}: {out:?} are out: {:#?}", self.cluster.history);
    }

    async fn ask_to_come_back(&mut self, proxy: usize) {
        if call_status(self.cluster.operator_address(proxy), "/active").await == Some(200) {
            self.cluster.history.push(format!("p{proxy} is back"));
            self.out.remove(&proxy);
        }
    }

    async fn cut_link_for_a_while(&mut self, proxy: usize) {
        let keeper = self.random.usize(0..KEEPERS);
        let is_held_to = self.random.bool();
        self.cluster.proxies[proxy].hold_link(keeper, is_held_to, true);
        self.cluster.history.push(format!("p{proxy} and k{keeper} cut"));
        sleep(Duration::from_millis(self.random.u64(100..2_500))).await;
        self.cluster.heal();
    }
}

/// Guards against more out at once than is allowed, and against permits that stay for ever, over sequences by seed.
#[test]
fn never_more_are_out_than_is_permitted() {
    let number = |variable: &str| std::env::var(variable).ok().and_then(|text| text.parse().ok());
    let sequences: u64 = number("LINENHILL_SEQUENCES").unwrap_or(1);
    let first_seed: u64 = number("LINENHILL_SEED").unwrap_or(1);
    let steps = if sequences > 1 { 40 } else { 16 };
    for seed in first_seed..first_seed + sequences {
        run_local(OutageSequence::play(seed, steps));
        println!("seed {seed}: never more than one");
    }
}
