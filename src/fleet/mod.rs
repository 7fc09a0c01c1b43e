//! Integration of a proxy into a fleet: enforcement of its quotas, disruptions that require a permit, and the
//! operators' commands. The rules are in `linenhill_decisions`, and must not be duplicated here. Without an operators'
//! file this module has no effect.

pub mod command_line;
pub mod disruption;
pub mod quota;
mod status;
