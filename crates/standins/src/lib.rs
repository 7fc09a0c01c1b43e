//! Test doubles: a network between two instances ([`Relay`]), and in [`soak`] members, discovery and clients of real
//! proxies, with faults drawn from one seed. The proxy must not link this crate, and this crate must not use the
//! proxy's code: a shared fault would go undetected.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod relay;
pub mod soak;

pub use relay::{NetworkFaults, Relay};
