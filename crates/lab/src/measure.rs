//! Measures in virtual time how much of a budget is in use when leases divide it, compared with an equal split among
//! the proxies, and how many messages and how much CPU time leases cost. All figures except those of wall-clock time
//! must depend on the seed alone.

use crate::simulation::{Simulation, SimulationConfig};
use linenhill_decisions::membership::LeaseTerms;
use miniserde::Serialize;

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLISECOND_US;
/// Interval between samples of the units in use.
const SAMPLE_INTERVAL_US: u64 = 50 * MILLISECOND_US;
/// Duration over which each case is sampled.
const CASE_DURATION_US: u64 = 20 * SECOND_US;
/// Timeout for every proxy's first lease. The measurement continues after it in any case.
const START_TIMEOUT_US: u64 = 120 * SECOND_US;
/// Time from the first leases until the division of the budget is stable.
const STABILISATION_US: u64 = 10 * SECOND_US;
/// A division counts as reached once this fraction of the usable units is in use.
const REACHED_USABLE_FRACTION: f64 = 0.9;
const KEEPERS: usize = 3;
/// Units of the budget per proxy.
const UNITS_PER_PROXY: u64 = 10;
/// Demand per proxy when all have the same: twice the equal share.
const EVEN_DEMAND: u64 = 2 * UNITS_PER_PROXY;
/// Total demand in the skewed case, as a multiple of the budget.
const SKEWED_DEMAND: f64 = 1.5;

/// Result of one case. The serialised names are those of earlier versions.
#[derive(Debug, Serialize)]
pub struct Division {
    /// Description of the case.
    pub case: String,
    /// Average fraction of the usable units in use when leases divide the budget, from 0 to 1.
    #[serde(rename = "leases")]
    pub leased_fraction: f64,
    /// Fraction of the usable units that would be in use with an equal split, from 0 to 1.
    #[serde(rename = "parts")]
    pub equal_split_fraction: f64,
    /// Seconds until 90% of the usable units were in use; `None` if that was not reached.
    #[serde(rename = "within_s")]
    pub reached_after_s: Option<f64>,
    /// Maximum number of units in use at the same time, since the start of the simulation.
    #[serde(rename = "most")]
    pub peak_in_use: u64,
    /// Total units of the budget.
    #[serde(rename = "whole")]
    pub total: u64,
}

/// Cost of leases. Rates are per second of virtual time.
#[derive(Debug, Serialize)]
pub struct Cost {
    /// Number of proxies.
    pub proxies: u64,
    /// Measured duration in virtual seconds.
    pub seconds: u64,
    /// Lease duration in seconds.
    pub lease_s: f64,
    /// Messages per second between all instances.
    pub messages: f64,
    /// Bytes of these messages per second.
    pub bytes: f64,
    /// Lease grants per second.
    pub grants: f64,
    /// Wall-clock seconds of work by all keepers per virtual second. Above 1, this machine could not run them in real
    /// time.
    pub keepers_busy: f64,
    /// Wall-clock microseconds of work by all keepers per grant.
    pub us_per_grant: f64,
    /// Fraction of the budget in use at the end, from 0 to 1.
    #[serde(rename = "in_use")]
    pub in_use_fraction: f64,
}

fn fleet_config(seed: u64, proxies: usize) -> SimulationConfig {
    SimulationConfig {
        total: UNITS_PER_PROXY * proxies as u64,
        terms: LeaseTerms { lease_us: 3 * SECOND_US, membership_us: 60 * SECOND_US, drift_ppm: 20_000 },
        use_interval_us: 50 * MILLISECOND_US,
        holds_units: true,
        ..SimulationConfig::small(seed, KEEPERS, proxies)
    }
}

/// Starts a fleet with this demand per proxy and runs it until the division of the budget is stable.
fn stable_simulation(config: SimulationConfig, demand: &[u64]) -> Simulation {
    let mut simulation = Simulation::new(config);
    set_demands(&mut simulation, demand);
    simulation.wait_for(START_TIMEOUT_US, Simulation::all_proxies_have_leases);
    simulation.run_for(STABILISATION_US);
    simulation
}

fn set_demands(simulation: &mut Simulation, demand: &[u64]) {
    demand.iter().enumerate().for_each(|(proxy, units)| simulation.set_demand(proxy, *units));
}

/// Runs a case and measures which fraction of the usable units is in use.
fn measure_division(case: &str, simulation: &mut Simulation, demand: &[u64]) -> Division {
    let total = UNITS_PER_PROXY * demand.len() as u64;
    // The floor of a proxy without demand stays reserved, also that of a killed proxy whose membership has not
    // expired.
    let idle_floors = demand.iter().filter(|units| **units == 0).count() as u64;
    let usable = demand.iter().sum::<u64>().min(total - idle_floors);
    let (leased_fraction, reached_after_s) = sample_use(simulation, usable);
    Division {
        case: case.into(),
        leased_fraction,
        equal_split_fraction: equal_split_fraction(total, usable, demand),
        reached_after_s,
        peak_in_use: simulation.peak_in_use(),
        total,
    }
}

