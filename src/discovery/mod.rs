//! Discovery: the service, or the agent on this machine, that lists the members.
//!
//! [`client`] keeps one watch open, [`watch`] reads it, [`http`] cuts its answer into lines, [`list`] decodes them,
//! and [`status`] knows their age. Nothing here chooses a member or decides when an asked service is called: the
//! decisions get a [`list::ListEvent`] for each list and each call.

pub mod client;
pub mod http;
pub mod list;
pub mod status;
pub mod watch;
