//! A simulated fleet in virtual time: keepers with the real Raft engine and store, proxies with the real lease holder
//! and leader search, a network that delays, loses, duplicates and blocks messages, and clocks that drift up to the
//! configured bound. All random choices come from one seed.
//!
//! Nothing here may depend on wall-clock time, on the iteration order of an unordered map, or on another source of
//! randomness: a seed must always reproduce the same history. The checker is independent of the processes: it counts
//! the units in use against the total and does not read quotas.

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
/// Interval at which [`Simulation::wait_for`] checks its condition.
const CONDITION_INTERVAL_US: u64 = 10 * MILLISECOND_US;

/// Traffic between all instances, and the keepers' processing time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    /// Sent messages, including lost ones.
    pub messages: u64,
    /// Encoded size of these messages in bytes.
    pub bytes: u64,
    /// Lease grants among these messages.
    pub grants: u64,
    /// Wall-clock time of all keepers' work, in nanoseconds. Only this figure differs between runs of one seed; it
    /// does not affect the simulation.
    pub keepers_ns: u64,
}

/// A simulated fleet. Processes are named by their index: keepers `k0`, `k1`, …, proxies `p0`, `p1`, …
pub struct Simulation {
    config: SimulationConfig,
    rng: fastrand::Rng,
    /// Simulation time in microseconds since the start. Processes read their own clocks instead.
    now_us: u64,
    events: EventQueue,
    /// The operators' file that processes start with.
    operator: Operator,
    keepers: Vec<SimulatedKeeper>,
    proxies: Vec<SimulatedProxy>,
    network: Network,
    checker: UsageChecker,
    traffic: TrafficCounts,
    history: History,
}

impl Simulation {
    /// Starts all keepers, and all proxies without demand.
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

    /// Simulation time since the start, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Traffic since the start.
    pub fn traffic(&self) -> TrafficCounts {
        self.traffic
    }

    /// Units that are in use by all proxies.
    pub fn in_use(&self) -> u64 {
        self.checker.in_use()
    }

    /// Maximum number of units in use at the same time since the start.
    pub fn peak_in_use(&self) -> u64 {
        self.checker.peak()
    }

    /// Sets the checker's bound on the units in use. The processes do not read it.
    pub fn set_max_units_in_use(&mut self, units: u64) {
        self.checker.set_max_units_in_use(units);
    }

    /// Returns the first problem that the checker found, with the seed and the history.
    pub fn check(&self) -> Result<(), SimulationFailure> {
        self.checker.first_problem().map_or(Ok(()), |problem| Err(self.failure(problem)))
    }

    /// Adds the seed, the history and the keepers' present state to a problem.
    pub fn failure(&self, problem: Problem) -> SimulationFailure {
        SimulationFailure {
            seed: self.config.seed,
            problem,
            history: self.history.lines().to_vec(),
            keepers: self.describe_keepers(),
        }
    }

    /// Runs for this duration in microseconds.
    pub fn run_for(&mut self, duration_us: u64) {
        self.run_until(self.now_us + duration_us);
    }

    /// Runs until this time, in microseconds since the start.
    pub fn run_until(&mut self, end_us: u64) {
        while let Some((at_us, event)) = self.events.pop_due(end_us) {
            self.now_us = at_us;
            self.run_event(event);
        }
        self.now_us = self.now_us.max(end_us);
    }

    /// Runs until `condition` holds and returns how long that took, to 10 ms. Returns `None` if it does not hold
    /// within `timeout_us`.
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

    /// Passes an event to its process. An event for an ended incarnation is dropped; an event for a suspended process
    /// is deferred until the process resumes.
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
