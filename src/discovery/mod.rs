//! Client of discovery: the service, or the agent on this machine, that publishes the endpoint list.
//!
//! [`client`] keeps one watch open, [`watch`] reads it, [`http`] splits the response into lines, [`list`] decodes
//! them, and [`status`] tracks the age of the list. This module neither selects members nor schedules calls to a
//! shared service; it sends a [`list::ListEvent`] to the driver for each list and each call.

pub mod client;
pub mod http;
pub mod list;
pub mod status;
pub mod watch;
