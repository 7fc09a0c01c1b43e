//! Clients that send malformed input, stall in the middle of a message, or send nothing. Each must get an error or be
//! disconnected within its time limit, and its slot and memory must be released.

use crate::session_fixture::{
    MESSAGE_MEMORY_BYTES, STARTUP, SessionFixture, TERMINATE, connection_gate, new_gateway, next_accepted,
    query, read_to_end, serve, write,
};
use linenhill::close_reason::CloseReason;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// The platform's time limit for a client that stalls in the middle of a message, less the longest hold-up.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_millis(2_850);
/// Time that a client may take to send a message; its connection must not be closed earlier.
const MIN_MESSAGE_TIME: Duration = Duration::from_millis(2_100);

/// Sends the startup message and `bytes` in one write and reads to the end of the connection. Returns the received
/// text and the close reason.
async fn send_all(bytes: &[u8]) -> (String, CloseReason) {
    let (SessionFixture { client, session, serving_state }, _events) = SessionFixture::with_own_gateway();
    let (mut reader, mut writer) = tokio::io::split(client);
    let read = async {
        let mut received = Vec::new();
        reader.read_to_end(&mut received).await.expect("read");
        String::from_utf8_lossy(&received).into_owned()
    };
    let write =
        async { writer.write_all(&[STARTUP, bytes].concat()).await.expect("session reads all input") };
    let (reason, received, ()) = tokio::join!(session, read, write);
    drop(serving_state);
    (received, reason)
}

/// Guards against malformed input that is served, gets no error, or leaves its connection open.
#[tokio::test(start_paused = true)]
async fn bad_clients_get_an_error_and_are_disconnected() {
    let oversized = [b"Q".as_slice(), &(9u32 << 20).to_be_bytes(), &vec![b'x'; 9 << 20]].concat();
    let without_id: Vec<u8> = (0..8).flat_map(|_| query("", "list")).collect();
    for (case, bytes, code) in [
        ("a value over 4 MB", oversized, "08P01"),
        ("a length without its bytes", query("1", "list")[..30].to_vec(), "08P01"),
        ("a negative length", b"Q\xff\xff\xff\xff".to_vec(), "08P01"),
        ("an unknown message type", b"\x07noise".to_vec(), "08P01"),
        ("repeated statements without an id", without_id, "42601"),
    ] {
        let (received, reason) = send_all(&bytes).await;
        assert!(
            received.contains(code) && reason == CloseReason::Protocol,
            "{case}: {reason:?}, {received:?}"
        );
    }
    let (received, _) = send_all(&[query("1", "none"), TERMINATE.to_vec()].concat()).await;
    assert!(received.contains("field c"), "{received:?}");
}

