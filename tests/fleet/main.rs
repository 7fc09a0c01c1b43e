//! Several processes of the program that agree on budgets, with faults between them and within. The checker stands at the
//! members and counts what really arrives; it knows the limits of the whole fleet, and nothing of quotas.
//!
//! What must never be is asserted always; what must come is waited for, with a long limit and no measured time.

#[path = "../cluster_harness/mod.rs"]
mod cluster_harness;
#[path = "../harness/mod.rs"]
mod harness;

mod fault_sequences;
mod keepers;
mod latency;
mod limit_change;
mod quota_faults;
