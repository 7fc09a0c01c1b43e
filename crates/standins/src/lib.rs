//! Stand-ins for tests: a network between two instances ([`Relay`]), and in [`soak`] everybody that a proxy deals with,
//! under faults from one seed. Never linked into the proxy, and free of its code: what tests a proxy must not share its
//! mistakes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod relay;
pub mod soak;

pub use relay::{NetworkFaults, Relay};
