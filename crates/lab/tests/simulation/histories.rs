//! Random sequences of faults.

use crate::SECOND_US;
use linenhill_lab::simulation::{Problem, Simulation, SimulationConfig, SimulationFailure};

/// Number of histories unless `LINENHILL_HISTORIES` is set.
const DEFAULT_HISTORIES: u64 = 40;
/// Faults per history.
const FAULTS: usize = 12;
const START_TIMEOUT_US: u64 = 60 * SECOND_US;
const RECOVERY_TIMEOUT_US: u64 = 120 * SECOND_US;

/// Runs a short history and returns the maximum number of units in use.
fn run_history(
    seed: u64, configure: impl Fn(SimulationConfig) -> SimulationConfig,
) -> Result<u64, SimulationFailure> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let keepers = [1, 3, 3, 5][rng.usize(0..4)];
    let proxies = rng.usize(2..5);
    let mut simulation = Simulation::new(configure(SimulationConfig::small(seed, keepers, proxies)));
    (0..proxies).for_each(|index| simulation.set_demand(index, rng.u64(1..8)));
    if simulation.wait_for(START_TIMEOUT_US, Simulation::all_proxies_have_leases).is_none() {
        return Err(simulation.failure(Problem::NotStarted { within_us: START_TIMEOUT_US }));
    }
    for _ in 0..FAULTS {
        simulation.inject_random_fault();
        simulation.check()?;
    }
    simulation.heal();
    if simulation.wait_for(RECOVERY_TIMEOUT_US, Simulation::all_proxies_have_leases).is_none() {
        return Err(simulation.failure(Problem::NotRecovered { within_us: RECOVERY_TIMEOUT_US }));
    }
    simulation.check()?;
    Ok(simulation.peak_in_use())
}

fn run_small_history(seed: u64) -> Result<u64, SimulationFailure> {
    run_history(seed, |config| config)
}

// Guards against more units in use than the total after any sequence of faults, and against a fleet that does not
// recover.
#[test]
fn short_histories_keep_the_total_and_recover() {
    let histories = std::env::var("LINENHILL_HISTORIES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_HISTORIES);
    let workers = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let peak = std::thread::scope(|scope| {
        let started_workers: Vec<_> = (1..=workers as u64)
            .map(|first_seed| {
                let seeds = (first_seed..=histories).step_by(workers);
                scope.spawn(move || seeds.map(run_small_history).collect::<Vec<_>>())
            })
            .collect();
        let results =
            started_workers.into_iter().flat_map(|worker| worker.join().expect("a worker panicked"));
        results.map(|result| result.unwrap_or_else(|failure| panic!("{failure}"))).max()
    });
    assert_eq!(peak, Some(6), "maximum number of units in use over {histories} histories");
}

// Guards against a history that its seed does not reproduce.
#[test]
fn a_seed_plays_the_same_history_twice() {
    let run_history = || {
        let mut simulation = Simulation::new(SimulationConfig::small(7, 3, 3));
        (0..3).for_each(|index| simulation.set_demand(index, 4));
        (0..10).for_each(|_| simulation.inject_random_fault());
        let traffic = simulation.traffic();
        (traffic.messages, traffic.bytes, traffic.grants, simulation.now_us())
    };
    assert_eq!(run_history(), run_history());
}

/// Clocks with a large drift and units that end soon, so that overlapping leases are detected. Without an injected
/// fault the total still holds.
#[cfg(feature = "fault-injection")]
fn with_large_drift(mut config: SimulationConfig) -> SimulationConfig {
    config.terms.drift_ppm = 200_000;
    config.outlives_us = 50_000;
    config
}

/// Returns the first history in which more units than the total were in use, if any.
#[cfg(feature = "fault-injection")]
fn find_exceeded_total() -> Option<SimulationFailure> {
    let is_exceeded = |failure: &SimulationFailure| matches!(failure.problem, Problem::TotalExceeded { .. });
    let found = (1..400).find_map(|seed| run_small_history(seed).err().filter(is_exceeded));
    found.or_else(|| (1..400).find_map(|seed| run_history(seed, with_large_drift).err().filter(is_exceeded)))
}

// Guards against a checker that detects no faults.
#[cfg(feature = "fault-injection")]
#[test]
fn each_planted_fault_is_caught() {
    use linenhill_decisions::fault_injection::{Fault, inject};
    for (fault, name) in Fault::QUOTA {
        inject(Some(fault));
        let found = find_exceeded_total();
        inject(None);
        match found {
            Some(SimulationFailure { seed, problem, .. }) => println!("{name}: seed {seed}: {problem}"),
            None => panic!("injected fault {name} was not detected"),
        }
    }
    for seed in 1..100 {
        run_history(seed, with_large_drift)
            .unwrap_or_else(|failure| panic!("without an injected fault: {failure}"));
    }
}
