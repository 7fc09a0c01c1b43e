//! Everything that decides. State machines that are told what happened and when, and push what is to be done:
//! no I/O, no clock, no async, nothing of linenhill's other packages.
//!
//! - [`policy`]: which member gets a request, when, and what happens after failures;
//! - [`zone_health`], [`outlier_recovery`]: which zones have gone silent, and how ejected members are tried again;
//! - [`service_objective`], [`client_retry`], [`tenant_rate_limit`]: what counts in the priority of a request;
//! - [`connection_admission`]: which connections of clients are served, closed or rejected;
//! - [`poll_schedule`], [`watch_schedule`], [`staleness`]: when discovery is polled or watched, how old its
//!   news is;
//! - [`list_lease`]: for how long the list of members may be used; [`platform_bounds`]: what waits are derived from;
//! - [`lifecycle`], [`maintenance`]: whether this process serves, which members are out by order of operators;
//! - [`membership`], [`quota`], [`disruption`]: what instances agree on: who belongs to the fleet, what each proxy
//!   may use of the fleet's budgets, which proxies and members may be out of service;
//! - [`fault_injection`]: breaks these three on purpose, in builds made for tests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod client_retry;
pub mod connection_admission;
pub mod disruption;
pub mod fault_injection;
pub mod lifecycle;
pub mod list_lease;
pub mod maintenance;
pub mod membership;
pub mod outlier_recovery;
pub mod platform_bounds;
pub mod policy;
pub mod poll_schedule;
pub mod quota;
pub mod service_objective;
pub mod staleness;
pub mod tenant_rate_limit;
pub mod watch_schedule;
pub mod zone_health;
