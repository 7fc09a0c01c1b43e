//! Keepers that die, or whose disks fail.

use crate::{SECOND_US, assert_sound, settled_simulation};
use linenhill_decisions::membership::LeaseTerms;
use linenhill_lab::disk::DiskFault;
use linenhill_lab::simulation::{Simulation, SimulationConfig};

// Guards against a keeper that votes on after its disk failed, and against a fleet that its end stops.
#[test]
fn a_keeper_whose_disk_fails_ends_and_the_others_go_on() {
    for fault in [DiskFault::Full, DiskFault::SyncFails] {
        let mut simulation = settled_simulation(SimulationConfig::small(5, 3, 3), 4);
        let leader = simulation.leader().expect("a leader");
        simulation.set_disk_fault(leader, fault);
        simulation.wait_for(10 * SECOND_US, |s| !s.is_keeper_alive(leader)).expect("it ends");
        let has_other_leader = |s: &Simulation| s.leader().is_some_and(|other| other != leader);
        simulation.wait_for(30 * SECOND_US, has_other_leader).expect("another one leads");
        simulation.wait_for(30 * SECOND_US, Simulation::is_settled).expect("leases are renewed");
        simulation.set_disk_fault(leader, DiskFault::None);
        simulation.start_keeper(leader);
        simulation.run_for(5 * SECOND_US);
        assert!(simulation.is_keeper_alive(leader), "its disk works again after {fault:?}");
        assert_sound(&simulation);
    }
}

// Guards against a leader killed between writing an entry and notifying proxies of it, whose grants the next one must
// count.
#[test]
fn grants_of_a_leader_killed_before_it_notifies_are_counted_by_the_next() {
    for seed in 1..20 {
        let mut simulation = settled_simulation(SimulationConfig::small(seed, 3, 4), 6);
        for _ in 0..6 {
            let leader = simulation.leader().expect("a leader");
            // What it sends to proxies is lost from here on; what it sends to keepers is not.
            simulation.silence_keeper_to_proxies(leader);
            simulation.run_for(400_000);
            simulation.kill_keeper(leader);
            simulation.start_keeper(leader);
            simulation.wait_for(30 * SECOND_US, |s| s.leader().is_some()).expect("a leader");
            simulation.heal();
            simulation.run_for(SECOND_US);
            assert_sound(&simulation);
        }
    }
}

// Guards against a store that can't be opened being taken for an empty one.
#[test]
fn a_keeper_whose_disk_is_full_does_not_start() {
    let terms = LeaseTerms { lease_us: SECOND_US, membership_us: 4 * SECOND_US, drift_ppm: 50_000 };
    let mut simulation = Simulation::new(SimulationConfig { terms, ..SimulationConfig::small(1, 3, 1) });
    simulation.run_until(2 * SECOND_US);
    simulation.kill_keeper(2);
    simulation.set_disk_fault(2, DiskFault::Full);
    simulation.start_keeper(2);
    simulation.run_for(2 * SECOND_US);
    assert!(!simulation.is_keeper_alive(2), "it votes on a disk that takes nothing");
}
