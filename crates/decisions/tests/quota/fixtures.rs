//! Budgets, declarations and requests for the tests of quotas.

use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::table::QuotaCommand;
use linenhill_decisions::quota::{Budget, Budgets, QuotaRequest};
use std::cell::Cell;

/// A millisecond, in microseconds.
pub const MS: u64 = 1_000;
pub const TERMS: LeaseTerms =
    LeaseTerms { lease_us: 1_000 * MS, membership_us: 5_000 * MS, drift_ppm: 50_000 };
/// How long a held unit can outlive its lease, in microseconds.
pub const OUTLIVES_US: u64 = 400 * MS;

/// A budget of held units, which is not divided by key.
pub fn held_budget(total: u64, floor: u64) -> Budget {
    Budget { total, floor, burst: 0, outlives_us: OUTLIVES_US, per_key: false }
}

/// The budget `links` of held units, and the rate budget `probes`: 40 a second, in bursts of up to 8.
pub fn links_and_probes(total: u64, floor: u64) -> Budgets {
    let probes = Budget { total: 40_000, floor: 1_000, burst: 8, outlives_us: 0, per_key: false };
    [("links".to_string(), held_budget(total, floor)), ("probes".to_string(), probes)].into()
}

/// A declaration whose revision is higher than all earlier ones of this thread.
pub fn declare(terms: LeaseTerms, budgets: Budgets) -> QuotaCommand {
    thread_local! {
        static LAST_REVISION: Cell<u64> = const { Cell::new(0) };
    }
    let revision = LAST_REVISION.get() + 1;
    LAST_REVISION.set(revision);
    QuotaCommand::Declare { terms, budgets, revision }
}

/// The command for a request from an instance without a version or zone.
pub fn request_command(name: &str, incarnation: u64, request: QuotaRequest) -> QuotaCommand {
    let (version, zone) = (String::new(), String::new());
    QuotaCommand::Request { name: name.to_string(), incarnation, version, zone, request }
}
