//! One instance of a fleet: its process, its operators' file, and the network between it and each keeper.

use super::KEEPERS;
use crate::harness::Program;
use linenhill_standins::{NetworkFaults, Relay};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A keeper or a proxy.
pub struct Instance {
    pub name: String,
    /// Its process; `None` while it is killed.
    pub program: Option<Program>,
    /// From here to each keeper.
    pub relays: Vec<Relay>,
    pub operator_file: PathBuf,
    /// Whether its process is stopped by a signal.
    pub is_suspended: bool,
}

/// A relay to each keeper; they lead nowhere yet.
pub async fn start_relays() -> Vec<Relay> {
    let mut relays = Vec::new();
    for _ in 0..KEEPERS {
        relays.push(Relay::start().await.expect("a relay"));
    }
    relays
}

impl Instance {
    /// An instance whose process is not started.
    pub fn new(name: &str, relays: Vec<Relay>, operator_file: PathBuf) -> Instance {
        Instance { name: name.to_string(), program: None, relays, operator_file, is_suspended: false }
    }

    /// Its process, which must run.
    pub fn running(&self) -> &Program {
        self.program.as_ref().expect("a process that runs")
    }

    /// Suspends its process until the cluster heals; nothing where it is suspended already.
    pub fn suspend(&mut self) {
        let was_suspended = std::mem::replace(&mut self.is_suspended, true);
        if let Some(program) = self.program.as_ref().filter(|_| !was_suspended) {
            program.signal("-STOP");
        }
    }

    /// Lets its process go on, and removes all faults of its network.
    pub fn heal(&mut self) {
        if std::mem::take(&mut self.is_suspended)
            && let Some(program) = &self.program
        {
            program.signal("-CONT");
        }
        for relay in &self.relays {
            relay.change_faults(|faults| {
                *faults = NetworkFaults { resets: faults.resets, ..NetworkFaults::NONE }
            });
        }
    }

    /// Lets the relay to a keeper lead to where that listens now.
    pub fn connect_to_keeper(&self, keeper: usize, address: SocketAddr) {
        self.relays[keeper].set_target(address);
    }

    /// Holds what is sent to a keeper, or what comes from it, without a sign of it.
    pub fn hold_link(&self, keeper: usize, is_held_to: bool, is_held_from: bool) {
        self.relays[keeper].change_faults(|faults| {
            faults.hold(is_held_to, is_held_from);
        });
    }

    /// Holds everything between this instance and all keepers.
    pub fn cut_off(&self) {
        (0..KEEPERS).for_each(|keeper| self.hold_link(keeper, true, true));
    }

    /// Holds what comes from the keepers; what is sent to them arrives.
    pub fn hold_replies(&self) {
        for relay in &self.relays {
            relay.change_faults(|faults| faults.holds_replies = true);
        }
    }

    /// Resets all connections to a keeper.
    pub fn reset_link(&self, keeper: usize) {
        self.relays[keeper].change_faults(|faults| faults.resets += 1);
    }

    /// Delays what is sent to a keeper, and what comes from it.
    pub fn delay_link(&self, keeper: usize, delay: Duration) {
        self.relays[keeper].change_faults(|faults| faults.delay = delay);
    }

    /// The same for all keepers.
    pub fn delay_links(&self, delay: Duration) {
        (0..KEEPERS).for_each(|keeper| self.delay_link(keeper, delay));
    }
}
