//! What passes from an old version to a new one: the clients' listening socket, which the platform holds for
//! both, and the orders of operators on members, in a file. Nothing may depend on either being there.

pub mod inherit;
pub mod maintenance_log;
pub mod saved;
