//! Fleets of processes that agree on budgets, under faults of the processes and of the network between them. Limits of
//! the whole fleet are checked at the members, by what arrives there, without regard to quotas.
//!
//! Safety is checked throughout; an expected state is waited for with a long time limit, and no time is measured.

#[path = "../cluster_harness/mod.rs"]
mod cluster_harness;
#[path = "../harness/mod.rs"]
mod harness;

mod fault_sequences;
mod keepers;
mod latency;
mod limit_change;
mod quota_faults;
