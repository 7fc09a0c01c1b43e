//! The downstream side: connections of clients, from accepting them to their last answer.

pub mod connection_gate;
pub mod lifecycle_driver;
pub mod listener;
pub mod pipeline;
pub mod request_gateway;
pub mod session;
