//! What leases give and cost, under virtual time: how much of a budget is in use by leases, beside a fleet in which each
//! proxy has an equal part for good; and what agreeing on leases takes. The figures must depend on the seed alone, but
//! for those of real time.

use crate::simulation::{Simulation, SimulationConfig};
use linenhill_decisions::membership::LeaseTerms;
use miniserde::Serialize;

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLISECOND_US;
/// How often the units in use are sampled.
const SAMPLE_INTERVAL_US: u64 = 50 * MILLISECOND_US;
/// For how long each case is watched.
const CASE_DURATION_US: u64 = 20 * SECOND_US;
/// A fleet that holds no leases after this does not start at all.
const START_TIMEOUT_US: u64 = 120 * SECOND_US;
/// From the first leases until the division has come to rest.
const SETTLING_US: u64 = 10 * SECOND_US;
/// The part of what can be in use from which on a division counts as reached.
const REACHED_PART: f64 = 0.9;
const KEEPERS: usize = 3;
/// Units of the budget for each proxy.
const UNITS_PER_PROXY: u64 = 10;
/// What each proxy wants where all want the same: twice an equal part.
const EVEN_DEMAND: u64 = 2 * UNITS_PER_PROXY;
/// Demand of all proxies in the skewed case, beside the budget.
const SKEWED_DEMAND: f64 = 1.5;

/// A case of demand and what became of it. The serialized names are those of earlier versions.
#[derive(Debug, Serialize)]
pub struct Division {
    /// What was played.
    pub case: String,
    /// The part of what could be in use that was, by leases, on average.
    #[serde(rename = "leases")]
    pub leased_part: f64,
    /// The same with an equal part of the budget for each proxy.
    #[serde(rename = "parts")]
    pub equal_split_part: f64,
    /// Seconds until 90% of what can be in use was; none if it never was.
    #[serde(rename = "within_s")]
    pub reached_after_s: Option<f64>,
    /// The most units in use at once.
    #[serde(rename = "most")]
    pub peak_in_use: u64,
    /// Units of the budget.
    #[serde(rename = "whole")]
    pub total: u64,
}

/// What agreeing on leases costs. Rates are per second of virtual time.
#[derive(Debug, Serialize)]
pub struct Cost {
    /// Number of proxies.
    pub proxies: u64,
    /// Virtual seconds that were played.
    pub seconds: u64,
    /// The lease, in seconds.
    pub lease_s: f64,
    /// Messages a second between all instances.
    pub messages: f64,
    /// Bytes a second.
    pub bytes: f64,
    /// Grants a second.
    pub grants: f64,
    /// Real seconds that all keepers worked for a virtual second: above 1 they could not keep up on this machine.
    pub keepers_busy: f64,
    /// Real microseconds that all keepers worked for one grant.
    pub us_per_grant: f64,
    /// The part of the budget in use at the end.
    #[serde(rename = "in_use")]
    pub in_use_part: f64,
}

fn measured_fleet(seed: u64, proxies: usize) -> SimulationConfig {
    SimulationConfig {
        total: UNITS_PER_PROXY * proxies as u64,
        terms: LeaseTerms { lease_us: 3 * SECOND_US, membership_us: 60 * SECOND_US, drift_ppm: 20_000 },
        use_interval_us: 50 * MILLISECOND_US,
        holds_units: true,
        ..SimulationConfig::small(seed, KEEPERS, proxies)
    }
}

/// Starts a fleet with this demand of each proxy, and plays until its division has come to rest.
fn settled_simulation(config: SimulationConfig, demand: &[u64]) -> Simulation {
    let mut simulation = Simulation::new(config);
    set_demands(&mut simulation, demand);
    simulation.wait_for(START_TIMEOUT_US, Simulation::is_settled);
    simulation.run_for(SETTLING_US);
    simulation
}

fn set_demands(simulation: &mut Simulation, demand: &[u64]) {
    demand.iter().enumerate().for_each(|(proxy, units)| simulation.set_demand(proxy, *units));
}

/// Plays a case of this demand and measures how much of what can be in use is.
fn measure_division(case: &str, simulation: &mut Simulation, demand: &[u64]) -> Division {
    let total = UNITS_PER_PROXY * demand.len() as u64;
    // The floor of a proxy without demand, or of a dead one that is a member still, stays set aside.
    let idle_floors = demand.iter().filter(|units| **units == 0).count() as u64;
    let usable = demand.iter().sum::<u64>().min(total - idle_floors);
    let (leased_part, reached_after_s) = sample_use(simulation, usable);
    Division {
        case: case.into(),
        leased_part,
        equal_split_part: equal_split_part(total, usable, demand),
        reached_after_s,
        peak_in_use: simulation.peak_in_use(),
        total,
    }
}

