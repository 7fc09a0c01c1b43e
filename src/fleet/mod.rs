//! This process as one of a fleet: its quotas where they bind, disruptions that the fleet must allow, and the operators'
//! command line. What is allowed is decided in `linenhill_decisions`; this module carries it out and must not decide it.
//! Without an operators' file nothing here has an effect.

pub mod command_line;
pub mod disruption;
pub mod quota;
mod status;
