//! The router alone in virtual time: settings to start from, and a harness that sends it events and keeps its actions.
#![allow(dead_code, unused_imports)] // Each test file uses a part of it.

mod router_harness;
mod settings;

pub use router_harness::*;
pub use settings::*;
