//! Parsing and validation of the platform's settings and of the operators' file.
//!
//! The platform's settings are JSON and shared by the adapter and the proxy ([`Profile`]); they are converted to
//! [`linenhill_decisions::api::Settings`]. The operators' file is in protobuf's text format ([`operator`]). This crate
//! opens no socket, reads no clock and makes no routing decision.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod json;
mod name_interner;
pub mod operator;
mod profile;

pub use json::{JsonError, parse, required};
pub use name_interner::NameInterner;
pub use profile::{Profile, Site};

use linenhill_decisions::api::Micros;

/// Size of a gossip message: 4 bytes of the member's id, and 6 bytes of its position in milliseconds with a bit for the
/// primary role.
pub const GOSSIP_MESSAGE_BYTES: usize = 10;

/// Drain grace if `rules.drainGrace` is missing: the shortest one of the supported sites, since stopping sends too
/// early is harmless.
pub const DEFAULT_DRAIN_GRACE: Micros = Micros(250_000);
