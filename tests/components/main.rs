//! Components of the program one at a time, with paused time and in-memory streams where that is possible. The tests
//! guard what happens when a peer sends nothing, too little, too late, or what is malformed. They must not start the
//! program itself: the other root tests do that.

#[path = "../../examples/toy/peer.rs"]
#[allow(dead_code)] // The tests of the whole program use the rest.
mod peer;

mod client_input;
mod client_requests;
mod connection_admission;
mod discovery_watch;
mod maintenance_log;
mod member_connection;
mod request_driver;
mod session_fixture;

/// A message of the PostgreSQL protocol: its type, its length, its body.
fn typed_message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = 4 + u32::try_from(body.len()).expect("a body under 4 GiB");
    [&[kind], &length.to_be_bytes()[..], body].concat()
}
