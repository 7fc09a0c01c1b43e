//! A fleet under virtual time: keepers with the real Raft engine and the real store, proxies with the real lease holder
//! and leader search, a network that delays, loses, duplicates and blocks messages, and clocks at the edge of the bound
//! on drift. One seed draws it all.
//!
//! Nothing here may depend on real time, on the order of an unordered map, or on another source of randomness: the same
//! seed must always play the same history. The checker stands outside: it counts the units in use and knows the total,
//! and nothing of quotas.

mod checker;
mod clock;
mod config;
mod events;
mod faults;
mod keepers;
mod network;
mod proxies;

pub use checker::{Problem, SimulationFailure};
pub use config::{BUDGET_NAME, SimulationConfig, operator_file};

use checker::{History, UsageChecker};
use events::{EventQueue, ScheduledEvent};
use keepers::SimulatedKeeper;
use linenhill_settings::operator::Operator;
use network::Network;
use proxies::SimulatedProxy;

const MILLISECOND_US: u64 = 1_000;
/// How often [`Simulation::wait_for`] looks at its condition.
const CONDITION_INTERVAL_US: u64 = 10 * MILLISECOND_US;

/// What was sent between all instances, and what keepers took for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    /// Messages that were sent, also those that were lost.
    pub messages: u64,
    /// Bytes of these messages.
    pub bytes: u64,
    /// Grants among these messages.
    pub grants: u64,
    /// Real time that all keepers worked, in nanoseconds. The one figure here that differs from run to run; it never
    /// changes what happens.
    pub keepers_ns: u64,
}

/// A simulated fleet. Its processes are named by their place: keepers `k0`, `k1`, …, proxies `p0`, `p1`, …
pub struct Simulation {
    config: SimulationConfig,
    rng: fastrand::Rng,
    /// Real time, in microseconds from the start. Processes see their own clocks.
    now_us: u64,
    events: EventQueue,
    /// The operators' file with which processes start now.
    operator: Operator,
    keepers: Vec<SimulatedKeeper>,
    proxies: Vec<SimulatedProxy>,
    network: Network,
    checker: UsageChecker,
    traffic: TrafficCounts,
    history: History,
}

impl Simulation {
    /// Starts all keepers and proxies, without demand.
    pub fn new(config: SimulationConfig) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(config.seed);
        let operator = config.operator_file();
        let keepers = (0..config.keepers).map(|_| SimulatedKeeper::new(&config, &mut rng)).collect();
        let proxies = (0..config.proxies)
            .map(|index| SimulatedProxy::new(&config, &operator, index, &mut rng))
            .collect();
        let mut simulation = Simulation {
            checker: UsageChecker::new(config.total),
            config,
            rng,
            now_us: 0,
            events: EventQueue::default(),
            operator,
            keepers,
            proxies,
            network: Network::default(),
            traffic: TrafficCounts::default(),
            history: History::default(),
        };
        (0..simulation.keepers.len()).for_each(|index| simulation.start_keeper(index));
        (0..simulation.proxies.len()).for_each(|index| simulation.start_proxy(index));
        simulation
    }

    /// Real time since the start, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// What was sent so far.
    pub fn traffic(&self) -> TrafficCounts {
        self.traffic
    }

    /// Units that all proxies use now.
    pub fn in_use(&self) -> u64 {
        self.checker.in_use()
    }

    /// The most units in use at once so far.
    pub fn peak_in_use(&self) -> u64 {
        self.checker.peak()
    }

    /// Sets how many units may be in use from now on: the checker's bound, of which the processes know nothing.
    pub fn set_max_units_in_use(&mut self, units: u64) {
        self.checker.set_max_units_in_use(units);
    }

    /// The first problem that the checker found, if any, with the seed and the history.
    pub fn check(&self) -> Result<(), SimulationFailure> {
        self.checker.first_problem().map_or(Ok(()), |problem| Err(self.failure(problem)))
    }

    /// A problem with the seed, what happened, and how the keepers are now.
    pub fn failure(&self, problem: Problem) -> SimulationFailure {
        SimulationFailure {
            seed: self.config.seed,
            problem,
            history: self.history.lines().to_vec(),
            keepers: self.describe_keepers(),
        }
    }

    /// Plays for this long, in microseconds.
    pub fn run_for(&mut self, duration_us: u64) {
        self.run_until(self.now_us + duration_us);
    }

    /// Plays until this moment, in microseconds from the start.
    pub fn run_until(&mut self, end_us: u64) {
        while let Some((at_us, event)) = self.events.pop_due(end_us) {
            self.now_us = at_us;
            self.run_event(event);
        }
        self.now_us = self.now_us.max(end_us);
    }

    /// Plays until `condition` holds, and returns how long that took, to 10 ms. `None` if it does not hold after
    /// `timeout_us`.
    pub fn wait_for(&mut self, timeout_us: u64, condition: impl Fn(&Simulation) -> bool) -> Option<u64> {
        let start_us = self.now_us;
        while !condition(self) {
            if self.now_us >= start_us + timeout_us {
                return None;
            }
            self.run_for(CONDITION_INTERVAL_US);
        }
        Some(self.now_us - start_us)
    }

    fn record(&mut self, event: &str) {
        self.history.record(self.now_us, event);
    }

    fn schedule_after(&mut self, delay_us: u64, event: ScheduledEvent) {
        self.events.schedule(self.now_us + delay_us, event);
    }

    /// Passes an event to its process. One for an incarnation that is over is dropped; one for a suspended process is
    /// deferred until it runs on.
    fn run_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::UnitEnds { proxy, incarnation } => self.end_unit(proxy, incarnation),
            ScheduledEvent::ForKeeper { keeper: index, incarnation, event: keeper_event } => {
                let keeper = &mut self.keepers[index];
                if keeper.incarnation != incarnation {
                    return;
                }
                if keeper.is_suspended {
                    let event = keeper_event;
                    keeper.deferred.push(ScheduledEvent::ForKeeper { keeper: index, incarnation, event });
                    return;
                }
                self.run_keeper_event(index, keeper_event);
            }
            ScheduledEvent::ForProxy { proxy: index, incarnation, event: proxy_event } => {
                let proxy = &mut self.proxies[index];
                if proxy.incarnation != incarnation {
                    return;
                }
                if proxy.is_suspended {
                    let event = proxy_event;
                    proxy.deferred.push(ScheduledEvent::ForProxy { proxy: index, incarnation, event });
                    return;
                }
                self.run_proxy_event(index, proxy_event);
            }
        }
    }
}