/// Plays the case, and returns the part of `usable` that was in use on average, and the seconds until 90% of it was.
fn sample_use(simulation: &mut Simulation, usable: u64) -> (f64, Option<f64>) {
    let start_us = simulation.now_us();
    let mut sum = 0.0;
    let mut samples = 0.0;
    let mut reached_after_s = None;
    while simulation.now_us() < start_us + CASE_DURATION_US {
        simulation.run_for(SAMPLE_INTERVAL_US);
        let part = simulation.in_use() as f64 / usable.max(1) as f64;
        sum += part;
        samples += 1.0;
        if reached_after_s.is_none() && part >= REACHED_PART {
            reached_after_s = Some((simulation.now_us() - start_us) as f64 / SECOND_US as f64);
        }
    }
    (sum / samples, reached_after_s)
}

/// The part of `usable` that would be in use if each proxy had an equal part of the total.
fn equal_split_part(total: u64, usable: u64, demand: &[u64]) -> f64 {
    let each = total / demand.len() as u64;
    let in_use: u64 = demand.iter().map(|units| (*units).min(each)).sum();
    in_use as f64 / usable.max(1) as f64
}

/// Measures four cases with fleets of `proxies` proxies, two at least, and a budget of ten units for each.
pub fn measure_divisions(seed: u64, proxies: usize) -> Vec<Division> {
    vec![
        one_proxy_has_all_demand(seed, proxies),
        skewed_demand(seed + 1, proxies),
        half_die(seed + 2, proxies),
        leader_dies(seed + 3, proxies),
    ]
}

/// All proxies are idle, then one has all demand.
fn one_proxy_has_all_demand(seed: u64, proxies: usize) -> Division {
    let mut demand = vec![0; proxies];
    let mut simulation = settled_simulation(measured_fleet(seed, proxies), &demand);
    demand[0] = UNITS_PER_PROXY * proxies as u64;
    set_demands(&mut simulation, &demand);
    measure_division("one proxy has all demand", &mut simulation, &demand)
}

/// Demand by Zipf's law, of one and a half times the budget.
fn skewed_demand(seed: u64, proxies: usize) -> Division {
    let config = measured_fleet(seed, proxies);
    let total_demand = SKEWED_DEMAND * config.total as f64;
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    let weights: f64 = (0..proxies).map(weight).sum();
    let units = |index: usize| (total_demand * weight(index) / weights).round() as u64;
    let demand: Vec<u64> = (0..proxies).map(units).collect();
    let mut simulation = settled_simulation(config, &demand);
    measure_division("skewed demand, 1.5 of the whole", &mut simulation, &demand)
}

/// The first half of the proxies die; the others could use the whole budget.
fn half_die(seed: u64, proxies: usize) -> Division {
    let config = measured_fleet(seed, proxies);
    let outlives_us = config.outlives_us;
    let mut demand = vec![EVEN_DEMAND; proxies];
    let mut simulation = settled_simulation(config, &demand);
    for (index, units) in demand.iter_mut().enumerate().take(proxies / 2) {
        simulation.kill_proxy(index);
        *units = 0;
    }
    // Until what the dead had in use has ended.
    simulation.run_for(outlives_us);
    measure_division("half die", &mut simulation, &demand)
}

/// The leader dies.
fn leader_dies(seed: u64, proxies: usize) -> Division {
    let demand = vec![EVEN_DEMAND; proxies];
    let mut simulation = settled_simulation(measured_fleet(seed, proxies), &demand);
    if let Some(leader) = simulation.leader() {
        simulation.kill_keeper(leader);
    }
    measure_division("the leader dies", &mut simulation, &demand)
}

/// Measures what agreeing costs a fleet of `proxies` proxies, one at least, with leases of `lease_s` seconds, over
/// `seconds` seconds of virtual time.
pub fn measure_cost(seed: u64, proxies: usize, seconds: u64, lease_s: u64) -> Cost {
    let mut config = measured_fleet(seed, proxies);
    config.terms.lease_us = lease_s * SECOND_US;
    config.use_interval_us = SECOND_US;
    let total = config.total;
    let demand: Vec<u64> = (0..proxies as u64).map(|index| 5 + index % 10).collect();
    let mut simulation = settled_simulation(config, &demand);
    let before = simulation.traffic();
    simulation.run_for(seconds * SECOND_US);
    let after = simulation.traffic();
    let grants = after.grants - before.grants;
    let rate = |count: u64| count as f64 / seconds as f64;
    let busy_s = (after.keepers_ns - before.keepers_ns) as f64 / 1e9;
    Cost {
        proxies: proxies as u64,
        seconds,
        lease_s: lease_s as f64,
        messages: rate(after.messages - before.messages),
        bytes: rate(after.bytes - before.bytes),
        grants: rate(grants),
        keepers_busy: busy_s / seconds as f64,
        us_per_grant: busy_s * 1e6 / grants.max(1) as f64,
        in_use_part: simulation.in_use() as f64 / total as f64,
    }
}
