//! Budgets of the whole fleet where they bind in this proxy. Without the operator's file nothing binds.

pub mod outages;
pub mod tools;

use crate::api::ClassId;
use linenhill_cluster::client::FleetClient;
use linenhill_decisions::quota::lease_holder::AcquireDecision;
use linenhill_settings::operator::BudgetKind;
use std::collections::BTreeMap;
use std::rc::Rc;

struct Bound {
    fleet: Rc<FleetClient>,
    connections: Vec<String>,
    attempts: Vec<String>,
    repeats: Vec<String>,
    probes: Vec<String>,
    admissions: BTreeMap<ClassId, Vec<String>>,
    /// With the whole.
    load: Option<(String, u64)>,
}

/// What this proxy may use of the fleet's budgets; by default nothing binds.
#[derive(Clone, Default)]
pub struct Shares(Option<Rc<Bound>>);

/// A unit of held budgets, in use until it is dropped.
#[derive(Default)]
pub struct Unit(Option<(Rc<Bound>, Vec<String>)>);

impl Drop for Unit {
    fn drop(&mut self) {
        if let Some((bound, lines)) = self.0.take() {
            lines.iter().for_each(|line| bound.fleet.release(line));
        }
    }
}

impl Shares {
    /// Those of the operator's file, which names classes as the settings do; else the first class that they don't know.
    pub fn new(fleet: Rc<FleetClient>, classes: &BTreeMap<String, ClassId>) -> Result<Shares, String> {
        let named = |kind: BudgetKind| -> Vec<String> {
            let bindings = fleet.operator().bindings.iter();
            bindings.filter(|b| b.kind == kind).map(|b| b.budget.clone()).collect()
        };
        let mut admissions: BTreeMap<ClassId, Vec<String>> = BTreeMap::new();
        for binding in fleet.operator().bindings.iter().filter(|b| b.kind == BudgetKind::Admissions) {
            let class = binding.class.as_deref().unwrap_or_default();
            let class =
                classes.get(class).ok_or_else(|| format!("budget {}: no class '{class}'", binding.budget))?;
            admissions.entry(*class).or_default().push(binding.budget.clone());
        }
        let (connections, attempts) = (named(BudgetKind::Connections), named(BudgetKind::Attempts));
        let (repeats, probes) = (named(BudgetKind::Repeats), named(BudgetKind::Probes));
        let load = named(BudgetKind::Load).into_iter().next().and_then(|name| {
            let whole = fleet.operator().budgets.get(&name)?.total;
            Some((name, whole))
        });
        Ok(Shares(Some(Rc::new(Bound { fleet, connections, attempts, repeats, probes, admissions, load }))))
    }

    /// Says which members there are: of each there are budgets of its own.
    pub fn members<'a>(&self, names: impl Iterator<Item = &'a str>) {
        let Some(bound) = &self.0 else { return };
        for name in names {
            let budgets = bound.connections.iter().chain(&bound.attempts);
            budgets.for_each(|budget| bound.fleet.enforce(&line(budget, name)));
        }
    }

    /// A member is gone.
    pub fn gone(&self, name: &str) {
        let Some(bound) = &self.0 else { return };
        let budgets = bound.connections.iter().chain(&bound.attempts);
        budgets.for_each(|budget| bound.fleet.stop_enforcing(&line(budget, name)));
    }

    fn held(&self, budgets: impl Fn(&Bound) -> &[String], member: &str) -> Option<Unit> {
        let Some(bound) = &self.0 else { return Some(Unit(None)) };
        let mut unit = Unit(Some((bound.clone(), Vec::new())));
        for budget in budgets(bound) {
            let line = line(budget, member);
            match bound.fleet.acquire(&line) {
                AcquireDecision::Acquired => {
                    unit.0.iter_mut().for_each(|(_, lines)| lines.push(line.clone()))
                }
                AcquireDecision::Unlimited => {}
                AcquireDecision::Exhausted => return None,
            }
        }
        Some(unit)
    }

    /// A connection to a member; none where there is no room for one in this proxy's share.
    pub fn connection(&self, member: &str) -> Option<Unit> {
        self.held(|b| &b.connections, member)
    }

    /// An attempt at a member.
    pub fn attempt(&self, member: &str) -> Option<Unit> {
        self.held(|b| &b.attempts, member)
    }

    /// Connections to a member beyond what may be: idle ones are to be ended.
    pub fn excess(&self, member: &str) -> u64 {
        let Some(bound) = &self.0 else { return 0 };
        bound.connections.iter().map(|budget| bound.fleet.excess(&line(budget, member))).max().unwrap_or(0)
    }

    fn spent(&self, budgets: impl Fn(&Bound) -> &[String]) -> bool {
        let Some(bound) = &self.0 else { return true };
        budgets(bound).iter().all(|budget| bound.fleet.spend_token(budget) != AcquireDecision::Exhausted)
    }

    /// A second or later attempt.
    pub fn repeat(&self) -> bool {
        self.spent(|b| &b.repeats)
    }

    /// A probe.
    pub fn probe(&self) -> bool {
        self.spent(|b| &b.probes)
    }

    /// A request of this class is let in.
    pub fn admission(&self, class: ClassId) -> bool {
        self.spent(|b| b.admissions.get(&class).map_or(&[][..], Vec::as_slice))
    }

    /// The part of the work of all that this proxy may count as its own now, where that is agreed on.
    pub fn part(&self) -> Option<f64> {
        let bound = self.0.as_ref()?;
        let (load, whole) = bound.load.as_ref()?;
        Some(bound.fleet.limit(load)? as f64 / (*whole).max(1) as f64)
    }

    /// There is work here.
    pub fn work(&self) {
        if let Some(bound) = &self.0
            && let Some((load, whole)) = &bound.load
        {
            bound.fleet.request_units(load, *whole);
        }
    }

    /// Whether clients are served: not where outages are bounded and this proxy is a member of the fleet no more, since it
    /// can't know who is out.
    pub fn serves(&self) -> bool {
        self.0.as_ref().is_none_or(|bound| bound.fleet.may_serve())
    }

    /// Returns when shares changed; never where nothing binds.
    pub async fn changed(&self) {
        match &self.0 {
            Some(bound) => bound.fleet.quota_changed().await,
            None => std::future::pending().await,
        }
    }
}

fn line(budget: &str, member: &str) -> String {
    format!("{budget}/{member}")
}
