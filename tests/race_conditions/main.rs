//! Races between two events, on real sockets. Simulated members, discovery and clients pause at a step until the test
//! lets them continue, so the test determines the order of the two events. No result depends on measured time: each
//! step waits for an effect of the previous one. `docs/design/crossings.md` lists the pairs of events.

#[path = "../harness/mod.rs"]
mod harness;

mod broken_connections;
mod client_departure;
mod list_changes;
mod member_side;
mod setup;
mod start_and_upgrade;
mod stop;
