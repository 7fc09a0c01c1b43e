//! A laboratory: keepers and proxies as they are, without their sockets, under a clock and a network that a seed draws.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decision_digest;
pub mod disk;
pub mod measure;
pub mod together;
