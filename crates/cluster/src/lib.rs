//! Coordination of the instances of a fleet: keepers replicate a log, and proxies lease quotas from its state.
//!
//! - [`protocol`] and [`transport`]: messages and connections between instances;
//! - [`raft_node`]: a keeper's logic, on the Raft engine; [`keeper`] runs it with sockets and a clock, [`store`]
//!   persists it;
//! - [`log_entry`] and [`replicated_state`]: the entries of the log, and the state that the keepers build from them;
//! - [`client`]: a proxy's client of the keepers; [`clock`]: the clock for leases.
//!
//! The rules for sessions, quotas and permits are in `linenhill_decisions::{membership, quota, disruption}`, and must
//! not be duplicated here. Only processes with an operators' file run this code.
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
