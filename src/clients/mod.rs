//! The clients' side: the listener, and a session for each connection.

pub mod desk;
pub mod listener;
pub mod roster;
pub mod session;
