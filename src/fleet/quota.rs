//! Quotas of the fleet's budgets where they bind in this proxy. What may be used is decided by the lease in
//! `linenhill_cluster`; this module only knows which budget bounds what, and gives every acquired unit back. It must
//! never bound anything without an operators' file.

use crate::api::ClassId;
use linenhill_cluster::client::FleetClient;
use linenhill_decisions::quota::lease_holder::AcquireDecision;
use linenhill_settings::operator::{BudgetKind, Operator};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// The operators' file binds a budget to a class that the settings don't have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownClass {
    /// Name of the budget.
    pub budget: String,
    /// Name of the class.
    pub class: String,
}

impl fmt::Display for UnknownClass {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "budget {}: no class '{}'", self.budget, self.class)
    }
}

impl std::error::Error for UnknownClass {}

/// The budgets by what they bound. Those of connections and attempts exist once for each member.
struct BoundBudgets {
    fleet: Rc<FleetClient>,
    connections: Vec<String>,
    attempts: Vec<String>,
    retries: Vec<String>,
    health_checks: Vec<String>,
    admissions: BTreeMap<ClassId, Vec<String>>,
    load: Option<LoadBudget>,
}

/// The budget that divides the load of the whole fleet.
struct LoadBudget {
    name: String,
    /// Units of the whole fleet.
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
            load: load_budget(operator),
            fleet,
        })
    }

    /// The entries of all budgets that exist for this member.
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

fn load_budget(operator: &Operator) -> Option<LoadBudget> {
    let name = budgets_of(operator, BudgetKind::Load).into_iter().next()?;
    let total = operator.budgets.get(&name)?.total;
    Some(LoadBudget { name, total })
}

/// The entry of a budget that exists once for each member, as keepers know it.
fn member_entry(budget: &str, member: &str) -> String {
    format!("{budget}/{member}")
}

/// What this proxy may use of the fleet's budgets. Clones share it; by default nothing is bounded.
#[derive(Clone, Default)]
pub struct FleetQuota(Option<Rc<BoundBudgets>>);

/// One unit of each budget that bounds something, in use until it is dropped. It must live as long as the connection or
/// attempt it stands for.
#[derive(Default)]
pub struct QuotaUnit {
    /// `None` where nothing is bounded.
    fleet: Option<Rc<FleetClient>>,
    /// The entries of which a unit was acquired.
    entries: Vec<String>,
}

impl Drop for QuotaUnit {
    fn drop(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        self.entries.iter().for_each(|entry| fleet.release(entry));
    }
}

impl FleetQuota {
    /// The quotas of the fleet's operators' file, which names classes as the settings do.
    ///
    /// # Errors
    /// The first class that the settings don't have.
    pub fn new(
        fleet: Rc<FleetClient>, classes: &BTreeMap<String, ClassId>,
    ) -> Result<FleetQuota, UnknownClass> {
        Ok(FleetQuota(Some(Rc::new(BoundBudgets::new(fleet, classes)?))))
    }

    /// Records that there is a member with this name: from now on it has budgets of its own.
    pub fn member_added(&self, member: &str) {
        let Some(bound) = &self.0 else { return };
        bound.member_entries(member).for_each(|entry| bound.fleet.enforce(&entry));
    }

    /// Records that there is no member with this name any more. No unit of its budgets may be in use.
    pub fn member_removed(&self, member: &str) {
        let Some(bound) = &self.0 else { return };
        bound.member_entries(member).for_each(|entry| bound.fleet.stop_enforcing(&entry));
    }

    /// A unit for a new connection to a member; `None` if this proxy's quota has no room.
    pub fn acquire_connection(&self, member: &str) -> Option<QuotaUnit> {
        self.acquire(|bound| &bound.connections, member)
    }

    /// A unit for an attempt at a member; `None` if this proxy's quota has no room.
    pub fn acquire_attempt(&self, member: &str) -> Option<QuotaUnit> {
        self.acquire(|bound| &bound.attempts, member)
    }

    /// Acquires a unit of each of the budgets, or of none.
    fn acquire(&self, budgets: impl Fn(&BoundBudgets) -> &[String], member: &str) -> Option<QuotaUnit> {
        let Some(bound) = &self.0 else { return Some(QuotaUnit::default()) };
        // Dropped on an early return, it gives back what was acquired before.
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

    /// How many connections to a member are open beyond the quota: as many idle ones are to be closed.
    pub fn excess_connections(&self, member: &str) -> u64 {
        let Some(bound) = &self.0 else { return 0 };
        let excess = |budget: &String| bound.fleet.excess(&member_entry(budget, member));
        bound.connections.iter().map(excess).max().unwrap_or(0)
    }

    /// Spends a token for a second or later attempt. Returns whether the attempt may be sent.
    pub fn try_spend_retry(&self) -> bool {
        self.try_spend(|bound| &bound.retries)
    }

    /// Spends a token for a health check. Returns whether it may be sent.
    pub fn try_spend_health_check(&self) -> bool {
        self.try_spend(|bound| &bound.health_checks)
    }

    /// Spends a token for a request of this class. Returns whether the request may be admitted.
    pub fn try_spend_admission(&self, class: ClassId) -> bool {
        self.try_spend(|bound| bound.admissions.get(&class).map_or(&[][..], Vec::as_slice))
    }

    /// Spends a token of each of the budgets, up to the first one that is exhausted.
    fn try_spend(&self, budgets: impl Fn(&BoundBudgets) -> &[String]) -> bool {
        let Some(bound) = &self.0 else { return true };
        budgets(bound).iter().all(|budget| bound.fleet.spend_token(budget) != AcquireDecision::Exhausted)
    }

    /// This proxy's part, from 0 to 1, of the fleet's load; `None` where no budget divides the load.
    pub fn load_part(&self) -> Option<f64> {
        let bound = self.0.as_ref()?;
        let load = bound.load.as_ref()?;
        let limit = bound.fleet.limit(&load.name)?;
        Some(limit as f64 / load.total.max(1) as f64)
    }

    /// Records that clients ask for work here, so that this proxy requests a part of the fleet's load.
    pub fn record_demand(&self) {
        let Some(bound) = &self.0 else { return };
        if let Some(load) = &bound.load {
            bound.fleet.request_units(&load.name, load.total);
        }
    }

    /// Whether clients may be served: not where disruptions are limited and this proxy is no member of the fleet any
    /// more, since it can't know which members are out.
    pub fn may_serve(&self) -> bool {
        self.0.as_ref().is_none_or(|bound| bound.fleet.may_serve())
    }

    /// Returns once quotas changed; never where nothing is bounded.
    pub async fn changed(&self) {
        match &self.0 {
            Some(bound) => bound.fleet.quota_changed().await,
            None => std::future::pending().await,
        }
    }
}
