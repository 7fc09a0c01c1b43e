//! Budgets for health checks and gossip: each request adds a fraction of the site's service objective, and each
//! action withdraws its cost.

use super::fleet_divisor::FleetDivisor;
use crate::api::Costs;

/// Fraction of the site's service objective that may be spent on periodic health checks of healthy members and on
/// checks after failed connections.
const HEALTH_CHECK_SPEND_PER_REQUEST: f64 = 0.004;
/// Maximum number of health checks that one router saves up.
const HEALTH_CHECK_BUDGET_MAX: f64 = 20.0;
/// Maximum number of health checks that all routers together save up; each router may save up at least one.
const FLEET_HEALTH_CHECK_BUDGET_MAX: f64 = 60.0;
/// Fraction of the site's service objective that may be spent on gossip.
const GOSSIP_SPEND_PER_REQUEST: f64 = 0.015;
/// Maximum number of gossip messages that a router saves up; a position sent to n instances counts as n.
const GOSSIP_BUDGET_MAX: f64 = 1_000.0;
/// Minimum cost of an action, for sites where it costs nothing.
const COST_MIN: f64 = 1e-6;

/// Number of actions that may be taken now, saved up from the requests that arrived.
#[derive(Default)]
pub(super) struct CostBudget {
    balance: f64,
}

impl CostBudget {
    fn accrue(&mut self, spend: f64, cost: f64, balance_max: f64) {
        self.balance = (self.balance + spend / cost.max(COST_MIN)).min(balance_max);
    }

    /// Withdraws `actions` if the balance covers them, and returns whether it did.
    pub(super) fn try_spend(&mut self, actions: f64) -> bool {
        let is_affordable = self.balance >= actions;
        if is_affordable {
            self.balance -= actions;
        }
        is_affordable
    }
}

/// The budgets of one router.
pub(super) struct CostBudgets {
    pub(super) health_checks: CostBudget,
    pub(super) gossip: CostBudget,
}

impl Default for CostBudgets {
    /// One health check is allowed before any request has arrived.
    fn default() -> CostBudgets {
        CostBudgets { health_checks: CostBudget { balance: 1.0 }, gossip: CostBudget::default() }
    }
}

impl CostBudgets {
    /// Adds the budget that an arriving request brings.
    pub(super) fn accrue_for_request(&mut self, costs: &Costs, fleet_divisor: FleetDivisor) {
        let balance_max =
            fleet_divisor.share_of(FLEET_HEALTH_CHECK_BUDGET_MAX).clamp(1.0, HEALTH_CHECK_BUDGET_MAX);
        self.health_checks.accrue(HEALTH_CHECK_SPEND_PER_REQUEST, costs.health_check, balance_max);
        self.gossip.accrue(GOSSIP_SPEND_PER_REQUEST, costs.gossip, GOSSIP_BUDGET_MAX);
    }
}
