//! Enforcement of the fleet's budgets in this proxy. The lease in `linenhill_cluster` decides whether a unit may be
//! used; this module maps connections, attempts, retries, health checks, admissions and load to budgets, and returns
//! acquired units. Without an operators' file this module must not limit anything.

use crate::api::ClassId;
use linenhill_cluster::client::FleetClient;
use linenhill_decisions::quota::lease_holder::AcquireDecision;
use linenhill_settings::operator::{BudgetKind, Operator};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// The operators' file declares a budget for a class that the settings do not define.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownClass {
    /// Name of the budget.
    pub budget: String,
    /// Name of the undefined class.
    pub class: String,
}

impl fmt::Display for UnknownClass {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "budget {}: no class '{}'", self.budget, self.class)
    }
}

impl std::error::Error for UnknownClass {}

/// Names of the budgets by the resource that they limit. Budgets of connections and attempts have an entry per member.
struct BoundBudgets {
    fleet: Rc<FleetClient>,
    connections: Vec<String>,
    attempts: Vec<String>,
    retries: Vec<String>,
    health_checks: Vec<String>,
    admissions: BTreeMap<ClassId, Vec<String>>,
    load: Option<LoadBudget>,
}

/// The budget that divides the fleet's load between its proxies.
struct LoadBudget {
    name: String,
    /// Total units of the fleet.
    total: u64,
}

impl BoundBudgets {
    fn new(
        fleet: Rc<FleetClient>, classes: &BTreeMap<String, ClassId>,
    ) -> Result<BoundBudgets, UnknownClass> {
        let operator = fleet.operator();
        Ok(BoundBudgets {
            connections: budgets_of(operator, BudgetKind::Connections),
            attempts: budgets_of(operator, BudgetKind::Attempts),
            retries: budgets_of(operator, BudgetKind::Repeats),
            health_checks: budgets_of(operator, BudgetKind::Probes),
            admissions: admission_budgets(operator, classes)?,
            load: find_load_budget(operator),
            fleet,
        })
    }

    /// The entries of this member, one for each budget of connections or attempts.
    fn member_entries<'a>(&'a self, member: &'a str) -> impl Iterator<Item = String> + 'a {
        self.connections.iter().chain(&self.attempts).map(move |budget| member_entry(budget, member))
    }
}

/// Names of the budgets of this kind.
fn budgets_of(operator: &Operator, kind: BudgetKind) -> Vec<String> {
    let bindings = operator.bindings.iter().filter(|binding| binding.kind == kind);
    bindings.map(|binding| binding.budget.clone()).collect()
}

fn admission_budgets(
    operator: &Operator, classes: &BTreeMap<String, ClassId>,
) -> Result<BTreeMap<ClassId, Vec<String>>, UnknownClass> {
    let mut admissions: BTreeMap<ClassId, Vec<String>> = BTreeMap::new();
    for binding in operator.bindings.iter().filter(|binding| binding.kind == BudgetKind::Admissions) {
        let class = binding.class.as_deref().unwrap_or_default();
        let Some(class_id) = classes.get(class) else {
            return Err(UnknownClass { budget: binding.budget.clone(), class: class.to_string() });
        };
        admissions.entry(*class_id).or_default().push(binding.budget.clone());
    }
    Ok(admissions)
}

/// The first budget of kind `LOAD`; `None` if there is none.
fn find_load_budget(operator: &Operator) -> Option<LoadBudget> {
    let name = budgets_of(operator, BudgetKind::Load).into_iter().next()?;
    let total = operator.budgets.get(&name)?.total;
    Some(LoadBudget { name, total })
}

/// The keepers' name for a member's entry of a budget.
fn member_entry(budget: &str, member: &str) -> String {
    format!("{budget}/{member}")
}

/// This proxy's quotas of the fleet's budgets, shared between clones. The default has no limits.
#[derive(Clone, Default)]
pub struct FleetQuota(Option<Rc<BoundBudgets>>);

/// A guard that holds one unit of each budget that limits a connection or an attempt, and returns them when it is
/// dropped. It must be held for as long as the connection or attempt exists.
#[derive(Default)]
pub struct QuotaUnit {
    /// `None` without limits.
    fleet: Option<Rc<FleetClient>>,
    /// The entries from which a unit was acquired.
    entries: Vec<String>,
}

impl Drop for QuotaUnit {
    fn drop(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        self.entries.iter().for_each(|entry| fleet.release(entry));
    }
}

impl FleetQuota {
    /// Creates the quotas of the budgets in the operators' file. `classes` maps the settings' names of classes to
    /// identifiers.
    ///
    /// # Errors
    /// The first budget of a class that the settings do not define.
    pub fn new(
        fleet: Rc<FleetClient>, classes: &BTreeMap<String, ClassId>,
    ) -> Result<FleetQuota, UnknownClass> {
        Ok(FleetQuota(Some(Rc::new(BoundBudgets::new(fleet, classes)?))))
    }

