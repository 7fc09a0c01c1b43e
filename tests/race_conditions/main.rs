//! Two events that race, on real sockets: members, discovery and clients stop at a step and go on when the test lets them,
//! so the order of the two is made here. No verdict rests on measured time: each step waits for what the one before
//! brings about. `docs/design/crossings.md` names the pairs.

#[path = "../harness/mod.rs"]
mod harness;

mod broken_connections;
mod client_departure;
mod list_changes;
mod member_side;
mod setup;
mod start_and_upgrade;
mod stop;
