//! Keepers with their engine and store, and proxies, under virtual time: whatever the network, the clocks, the disks and
//! the processes do, the units in use never exceed the total, and a fleet without faults comes to rest.

mod budget;
mod histories;
mod keepers;

use linenhill_lab::simulation::{Simulation, SimulationConfig};

const SECOND_US: u64 = 1_000_000;

/// A fleet with this demand of each proxy, three seconds after all of them had their first lease.
fn settled_simulation(config: SimulationConfig, demand: u64) -> Simulation {
    let proxies = config.proxies;
    let mut simulation = Simulation::new(config);
    (0..proxies).for_each(|index| simulation.set_demand(index, demand));
    simulation.wait_for(60 * SECOND_US, Simulation::is_settled).expect("every proxy gets a lease");
    simulation.run_for(3 * SECOND_US);
    simulation
}

/// Fails the test with the seed and the history if the checker found a problem.
fn assert_sound(simulation: &Simulation) {
    simulation.check().unwrap_or_else(|failure| panic!("{failure}"));
}
