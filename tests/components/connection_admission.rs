//! Admission of client connections when all slots are taken: which connections are evicted, and how they end.

use crate::session_fixture::{
    SERVING, STARTUP, SessionFixture, admission_limits, connection_gate, new_gateway, next_accepted, query,
    read_to_end, serve, write,
};
use futures_util::FutureExt;
use linenhill::clients::connection_gate::{AdmittedConnection, ConnectionGate};
use linenhill::clients::listener;
use linenhill::clock::Clock;
use linenhill::close_reason::CloseReason;
use linenhill::connection_admission::AdmissionLimits;
use linenhill::counters::Counters;
use linenhill::stages::{DriverInput, FinalResponse};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

fn is_close_requested(connection: &AdmittedConnection) -> bool {
    connection.close_requested().now_or_never().is_some()
}

/// Guards against rejecting a new connection while an existing one sends nothing, and against closing a connection
/// with an open request.
#[tokio::test(start_paused = true)]
async fn new_connection_gets_the_slot_of_the_one_idle_longest() {
    let gate = connection_gate(4);
    let admit_busy = || gate.admit().inspect(AdmittedConnection::mark_busy);
    let admitted: Vec<AdmittedConnection> = (0..4).filter_map(|_| admit_busy()).collect();
    let is_closing = |index: usize| is_close_requested(&admitted[index]);
    admitted[3].mark_started();
    sleep(Duration::from_millis(100)).await;
    admitted[2].mark_idle();
    assert!(gate.admit().is_none(), "no connection has been idle or without a request for 0.2 s");
    sleep(Duration::from_millis(100)).await;
    let fourth = admit_busy();
    assert!(fourth.is_some() && is_closing(3) && !is_closing(2), "it has sent no request for 0.2 s");
    sleep(Duration::from_millis(150)).await;
    let fifth = admit_busy();
    assert!(fifth.is_some() && is_closing(2), "idle for 0.2 s");
    let sixth = gate.admit();
    assert!(
        sixth.is_none() && !is_closing(0) && !is_closing(1),
        "the other connections have open requests or were just accepted"
    );
    drop(admitted);
    let awaiting_startup: Vec<AdmittedConnection> = (0..2).filter_map(|_| gate.admit()).collect();
    let close_requested: Vec<bool> = awaiting_startup.iter().map(is_close_requested).collect();
    assert_eq!(
        close_requested,
        [true, false],
        "only the oldest connection without a startup message, although slots are free"
    );
}

/// Opens 40 connections, at most 8 at a time, sends one request on each, and keeps each open until the proxy closes
/// it.
async fn hold_connections(address: SocketAddr) {
    let client_limit = Arc::new(Semaphore::new(8));
    for number in 0..40 {
        let permit = client_limit.clone().acquire_owned().await.expect("semaphore is open");
        let mut stream = TcpStream::connect(address).await.expect("connect");
        let request = [STARTUP, &query(&number.to_string(), "list")].concat();
        stream.write_all(&request).await.expect("write");
        tokio::task::spawn_local(async move {
            let mut received = Vec::new();
            stream.read_to_end(&mut received).await.expect("read");
            assert!(String::from_utf8_lossy(&received).contains("the row"));
            drop(permit);
        });
    }
}

/// Reproduces a recorded incident on real sockets: clients that may hold 8 connections for requests send one request
/// on each and keep it open. Guards against clients that can send no further requests because none of the 8 is
/// closed.
#[tokio::test]
async fn clients_that_hold_connections_are_still_served() {
    let (gateway, mut events) = new_gateway();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
    let address = listener.local_addr().expect("local address");
    let limits = AdmissionLimits { max_request_connections: 8, ..admission_limits(40) };
    let gate = ConnectionGate::new(limits, Clock::start());
    let (_sender, serving_state) = watch::channel(SERVING);
    let counters = Rc::new(Counters::default());
    let answer_requests = async move {
        while let Some(input) = events.recv().await {
            if let DriverInput::RequestAccepted(accepted) = input {
                let _ = accepted.reply.send(FinalResponse::Served(b"the row".as_slice().into()));
            }
        }
    };
    let local = LocalSet::new();
    local.spawn_local(listener::run(listener, gateway, gate.clone(), serving_state, counters.clone()));
    local.spawn_local(gate.run());
    local.spawn_local(answer_requests);
    let done = local.run_until(timeout(Duration::from_secs(20), hold_connections(address))).await;
    assert!(done.is_ok(), "after {} connections no more could be opened", counters.clients.get());
    let evicted = counters.ended.get(CloseReason::Evicted);
    let all_closed = counters.ended.total();
    assert!(evicted >= 32 && evicted == all_closed, "{evicted} of {all_closed}");
}

/// Guards against a slot that is not released, and against a request that is lost when its connection is evicted.
#[tokio::test(start_paused = true)]
async fn connection_asked_to_close_ends_between_requests() {
    let connection_gate = connection_gate(1);
    let (gateway, mut events) = new_gateway();
    let SessionFixture { mut client, session, serving_state: _serving_state } =
        SessionFixture::new(&gateway, connection_gate.admit().expect("free slot"));
    let steps = async {
        write(&mut client, STARTUP).await;
        write(&mut client, &query("1", "list")).await;
        let accepted = next_accepted(&mut events).await;
        sleep(Duration::from_secs(3)).await;
        assert!(connection_gate.admit().is_none(), "its request is open");
        serve(accepted, "the row");
        sleep(Duration::from_secs(3)).await;
        assert!(connection_gate.admit().is_some());
    };
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Evicted);
}

/// Guards against a request that is lost because its connection is evicted when only the first bytes of the request
/// were read, and against a slot that is held by a message that never completes.
#[tokio::test(start_paused = true)]
async fn connection_asked_to_close_finishes_its_message() {
    let request = [STARTUP, &query("1", "list")].concat();
    let first_bytes_of_query = STARTUP.len() + 9;
    for (message, sent_bytes, is_completed, ends_within) in [
        (&request[..], first_bytes_of_query, true, Duration::from_millis(300)),
        (&request[..], first_bytes_of_query, false, Duration::from_millis(300)),
        (STARTUP, 3, false, Duration::from_millis(10)),
    ] {
        let connection_gate = connection_gate(1);
        let (gateway, mut events) = new_gateway();
        let SessionFixture { mut client, session, serving_state: _serving_state } =
            SessionFixture::new(&gateway, connection_gate.admit().expect("free slot"));
        let steps = async {
            write(&mut client, &message[..sent_bytes]).await;
            sleep(Duration::from_secs(1)).await;
            let _next = connection_gate.admit().expect("slot of the connection without a request");
            if is_completed {
                sleep(Duration::from_millis(100)).await;
                write(&mut client, &message[sent_bytes..]).await;
                serve(next_accepted(&mut events).await, "the row");
            }
            let read_started = Instant::now();
            let received = read_to_end(&mut client).await;
            assert_eq!(received.contains("the row"), is_completed, "{received:?}");
            assert!(read_started.elapsed() < ends_within);
        };
        let (reason, ()) = tokio::join!(session, steps);
        assert_eq!(reason, CloseReason::Evicted);
    }
}
