//! The clients' side: the listener, and a session for each connection.

pub mod connection_gate;
pub mod desk;
pub mod lifecycle_driver;
pub mod listener;
pub mod pipeline;
pub mod session;
