//! Clients that send malformed input, stop in the middle of a message, or send nothing. Such a client must get an error,
//! lose its connection in time and give back what it held.

use crate::session_fixture::{
    MESSAGE_MEMORY, STARTUP, SessionFixture, TERMINATE, connection_gate, new_gateway, next_accepted, query,
    read_to_end, serve, write,
};
use linenhill::close_reason::CloseReason;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// The platform's bound for a client that stops in the middle of a message, less the hold-up that it allows.
const STOPPED_CLIENT_WITHIN: Duration = Duration::from_millis(2_850);
/// A client may take so long for a message; its connection isn't ended before.
const SLOW_CLIENT_SERVED_FOR: Duration = Duration::from_millis(2_100);

/// Plays a client that sends this at once and reads to the end: what it got, and why the connection ended.
async fn send_all(bytes: &[u8]) -> (String, CloseReason) {
    let (SessionFixture { client, session, serving_state }, _events) = SessionFixture::with_own_gateway();
    let (mut reader, mut writer) = tokio::io::split(client);
    let read = async {
        let mut received = Vec::new();
        reader.read_to_end(&mut received).await.expect("read");
        String::from_utf8_lossy(&received).into_owned()
    };
    let write = async { writer.write_all(&[STARTUP, bytes].concat()).await.expect("all is read") };
    let (reason, received, ()) = tokio::join!(session, read, write);
    drop(serving_state);
    (received, reason)
}

/// Guards against bad clients that get no error, are not disconnected, keep a slot, or are served.
#[tokio::test(start_paused = true)]
async fn bad_clients_get_an_error_and_are_disconnected() {
    let oversized = [b"Q".as_slice(), &(9u32 << 20).to_be_bytes(), &vec![b'x'; 9 << 20]].concat();
    let without_id: Vec<u8> = (0..8).flat_map(|_| query("", "list")).collect();
    for (what, bytes, code) in [
        ("a value over 4 MB", oversized, "08P01"),
        ("a length without its bytes", query("1", "list")[..30].to_vec(), "08P01"),
        ("a negative length", b"Q\xff\xff\xff\xff".to_vec(), "08P01"),
        ("noise", b"\x07noise".to_vec(), "08P01"),
        ("the same again and again", without_id, "42601"),
    ] {
        let (received, reason) = send_all(&bytes).await;
        assert!(
            received.contains(code) && reason == CloseReason::Protocol,
            "{what}: {reason:?}, {received:?}"
        );
    }
    let (received, _) = send_all(&[query("1", "none"), TERMINATE.to_vec()].concat()).await;
    assert!(received.contains("field c"), "{received:?}");
}

/// Guards against limits that are longer than the platform's, in exact time: whatever part of a message is missing, and also
/// where the rest of it trickles in. A client that spends 2 s on a message is served all the same.
#[tokio::test(start_paused = true)]
async fn client_that_stops_in_a_message_gets_its_end_in_time() {
    let message = [STARTUP, &query("1", "list")].concat();
    for length in (1..message.len()).filter(|length| *length != STARTUP.len()) {
        let (SessionFixture { mut client, session, serving_state }, _events) =
            SessionFixture::with_own_gateway();
        let started = Instant::now();
        let stop = async {
            write(&mut client, &message[..length]).await;
            let mut received = Vec::new();
            client.read_to_end(&mut received).await.expect("read");
            started.elapsed()
        };
        let (reason, took) = tokio::join!(session, stop);
        assert!(took <= STOPPED_CLIENT_WITHIN, "after {length} bytes: {took:?}, {reason}");
        assert!(took >= SLOW_CLIENT_SERVED_FOR, "after {length} bytes: {took:?}, {reason}");
        drop(serving_state);
    }
    let (SessionFixture { mut client, session, serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let trickle = async {
        write(&mut client, STARTUP).await;
        let slow = query("1", "list");
        for byte in &slow {
            write(&mut client, &[*byte]).await;
            sleep(Duration::from_secs(2) / slow.len() as u32).await;
        }
        // Two seconds are no stop: the request is accepted.
        let accepted = next_accepted(&mut events).await;
        drop(client);
        drop(accepted);
    };
    tokio::join!(session, trickle);
    drop(serving_state);
}

/// Guards against a client's stop that is seen only from the answer to an earlier request on: its time runs meanwhile.
#[tokio::test(start_paused = true)]
async fn client_that_stops_behind_an_open_request_is_ended_with_its_answer() {
    let (SessionFixture { mut client, session, serving_state: _serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let play = async {
        let half = &query("2", "own")[..20];
        write(&mut client, &[STARTUP, &query("1", "list"), half].concat()).await;
        let accepted = next_accepted(&mut events).await;
        sleep(Duration::from_secs(5)).await;
        serve(accepted, "the row");
        let answered = Instant::now();
        let received = read_to_end(&mut client).await;
        assert!(received.contains("the row") && received.contains("08P01"), "{received:?}");
        assert!(answered.elapsed() < Duration::from_millis(300), "{:?}", answered.elapsed());
    };
    let (reason, ()) = tokio::join!(session, play);
    assert_eq!(reason, CloseReason::Protocol);
}

/// Guards against messages that together take more memory than there is.
#[tokio::test(start_paused = true)]
async fn message_without_memory_is_rejected() {
    let (gateway, _events) = new_gateway();
    let connection_gate = connection_gate(9);
    let long_message = [STARTUP, b"Q", &(150u32 << 10).to_be_bytes(), b"/* "].concat();
    let mut first = SessionFixture::new(&gateway, connection_gate.admit().expect("a place"));
    let mut second = SessionFixture::new(&gateway, connection_gate.admit().expect("a place"));
    let play = async {
        write(&mut first.client, &long_message).await;
        sleep(Duration::from_millis(10)).await;
        write(&mut second.client, &long_message).await;
        let received = read_to_end(&mut second.client).await;
        assert!(received.contains("C53300\0") && received.contains("\0D"), "{received:?}");
        drop(first.client);
    };
    tokio::join!(first.session, second.session, play);
    assert!(gateway.message_memory().acquire_weighted(MESSAGE_MEMORY).is_some(), "all of it is given back");
}

/// Guards against connections that take a descriptor for good and send nothing.
#[tokio::test(start_paused = true)]
async fn client_without_startup_message_is_disconnected() {
    let (SessionFixture { client, session, serving_state: _serving_state }, _events) =
        SessionFixture::with_own_gateway();
    assert_eq!(session.await, CloseReason::StartupTimeout);
    drop(client);
}
