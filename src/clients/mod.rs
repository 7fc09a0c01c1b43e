//! The clients' side: the listener, and a session for each connection.

pub mod desk;
pub mod doorway;
pub mod listener;
pub mod phase;
pub mod pipeline;
pub mod session;
