//! What passes from an old version to a new one: the clients' listening socket, which the platform holds for
//! both, and operators' words on members, in a file.

pub mod inherit;
pub mod maintenance_log;
pub mod saved;
