//! linenhill is a proxy for groups of one primary and its replicas: it decides which member of a group gets
//! a request, when, and what happens after failures.
//!
//! The decisions do no I/O: a driver feeds [`api::Event`]s to [`policy::Router::handle`] with the current
//! time, and carries out the [`api::Action`]s it pushes. [`proxy`] puts that driver together on real sockets, and
//! [`process`] starts it; the adapter `linenhill-simulator-adapter` is a driver on a simulator's wire.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use linenhill_decisions::{
    api, connection_admission, lifecycle, list_lease, maintenance, platform_bounds, policy, staleness,
    watch_schedule,
};
pub use linenhill_settings as settings;

pub mod admin;
pub mod cli;
pub mod clients;
pub mod clock;
pub mod close_reason;
pub mod config;
pub mod counters;
pub mod discovery;
pub mod fleet;
pub mod hot_restart;
pub mod invariants;
pub mod metrics;
pub mod pg;
pub mod process;
pub mod proxy;
pub mod request;
pub mod resource_limit;
pub mod socket_state;
pub mod stages;
pub mod timeouts;
pub mod upstream;

/// The example of docs/ARCHITECTURE.md is compiled with the tests.
#[cfg(doctest)]
#[doc = include_str!("../docs/ARCHITECTURE.md")]
struct Architecture;
