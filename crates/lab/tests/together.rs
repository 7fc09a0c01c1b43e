//! Keepers with their engine and store, and proxies, under virtual time: whatever the network, the clocks, the disks and
//! the processes do, the units in use never sum to more than the whole, and a fleet that is well again comes to rest.

use linenhill_cluster::raft_node::KeeperError;
use linenhill_decisions::membership::LeaseTerms;
use linenhill_lab::disk::Wrong;
use linenhill_lab::together::{Plan, World};

const SECOND: u64 = 1_000_000;

/// One short history: what was most in use, or what was broken.
fn history(seed: u64, faults: usize) -> Result<u64, String> {
    played(seed, faults, |plan| plan)
}

fn played(seed: u64, faults: usize, change: impl Fn(Plan) -> Plan) -> Result<u64, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (keepers, proxies) = ([1, 3, 3, 5][rng.usize(0..4)], rng.usize(2..5));
    let mut world = World::new(change(Plan::small(seed, keepers, proxies))).map_err(|e| e.to_string())?;
    (0..proxies).for_each(|i| world.wants(i, rng.u64(1..8)));
    if world.wait(60 * SECOND, World::settled).is_none() {
        return Err(world.story("it never began"));
    }
    for _ in 0..faults {
        world.fault();
        world.check()?;
    }
    world.heal();
    if world.wait(120 * SECOND, World::settled).is_none() {
        return Err(world.story("it never came to rest"));
    }
    world.check().map(|()| world.counts.most)
}

// Guards against more than the whole in use after any sequence of faults, and against a fleet that does not recover.
#[test]
fn short_histories_keep_the_sum_and_come_to_rest() {
    let many = std::env::var("LINENHILL_HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(40);
    let workers = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) as u64;
    let most = std::thread::scope(|scope| {
        let work =
            |w: u64| move || (1 + w..=many).step_by(workers as usize).map(|s| history(s, 12)).collect();
        let played: Vec<_> = (0..workers).map(|w| scope.spawn(work(w))).collect();
        let done =
            played.into_iter().flat_map(|p| -> Vec<Result<u64, String>> { p.join().expect("a thread") });
        done.map(|result| result.unwrap_or_else(|e| panic!("{e}"))).max()
    });
    assert_eq!(most, Some(6), "over {many} histories the whole was never in use");
}

// Guards against a history that can't be played again by its seed.
#[test]
fn a_seed_plays_the_same_history_twice() {
    let play = || {
        let mut world = World::new(Plan::small(7, 3, 3)).expect("a world");
        (0..3).for_each(|i| world.wants(i, 4));
        (0..10).for_each(|_| world.fault());
        (world.counts.messages, world.counts.bytes, world.counts.grants, world.now)
    };
    assert_eq!(play(), play());
}

// Guards against a checker that can't fail.
#[cfg(feature = "fault-injection")]
#[test]
fn each_planted_fault_is_caught() {
    use linenhill_decisions::fault_injection::{Fault, inject};
    // Clocks far apart, and units that end soon: an overlap of leases shows. The sound program bears it.
    let harsh = |mut plan: Plan| {
        (plan.terms.drift_ppm, plan.outlives) = (200_000, 50_000);
        plan
    };
    for (fault, name) in Fault::QUOTA {
        inject(Some(fault));
        let broken = |e: &String| e.contains(" in use at ");
        let seeds = || 1..400;
        let found = seeds().find_map(|seed| history(seed, 12).err().filter(broken));
        let found = found.or_else(|| seeds().find_map(|seed| played(seed, 12, harsh).err().filter(broken)));
        inject(None);
        println!("{name}: {}", found.as_deref().unwrap_or("not caught").lines().next().unwrap_or_default());
        assert!(found.is_some(), "{name} was not caught");
    }
    (1..100).for_each(|seed| _ = played(seed, 12, harsh).unwrap_or_else(|e| panic!("not planted: {e}")));
}

fn rested(plan: Plan, wants: impl Fn(usize) -> u64) -> World {
    let proxies = plan.proxies;
    let mut world = World::new(plan).expect("a world");
    (0..proxies).for_each(|i| world.wants(i, wants(i)));
    world.wait(60 * SECOND, World::settled).expect("it begins");
    world.until(world.now + 3 * SECOND);
    world
}

