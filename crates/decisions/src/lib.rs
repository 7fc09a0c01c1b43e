//! The decision logic of linenhill: state machines that receive timed events and return actions. They use no I/O, no
//! clock, no async code and none of linenhill's other packages.
//!
//! - [`policy`]: which member gets a request, when, and what happens after failures;
//! - [`zone_health`], [`outlier_recovery`]: detection of unresponsive zones, trials of ejected members;
//! - [`service_objective`], [`client_retry`], [`tenant_rate_limit`]: inputs of the priority of a request;
//! - [`connection_admission`]: which client connections are served, closed or rejected;
//! - [`poll_schedule`], [`watch_schedule`], [`staleness`]: when discovery is polled or watched, and the time since its
//!   last message;
//! - [`list_lease`]: how long the list of members may be used; [`platform_bounds`]: bounds for waits;
//! - [`lifecycle`], [`maintenance`]: whether this process serves, and which members are out of service;
//! - [`membership`], [`quota`], [`disruption`]: state replicated through the log of the keepers: the sessions of the
//!   fleet, the shares of its budgets, and the permits for proxies and members to be out of service;
//! - [`fault_injection`]: deliberate faults in these three, for builds made for tests.
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
