//! Keepers that are killed, or whose disks fail.

use crate::{SECOND_US, assert_total_kept, started_simulation};
use linenhill_decisions::membership::LeaseTerms;
use linenhill_lab::disk::DiskFault;
use linenhill_lab::simulation::{Simulation, SimulationConfig};

// Guards against a keeper that still votes after a disk fault, and against a fleet that stops because one keeper
// ended.
#[test]
fn a_keeper_whose_disk_fails_ends_and_the_others_go_on() {
    for fault in [DiskFault::Full, DiskFault::SyncFails] {
        let mut simulation = started_simulation(SimulationConfig::small(5, 3, 3), 4);
        let leader = simulation.leader().expect("a keeper is leader");
        simulation.set_disk_fault(leader, fault);
        simulation
            .wait_for(10 * SECOND_US, |s| !s.is_keeper_started(leader))
            .expect("a keeper with a disk fault stops");
        let has_other_leader = |s: &Simulation| s.leader().is_some_and(|other| other != leader);
        simulation.wait_for(30 * SECOND_US, has_other_leader).expect("another keeper becomes leader");
        simulation
            .wait_for(30 * SECOND_US, Simulation::all_proxies_have_leases)
            .expect("every proxy has a lease");
        simulation.set_disk_fault(leader, DiskFault::None);
        simulation.start_keeper(leader);
        simulation.run_for(5 * SECOND_US);
        assert!(
            simulation.is_keeper_started(leader),
            "keeper did not start on the repaired disk after {fault:?}"
        );
        assert_total_kept(&simulation);
    }
}

// Guards against a leader that is killed after it wrote an entry and before it notified proxies: the next leader must
// count the grants in that entry.
#[test]
fn grants_of_a_leader_killed_before_it_notifies_are_counted_by_the_next() {
    for seed in 1..20 {
        let mut simulation = started_simulation(SimulationConfig::small(seed, 3, 4), 6);
        for _ in 0..6 {
            let leader = simulation.leader().expect("a keeper is leader");
            // Its messages to proxies are lost from here on; those to keepers are not.
            simulation.block_keeper_to_proxies(leader);
            simulation.run_for(400_000);
            simulation.kill_keeper(leader);
            simulation.start_keeper(leader);
            simulation.wait_for(30 * SECOND_US, |s| s.leader().is_some()).expect("a keeper is leader");
            simulation.heal();
            simulation.run_for(SECOND_US);
            assert_total_kept(&simulation);
        }
    }
}

// Guards against treating a store that can't be opened as an empty one.
#[test]
fn a_keeper_whose_disk_is_full_does_not_start() {
    let terms = LeaseTerms { lease_us: SECOND_US, membership_us: 4 * SECOND_US, drift_ppm: 50_000 };
    let mut simulation = Simulation::new(SimulationConfig { terms, ..SimulationConfig::small(1, 3, 1) });
    simulation.run_until(2 * SECOND_US);
    simulation.kill_keeper(2);
    simulation.set_disk_fault(2, DiskFault::Full);
    simulation.start_keeper(2);
    simulation.run_for(2 * SECOND_US);
    assert!(!simulation.is_keeper_started(2), "keeper started on a full disk");
}
