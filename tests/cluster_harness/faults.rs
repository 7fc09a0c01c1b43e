//! Random faults of processes and of the network between them, by seed.

use super::{Cluster, Instance, KEEPERS};
use std::time::Duration;
use tokio::time::sleep;

/// What to draw a fault from; all are drawn each time, so that a seed gives the same faults whatever is done with them.
struct Draw {
    keeper: usize,
    proxy: usize,
    /// Among keepers and proxies.
    instance: usize,
    /// The keeper at the other end of a link of that instance.
    far_keeper: usize,
    kind: u8,
}

impl Draw {
    fn new(random: &mut fastrand::Rng, proxies: usize) -> Draw {
        Draw {
            keeper: random.usize(0..KEEPERS),
            proxy: random.usize(0..proxies),
            instance: random.usize(0..KEEPERS + proxies),
            far_keeper: random.usize(0..KEEPERS),
            kind: random.u8(0..12),
        }
    }

    /// Which directions of a link are held.
    fn held_directions(&self) -> (bool, bool) {
        let directions = [(true, true), (true, false), (false, true)];
        directions[usize::from(self.kind) % 2 + self.far_keeper % 2]
    }
}

impl Cluster {
    fn instance_mut(&mut self, index: usize) -> &mut Instance {
        self.instances_mut().nth(index).expect("an instance")
    }

    /// Injects a fault, or heals all, and waits for a while; the history says what was done.
    pub async fn inject_random_fault(&mut self, random: &mut fastrand::Rng) {
        let draw = Draw::new(random, self.proxies.len());
        let done = match draw.kind {
            0 => self.restart_proxy(draw.proxy),
            1 => self.restart_keeper(draw.keeper),
            2 | 3 => {
                self.proxies[draw.proxy].suspend();
                format!("p{} suspended", draw.proxy)
            }
            4 => {
                self.keepers[draw.keeper].suspend();
                format!("k{} suspended", draw.keeper)
            }
            5..=8 => self.inject_link_fault(&draw),
            _ => {
                self.heal();
                "all healed".to_string()
            }
        };
        self.history.push(done);
        sleep(Duration::from_millis(random.u64(50..1_500))).await;
    }

    fn inject_link_fault(&mut self, draw: &Draw) -> String {
        let keeper = draw.far_keeper;
        let instance = self.instance_mut(draw.instance);
        let fault = match draw.kind {
            7 => {
                instance.reset_link(keeper);
                "reset".to_string()
            }
            8 => {
                instance.delay_link(keeper, Duration::from_millis(300));
                "delayed".to_string()
            }
            _ => {
                let (is_held_to, is_held_from) = draw.held_directions();
                instance.hold_link(keeper, is_held_to, is_held_from);
                format!("held {is_held_to} {is_held_from}")
            }
        };
        format!("{} to k{keeper} {fault}", instance.name)
    }

    /// Kills a proxy and starts it anew; returns what was done.
    pub fn restart_proxy(&mut self, index: usize) -> String {
        self.proxies[index].program = None;
        self.start_proxy(index);
        format!("p{index} killed and started")
    }

    /// Kills a keeper and starts it anew; returns what was done.
    pub fn restart_keeper(&mut self, index: usize) -> String {
        self.keepers[index].program = None;
        self.start_keeper(index, false);
        format!("k{index} killed and started")
    }

    /// Lets all processes go on, and removes all faults of the network.
    pub fn heal(&mut self) {
        self.instances_mut().for_each(Instance::heal);
    }
}
