//! The recorded incidents (`docs/incidents/`), played with the real program: a process that starts with a saved list while
//! a whole fleet does, and clients that stop in the middle of a request. Limits here are the platform's own, and the
//! program keeps well away from them, so that a slow machine gives the same verdict.

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

/// A client that stopped in the middle of a request is owed an error or a close within this time.
const STOPPED_CLIENT_WITHIN: Duration = Duration::from_secs(3);
/// A member that was gone when the process before this one died, 5 s before the start, counts as notified 1 s after the
/// start, and nothing may be sent to it 2 s later.
const LAST_SEND_AFTER_START: Duration = Duration::from_secs(3);
/// Beyond that, what a busy machine may add to what this test sees.
const TEST_SLACK: Duration = Duration::from_millis(900);
/// Longer than the program may use a saved list, and than the place of the last of 300 proxies.
const OBSERVED: Duration = Duration::from_secs(6);

/// Three members that serve every statement and note when; the addresses stand in the configuration.
async fn start_members(config: &str, sent: &Rc<RefCell<Vec<Instant>>>) -> (String, Vec<SocketAddr>) {
    let mut config = config.to_string();
    let mut addresses = Vec::new();
    for (index, named) in ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"].iter().enumerate() {
        let (listener, address) = bind_loopback().await;
        config = config.replace(named, &address.to_string());
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

/// Starts the program as the last of 300 proxies, before this discovery.
async fn start_last_of_fleet(name: &str, config: &str, discovery: &TcpListener) -> Program {
    let at = discovery.local_addr().expect("an address").to_string();
    let config = config
        .replace("127.0.0.1:8500", &at)
        .replace("\"fleetSize\": 1", "\"fleetSize\": 300, \"me\": 299")
        .replace("\"mayProbe\": true", "\"mayProbe\": false");
    let path = write_test_file(&format!("{name}.json"), &config);
    start_program(program_command(&path), path)
}

/// Writes of one client after the other, for as long as the test runs.
async fn write_all_the_time(at: SocketAddr, written: Rc<Cell<u32>>) {
    loop {
        written.set(written.get() + 1);
        let statement = WRITE
            .replace("id=a2", &format!("id=q{}", written.get()))
            .replace("k=b2", &format!("k={:x}", written.get()))
            .replace("d=60000", "d=2000");
        let answered = async {
            let mut stream = connect_client(at, &[&statement]).await;
            read_answer(&mut stream).await
        };
        let _ = timeout(Duration::from_millis(400), answered).await;
        sleep(Duration::from_millis(25)).await;
    }
}

fn late_sends(sent: &Rc<RefCell<Vec<Instant>>>, started: Instant) -> Vec<Duration> {
    let ages = sent.borrow().iter().map(|at| at.duration_since(started)).collect::<Vec<_>>();
    ages.into_iter().filter(|age| *age > LAST_SEND_AFTER_START + TEST_SLACK).collect()
}

/// Guards against sends by a saved list whose changes count as notified while the first call of discovery waits for the
/// process's place in a fleet of 300: its members were all gone, and came back under their names, before the process
/// started. With the fault, sends went on for 8 s.
#[test]
fn restarted_process_stops_using_an_unconfirmed_saved_list() {
    run_local(async {
        let sent = Rc::new(RefCell::new(Vec::new()));
        let (config, _) = start_members(CONFIG, &sent).await;
        let (discovery, _) = bind_loopback().await;
        let program = start_last_of_fleet("saved-list", &config, &discovery).await;
        let started = Instant::now();
        let at = program.logged_address("listens on ");
        // Discovery accepts every call and sends nothing before the observation ends.
        let calls = Rc::new(RefCell::new(Vec::new()));
        let held = calls.clone();
        spawn_local(async move {
            loop {
                let call = discovery.accept().await.expect("a call").0;
                held.borrow_mut().push(call);
            }
        });
        let written = Rc::new(Cell::new(0));
        spawn_local(write_all_the_time(at, written.clone()));
        sleep(OBSERVED).await;
        assert!(!sent.borrow().is_empty(), "the saved list is used at first");
        let late = late_sends(&sent, started);
        assert!(late.is_empty(), "{} of {} sends were late: {late:?}", late.len(), sent.borrow().len());
        assert!(written.get() > 50, "clients are answered at once: {}", written.get());
    });
}

/// Guards against a first call that comes after what the process missed binds.
#[test]
fn last_of_a_large_fleet_calls_discovery_before_what_it_missed_binds() {
    run_local(async {
        let sent = Rc::default();
        let (config, addresses) = start_members(CONFIG, &sent).await;
        let (discovery, _) = bind_loopback().await;
        let program = start_last_of_fleet("first-call", &config, &discovery).await;
        let (mut call, from) = timeout(LAST_SEND_AFTER_START + TEST_SLACK, accept_watch(&discovery))
            .await
            .expect("a call in time");
        assert_eq!(from, 1);
        // The member that serves is named as draining: nothing is sent there from then on.
        let gone: Vec<String> = addresses
            .iter()
            .enumerate()
            .map(|(index, at)| {
                format!(
                    r#"{{"id":"m-{}","addr":"{at}","zone":"a","kind":"toy","cell":1,"state":"terminating","started_ms":0}}"#,
                    index + 1
                )
            })
            .collect();
        let line = format!(r#"{{"version":2,"full":false,"servers":[{}]}}"#, gone.join(","));
        send_watch_line(&mut call, WATCH_HEAD, &line).await;
        program.wait_for_log("list version 2 with 3 entries").await;
    });
}

/// Sends `bytes`, stays, and returns after how long the proxy sent something more or closed.
async fn stop_after(at: SocketAddr, bytes: Vec<u8>, answers_before: usize) -> Duration {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    stream.write_all(&bytes).await.expect("written");
    let stopped = Instant::now();
    let mut received = Vec::new();
    loop {
        let mut piece = [0; 1024];
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return stopped.elapsed(),
            Ok(length) => received.extend_from_slice(&piece[..length]),
        }
        if received.len() > answers_before {
            return stopped.elapsed();
        }
    }
}

/// The length of what a client is answered to its startup message.
async fn length_of_welcome(at: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    stream.write_all(&encode(&[Command::Startup])).await.expect("written");
    let mut received = Vec::new();
    while !received.ends_with(b"Z\0\0\0\x05I") {
        received.push(stream.read_u8().await.expect("a welcome"));
    }
    received.len()
}

/// Guards against limits that are longer than the platform's for bad clients: with the fault, their end came after 3.5 s.
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
        let at = program.logged_address("listens on ");
        let welcome = length_of_welcome(at).await;
        let startup = encode(&[Command::Startup]).to_vec();
        let request = encode(&[Command::Startup, query_command(READ)]).to_vec();
        let mut clients = Vec::new();
        for length in 1..request.len() {
            // A complete startup message and nothing more is a client between requests.
            if length != startup.len() {
                let before = if length > startup.len() { welcome } else { 0 };
                let client = stop_after(at, request[..length].to_vec(), before);
                clients.push((length, spawn_local(client)));
            }
        }
        for (length, client) in clients {
            let took = client.await.expect("a client");
            assert!(
                took < STOPPED_CLIENT_WITHIN,
                "stopped after {length} bytes: its end came after {took:?}"
            );
        }
    });
}
