//! The program with members, discovery and clients that the test simulates, and the first steps that several tests
//! share.

use crate::harness::{
    CONFIG, Program, READ, bind_loopback, connect_client, program_command, run_local, start_program,
    write_test_file,
};
use crate::member_side::{
    accept_startup, answer_startup, read_rest, read_statement, send_row, startup_answer,
};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The configuration of a site whose endpoint lists are pushed.
pub const PUSHED_CONFIG: &str = include_str!("../../examples/pushed.json");
/// Both kinds of site. In the second one, a replica receives reads of class `any` before its first load report.
pub const SITES: [(&str, &str); 2] = [("asked", CONFIG), ("pushed", PUSHED_CONFIG)];

/// Time limit of a test. No test takes this long even on a slow machine, unless an expected event never occurs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(100);

/// A change of a configuration: the text to replace, which must be present, and its replacement.
pub type ConfigChange = (&'static str, &'static str);
/// Disables the cancelling of attempts whose client has left.
pub const WITHOUT_CANCEL: ConfigChange = ("\"cancel\": true", "\"cancel\": false");

/// The program and the peers that the test simulates.
pub struct TestSetup {
    /// The address for clients.
    pub address: SocketAddr,
    pub program: Rc<Program>,
    pub members: Vec<TcpListener>,
    pub discovery: TcpListener,
}

/// Runs a test with the program, a number of simulated members that are in its saved list, and no health checks.
/// Panics with the program's log if the test is not complete within [`TEST_TIMEOUT`].
pub fn run_with_setup<F: Future<Output = ()>>(
    name: &str, config: &str, members: usize, changes: &[ConfigChange], test: impl FnOnce(Rc<TestSetup>) -> F,
) {
    let log = RefCell::new(None);
    let run = async {
        let setup = start_setup(name, config, members, changes).await;
        *log.borrow_mut() = Some(setup.program.log.clone());
        test(setup).await;
    };
    run_local(async {
        if timeout(TEST_TIMEOUT, run).await.is_err() {
            let log = log.borrow().as_ref().map(|log| log.lock().expect("lock log").clone());
            panic!(
                "{name}: not complete after {TEST_TIMEOUT:?}, log of the program: {}",
                log.unwrap_or_default()
            );
        }
    });
}

async fn start_setup(name: &str, config: &str, members: usize, changes: &[ConfigChange]) -> Rc<TestSetup> {
    let (discovery, discovery_address) = bind_loopback().await;
    let mut listeners = Vec::new();
    let mut entries = Vec::new();
    for number in 1..=members {
        let (listener, _) = bind_loopback().await;
        entries.push(list_entry(number, &listener, "in_service"));
        listeners.push(listener);
    }
    let config = with_saved_list(config, &entries)
        .replace("127.0.0.1:8500", &discovery_address.to_string())
        .replace("\"mayProbe\": true", "\"mayProbe\": false");
    // Long time limits, so that connections and answers do not time out on a slow machine.
    let config = with_changes(
        config,
        &[("\"slo\": 800000", "\"slo\": 30000000"), ("Timeout\": 250000", "Timeout\": 50000000")],
    );
    let config = with_changes(config, changes);
    let path = write_test_file(&format!("{name}.json"), &config);
    let program = Rc::new(start_program(program_command(&path), path));
    let address = program.logged_address("listens on ");
    Rc::new(TestSetup { address, program, members: listeners, discovery })
}

/// Returns the configuration with `entries` as its saved list.
fn with_saved_list(config: &str, entries: &[String]) -> String {
    let (before, after) = config.split_once("\"known\"").expect("configuration with a saved list");
    let settings = after.split_once("\"settings\"").expect("configuration with settings").1;
    let entries = entries.join(",");
    format!(
        r#"{before}"known": {{"version": 1, "full": true, "servers": [{entries}]}}, "settings"{settings}"#
    )
}

/// Returns the configuration with `changes` applied; each text to replace must be present.
fn with_changes(config: String, changes: &[ConfigChange]) -> String {
    changes.iter().fold(config, |config, (old, new)| {
        assert!(config.contains(old), "{old}");
        config.replace(old, new)
    })
}

/// Encodes the list entry of a member.
fn list_entry(number: usize, listener: &TcpListener, state: &str) -> String {
    let address = listener.local_addr().expect("local address");
    format!(
        r#"{{"id":"m-{number}","addr":"{address}","zone":"a","kind":"toy","cell":1,"state":"{state}","started_ms":0}}"#
    )
}

