//! Instances of one fleet together: the link between them ([`protocol`], [`transport`]), the agreed log of the keepers ([`node`],
//! with an existing Raft engine, which [`keeper`] carries out) on its disk ([`store`]), and a proxy's side of it
//! ([`client`]).
//!
//! Carries out and decides nothing: what the log says and what may be used is decided by
//! `linenhill_decisions::{membership, quota}`. Nothing here is reached unless the operator's file asks for it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod clock;
pub mod keeper;
pub mod log_entry;

pub mod node;
pub mod protocol;
pub mod replicated_state;
pub mod store;
pub mod transport;