/// Runs the case. Returns the average fraction of `usable` in use, and the seconds until 90% of it was in use.
fn sample_use(simulation: &mut Simulation, usable: u64) -> (f64, Option<f64>) {
    let start_us = simulation.now_us();
    let mut sum = 0.0;
    let mut samples = 0.0;
    let mut reached_after_s = None;
    while simulation.now_us() < start_us + CASE_DURATION_US {
        simulation.run_for(SAMPLE_INTERVAL_US);
        let fraction = simulation.in_use() as f64 / usable.max(1) as f64;
        sum += fraction;
        samples += 1.0;
        if reached_after_s.is_none() && fraction >= REACHED_USABLE_FRACTION {
            reached_after_s = Some((simulation.now_us() - start_us) as f64 / SECOND_US as f64);
        }
    }
    (sum / samples, reached_after_s)
}

/// Returns the fraction of `usable` that would be in use with an equal split of the total.
fn equal_split_fraction(total: u64, usable: u64, demand: &[u64]) -> f64 {
    let equal_share = total / demand.len() as u64;
    let in_use: u64 = demand.iter().map(|units| (*units).min(equal_share)).sum();
    in_use as f64 / usable.max(1) as f64
}

/// Measures four cases, each with at least two proxies and a budget of ten units per proxy.
pub fn measure_divisions(seed: u64, proxies: usize) -> Vec<Division> {
    vec![
        one_proxy_has_all_demand(seed, proxies),
        skewed_demand(seed + 1, proxies),
        half_of_proxies_killed(seed + 2, proxies),
        leader_killed(seed + 3, proxies),
    ]
}

/// All proxies are idle, then all demand arises at one of them.
fn one_proxy_has_all_demand(seed: u64, proxies: usize) -> Division {
    let mut demand = vec![0; proxies];
    let mut simulation = stable_simulation(fleet_config(seed, proxies), &demand);
    demand[0] = UNITS_PER_PROXY * proxies as u64;
    set_demands(&mut simulation, &demand);
    measure_division("one proxy has all demand", &mut simulation, &demand)
}

/// Demand follows Zipf's law and totals 1.5 times the budget.
fn skewed_demand(seed: u64, proxies: usize) -> Division {
    let config = fleet_config(seed, proxies);
    let total_demand = SKEWED_DEMAND * config.total as f64;
    let weight = |index: usize| 1.0 / (index + 1) as f64;
    let weights: f64 = (0..proxies).map(weight).sum();
    let units = |index: usize| (total_demand * weight(index) / weights).round() as u64;
    let demand: Vec<u64> = (0..proxies).map(units).collect();
    let mut simulation = stable_simulation(config, &demand);
    measure_division("skewed demand, 1.5 of the whole", &mut simulation, &demand)
}

/// Half of the proxies are killed; the others have demand for the full budget.
fn half_of_proxies_killed(seed: u64, proxies: usize) -> Division {
    let config = fleet_config(seed, proxies);
    let outlives_us = config.outlives_us;
    let mut demand = vec![EVEN_DEMAND; proxies];
    let mut simulation = stable_simulation(config, &demand);
    for (index, units) in demand.iter_mut().enumerate().take(proxies / 2) {
        simulation.kill_proxy(index);
        *units = 0;
    }
    // Waits for the end of the units that the killed proxies had in use.
    simulation.run_for(outlives_us);
    measure_division("half die", &mut simulation, &demand)
}

/// The leader of the keepers is killed.
fn leader_killed(seed: u64, proxies: usize) -> Division {
    let demand = vec![EVEN_DEMAND; proxies];
    let mut simulation = stable_simulation(fleet_config(seed, proxies), &demand);
    if let Some(leader) = simulation.leader() {
        simulation.kill_keeper(leader);
    }
    measure_division("the leader dies", &mut simulation, &demand)
}

/// Measures the cost of leases of `lease_s` seconds for a fleet of at least one proxy, over `seconds` of virtual
/// time.
pub fn measure_cost(seed: u64, proxies: usize, seconds: u64, lease_s: u64) -> Cost {
    let mut config = fleet_config(seed, proxies);
    config.terms.lease_us = lease_s * SECOND_US;
    config.use_interval_us = SECOND_US;
    let total = config.total;
    let demand: Vec<u64> = (0..proxies as u64).map(|index| 5 + index % 10).collect();
    let mut simulation = stable_simulation(config, &demand);
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
        in_use_fraction: simulation.in_use() as f64 / total as f64,
    }
}