/// Encodes a list change in which the first member, at the address of `listener`, drains.
pub fn draining_list(version: u64, listener: &TcpListener) -> String {
    let entry = list_entry(1, listener, "terminating");
    format!(r#"{{"version":{version},"full":false,"servers":[{entry}]}}"#)
}

/// Returns a read with this id.
pub fn read_with_id(id: &str) -> String {
    READ.replace("id=a1", &format!("id={id}"))
}

/// Returns a read with this id that any replica of the site may serve.
pub fn replica_read(site: &str, id: &str) -> String {
    let read = read_with_id(id);
    if site == "pushed" { read.replace("c=list", "c=any") } else { read }
}

/// Accepts the program's next connection to a member, answers its startup message, and reads its first statement.
pub async fn accept_statement(member: &TcpListener) -> (TcpStream, String) {
    read_first_statement(accept_startup(member).await).await
}

/// Answers the startup message of an accepted connection, and reads its first statement.
pub async fn read_first_statement(mut connection: TcpStream) -> (TcpStream, String) {
    answer_startup(&mut connection).await;
    let statement = read_statement(&mut connection).await.expect("read statement");
    (connection, statement)
}

/// Connects a client and waits until its statement has reached the first member. Returns the connections of the client
/// and of the member.
pub async fn request_at_first_member(setup: &TestSetup, query: &str) -> (TcpStream, TcpStream) {
    let client = connect_client(setup.address, &[query]).await;
    let (connection, _) = accept_statement(&setup.members[0]).await;
    (client, connection)
}

/// A client whose read has reached one of two members.
pub struct ReadAtEitherMember {
    pub client: TcpStream,
    /// The connection to the member that received the read.
    pub connection: TcpStream,
    /// The index of the other member.
    pub other: usize,
}

/// Sends a read and waits until one of two members has received it.
pub async fn read_at_either_member(setup: &TestSetup) -> ReadAtEitherMember {
    let client = connect_client(setup.address, &[&read_with_id("a1")]).await;
    let (accepted, other) = tokio::select! {
        accepted = accept_startup(&setup.members[0]) => (accepted, 1),
        accepted = accept_startup(&setup.members[1]) => (accepted, 0),
    };
    let (connection, _) = read_first_statement(accepted).await;
    ReadAtEitherMember { client, connection, other }
}

/// Answers the retry of that read at a member, which must receive it on a new connection.
pub async fn serve_retry(member: &TcpListener, value: &str) -> TcpStream {
    let (mut connection, statement) = accept_statement(member).await;
    assert!(statement.contains("id=a1"), "{statement}");
    send_row(&mut connection, value).await;
    connection
}

/// Makes the first member answer `mine` on each new connection. Returns the statements that it receives.
pub fn serve_at_first_member(setup: &Rc<TestSetup>) -> Rc<RefCell<Vec<String>>> {
    let statements = Rc::new(RefCell::new(Vec::new()));
    let received = statements.clone();
    let setup = setup.clone();
    spawn_local(async move {
        loop {
            let (connection, _) = setup.members[0].accept().await.expect("accept connection");
            spawn_local(serve_connection(connection, received.clone()));
        }
    });
    statements
}

/// Serves one connection until it ends. A connection for a client that has left may end before its startup message.
async fn serve_connection(mut connection: TcpStream, received: Rc<RefCell<Vec<String>>>) {
    let Ok(length) = connection.read_u32().await else { return };
    if connection.read_exact(&mut vec![0; length as usize - 4]).await.is_err()
        || connection.write_all(&startup_answer()).await.is_err()
    {
        return;
    }
    while let Some(statement) = read_statement(&mut connection).await {
        received.borrow_mut().push(statement);
        send_row(&mut connection, "mine").await;
    }
}

/// Stops the program, waits for its exit, and returns what it still sent on a connection to a member.
pub async fn stop_and_read_rest(setup: Rc<TestSetup>, connection: TcpStream) -> String {
    setup.program.signal("-TERM");
    let rest = read_rest(connection).await;
    assert!(setup.program.wait_for_exit().await.success());
    rest
}

/// Waits until all written bytes are acknowledged by the receiving socket, which may take a while on a busy machine.
pub async fn wait_until_delivered(stream: &TcpStream) {
    let port = |address: io::Result<SocketAddr>| format!(":{:04X}", address.expect("socket address").port());
    let local = port(stream.local_addr());
    let remote = port(stream.peer_addr());
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
        let mut entries = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let entry = entries
            .find(|fields| fields.len() > 4 && fields[1].ends_with(&local) && fields[2].ends_with(&remote));
        // The fifth field contains the number of unacknowledged bytes, followed by the number of unread bytes.
        if entry.is_some_and(|fields| fields[4].starts_with("00000000:")) {
            return;
        }
        tokio::task::yield_now().await;
    }
}
