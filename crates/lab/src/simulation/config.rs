//! What a simulation plays: the size of the fleet, its budget, and how its processes behave. Everything else is drawn
//! from the seed.

use super::MILLISECOND_US;
use linenhill_cluster::transport::InstanceIdentity;
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::{Budget, Budgets};
use linenhill_settings::operator::{Keeper, Operator};
use std::net::SocketAddr;

/// The budget that the proxies divide among them.
pub const BUDGET_NAME: &str = "units";
/// The simulated keepers' address; each has a port of its own.
const KEEPER_HOST: [u8; 4] = [10, 0, 0, 1];
/// The port of the first keeper.
const FIRST_KEEPER_PORT: u16 = 1_000;
/// How often a proxy of [`SimulationConfig::small`] compares its use with its demand.
const SMALL_USE_INTERVAL_US: u64 = 20 * MILLISECOND_US;

/// What is simulated. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Draws everything that is not given here.
    pub seed: u64,
    /// Number of keepers, from 1 on.
    pub keepers: usize,
    /// Number of proxies.
    pub proxies: usize,
    /// How long leases and memberships last, and by how much clocks may drift.
    pub terms: LeaseTerms,
    /// Units of the budget, for the whole fleet.
    pub total: u64,
    /// Units that each proxy keeps without a lease.
    pub floor: u64,
    /// For how long a unit may stay in use after its lease ended.
    pub outlives_us: u64,
    /// How often a proxy compares the units it uses with its demand.
    pub use_interval_us: u64,
    /// Whether clocks drift, up to the bound of `terms`.
    pub has_clock_drift: bool,
    /// Whether a unit stays in use for as long as the proxy wants it and may use it. Otherwise each unit ends after a
    /// random time, which is at most `outlives_us`.
    pub holds_units: bool,
}

impl SimulationConfig {
    /// A small fleet with short leases, so that a short history holds many renewals.
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

    /// By how many millionths the clocks of this simulation drift at most.
    pub(super) fn drift_ppm(&self) -> u64 {
        if self.has_clock_drift { u64::from(self.terms.drift_ppm as u32) } else { 0 }
    }

    /// The operators' file that all processes of the fleet start with.
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

/// The operators' file, at revision 1, of a fleet that bounds nothing but these budgets.
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

/// The identity of an instance of the fleet that `operator` describes.
pub(super) fn instance_identity(operator: &Operator, name: &str, incarnation: u64) -> InstanceIdentity {
    InstanceIdentity {
        cluster: operator.cluster.clone(),
        name: name.to_string(),
        incarnation,
        keepers: operator.keepers.iter().map(|keeper| keeper.name.clone()).collect(),
    }
}
