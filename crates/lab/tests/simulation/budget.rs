//! Changes of a budget's total, and of the number of proxies.

use crate::{SECOND_US, assert_total_kept, started_simulation};
use linenhill_lab::simulation::SimulationConfig;

// Guards against more than the old total in use while a total is lowered, against more than the new one afterwards,
// and against a later leader with an older operators' file that would raise it again.
#[test]
fn a_lowered_total_holds_and_an_older_file_changes_nothing() {
    let mut simulation = started_simulation(SimulationConfig::small(3, 3, 3), 6);
    assert_eq!(simulation.peak_in_use(), 6);
    simulation.declare_total(2);
    simulation.run_for(5 * SECOND_US);
    assert_total_kept(&simulation);
    simulation.set_max_units_in_use(2);
    for _ in 0..2 {
        let leader = simulation.leader().expect("a keeper is leader");
        simulation.kill_keeper(leader);
        simulation.start_keeper(leader);
        simulation.run_for(5 * SECOND_US);
    }
    assert_total_kept(&simulation);
}

// Guards against a hundred proxies that start within a second and get no units or too many, and against units that
// stay unused after nine in ten proxies are killed.
#[test]
fn a_hundred_proxies_come_at_once_and_nine_in_ten_die_at_once() {
    let config = SimulationConfig { total: 200, floor: 1, ..SimulationConfig::small(9, 3, 100) };
    let mut simulation = started_simulation(config, 5);
    assert!(simulation.peak_in_use() > 150, "at most {} of 200 units were in use", simulation.peak_in_use());
    (0..90).for_each(|index| simulation.kill_proxy(index));
    (90..100).for_each(|index| simulation.set_demand(index, 20));
    // Waits for their leases, the units that outlive them, and two seconds. Their floors stay reserved while they are
    // members.
    simulation.run_for(4 * SECOND_US);
    assert!(simulation.in_use() >= 90, "{} of 200 units in use", simulation.in_use());
    simulation.run_for(4 * SECOND_US);
    assert!(simulation.in_use() >= 180, "{} of 200 units in use", simulation.in_use());
    assert_total_kept(&simulation);
}
