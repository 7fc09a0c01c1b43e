//! Validates the budgets of the operators' file: their kinds, classes, totals and floors.

use super::check::{microseconds, out_of_range};
use super::document::{BudgetDoc, HeldDoc, RateDoc};
use super::mistake::MistakeList;
use super::{Binding, BudgetKind, check};
use linenhill_decisions::membership::MAX_NAME_BYTES;
use linenhill_decisions::quota::{Budget, Budgets, MAX_BUDGETS};
use std::ops::RangeInclusive;

/// Allowed units of a budget, units per second and bursts. The upper bound keeps sums of thousandths of a unit within
/// 64 bits.
const UNITS: RangeInclusive<u64> = 1..=1 << 32;
/// Allowed times for which a held unit can outlive its lease, in milliseconds; at most an hour.
const OUTLIVES_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Thousandths in a unit. Rates are stored in thousandths, so that a small share of a rate does not round down to zero.
const MILLI_UNITS: u64 = 1_000;

/// Validates all budgets; those without a valid kind or form are missing from the result.
pub fn check_budgets(documents: &[BudgetDoc], mistakes: &mut MistakeList) -> (Budgets, Vec<Binding>) {
    if documents.len() > MAX_BUDGETS {
        let problem = format!("must be given at most {MAX_BUDGETS} times, got {}", documents.len());
        mistakes.add_repeated("budget", MAX_BUDGETS, "budget", problem);
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

/// Validation of one budget of the file.
struct BudgetCheck<'a, 'text> {
    document: &'a BudgetDoc,
    /// Index of the budget in the file, from 0.
    index: usize,
    mistakes: &'a mut MistakeList<'text>,
}

impl BudgetCheck<'_, '_> {
    fn add_mistake(&mut self, field: &str, problem: impl Into<String>) {
        let field = format!("budget[{}].{field}", self.index);
        self.mistakes.add_repeated("budget", self.index, &field, problem);
    }

    fn check_name(&mut self, earlier: &Budgets) {
        let name = &self.document.name;
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if !check::is_name(name) || !name.chars().all(is_plain) || earlier.contains_key(name) {
            let problem = format!(
                "must be unique and have 1 to {MAX_NAME_BYTES} letters, digits, '-' or '_', got {name:?}"
            );
            self.add_mistake("name", problem);
        }
    }

    fn kind(&mut self) -> Option<BudgetKind> {
        let kind = BudgetKind::from_wire(self.document.what);
        if kind.is_none() {
            let expected = "CONNECTIONS, ATTEMPTS, REPEATS, PROBES, ADMISSIONS or LOAD";
            let received = self.document.what;
            self.add_mistake("what", format!("must be {expected}, got value {received}"));
        }
        kind
    }

    fn check_class(&mut self, kind: BudgetKind) {
        let class = &self.document.class;
        let needs_class = kind == BudgetKind::Admissions;
        if needs_class && class.is_empty() {
            self.add_mistake("class", "must name a class for ADMISSIONS, got none");
        } else if !needs_class && !class.is_empty() {
            self.add_mistake("class", format!("must be empty except for ADMISSIONS, got {class:?}"));
        }
    }

    /// Converts the budget. Its kind determines whether `held` or `rate` must be set, and the other one must not be; if
    /// this is violated, adds a mistake and returns `None`.
    fn budget(&mut self, kind: BudgetKind) -> Option<Budget> {
        let document = self.document;
        let (budget, limit) = match (&document.held, &document.rate, kind.is_rate()) {
            (Some(held), None, false) => {
                (self.held_budget(kind, held), format!("held.units ({})", held.units))
            }
            (None, Some(rate), true) => {
                (self.rate_budget(rate), format!("rate.per_second ({})", rate.per_second))
            }
            (held, rate, is_rate) => {
                let (field, other) = if is_rate { ("rate", "held") } else { ("held", "rate") };
                let received = match (held, rate) {
                    (None, None) => "neither",
                    (Some(_), None) => "held",
                    (None, Some(_)) => "rate",
                    (Some(_), Some(_)) => "both",
                };
                let problem = format!("must be set without {other} for this kind of budget, got {received}");
                self.add_mistake(field, problem);
                return None;
            }
        };
        if budget.floor > budget.total {
            self.add_mistake("floor", format!("must not exceed {limit}, got {}", document.floor));
        }
        Some(budget)
    }

    fn held_budget(&mut self, kind: BudgetKind, held: &HeldDoc) -> Budget {
        if !UNITS.contains(&held.units) {
            self.add_mistake("held.units", out_of_range(&UNITS, held.units));
        }
        if !OUTLIVES_MS.contains(&held.outlives_ms) {
            self.add_mistake("held.outlives_ms", out_of_range(&OUTLIVES_MS, held.outlives_ms));
        }
        let floor = self.document.floor;
        if kind == BudgetKind::Load && floor == 0 {
            self.add_mistake("floor", "must be at least 1 for LOAD, got 0");
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
            self.add_mistake("rate.per_second", out_of_range(&UNITS, rate.per_second));
        }
        if !UNITS.contains(&rate.burst) {
            self.add_mistake("rate.burst", out_of_range(&UNITS, rate.burst));
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
