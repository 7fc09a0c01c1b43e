//! The interface of the decisions: what they are told, and what they may ask for. Types only; nothing here decides.
//!
//! - [`units`]: moments, durations and log positions;
//! - [`identifiers`]: what members, requests and the rest are named by;
//! - [`settings`]: what an instance is told at its start;
//! - [`events`]: what happens to a router;
//! - [`actions`]: what a router asks its driver to do.

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
