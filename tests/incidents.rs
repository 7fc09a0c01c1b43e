//! Reproduces the recorded incidents (`docs/incidents/`) with the proxy process: a proxy that starts from a saved list
//! while its whole fleet starts, and clients that stall in the middle of a request. The bounds are those of the
//! platform; the proxy's own timeouts are well below them, so that a slow machine does not change the result.

mod harness;

use harness::peer::{self, MemberAction};
use harness::{
    CONFIG, Program, READ, WATCH_HEAD, WRITE, accept_watch, bind_loopback, connect_client, encode,
    program_command, query_command, read_answer, run_local, send_watch_line, start_program, write_test_file,
};
use linenhill::pg::backend::Command;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A client that stalls in the middle of a request must get an error or a close within this time.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Nothing may be sent by an unconfirmed saved list later than this after the start. A change just before the previous
/// process exited, 5 s before the start, counts as notified 1 s after the start, and binds 2 s later.
const LAST_SEND_AFTER_START: Duration = Duration::from_secs(3);
/// Added to that bound for delays of a busy machine in the test's own measurements.
const TEST_SLACK: Duration = Duration::from_millis(900);
/// Longer than an unconfirmed saved list may be used, and than the delay of the first call of the last of 300 proxies.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// Starts three members that serve every statement and record the times of writes in `sent`. Returns the configuration
/// with their addresses, and the addresses.
async fn start_members(config: &str, sent: &Rc<RefCell<Vec<Instant>>>) -> (String, Vec<SocketAddr>) {
    let mut config = config.to_string();
    let mut addresses = Vec::new();
    for (index, example) in ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"].iter().enumerate() {
        let (listener, address) = bind_loopback().await;
        config = config.replace(example, &address.to_string());
        addresses.push(address);
        let sent = sent.clone();
        let serve = move |statement: String| {
            if statement.contains("INSERT") {
                sent.borrow_mut().push(Instant::now());
            }
            std::future::ready(MemberAction::Row("x".to_string()))
        };
        spawn_local(peer::member(listener, index == 0, serve));
    }
    (config, addresses)
}

/// Starts the proxy as the last of a fleet of 300, with this discovery service.
async fn start_last_of_fleet(name: &str, config: &str, discovery: &TcpListener) -> Program {
    let address = discovery.local_addr().expect("local address of discovery").to_string();
    let config = config
        .replace("127.0.0.1:8500", &address)
        .replace("\"fleetSize\": 1", "\"fleetSize\": 300, \"me\": 299")
        .replace("\"mayProbe\": true", "\"mayProbe\": false");
    let path = write_test_file(&format!("{name}.json"), &config);
    start_program(program_command(&path), path)
}

/// Sends one write after another, each from a new client, until the end of the test. Counts them in `written`.
async fn write_continuously(address: SocketAddr, written: Rc<Cell<u32>>) {
    loop {
        written.set(written.get() + 1);
        let statement = WRITE
            .replace("id=a2", &format!("id=q{}", written.get()))
            .replace("k=b2", &format!("k={:x}", written.get()))
            .replace("d=60000", "d=2000");
        let answered = async {
            let mut stream = connect_client(address, &[&statement]).await;
            read_answer(&mut stream).await
        };
        let _ = timeout(Duration::from_millis(400), answered).await;
        sleep(Duration::from_millis(25)).await;
    }
}

/// Times since the start of the writes that were sent after the bound.
fn late_sends(sent: &Rc<RefCell<Vec<Instant>>>, started: Instant) -> Vec<Duration> {
    let times = sent.borrow().iter().map(|time| time.duration_since(started)).collect::<Vec<_>>();
    times.into_iter().filter(|time| *time > LAST_SEND_AFTER_START + TEST_SLACK).collect()
}

/// Guards against sends by a saved list after its changes count as notified. The first call of discovery is delayed by
/// the process's place in a fleet of 300, and all members were replaced under the same names before the process
/// started. With the fault, sends continued for 8 s.
#[test]
fn restarted_process_stops_using_an_unconfirmed_saved_list() {
    run_local(async {
        let sent = Rc::new(RefCell::new(Vec::new()));
        let (config, _) = start_members(CONFIG, &sent).await;
        let (discovery, _) = bind_loopback().await;
        let program = start_last_of_fleet("saved-list", &config, &discovery).await;
        let started = Instant::now();
        let address = program.logged_address("listens on ");
        // Discovery accepts every call and sends no response.
        let calls = Rc::new(RefCell::new(Vec::new()));
        let open_calls = calls.clone();
        spawn_local(async move {
            loop {
                let call = discovery.accept().await.expect("accept a discovery call").0;
                open_calls.borrow_mut().push(call);
            }
        });
        let written = Rc::new(Cell::new(0));
        spawn_local(write_continuously(address, written.clone()));
        sleep(OBSERVATION_TIME).await;
        assert!(!sent.borrow().is_empty(), "the saved list should be used at first");
        let late = late_sends(&sent, started);
        assert!(late.is_empty(), "{} of {} sends were late: {late:?}", late.len(), sent.borrow().len());
        assert!(written.get() > 50, "clients should be answered without delay: {} writes", written.get());
    });
}