/// Guards against a time limit longer than the platform's for a client that stalls after any byte of a message. A
/// client that takes 2 s to send a message byte by byte must be served. Time is paused, so the measured times are
/// exact.
#[tokio::test(start_paused = true)]
async fn client_that_stops_in_a_message_gets_its_end_in_time() {
    let message = [STARTUP, &query("1", "list")].concat();
    for length in (1..message.len()).filter(|length| *length != STARTUP.len()) {
        let (SessionFixture { mut client, session, serving_state }, _events) =
            SessionFixture::with_own_gateway();
        let started = Instant::now();
        let stall = async {
            write(&mut client, &message[..length]).await;
            let mut received = Vec::new();
            client.read_to_end(&mut received).await.expect("read");
            started.elapsed()
        };
        let (reason, took) = tokio::join!(session, stall);
        assert!(took <= STALLED_CLIENT_TIMEOUT, "after {length} bytes: {took:?}, {reason}");
        assert!(took >= MIN_MESSAGE_TIME, "after {length} bytes: {took:?}, {reason}");
        drop(serving_state);
    }
    let (SessionFixture { mut client, session, serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let send_slowly = async {
        write(&mut client, STARTUP).await;
        let slow = query("1", "list");
        for byte in &slow {
            write(&mut client, &[*byte]).await;
            sleep(Duration::from_secs(2) / slow.len() as u32).await;
        }
        // A client that takes 2 s has not stalled: its request is accepted.
        let accepted = next_accepted(&mut events).await;
        drop(client);
        drop(accepted);
    };
    tokio::join!(session, send_slowly);
    drop(serving_state);
}

/// Guards against a time limit that starts only once an earlier request is answered: the time of an incomplete message
/// counts while that request is open.
#[tokio::test(start_paused = true)]
async fn client_that_stops_behind_an_open_request_is_ended_with_its_answer() {
    let (SessionFixture { mut client, session, serving_state: _serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let steps = async {
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
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Protocol);
}

/// Guards against messages that together exceed the memory for messages: the second one must be rejected with the time
/// after which to retry, and all memory must be released.
#[tokio::test(start_paused = true)]
async fn message_without_memory_is_rejected() {
    let (gateway, _events) = new_gateway();
    let connection_gate = connection_gate(9);
    let long_message = [STARTUP, b"Q", &(150u32 << 10).to_be_bytes(), b"/* "].concat();
    let mut first = SessionFixture::new(&gateway, connection_gate.admit().expect("free slot"));
    let mut second = SessionFixture::new(&gateway, connection_gate.admit().expect("free slot"));
    let steps = async {
        write(&mut first.client, &long_message).await;
        sleep(Duration::from_millis(10)).await;
        write(&mut second.client, &long_message).await;
        let received = read_to_end(&mut second.client).await;
        assert!(received.contains("C53300\0") && received.contains("\0D"), "{received:?}");
        drop(first.client);
    };
    tokio::join!(first.session, second.session, steps);
    assert!(
        gateway.message_memory().acquire_weighted(MESSAGE_MEMORY_BYTES).is_some(),
        "all message memory is released"
    );
}

/// Guards against a rejection that the client never sees: it is still writing its message, in pieces with pauses, and a
/// connection that closes before is reset.
#[tokio::test(start_paused = true)]
async fn a_client_that_is_rejected_while_it_writes_can_finish_writing() {
    let (gateway, _events) = new_gateway();
    let connection = connection_gate(9).admit().expect("free slot");
    let SessionFixture { client, session, serving_state: _serving_state } =
        SessionFixture::new(&gateway, connection);
    // Enough is left for the startup message.
    let memory =
        gateway.message_memory().acquire_weighted(MESSAGE_MEMORY_BYTES - 4_096).expect("free memory");
    let (mut reader, mut writer) = tokio::io::split(client);
    let value = vec![b'x'; 60_000];
    let message = [STARTUP, b"Q", &(4 + value.len() as u32).to_be_bytes(), &value].concat();
    let write_slowly = async {
        for piece in message.chunks(10_000) {
            writer.write_all(piece).await.expect("the connection is open until the message is written");
            sleep(Duration::from_secs(1)).await;
        }
    };
    let read = async {
        let mut received = Vec::new();
        reader.read_to_end(&mut received).await.expect("read");
        String::from_utf8_lossy(&received).into_owned()
    };
    let (reason, (), received) = tokio::join!(session, write_slowly, read);
    assert!(received.contains("C53300\0"), "{received:?}");
    assert_eq!(reason, CloseReason::Protocol);
    drop(memory);
}

/// Guards against two time limits that add up: a client stops in the middle of a long message while the message waits for
/// memory, and memory is free a little later.
#[tokio::test(start_paused = true)]
async fn client_that_stops_while_its_message_waits_for_memory_gets_its_end_in_time() {
    let (gateway, _events) = new_gateway();
    let length = 1 << 20;
    let (semaphore, permits) = gateway.long_message_memory(length).expect("a length within the total");
    let memory = semaphore.acquire_many_owned(permits).await.expect("free memory");
    let connection = connection_gate(9).admit().expect("free slot");
    let SessionFixture { mut client, session, serving_state: _serving_state } =
        SessionFixture::new(&gateway, connection);
    let started = Instant::now();
    let half = [STARTUP, b"Q", &(length as u32).to_be_bytes(), &[b'x'; 3_000]].concat();
    let steps = async {
        write(&mut client, &half).await;
        write(&mut client, &[b'x'; 2_000]).await;
        sleep(Duration::from_secs(2)).await;
        drop(memory);
        read_to_end(&mut client).await;
        started.elapsed()
    };
    let (reason, took) = tokio::join!(session, steps);
    assert!(took <= STALLED_CLIENT_TIMEOUT, "{took:?}, {reason}");
}

/// Guards against a message that is cut off although its client goes on writing it.
#[tokio::test(start_paused = true)]
async fn client_that_goes_on_writing_is_served() {
    let (SessionFixture { mut client, session, serving_state: _serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let steps = async {
        write(&mut client, STARTUP).await;
        for piece in query("1", "list").chunks(10) {
            write(&mut client, piece).await;
            sleep(Duration::from_secs(2)).await;
        }
        serve(next_accepted(&mut events).await, "the row");
        write(&mut client, TERMINATE).await;
        assert!(read_to_end(&mut client).await.contains("the row"));
    };
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Terminated);
}

/// Guards against connections that send no startup message and hold a descriptor indefinitely.
#[tokio::test(start_paused = true)]
async fn client_without_startup_message_is_disconnected() {
    let (SessionFixture { client, session, serving_state: _serving_state }, _events) =
        SessionFixture::with_own_gateway();
    assert_eq!(session.await, CloseReason::StartupTimeout);
    drop(client);
}
