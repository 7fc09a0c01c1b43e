//! A fleet of processes on loopback: keepers, proxies, and members that count what reaches them, with a relay as the network
//! between every instance and each keeper. It knows the limits of the whole fleet and nothing of quotas: what a proxy may
//! use must be judged at the members alone.
#![allow(dead_code)] // Each test binary uses its part.
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

pub const KEEPERS: usize = 3;
/// What the whole fleet may use at each member at once: connections, or attempts in flight.
pub const MEMBER_LIMIT: usize = 6;
/// Admissions of the class `order` that the whole fleet may make each second.
pub const ADMISSIONS_PER_SECOND: u64 = 60;
/// Admissions that it may make at once.
pub const ADMISSION_BURST: u64 = 6;
/// A state that must come has come by then, on the slowest machine.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);