// Guards against a lowered budget of which more than the old whole is in use on the way, more than the new one at the
// end; and against an older file that a later leader has, which would raise it again.
#[test]
fn a_lowered_whole_holds_and_an_older_file_changes_nothing() {
    let mut world = rested(Plan::small(3, 3, 3), |_| 6);
    assert_eq!(world.counts.most, 6);
    world.declare(2);
    world.until(world.now + 5 * SECOND);
    world.check().unwrap_or_else(|e| panic!("{e}"));
    world.bound = 2;
    for _ in 0..2 {
        let leader = world.leader().expect("a leader");
        world.kill_keeper(leader);
        world.start_keeper(leader);
        world.until(world.now + 5 * SECOND);
    }
    world.check().unwrap_or_else(|e| panic!("{e}"));
}

// Guards against a keeper that votes on after its disk failed, and against a fleet that its end stops.
#[test]
fn a_keeper_whose_disk_fails_ends_and_the_others_go_on() {
    for wrong in [Wrong::Full, Wrong::Sync] {
        let mut world = rested(Plan::small(5, 3, 3), |_| 4);
        let leader = world.leader().expect("a leader");
        world.disk(leader, wrong);
        world.wait(10 * SECOND, |w| !w.runs(leader)).expect("it ends");
        world.wait(30 * SECOND, |w| w.leader().is_some_and(|l| l != leader)).expect("another one leads");
        world.wait(30 * SECOND, World::settled).expect("leases are renewed");
        world.disk(leader, Wrong::Nothing);
        world.start_keeper(leader);
        world.until(world.now + 5 * SECOND);
        assert!(world.runs(leader), "its disk is well again, {wrong:?}");
        world.check().unwrap_or_else(|e| panic!("{e}"));
    }
}

// Guards against a leader killed between writing an entry and telling of it, whose grants the next one must count.
#[test]
fn a_leader_killed_before_it_tells_is_counted_by_the_next() {
    for seed in 1..20 {
        let mut world = rested(Plan::small(seed, 3, 4), |_| 6);
        for _ in 0..6 {
            let leader = world.leader().expect("a leader");
            // What it says to proxies is lost from here on, what it says to keepers is not.
            world.silence(leader);
            world.until(world.now + 400_000);
            world.kill_keeper(leader);
            world.start_keeper(leader);
            world.wait(30 * SECOND, |w| w.leader().is_some()).expect("a leader");
            world.heal();
            world.until(world.now + SECOND);
            world.check().unwrap_or_else(|e| panic!("{e}"));
        }
    }
}

// Guards against a hundred proxies that come in one second, of which nobody gets anything or all get too much; and against
// the part of nine in ten that die at once staying unused.
#[test]
fn a_hundred_come_at_once_and_nine_in_ten_die_at_once() {
    let plan = Plan { whole: 200, floor: 1, ..Plan::small(9, 3, 100) };
    let mut world = rested(plan, |_| 5);
    assert!(world.counts.most > 150, "{} of 200 were in use", world.counts.most);
    (0..90).for_each(|i| world.kill_proxy(i));
    (90..100).for_each(|i| world.wants(i, 20));
    // Their leases, what outlives them, and two seconds; their floors stay set aside for as long as they have seats.
    world.until(world.now + 4 * SECOND);
    assert!(world.in_use() >= 90, "{} of 200 in use", world.in_use());
    world.until(world.now + 4 * SECOND);
    assert!(world.in_use() >= 180, "{} of 200 in use", world.in_use());
    world.check().unwrap_or_else(|e| panic!("{e}"));
}

// Guards against a store that can't be opened being taken for an empty one.
#[test]
fn a_keeper_of_another_state_does_not_start() {
    let terms = LeaseTerms { lease_us: SECOND, membership_us: 4 * SECOND, drift_ppm: 50_000 };
    let plan = Plan { terms, ..Plan::small(1, 3, 1) };
    let made: Result<World, KeeperError> = World::new(plan);
    let mut world = made.expect("a world");
    world.until(2 * SECOND);
    world.kill_keeper(2);
    world.disk(2, Wrong::Full);
    world.start_keeper(2);
    world.until(world.now + 2 * SECOND);
    assert!(!world.runs(2), "it votes on a disk that takes nothing");
}
