//! Simulations of keepers with the real engine and store, and of proxies, in virtual time. Under any faults of the
//! network, the clocks, the disks and the processes, the units in use never exceed the total, and a fleet without
//! faults becomes stable.

mod budget;
mod histories;
mod keepers;

use linenhill_lab::simulation::{Simulation, SimulationConfig};

const SECOND_US: u64 = 1_000_000;

/// Starts a fleet with this demand per proxy and runs it until 3 s after all proxies got their first lease.
fn started_simulation(config: SimulationConfig, demand: u64) -> Simulation {
    let proxies = config.proxies;
    let mut simulation = Simulation::new(config);
    (0..proxies).for_each(|index| simulation.set_demand(index, demand));
    simulation
        .wait_for(60 * SECOND_US, Simulation::all_proxies_have_leases)
        .expect("every proxy gets a lease within 60 s");
    simulation.run_for(3 * SECOND_US);
    simulation
}

/// Fails the test with the seed and the history if the checker found a problem.
fn assert_total_kept(simulation: &Simulation) {
    simulation.check().unwrap_or_else(|failure| panic!("{failure}"));
}
