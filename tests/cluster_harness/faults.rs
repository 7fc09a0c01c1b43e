//! Random faults of the processes and of the network between them, drawn from a seeded generator.

use super::{Cluster, Instance, KEEPERS};
use std::time::Duration;
use tokio::time::sleep;

/// Random parameters of a fault. All of them are drawn for every fault, so that the sequence of a seed does not depend
/// on which are used.
struct FaultParameters {
    keeper: usize,
    proxy: usize,
    /// Index among all keepers and proxies.
    instance: usize,
    /// Keeper at the other end of the affected link of `instance`.
    link_keeper: usize,
    kind: u8,
}

impl FaultParameters {
    fn new(random: &mut fastrand::Rng, proxies: usize) -> FaultParameters {
        FaultParameters {
            keeper: random.usize(0..KEEPERS),
            proxy: random.usize(0..proxies),
            instance: random.usize(0..KEEPERS + proxies),
            link_keeper: random.usize(0..KEEPERS),
            kind: random.u8(0..12),
        }
    }

    /// Which directions of the link are held: to the keeper, from the keeper.
    fn held_directions(&self) -> (bool, bool) {
        let directions = [(true, true), (true, false), (false, true)];
        directions[usize::from(self.kind) % 2 + self.link_keeper % 2]
    }
}

impl Cluster {
    fn instance_mut(&mut self, index: usize) -> &mut Instance {
        self.instances_mut().nth(index).expect("index of an instance")
    }

    /// Injects a random fault or heals all, appends that to the history, and waits for a random time.
    pub async fn inject_random_fault(&mut self, random: &mut fastrand::Rng) {
        let parameters = FaultParameters::new(random, self.proxies.len());
        let action = match parameters.kind {
            0 => self.restart_proxy(parameters.proxy),
            1 => self.restart_keeper(parameters.keeper),
            2 | 3 => {
                self.proxies[parameters.proxy].suspend();
                format!("p{} suspended", parameters.proxy)
            }
            4 => {
                self.keepers[parameters.keeper].suspend();
                format!("k{} suspended", parameters.keeper)
            }
            5..=8 => self.inject_link_fault(&parameters),
            _ => {
                self.heal();
                "all faults healed".to_string()
            }
        };
        self.history.push(action);
        sleep(Duration::from_millis(random.u64(50..1_500))).await;
    }

    fn inject_link_fault(&mut self, parameters: &FaultParameters) -> String {
        let keeper = parameters.link_keeper;
        let instance = self.instance_mut(parameters.instance);
        let fault = match parameters.kind {
            7 => {
                instance.reset_link(keeper);
                "connections reset".to_string()
            }
            8 => {
                instance.delay_link(keeper, Duration::from_millis(300));
                "delayed".to_string()
            }
            _ => {
                let (to_keeper, from_keeper) = parameters.held_directions();
                instance.hold_link(keeper, to_keeper, from_keeper);
                format!("held, to keeper: {to_keeper}, from keeper: {from_keeper}")
            }
        };
        format!("{} to k{keeper}: {fault}", instance.name)
    }

    /// Kills a proxy and starts it again; returns the entry for the history.
    pub fn restart_proxy(&mut self, index: usize) -> String {
        self.proxies[index].program = None;
        self.start_proxy(index);
        format!("p{index} killed and restarted")
    }

    /// Kills a keeper and starts it again; returns the entry for the history.
    pub fn restart_keeper(&mut self, index: usize) -> String {
        self.keepers[index].program = None;
        self.start_keeper(index, false);
        format!("k{index} killed and restarted")
    }

    /// Resumes all suspended processes and removes all faults of the network.
    pub fn heal(&mut self) {
        self.instances_mut().for_each(Instance::heal);
    }
}
