//! A harness that drives one router in virtual time, without I/O, and the default settings of its tests.
#![allow(dead_code, unused_imports)] // Each test binary uses only a part of it.

mod router_harness;
mod settings;

pub use router_harness::*;
pub use settings::*;
