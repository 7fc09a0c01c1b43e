//! Which member gets a request, when, and what happens after failures: the router alone, without I/O, in virtual time.
//!
//! One module a concern, named like the modules of `policy` that it guards; `histories` plays random orders of events.

#[path = "../common/mod.rs"]
mod common;

mod concurrency_limit;
mod connection_failure;
mod dispatch;
mod gossip;
mod health_checks;
mod hedging;
mod histories;
mod history_model;
mod member_health;
mod member_list;
mod primary_tracking;
mod read_position;
mod rejection;
mod replica_selection;
mod retry;
mod router;
mod slow_start;
mod wait_queue;
