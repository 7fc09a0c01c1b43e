//! The downstream side: client connections, from their accept to the last answer.

pub mod connection_gate;
pub mod lifecycle_driver;
pub mod listener;
pub mod pipeline;
pub mod request_gateway;
pub mod session;
