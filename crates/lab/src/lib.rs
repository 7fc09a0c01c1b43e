//! Simulation of the real policy, keepers and lease holders in virtual time, with a seeded random network and clocks.
//! The proxy must not link this crate, and results must depend on the seed alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decision_digest;
pub mod disk;
pub mod measure;
pub mod simulation;
