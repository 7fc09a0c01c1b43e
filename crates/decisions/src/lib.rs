//! Everything that decides: which member gets a request, when, what happens after failures ([`policy`]), which zones
//! have gone silent ([`zone_health`]), how the ill are tried ([`outlier_recovery`]), who of the clients' connections is let in
//! ([`connection_admission`]), when discovery is asked ([`poll_schedule`]) or watched ([`watch_schedule`]), and how old its news is ([`staleness`]),
//! how long clients have waited already ([`client_retry`]), what the site's goal makes of a request ([`service_objective`]), and what tenants may ask for ([`tenant_rate_limit`]);
//! and what instances agree on: who they are ([`roster`]), what each may use ([`shares`]), who is out ([`outages`]).
//! State machines that are told what happened and when, and push what is to be done; no I/O, no clock, no async,
//! nothing of linenhill's other packages.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod client_retry;
pub mod connection_admission;
pub mod lifecycle;
pub mod maintenance;
pub mod outages;
pub mod outlier_recovery;
pub mod planted;
pub mod policy;
pub mod poll_schedule;
pub mod roster;
pub mod service_objective;
pub mod shares;
pub mod staleness;
mod state;
pub mod tenant_rate_limit;
pub mod watch_schedule;
pub mod zone_health;
