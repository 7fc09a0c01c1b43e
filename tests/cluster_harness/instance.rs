//! One instance of a fleet: its process, its operators' file, and its relays to the keepers.

use super::KEEPERS;
use crate::harness::Program;
use linenhill_standins::{NetworkFaults, Relay};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A keeper or a proxy.
pub struct Instance {
    pub name: String,
    /// Its process; `None` before the start and while it is killed.
    pub program: Option<Program>,
    /// Network from this instance to each keeper, by the keeper's index.
    pub relays: Vec<Relay>,
    pub operator_file: PathBuf,
    /// Whether its process is suspended by `SIGSTOP`.
    pub is_suspended: bool,
}

/// Starts a relay for each keeper, without a target.
pub async fn start_relays() -> Vec<Relay> {
    let mut relays = Vec::new();
    for _ in 0..KEEPERS {
        relays.push(Relay::start().await.expect("start a relay"));
    }
    relays
}

impl Instance {
    /// Creates an instance without starting its process.
    pub fn new(name: &str, relays: Vec<Relay>, operator_file: PathBuf) -> Instance {
        Instance { name: name.to_string(), program: None, relays, operator_file, is_suspended: false }
    }

    /// The process, which must be started.
    pub fn running(&self) -> &Program {
        self.program.as_ref().expect("a running process")
    }

    /// Suspends the process until [`Instance::heal`]; does nothing if it is suspended already.
    pub fn suspend(&mut self) {
        let was_suspended = std::mem::replace(&mut self.is_suspended, true);
        if let Some(program) = self.program.as_ref().filter(|_| !was_suspended) {
            program.signal("-STOP");
        }
    }

    /// Resumes the process and removes all faults of its network.
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

    /// Sets the target of the relay to a keeper.
    pub fn connect_to_keeper(&self, keeper: usize, address: SocketAddr) {
        self.relays[keeper].set_target(address);
    }

    /// Sets which directions of the link to a keeper are held: nothing is delivered, and the connections stay open.
    pub fn hold_link(&self, keeper: usize, to_keeper: bool, from_keeper: bool) {
        self.relays[keeper].change_faults(|faults| {
            faults.hold(to_keeper, from_keeper);
        });
    }

    /// Holds both directions of the links to all keepers.
    pub fn partition_from_keepers(&self) {
        (0..KEEPERS).for_each(|keeper| self.hold_link(keeper, true, true));
    }

    /// Holds the direction from all keepers; messages to them are still delivered.
    pub fn hold_replies(&self) {
        for relay in &self.relays {
            relay.change_faults(|faults| faults.holds_replies = true);
        }
    }

    /// Ends all open connections to a keeper.
    pub fn reset_link(&self, keeper: usize) {
        self.relays[keeper].change_faults(|faults| faults.resets += 1);
    }

    /// Delays both directions of the link to a keeper.
    pub fn delay_link(&self, keeper: usize, delay: Duration) {
        self.relays[keeper].change_faults(|faults| faults.delay = delay);
    }

    /// Delays both directions of the links to all keepers.
    pub fn delay_links(&self, delay: Duration) {
        (0..KEEPERS).for_each(|keeper| self.delay_link(keeper, delay));
    }
}
