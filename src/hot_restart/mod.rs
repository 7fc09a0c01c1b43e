//! Hot restart: what an old version of the program leaves to the new one that takes over. That is the clients' listening
//! socket, which the platform holds for both, and the maintenance orders on members, in a file. Nothing may depend on
//! either being there.

pub mod inherit;
pub mod maintenance_log;
pub mod saved;
