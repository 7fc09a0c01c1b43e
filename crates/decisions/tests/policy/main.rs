//! Tests of the router without I/O, in virtual time: which member gets a request, when, and what follows a failure.
//!
//! Each module tests the module of `policy` with the same name; `histories` runs random sequences of events.

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
