//! The laboratory: the real decisions, keepers and lease holders under virtual time, with a network and clocks that a seed
//! draws. It must never be linked into the proxy, and nothing in it may depend on anything but its seed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decision_digest;
pub mod disk;
pub mod measure;
pub mod simulation;
