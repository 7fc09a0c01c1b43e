//! The settings and the operators' file, read and checked.
//!
//! The platform's settings are JSON, for the adapter and the proxy alike ([`Profile`]); they become
//! [`linenhill_decisions::api::Settings`]. The operators' file is protobuf text ([`operator`]). Nothing here opens a socket,
//! reads a clock or decides how a request is served.

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

/// Bytes of a gossiped position: the member, then milliseconds x 2 + 1 if it is primary.
pub const GOSSIP_MESSAGE_BYTES: usize = 10;

/// Where `rules.drainGrace` is not given: the shortest grace of the sites that this was written for, since to stop too
/// soon harms nobody.
pub const DEFAULT_DRAIN_GRACE: Micros = Micros(250_000);
