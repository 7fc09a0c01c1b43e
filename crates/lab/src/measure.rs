//! How much of a whole is in use by a fleet that divides it by leases, beside one in which each proxy takes its n-th part;
//! and what agreeing costs. Both are played by the same demand, in one run.

use crate::together::{Plan, World};
use linenhill_cluster::raft_node::KeeperError;
use linenhill_decisions::membership::LeaseTerms;
use miniserde::Serialize;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
/// Shares are looked at so often.
const LOOK_EVERY: u64 = 50 * MS;

/// A division of demand and what became of it.
#[derive(Debug, Serialize)]
pub struct Division {
    /// What was played.
    pub case: String,
    /// The part of what could be in use that was, by leases.
    pub leases: f64,
    /// The same with an n-th part for each.
    pub parts: f64,
    /// Seconds until 90% of what can be in use was; none if it never was.
    pub within_s: Option<f64>,
    /// The most units in use at once, of the whole.
    pub most: u64,
    /// The whole.
    pub whole: u64,
}

/// What agreeing costs.
#[derive(Debug, Serialize)]
pub struct Cost {
    /// Proxies.
    pub proxies: u64,
    /// Seconds played.
    pub seconds: u64,
    /// The lease, in seconds.
    pub lease_s: f64,
    /// Messages a second between all instances.
    pub messages: f64,
    /// Bytes a second.
    pub bytes: f64,
    /// Grants a second.
    pub grants: f64,
    /// Real time of all keepers for a second played: above 1 they could not keep up on this machine.
    pub keepers_busy: f64,
    /// Real microseconds of all keepers for one grant.
    pub us_per_grant: f64,
    /// The part of the whole in use at the end.
    pub in_use: f64,
}

fn plan(seed: u64, proxies: usize, whole: u64) -> Plan {
    let terms = LeaseTerms { lease_us: 3 * SECOND, membership_us: 60 * SECOND, drift_ppm: 20_000 };
    Plan { whole, terms, use_every: 50 * MS, steady: true, ..Plan::small(seed, 3, proxies) }
}

/// A fleet that has come to rest under that demand.
fn rested(plan: Plan, wants: &dyn Fn(usize) -> u64) -> Result<World, KeeperError> {
    let proxies = plan.proxies;
    let mut world = World::new(plan)?;
    (0..proxies).for_each(|i| world.wants(i, wants(i)));
    world.wait(120 * SECOND, World::settled);
    world.until(world.now + 10 * SECOND);
    Ok(world)
}

/// Looks on for a while: the part of `can` in use on average, and when 90% of it was.
fn watch(world: &mut World, can: u64, seconds: u64) -> (f64, Option<f64>) {
    let (from, mut sum, mut looks, mut within) = (world.now, 0.0, 0.0, None);
    while world.now < from + seconds * SECOND {
        world.until(world.now + LOOK_EVERY);
        let part = world.in_use() as f64 / can.max(1) as f64;
        (sum, looks) = (sum + part, looks + 1.0);
        if within.is_none() && part >= 0.9 {
            within = Some((world.now - from) as f64 / SECOND as f64);
        }
    }
    (sum / looks, within)
}

/// What an n-th part for each would have in use, of what can be.
fn parts(whole: u64, can: u64, wants: impl Iterator<Item = u64>, proxies: usize) -> f64 {
    let part = whole / proxies as u64;
    wants.map(|w| w.min(part)).sum::<u64>() as f64 / can.max(1) as f64
}

/// The divisions that are measured: `proxies` proxies, ten units for each.
pub fn divisions(seed: u64, proxies: usize) -> Result<Vec<Division>, KeeperError> {
    let whole = 10 * proxies as u64;
    let mut done = Vec::new();
    let mut record = |case: &str, world: &mut World, wants: &dyn Fn(usize) -> u64, seconds| {
        let wanted: u64 = (0..proxies).map(wants).sum();
        // The floors of those that want nothing, or are dead and still have a seat, stay set aside.
        let floors = (0..proxies).filter(|i| wants(*i) == 0).count() as u64;
        let can = wanted.min(whole - floors);
        let (leases, within_s) = watch(world, can, seconds);
        let parts = parts(whole, can, (0..proxies).map(wants), proxies);
        let most = world.counts.most;
        done.push(Division { case: case.into(), leases, parts, within_s, most, whole });
    };
    // Everybody idle, then one has all demand; the others' floors stay set aside.
    let one = |i: usize| if i == 0 { whole } else { 0 };
    let mut world = rested(plan(seed, proxies, whole), &|_| 0)?;
    (0..proxies).for_each(|i| world.wants(i, one(i)));
    record("one proxy has all demand", &mut world, &one, 20);
    // Demand by Zipf's law, of one and a half times the whole.
    let weight = |i: usize| 1.0 / (i + 1) as f64;
    let all: f64 = (0..proxies).map(weight).sum();
    let skewed = |i: usize| (1.5 * whole as f64 * weight(i) / all).round() as u64;
    let mut world = rested(plan(seed + 1, proxies, whole), &skewed)?;
    record("skewed demand, 1.5 of the whole", &mut world, &skewed, 20);
    // Half of them die; the others could use all of it.
    let wants = |_: usize| 20;
    let mut world = rested(plan(seed + 2, proxies, whole), &wants)?;
    (0..proxies / 2).for_each(|i| world.kill_proxy(i));
    // What they had in use ends outside.
    world.until(world.now + 300 * MS);
    let left = |i: usize| if i < proxies / 2 { 0 } else { 20 };
    record("half die", &mut world, &left, 20);
    // The leader dies.
    let mut world = rested(plan(seed + 3, proxies, whole), &wants)?;
    if let Some(leader) = world.leader() {
        world.kill_keeper(leader);
    }
    record("the leader dies", &mut world, &wants, 20);
    Ok(done)
}

/// What agreeing costs a fleet of so many proxies.
pub fn cost(seed: u64, proxies: usize, seconds: u64, lease_s: u64) -> Result<Cost, KeeperError> {
    let mut plan = plan(seed, proxies, 10 * proxies as u64);
    plan.terms.lease_us = lease_s * SECOND;
    plan.use_every = SECOND;
    let whole = plan.whole;
    let mut world = rested(plan, &|i| 5 + (i % 10) as u64)?;
    let before = world.counts;
    world.until(world.now + seconds * SECOND);
    let after = world.counts;
    let rate = |from: u64, to: u64| (to - from) as f64 / seconds as f64;
    let busy = (after.keepers_ns - before.keepers_ns) as f64 / 1e9;
    Ok(Cost {
        proxies: proxies as u64,
        seconds,
        lease_s: lease_s as f64,
        messages: rate(before.messages, after.messages),
        bytes: rate(before.bytes, after.bytes),
        grants: rate(before.grants, after.grants),
        keepers_busy: busy / seconds as f64,
        us_per_grant: busy * 1e6 / (after.grants - before.grants).max(1) as f64,
        in_use: world.in_use() as f64 / whole as f64,
    })
}
