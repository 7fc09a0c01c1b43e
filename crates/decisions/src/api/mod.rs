//! Types of the interface between a router and its driver.
//!
//! - [`units`]: times, durations and log positions;
//! - [`identifiers`]: ids of members, requests and the other entities;
//! - [`settings`]: configuration of an instance, given at its start;
//! - [`events`]: input of a router;
//! - [`actions`]: output of a router.

pub mod actions;
pub mod events;
pub mod identifiers;
pub mod settings;
pub mod units;

pub use actions::*;
pub use events::*;
pub use identifiers::*;
pub use settings::*;
pub use units::*;
