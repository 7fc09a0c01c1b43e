//! Everything that decides: which member gets a request, when, what happens after failures ([`policy`]), which zones
//! have gone silent ([`outage`]), how the ill are tried ([`recovery`]), who of the clients' connections is let in
//! ([`door`]), when discovery is asked ([`asking`]) or watched ([`watching`]), and how old its news is ([`freshness`]),
//! how long clients have waited already ([`patience`]), what the site's goal makes of a request ([`goals`]), and what tenants may ask for ([`allowance`]);
//! and what instances agree on: who belongs to the fleet ([`membership`]), what each proxy may use of the fleet's budgets
//! ([`quota`]), and which proxies and members may be out of service ([`disruption`]). [`fault_injection`] breaks these
//! three on purpose, in builds made for tests.
//! State machines that are told what happened and when, and push what is to be done; no I/O, no clock, no async,
//! nothing of linenhill's other packages.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod allowance;
pub mod api;
pub mod asking;
pub mod disruption;
pub mod door;
pub mod fault_injection;
pub mod freshness;
pub mod goals;
pub mod lifecycle;
pub mod maintenance;
pub mod membership;
pub mod outage;
pub mod patience;
pub mod policy;
pub mod quota;
pub mod recovery;
mod state;
pub mod watching;
