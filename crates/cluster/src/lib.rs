//! The instances of one fleet together: a replicated log among the keepers, and the proxies that lease quota from it.
//!
//! - [`protocol`] and [`transport`]: messages and connections between instances;
//! - [`raft_node`]: a keeper's decisions, on the Raft engine; [`keeper`] gives it sockets and a clock, [`store`] its disk;
//! - [`log_entry`] and [`replicated_state`]: what the log holds, and the state that the keepers build from it;
//! - [`client`]: a proxy's side; [`clock`]: the clock that leases are measured by.
//!
//! What the log's commands mean, and what a proxy may use, is decided by `linenhill_decisions::{membership, quota,
//! disruption}`; this crate must not decide it. Nothing here runs unless the operators' file asks for it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod clock;
pub mod keeper;
pub mod log_entry;
pub mod protocol;
pub mod raft_node;
pub mod replicated_state;
pub mod store;
pub mod transport;
