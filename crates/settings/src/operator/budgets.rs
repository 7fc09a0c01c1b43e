//! Checks the budgets of the operators' file: what each bounds, and what it grants.

use super::check::microseconds;
use super::document::{BudgetDoc, HeldDoc, RateDoc};
use super::mistake::MistakeList;
use super::{Binding, BudgetKind, check};
use linenhill_decisions::quota::{Budget, Budgets, MAX_BUDGETS};
use std::ops::RangeInclusive;

/// Units of a budget. The upper end leaves room for sums and for thousandths in 64 bits.
const UNITS: RangeInclusive<u64> = 1..=1 << 32;
/// How long a held unit may outlive its lease: up to an hour. Milliseconds.
const OUTLIVES_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Rates are counted in thousandths of a unit, so that a small part of a budget is no zero.
const MILLI_UNITS: u64 = 1_000;
const EXPECTED_UNITS: &str = "at least 1 is expected";

/// Checks all budgets; those that no budget can be made of are left out of the result.
pub fn check_budgets(documents: &[BudgetDoc], mistakes: &mut MistakeList) -> (Budgets, Vec<Binding>) {
    if documents.len() > MAX_BUDGETS {
        mistakes.add_repeated("budget", MAX_BUDGETS, "budget", "64 budgets at most are expected");
    }
    let mut budgets = Budgets::new();
    let mut bindings = Vec::new();
    for (index, document) in documents.iter().enumerate() {
        let mut check = BudgetCheck { document, index, mistakes };
        check.check_name(&budgets);
        let Some(kind) = check.kind() else { continue };
        check.check_class(kind);
        let Some(budget) = check.budget(kind) else { continue };
        budgets.insert(document.name.clone(), budget);
        let class = Some(document.class.clone()).filter(|class| !class.is_empty());
        bindings.push(Binding { budget: document.name.clone(), kind, class });
    }
    (budgets, bindings)
}

/// The check of one budget of the file.
struct BudgetCheck<'a, 'text> {
    document: &'a BudgetDoc,
    /// Its place among the budgets of the file, from 0.
    index: usize,
    mistakes: &'a mut MistakeList<'text>,
}

impl BudgetCheck<'_, '_> {
    fn add_mistake(&mut self, field: &str, problem: &str) {
        let field = format!("budget[{}].{field}", self.index);
        self.mistakes.add_repeated("budget", self.index, &field, problem);
    }

    fn check_name(&mut self, earlier: &Budgets) {
        let name = &self.document.name;
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if !check::is_name(name) || !name.chars().all(is_plain) || earlier.contains_key(name) {
            self.add_mistake("name", "a name of its own of letters, digits, - and _ is expected");
        }
    }

    fn kind(&mut self) -> Option<BudgetKind> {
        let kind = BudgetKind::from_wire(self.document.what);
        if kind.is_none() {
            let expected = "CONNECTIONS, ATTEMPTS, REPEATS, PROBES, ADMISSIONS or LOAD is expected";
            self.add_mistake("what", expected);
        }
        kind
    }

    fn check_class(&mut self, kind: BudgetKind) {
        let has_class = !self.document.class.is_empty();
        if has_class != (kind == BudgetKind::Admissions) {
            self.add_mistake("class", "a class is expected for ADMISSIONS, and for nothing else");
        }
    }

    /// The budget in the form that its kind needs; a rate and held units exclude each other.
    fn budget(&mut self, kind: BudgetKind) -> Option<Budget> {
        let document = self.document;
        let budget = match (&document.held, &document.rate, kind.is_rate()) {
            (Some(held), None, false) => self.held_budget(kind, held),
            (None, Some(rate), true) => self.rate_budget(rate),
            (_, _, true) => {
                self.add_mistake("rate", "rate, and not held, is expected");
                return None;
            }
            (_, _, false) => {
                self.add_mistake("held", "held, and not rate, is expected");
                return None;
            }
        };
        if budget.floor > budget.total {
            self.add_mistake("floor", "no more than the whole is expected");
        }
        Some(budget)
    }

    fn held_budget(&mut self, kind: BudgetKind, held: &HeldDoc) -> Budget {
        if !UNITS.contains(&held.units) {
            self.add_mistake("held.units", EXPECTED_UNITS);
        }
        if !OUTLIVES_MS.contains(&held.outlives_ms) {
            self.add_mistake("held.outlives_ms", "1 to 3600000 is expected");
        }
        let floor = self.document.floor;
        if kind == BudgetKind::Load && floor == 0 {
            self.add_mistake("floor", "at least 1 is expected for LOAD");
        }
        Budget {
            total: held.units,
            floor,
            burst: 0,
            outlives_us: microseconds(held.outlives_ms),
            per_key: kind.is_per_member(),
        }
    }

    fn rate_budget(&mut self, rate: &RateDoc) -> Budget {
        if !UNITS.contains(&rate.per_second) {
            self.add_mistake("rate.per_second", EXPECTED_UNITS);
        }
        if !UNITS.contains(&rate.burst) {
            self.add_mistake("rate.burst", EXPECTED_UNITS);
        }
        Budget {
            total: rate.per_second.saturating_mul(MILLI_UNITS),
            floor: self.document.floor.saturating_mul(MILLI_UNITS),
            burst: rate.burst,
            outlives_us: 0,
            per_key: false,
        }
    }
}
