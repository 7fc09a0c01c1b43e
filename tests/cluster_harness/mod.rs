//! A fleet of processes on loopback: keepers, proxies, and members that count connections and attempts. A relay
//! simulates the network between each instance and each keeper. Tests check the limits of the whole fleet at the
//! members alone, without regard to the proxies' quotas.
#![allow(dead_code)] // Each test binary uses only some of the items.
#![allow(unused_imports)]

mod clients;
mod cluster;
mod counting_member;
mod faults;
mod fleet_commands;
mod instance;
mod operator_file;

pub use cluster::{Cluster, ClusterConfig, LimitExceeded};
pub use counting_member::MemberCounts;
pub use fleet_commands::linenhill_command;
pub use instance::Instance;
pub use operator_file::{Budgets, OperatorFile, Terms};
use std::time::Duration;

/// Number of keepers in every test fleet.
pub const KEEPERS: usize = 3;
/// Limit of the whole fleet at each member: concurrent connections, or attempts in flight.
pub const MEMBER_LIMIT: usize = 6;
/// Rate at which the whole fleet may admit requests of the class `order`.
pub const ADMISSIONS_PER_SECOND: u64 = 60;
/// Admissions of that class that the whole fleet may make at once.
pub const ADMISSION_BURST: u64 = 6;
/// Time limit for an expected state, long enough for a slow machine.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);