    /// Starts enforcing the entries of a member. None of their units may be used until a grant contains them.
    pub fn member_added(&self, member: &str) {
        let Some(bound) = &self.0 else { return };
        bound.member_entries(member).for_each(|entry| bound.fleet.enforce(&entry));
    }

    /// Stops enforcing the entries of a removed member. Units in use must still be returned.
    pub fn member_removed(&self, member: &str) {
        let Some(bound) = &self.0 else { return };
        bound.member_entries(member).for_each(|entry| bound.fleet.stop_enforcing(&entry));
    }

    /// Acquires the units for a new connection to a member; `None` if a quota is exhausted.
    pub fn acquire_connection(&self, member: &str) -> Option<QuotaUnit> {
        self.acquire(|bound| &bound.connections, member)
    }

    /// Acquires the units for an attempt at a member; `None` if a quota is exhausted.
    pub fn acquire_attempt(&self, member: &str) -> Option<QuotaUnit> {
        self.acquire(|bound| &bound.attempts, member)
    }

    /// Acquires a unit of each of the budgets, or no unit at all.
    fn acquire(&self, budgets: impl Fn(&BoundBudgets) -> &[String], member: &str) -> Option<QuotaUnit> {
        let Some(bound) = &self.0 else { return Some(QuotaUnit::default()) };
        // An early return drops the guard, which returns the units acquired so far.
        let mut unit = QuotaUnit { fleet: Some(bound.fleet.clone()), entries: Vec::new() };
        for budget in budgets(bound) {
            let entry = member_entry(budget, member);
            match bound.fleet.acquire(&entry) {
                AcquireDecision::Acquired => unit.entries.push(entry),
                AcquireDecision::Unlimited => {}
                AcquireDecision::Exhausted => return None,
            }
        }
        Some(unit)
    }

    /// Number of open connections to a member in excess of the quota, the largest of all connection budgets. The caller
    /// must close this number of idle connections.
    pub fn excess_connections(&self, member: &str) -> u64 {
        let Some(bound) = &self.0 else { return 0 };
        let excess = |budget: &String| bound.fleet.excess(&member_entry(budget, member));
        bound.connections.iter().map(excess).max().unwrap_or(0)
    }

    /// Spends a token for a retry or a hedged request. Returns whether the attempt may be sent.
    pub fn try_spend_retry(&self) -> bool {
        self.try_spend(|bound| &bound.retries)
    }

    /// Spends a token for a health check. Returns whether the health check may be sent.
    pub fn try_spend_health_check(&self) -> bool {
        self.try_spend(|bound| &bound.health_checks)
    }

    /// Spends a token for the admission of a request of this class. Returns whether the request may be admitted.
    pub fn try_spend_admission(&self, class: ClassId) -> bool {
        self.try_spend(|bound| bound.admissions.get(&class).map_or(&[][..], Vec::as_slice))
    }

    /// Spends a token of each of the budgets in order, up to the first exhausted one. Spent tokens are not returned.
    fn try_spend(&self, budgets: impl Fn(&BoundBudgets) -> &[String]) -> bool {
        let Some(bound) = &self.0 else { return true };
        budgets(bound).iter().all(|budget| bound.fleet.spend_token(budget) != AcquireDecision::Exhausted)
    }

    /// The fraction of the fleet's load, from 0 to 1, that this proxy's quota allows now; `None` if no budget divides
    /// the load.
    pub fn load_part(&self) -> Option<f64> {
        let bound = self.0.as_ref()?;
        let load = bound.load.as_ref()?;
        let limit = bound.fleet.limit(&load.name)?;
        Some(limit as f64 / load.total.max(1) as f64)
    }

    /// Records that this proxy receives client requests. It then demands all units of the load budget, which the leader
    /// divides between the proxies that demand them.
    pub fn record_demand(&self) {
        let Some(bound) = &self.0 else { return };
        if let Some(load) = &bound.load {
            bound.fleet.request_units(&load.name, load.total);
        }
    }

    /// Whether clients may be served. Where disruptions are limited, a proxy whose membership expired must not serve,
    /// since it may not have received a quarantine.
    pub fn may_serve(&self) -> bool {
        self.0.as_ref().is_none_or(|bound| bound.fleet.may_serve())
    }

    /// Waits until quotas may have changed. Never returns without limits.
    pub async fn changed(&self) {
        match &self.0 {
            Some(bound) => bound.fleet.quota_changed().await,
            None => std::future::pending().await,
        }
    }
}
