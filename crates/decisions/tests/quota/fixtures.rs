//! Budgets, declarations and requests that the tests of quotas share.

use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::table::QuotaCommand;
use linenhill_decisions::quota::{Budget, Budgets, QuotaRequest};
use std::cell::Cell;

/// A millisecond, in microseconds.
pub const MS: u64 = 1_000;
pub const TERMS: LeaseTerms =
    LeaseTerms { lease_us: 1_000 * MS, membership_us: 5_000 * MS, drift_ppm: 50_000 };
/// How long a held unit can outlive its lease.
pub const OUTLIVES_US: u64 = 400 * MS;

/// A budget of units that are held.
pub fn held_budget(total: u64, floor: u64) -> Budget {
    Budget { total, floor, burst: 0, outlives_us: OUTLIVES_US, per_key: false }
}

/// The held budget `links` and the rate `probes`: 40 a second, 8 at once.
pub fn links_and_probes(total: u64, floor: u64) -> Budgets {
    let probes = Budget { total: 40_000, floor: 1_000, burst: 8, outlives_us: 0, per_key: false };
    [("links".to_string(), held_budget(total, floor)), ("probes".to_string(), probes)].into()
}

/// A declaration of a revision later than all before it.
pub fn declare(terms: LeaseTerms, budgets: Budgets) -> QuotaCommand {
    thread_local! {
        static LAST_REVISION: Cell<u64> = const { Cell::new(0) };
    }
    let revision = LAST_REVISION.get() + 1;
    LAST_REVISION.set(revision);
    QuotaCommand::Declare { terms, budgets, revision }
}

/// The command for a request of an instance without version and zone.
pub fn request_command(name: &str, incarnation: u64, request: QuotaRequest) -> QuotaCommand {
    let (version, zone) = (String::new(), String::new());
    QuotaCommand::Request { name: name.to_string(), incarnation, version, zone, request }
}
