//! A budget of which the total or the proxies change.

use crate::{SECOND_US, assert_sound, settled_simulation};
use linenhill_lab::simulation::SimulationConfig;

// Guards against a lowered budget of which more than the old total is in use on the way, more than the new one at the
// end; and against an older file that a later leader has, which would raise it again.
#[test]
fn a_lowered_total_holds_and_an_older_file_changes_nothing() {
    let mut simulation = settled_simulation(SimulationConfig::small(3, 3, 3), 6);
    assert_eq!(simulation.peak_in_use(), 6);
    simulation.declare_total(2);
    simulation.run_for(5 * SECOND_US);
    assert_sound(&simulation);
    simulation.set_max_units_in_use(2);
    for _ in 0..2 {
        let leader = simulation.leader().expect("a leader");
        simulation.kill_keeper(leader);
        simulation.start_keeper(leader);
        simulation.run_for(5 * SECOND_US);
    }
    assert_sound(&simulation);
}

// Guards against a hundred proxies that come in one second, of which none gets anything or all get too much; and against
// the part of nine in ten that die at once staying unused.
#[test]
fn a_hundred_proxies_come_at_once_and_nine_in_ten_die_at_once() {
    let config = SimulationConfig { total: 200, floor: 1, ..SimulationConfig::small(9, 3, 100) };
    let mut simulation = settled_simulation(config, 5);
    assert!(simulation.peak_in_use() > 150, "{} of 200 were in use", simulation.peak_in_use());
    (0..90).for_each(|index| simulation.kill_proxy(index));
    (90..100).for_each(|index| simulation.set_demand(index, 20));
    // Their leases, what outlives them, and two seconds; their floors stay set aside for as long as they are members.
    simulation.run_for(4 * SECOND_US);
    assert!(simulation.in_use() >= 90, "{} of 200 in use", simulation.in_use());
    simulation.run_for(4 * SECOND_US);
    assert!(simulation.in_use() >= 180, "{} of 200 in use", simulation.in_use());
    assert_sound(&simulation);
}
