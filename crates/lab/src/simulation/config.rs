//! Configuration of a simulation: the size of the fleet, its budget, and the behaviour of its processes. Other
//! choices are drawn from the seed.

use super::MILLISECOND_US;
use linenhill_cluster::transport::InstanceIdentity;
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::{Budget, Budgets};
use linenhill_settings::operator::{Keeper, Operator};
use std::net::SocketAddr;

/// Name of the budget that the proxies share.
pub const BUDGET_NAME: &str = "units";
/// IP address of all simulated keepers; each has its own port.
const KEEPER_HOST: [u8; 4] = [10, 0, 0, 1];
/// Port of the first keeper; the others use the following ports.
const FIRST_KEEPER_PORT: u16 = 1_000;
/// Interval at which a proxy of [`SimulationConfig::small`] compares its use with its demand.
const SMALL_USE_INTERVAL_US: u64 = 20 * MILLISECOND_US;

/// Configuration of a simulation. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seed for all random choices.
    pub seed: u64,
    /// Number of keepers, at least 1.
    pub keepers: usize,
    /// Number of proxies.
    pub proxies: usize,
    /// Durations of leases and memberships, and the bound on clock drift.
    pub terms: LeaseTerms,
    /// Total units of the budget for the fleet.
    pub total: u64,
    /// Units that each proxy may use without a lease.
    pub floor: u64,
    /// Maximum time for which a unit may stay in use after its lease ended.
    pub outlives_us: u64,
    /// Interval at which a proxy compares the units in use with its demand.
    pub use_interval_us: u64,
    /// Whether clocks drift, by at most the bound in `terms`.
    pub has_clock_drift: bool,
    /// Whether a unit stays in use while the proxy has demand for it and may use it. Otherwise each unit ends after a
    /// random time of at most `outlives_us`.
    pub holds_units: bool,
}

impl SimulationConfig {
    /// Configuration of a small fleet with short leases, so that a short history contains many renewals.
    pub fn small(seed: u64, keepers: usize, proxies: usize) -> SimulationConfig {
        SimulationConfig {
            seed,
            keepers,
            proxies,
            terms: LeaseTerms {
                lease_us: 1_000 * MILLISECOND_US,
                membership_us: 4_000 * MILLISECOND_US,
                drift_ppm: 50_000,
            },
            total: 6,
            floor: 1,
            outlives_us: 300 * MILLISECOND_US,
            use_interval_us: SMALL_USE_INTERVAL_US,
            has_clock_drift: true,
            holds_units: false,
        }
    }

    /// Maximum drift of the clocks in this simulation, in millionths.
    pub(super) fn drift_ppm(&self) -> u64 {
        if self.has_clock_drift { u64::from(self.terms.drift_ppm as u32) } else { 0 }
    }

    /// Builds the operators' file with which the processes of the fleet start.
    pub(super) fn operator_file(&self) -> Operator {
        let keepers = (0..self.keepers)
            .map(|index| Keeper { name: keeper_name(index), address: keeper_address(index) })
            .collect();
        let budget = Budget {
            total: self.total,
            floor: self.floor,
            burst: 0,
            outlives_us: self.outlives_us,
            per_key: false,
        };
        operator_file(keepers, self.terms, [(BUDGET_NAME.to_string(), budget)].into())
    }
}

/// Builds an operators' file of revision 1 that declares only these keepers, lease terms and budgets.
pub fn operator_file(keepers: Vec<Keeper>, terms: LeaseTerms, budgets: Budgets) -> Operator {
    Operator {
        cluster: "lab".into(),
        listen: None,
        allow: Vec::new(),
        zone: String::new(),
        store: None,
        keepers,
        terms,
        budgets,
        bindings: Vec::new(),
        revision: 1,
        outages: None,
    }
}

pub(super) fn keeper_name(index: usize) -> String {
    format!("k{index}")
}

pub(super) fn keeper_address(index: usize) -> SocketAddr {
    SocketAddr::from((KEEPER_HOST, FIRST_KEEPER_PORT + index as u16))
}

/// Builds the identity of an instance in the fleet that `operator` describes.
pub(super) fn instance_identity(operator: &Operator, name: &str, incarnation: u64) -> InstanceIdentity {
    InstanceIdentity {
        cluster: operator.cluster.clone(),
        name: name.to_string(),
        incarnation,
        keepers: operator.keepers.iter().map(|keeper| keeper.name.clone()).collect(),
    }
}
