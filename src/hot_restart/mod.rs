//! Hot restart: the state that an old version of the program hands over to a new one. It consists of the clients'
//! listening socket, which the platform holds for both, and a file with the maintenance orders on members. Both are
//! optional.

pub mod inherit;
pub mod maintenance_log;
pub mod saved;
