//! Several processes of the program that agree on who may be out: what operators hear, against who serves and whom members
//! hear from, seen from outside.

mod harness;
mod together;

use linenhill_standins::NetworkFaults;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use together::{KEEPERS, LONG, World, play};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const ONE: &str = "outages { proxies { count: 1 } members { count: 1 } members_least: 1 }\n";

/// One call at a proxy's door: the status and the text, if it answers.
async fn call(at: SocketAddr, line: &str) -> Option<(u16, String)> {
    let talk = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(format!("POST {line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await.ok()?;
        let mut got = String::new();
        stream.read_to_string(&mut got).await.ok()?;
        let status = got.split(' ').nth(1)?.parse().ok()?;
        Some((status, got.split_once("\r\n\r\n")?.1.to_string()))
    };
    timeout(Duration::from_secs(10), talk).await.ok()?
}

impl World {
    fn door(&self, i: usize) -> SocketAddr {
        self.proxies[i].program.as_ref().expect("a proxy").address("operators call at ")
    }

    /// Calls until the answer is this status.
    async fn called(&self, i: usize, line: &str, status: u16) {
        let mut last = None;
        let done = async {
            loop {
                last = call(self.door(i), line).await;
                if last.as_ref().is_some_and(|(got, _)| *got == status) {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        let done = timeout(LONG, done).await;
        done.unwrap_or_else(|_| panic!("{line} at p{i} never led to {status}: {last:?}, {:?}", self.history));
    }

    /// Waits until the leader says nobody is out.
    async fn all_in(&self) {
        let nobody = async {
            while self.status().await.is_none_or(|s| !s.contains("\"out\":[]")) {
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(LONG, nobody).await.unwrap_or_else(|_| panic!("somebody stays out: {:?}", self.history));
    }
}

// Guards against two proxies that drain where one may, whoever asks when; against a permit that is lost with its holder
// or with the leader; and against one that never ends.
#[test]
fn one_proxy_goes_at_a_time_through_deaths_and_elections() {
    play(async {
        let mut world = World::bounded("outages-one", 4, ONE, None).await;
        world.settled().await;
        world.all_in().await;
        let doors: Vec<SocketAddr> = (0..4).map(|i| world.door(i)).collect();
        let asked: Vec<_> = doors.iter().map(|at| tokio::task::spawn_local(call(*at, "/standby"))).collect();
        let mut gone = Vec::new();
        for (i, answer) in asked.into_iter().enumerate() {
            match answer.await.expect("done").expect("an answer") {
                (200, _) => gone.push(i),
                (409, text) => assert!(text.contains("out"), "it says who is out: {text}"),
                other => panic!("p{i}: {other:?}"),
            }
        }
        assert_eq!(gone.len(), 1, "all asked at once");
        let (out, other) = (gone[0], (gone[0] + 1) % 4);
        world.proxies[out].program = None;
        world.history.push(format!("p{out} killed while it stands by"));
        for k in 0..KEEPERS {
            world.keepers[k].program = None;
            world.start_keeper(k, false);
            world.history.push(format!("k{k} killed and started"));
            world.called(other, "/standby", 409).await;
        }
        world.start_proxy(out);
        world.history.push(format!("p{out} started"));
        world.called(other, "/standby", 200).await;
        assert_eq!(call(world.door(out), "/standby").await.map(|a| a.0), Some(409));
        assert_eq!(call(world.door(out), "/standby?force=1").await.map(|a| a.0), Some(200));
        world.called(other, "/active", 200).await;
        assert_eq!(call(world.door((out + 2) % 4), "/standby").await.map(|a| a.0), Some(409), "force counts");
        world.called(out, "/active", 200).await;
        world.called((out + 2) % 4, "/standby", 200).await;
    });
}

// Guards against a release that goes on while a part of the fleet is hidden, and against permits given without a majority.
#[test]
fn what_is_hidden_counts_as_out_and_a_minority_gives_no_leave() {
    play(async {
        let mut world = World::bounded("outages-hidden", 3, ONE, None).await;
        world.settled().await;
        world.all_in().await;
        for way in &world.proxies[0].ways {
            way.change_faults(NetworkFaults::hold_both);
        }
        world.history.push("p0 hidden".into());
        let hidden = async {
            while world.status().await.is_none_or(|s| !s.contains("not heard of")) {
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(LONG, hidden).await.expect("it counts as out");
        world.called(1, "/standby", 409).await;
        world.heal();
        world.all_in().await;
        for k in 1..KEEPERS {
            world.keepers[k].program = None;
        }
        world.history.push("one keeper is left".into());
        let (status, text) = call(world.door(0), "/standby").await.expect("an answer");
        assert!(status == 503 || status == 409, "{status} {text}");
        assert_ne!(status, 200, "a minority gave leave: {text}");
    });
}

// Guards against a yes while some proxy still sends to the member, against the last two of a group taken out through two
// proxies, and against a member that is never used again.
#[test]
fn a_member_is_out_for_every_proxy_once_anybody_hears_yes() {
    play(async {
        let mut world = World::bounded("outages-member", 3, ONE, None).await;
        world.settled().await;
        world.all_in().await;
        world.clients(1);
        world.readers(4);
        let served = |world: &World, i: usize| world.counted[i].served.get();
        let busy = async {
            while served(&world, 1) < 20 || served(&world, 2) < 20 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LONG, busy).await.expect("both replicas serve");
        let enter = |id: &str| format!("/maintenance/enter?name={id}");
        let primary = async {
            loop {
                let (status, text) = call(world.door(0), &enter("m-1")).await.expect("an answer");
                assert_eq!(status, 409, "the primary, or nobody knows who it is: {text}");
                if text.contains("hands over") {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(LONG, primary).await.expect("the primary is known");
        // A proxy that hears nothing of it: nobody hears yes while it may send.
        for way in &world.proxies[0].ways {
            way.change_faults(|faults| {
                *faults = NetworkFaults { holds_replies: true, ..NetworkFaults::NONE }
            });
        }
        world.history.push("p0 hears nothing".into());
        let (status, text) = call(world.door(1), &enter("m-2")).await.expect("an answer");
        if status == 200 {
            // It was let out of the fleet meanwhile, and serves nobody any more.
            assert!(!world.status().await.is_some_and(|s| s.contains("\"name\":\"p0\"")), "{text}");
        } else {
            assert!(status == 503 && text.contains("p0"), "{status} {text}");
        }
        world.called(1, &enter("m-2"), 200).await;
        let before = served(&world, 1);
        assert_eq!(call(world.door(2), &enter("m-3")).await.map(|a| a.0), Some(409), "the last replica");
        world.heal();
        world.history.push("p0 hears again".into());
        world.settled().await;
        let others = served(&world, 2);
        let goes_on = async {
            while served(&world, 2) < others + 100 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LONG, goes_on).await.expect("the others serve");
        // What was under way when yes was said may still have ended there.
        assert!(served(&world, 1) <= before + 12, "{} after yes", served(&world, 1) - before);
        world.called(1, "/maintenance/exit?name=m-2", 200).await;
        let back = async {
            while served(&world, 1) < before + 100 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LONG, back).await.expect("it serves again");
        world.called(1, &enter("m-3"), 200).await;
    });
}

/// A seeded sequence: proxies ask to go, come back, are killed, stopped and cut off. The checker knows to whom yes was said.
async fn sequence(seed: u64, steps: usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let label = format!("outages-{seed}");
    let mut world = World::bounded(&label, 4, ONE, None).await;
    world.settled().await;
    world.all_in().await;
    let mut gone: BTreeSet<usize> = BTreeSet::new();
    for _ in 0..steps {
        let i = rng.usize(0..4);
        match rng.u8(0..8) {
            0..4 if !world.proxies[i].stopped => {
                let answer = call(world.door(i), "/standby").await;
                world.history.push(format!("p{i} asks: {answer:?}"));
                if answer.is_some_and(|(status, _)| status == 200) {
                    gone.insert(i);
                }
                assert!(gone.len() <= 1, "seed {seed}: {gone:?} are out: {:#?}", world.history);
            }
            4 if !world.proxies[i].stopped => {
                if call(world.door(i), "/active").await.is_some_and(|(status, _)| status == 200) {
                    world.history.push(format!("p{i} is back"));
                    gone.remove(&i);
                }
            }
            5 if gone.is_empty() => {
                // Started anew it serves: it is out only until it is heard of.
                world.proxies[i].program = None;
                world.start_proxy(i);
                world.history.push(format!("p{i} killed and started"));
            }
            6 => {
                let k = rng.usize(0..KEEPERS);
                world.keepers[k].program = None;
                world.start_keeper(k, false);
                world.history.push(format!("k{k} killed and started"));
            }
            7 => {
                let (k, held) = (rng.usize(0..KEEPERS), rng.bool());
                world.proxies[i].ways[k].change_faults(|faults| faults.hold(held, true));
                world.history.push(format!("p{i} and k{k} cut"));
                sleep(Duration::from_millis(rng.u64(100..2_500))).await;
                world.heal();
            }
            _ => sleep(Duration::from_millis(rng.u64(50..600))).await,
        }
    }
    world.heal();
    for i in gone {
        world.called(i, "/active", 200).await;
    }
    world.all_in().await;
}

// Guards against more out at once than is allowed, and against permits that stay for ever, over sequences by seed.
#[test]
fn never_more_are_let_out_than_may_be() {
    let count = |name: &str| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let (many, from): (u64, u64) =
        (count("LINENHILL_SEQUENCES").unwrap_or(1), count("LINENHILL_SEED").unwrap_or(1));
    for seed in from..from + many {
        play(sequence(seed, if many > 1 { 40 } else { 16 }));
        println!("seed {seed}: never more than one");
    }
}
