//! Tests of single components, with paused time and in-memory streams where possible. They cover peers that send
//! nothing, incomplete messages, late messages or malformed input. They must not start the program itself, which the
//! other tests in this directory do.

#[path = "../../examples/toy/peer.rs"]
#[allow(dead_code)] // Other test binaries use the rest.
mod peer;

mod client_input;
mod client_requests;
mod connection_admission;
mod discovery_watch;
mod maintenance_log;
mod member_connection;
mod request_driver;
mod response_memory;
mod session_fixture;

/// Encodes a message of the PostgreSQL protocol: type, length, body.
fn typed_message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = 4 + u32::try_from(body.len()).expect("body is shorter than 4 GiB");
    [&[kind], &length.to_be_bytes()[..], body].concat()
}