/// Guards against a first call of discovery that comes after the changes missed before the start have become binding.
/// The last proxy of a large fleet calls last.
#[test]
fn last_of_a_large_fleet_calls_discovery_before_what_it_missed_binds() {
    run_local(async {
        let sent = Rc::default();
        let (config, addresses) = start_members(CONFIG, &sent).await;
        let (discovery, _) = bind_loopback().await;
        let program = start_last_of_fleet("first-call", &config, &discovery).await;
        let (mut call, from) = timeout(LAST_SEND_AFTER_START + TEST_SLACK, accept_watch(&discovery))
            .await
            .expect("the first call should come in time");
        assert_eq!(from, 1);
        // The list marks all members as terminating.
        let terminating: Vec<String> = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| {
                format!(
                    r#"{{"id":"m-{}","addr":"{address}","zone":"a","kind":"toy","cell":1,"state":"terminating","started_ms":0}}"#,
                    index + 1
                )
            })
            .collect();
        let line = format!(r#"{{"version":2,"full":false,"servers":[{}]}}"#, terminating.join(","));
        send_watch_line(&mut call, WATCH_HEAD, &line).await;
        program.wait_for_log("list version 2 with 3 entries").await;
    });
}

/// Sends `bytes`, stalls with the connection open, and returns the time until the proxy sent more than
/// `expected_length` bytes or closed.
async fn stall_after(address: SocketAddr, bytes: Vec<u8>, expected_length: usize) -> Duration {
    let mut stream = TcpStream::connect(address).await.expect("connect to the proxy");
    stream.set_nodelay(true).expect("set TCP_NODELAY");
    stream.write_all(&bytes).await.expect("write the bytes");
    let stalled_at = Instant::now();
    let mut received = Vec::new();
    loop {
        let mut piece = [0; 1024];
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return stalled_at.elapsed(),
            Ok(length) => received.extend_from_slice(&piece[..length]),
        }
        if received.len() > expected_length {
            return stalled_at.elapsed();
        }
    }
}

/// Length of the response to a startup message, in bytes.
async fn startup_response_length(address: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(address).await.expect("connect to the proxy");
    stream.write_all(&encode(&[Command::Startup])).await.expect("write the startup message");
    let mut received = Vec::new();
    while !received.ends_with(b"Z\0\0\0\x05I") {
        received.push(stream.read_u8().await.expect("read the response to the startup message"));
    }
    received.len()
}

/// Guards against timeouts of stalled clients that exceed the platform's bound. With the fault, their connections were
/// closed after 3.5 s.
#[test]
fn client_that_stops_at_any_byte_gets_its_end_in_time() {
    run_local(async {
        let sent = Rc::default();
        let (config, _) = start_members(CONFIG, &sent).await;
        let (discovery, discovery_address) = bind_loopback().await;
        spawn_local(peer::discovery(discovery, r#"{"version":2,"full":false,"servers":[]}"#.to_string()));
        let path = write_test_file(
            "stopped.json",
            &config.replace("127.0.0.1:8500", &discovery_address.to_string()),
        );
        let program = start_program(program_command(&path), path);
        let address = program.logged_address("listens on ");
        let startup_response = startup_response_length(address).await;
        let startup = encode(&[Command::Startup]).to_vec();
        let request = encode(&[Command::Startup, query_command(READ)]).to_vec();
        let mut clients = Vec::new();
        for length in 1..request.len() {
            // After exactly the startup message a client is between requests, and has not stalled.
            if length != startup.len() {
                let expected_length = if length > startup.len() { startup_response } else { 0 };
                let client = stall_after(address, request[..length].to_vec(), expected_length);
                clients.push((length, spawn_local(client)));
            }
        }
        for (length, client) in clients {
            let took = client.await.expect("join a client");
            assert!(
                took < STALLED_CLIENT_TIMEOUT,
                "client stalled after {length} bytes: error or close after {took:?}"
            );
        }
    });
}
