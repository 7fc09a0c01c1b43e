//! Random faults of processes and the network, and their end. All random choices must come from the simulation's
//! seed, so that a history can be reproduced.

use super::Simulation;
use super::events::Endpoint;
use super::{MILLISECOND_US, ScheduledEvent};
use std::ops::Range;

/// Time between two faults.
const FAULT_INTERVAL_US: Range<u64> = 20 * MILLISECOND_US..1_500 * MILLISECOND_US;
/// Range from which [`Simulation::draw_fault`] draws; more likely faults cover several numbers.
const FAULT_DRAWS: Range<u8> = 0..14;

/// A change of the processes, the network or the demand.
enum Fault {
    RestartProxy(usize),
    RestartKeeper(usize),
    KillKeeper(usize),
    SuspendProxy(usize),
    SuspendKeeper(usize),
    BlockDirection { from: Endpoint, to: Endpoint },
    DisturbNetwork { loss_percent: u64, late_percent: u64 },
    ChangeDemand { proxy: usize, units: u64 },
    Heal,
}

impl Simulation {
    /// Applies a random fault, or ends all faults, and runs for a random time of at most 1.5 s.
    pub fn inject_random_fault(&mut self) {
        let fault = self.draw_fault();
        self.apply(fault);
        let duration_us = self.rng.u64(FAULT_INTERVAL_US);
        self.run_for(duration_us);
    }

    fn draw_fault(&mut self) -> Fault {
        let keeper = self.rng.usize(0..self.keepers.len());
        let proxy = self.rng.usize(0..self.proxies.len());
        let endpoint = self.draw_endpoint();
        match self.rng.u8(FAULT_DRAWS) {
            0 => Fault::RestartProxy(proxy),
            1 | 2 => Fault::RestartKeeper(keeper),
            3 => Fault::KillKeeper(keeper),
            4 | 5 => Fault::SuspendProxy(proxy),
            6 => Fault::SuspendKeeper(keeper),
            7 | 8 => Fault::BlockDirection { from: endpoint, to: Endpoint::Keeper(keeper) },
            9 => Fault::BlockDirection { from: Endpoint::Keeper(keeper), to: endpoint },
            10 => {
                let loss_percent = self.rng.u64(0..30);
                Fault::DisturbNetwork { loss_percent, late_percent: self.rng.u64(0..40) }
            }
            11 => Fault::ChangeDemand { proxy, units: self.rng.u64(0..2 * self.config.total) },
            _ => Fault::Heal,
        }
    }

    fn draw_endpoint(&mut self) -> Endpoint {
        let drawn = self.rng.usize(0..self.keepers.len() + self.proxies.len());
        drawn.checked_sub(self.keepers.len()).map_or(Endpoint::Keeper(drawn), Endpoint::Proxy)
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::RestartProxy(proxy) => {
                self.record(&format!("p{proxy} is killed and restarted"));
                self.start_proxy(proxy);
            }
            Fault::RestartKeeper(keeper) => {
                self.record(&format!("k{keeper} is killed and restarted"));
                self.kill_keeper(keeper);
                self.start_keeper(keeper);
            }
            Fault::KillKeeper(keeper) => {
                self.record(&format!("k{keeper} is killed"));
                self.kill_keeper(keeper);
            }
            Fault::SuspendProxy(proxy) => {
                self.record(&format!("p{proxy} is suspended"));
                self.proxies[proxy].is_suspended = true;
            }
            Fault::SuspendKeeper(keeper) => {
                self.record(&format!("k{keeper} is suspended"));
                self.keepers[keeper].is_suspended = true;
            }
            Fault::BlockDirection { from, to } => {
                self.record(&format!("messages from {from:?} to {to:?} are lost"));
                self.network.block(from, to);
            }
            Fault::DisturbNetwork { loss_percent, late_percent } => {
                self.record(&format!("{loss_percent}% of messages lost, {late_percent}% late or duplicated"));
                self.network.loss_percent = loss_percent;
                self.network.late_percent = late_percent;
            }
            Fault::ChangeDemand { proxy, units } => {
                self.record(&format!("p{proxy} has a demand of {units} units"));
                self.set_demand(proxy, units);
            }
            Fault::Heal => self.heal(),
        }
    }

    /// Ends all faults of the network and of processes: suspended processes resume, and stopped keepers start. Disk
    /// faults remain.
    pub fn heal(&mut self) {
        self.record("all faults end");
        self.network.heal();
        for index in 0..self.keepers.len() {
            let keeper = &mut self.keepers[index];
            keeper.is_suspended = false;
            let deferred = std::mem::take(&mut keeper.deferred);
            self.schedule_deferred(deferred);
            if !self.is_keeper_started(index) {
                self.start_keeper(index);
            }
        }
        for index in 0..self.proxies.len() {
            let proxy = &mut self.proxies[index];
            proxy.is_suspended = false;
            let deferred = std::mem::take(&mut proxy.deferred);
            self.schedule_deferred(deferred);
        }
    }

    fn schedule_deferred(&mut self, deferred: Vec<ScheduledEvent>) {
        deferred.into_iter().for_each(|event| self.schedule_after(0, event));
    }
}
