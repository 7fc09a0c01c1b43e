//! linenhill is a proxy for database groups of one primary and its replicas. It decides which member of a group
//! receives a request, when it is sent, and how failures are handled.
//!
//! The decisions do no I/O: a driver passes [`api::Event`]s and the current time to [`policy::Router::handle`], and
//! performs the [`api::Action`]s that it emits. [`proxy`] assembles the driver for real sockets and [`process`]
//! starts it; the program `linenhill-simulator-adapter` is a driver for a simulator's wire protocol.
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
pub mod response_memory;
pub mod socket_state;
pub mod stages;
pub mod timeouts;
pub mod upstream;

/// Compiles the example in docs/ARCHITECTURE.md as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../docs/ARCHITECTURE.md")]
struct Architecture;
