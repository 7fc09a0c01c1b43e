//! The program with every peer played by the test, and the steps that several tests begin with.

use crate::harness::{
    CONFIG, Program, READ, bind_loopback, connect_client, program_command, run_local, start_program,
    write_test_file,
};
use crate::member_side::{accept_startup, greet, greeting, read_rest, read_statement, send_row};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The settings of the second kind of site: its lists are pushed.
pub const PUSHED_CONFIG: &str = include_str!("../../examples/pushed.json");
/// Both kinds of site. At the second one a replica gets reads of its class `any` before its first load report.
pub const SITES: [(&str, &str); 2] = [("asked", CONFIG), ("pushed", PUSHED_CONFIG)];

/// No step takes so long, however slow the machine: what is waited for never comes.
pub const NEVER: Duration = Duration::from_secs(100);

/// A change of settings: the text that must be there, and the text in its place.
pub type Change = (&'static str, &'static str);
/// Attempts are not cancelled when their client leaves.
pub const WITHOUT_CANCEL: Change = ("\"cancel\": true", "\"cancel\": false");

/// The program and the peers that the test plays.
pub struct TestSetup {
    /// Where clients connect.
    pub address: SocketAddr,
    pub program: Rc<Program>,
    pub members: Vec<TcpListener>,
    pub discovery: TcpListener,
}

/// Runs a test with the program and so many members in its saved list, all played by the test, and no health checks. The
/// test fails with the program's log where a step never comes.
pub fn run_with_setup<F: Future<Output = ()>>(
    name: &str, config: &str, members: usize, changes: &[Change], test: impl FnOnce(Rc<TestSetup>) -> F,
) {
    let log = RefCell::new(None);
    let play = async {
        let setup = start_setup(name, config, members, changes).await;
        *log.borrow_mut() = Some(setup.program.log.clone());
        test(setup).await;
    };
    run_local(async {
        if timeout(NEVER, play).await.is_err() {
            let log = log.borrow().as_ref().map(|log| log.lock().expect("the log").clone());
            panic!("{name}: a step that never came: {}", log.unwrap_or_default());
        }
    });
}

async fn start_setup(name: &str, config: &str, members: usize, changes: &[Change]) -> Rc<TestSetup> {
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
    // A slow machine must not turn a connection into a failed one, or an answer into a late one.
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

/// The settings with these entries as their saved list.
fn with_saved_list(config: &str, entries: &[String]) -> String {
    let (before, after) = config.split_once("\"known\"").expect("a saved list");
    let settings = after.split_once("\"settings\"").expect("settings").1;
    let entries = entries.join(",");
    format!(
        r#"{before}"known": {{"version": 1, "full": true, "servers": [{entries}]}}, "settings"{settings}"#
    )
}

/// The settings with these changes; each must find its place.
fn with_changes(config: String, changes: &[Change]) -> String {
    changes.iter().fold(config, |config, (old, new)| {
        assert!(config.contains(old), "{old}");
        config.replace(old, new)
    })
}

/// A member's entry in a list.
fn list_entry(number: usize, listener: &TcpListener, state: &str) -> String {
    let address = listener.local_addr().expect("an address");
    format!(
        r#"{{"id":"m-{number}","addr":"{address}","zone":"a","kind":"toy","cell":1,"state":"{state}","started_ms":0}}"#
    )
}

/// A list change in which the first member, at this listener, drains.
pub fn draining_list(version: u64, listener: &TcpListener) -> String {
    let entry = list_entry(1, listener, "terminating");
    format!(r#"{{"version":{version},"full":false,"servers":[{entry}]}}"#)
}

/// A read under this id.
pub fn read_with_id(id: &str) -> String {
    READ.replace("id=a1", &format!("id={id}"))
}

/// A read under this id that may go to any replica of the site.
pub fn replica_read(site: &str, id: &str) -> String {
    let read = read_with_id(id);
    if site == "pushed" { read.replace("c=list", "c=any") } else { read }
}

/// Accepts the program's next connection to a member, greets it, and reads its first statement.
pub async fn accept_statement(member: &TcpListener) -> (TcpStream, String) {
    greet_for_statement(accept_startup(member).await).await
}

/// Greets a connection that was accepted, and reads its first statement.
pub async fn greet_for_statement(mut connection: TcpStream) -> (TcpStream, String) {
    greet(&mut connection).await;
    let statement = read_statement(&mut connection).await.expect("a statement");
    (connection, statement)
}

/// A client whose statement has reached the first member, and the member's connection with it.
pub async fn request_at_first_member(setup: &TestSetup, query: &str) -> (TcpStream, TcpStream) {
    let client = connect_client(setup.address, &[query]).await;
    let (connection, _) = accept_statement(&setup.members[0]).await;
    (client, connection)
}

/// A client whose read has reached one of two members.
pub struct ReadAtEitherMember {
    pub client: TcpStream,
    /// The connection of the member that has the read.
    pub connection: TcpStream,
    /// The index of the member that doesn't.
    pub other: usize,
}

/// Sends a read, and returns once a member has it.
pub async fn read_at_either_member(setup: &TestSetup) -> ReadAtEitherMember {
    let client = connect_client(setup.address, &[&read_with_id("a1")]).await;
    let (accepted, other) = tokio::select! {
        accepted = accept_startup(&setup.members[0]) => (accepted, 1),
        accepted = accept_startup(&setup.members[1]) => (accepted, 0),
    };
    let (connection, _) = greet_for_statement(accepted).await;
    ReadAtEitherMember { client, connection, other }
}

/// Serves the retry of that read at a member, which must get it on a new connection.
pub async fn serve_retry(member: &TcpListener, value: &str) -> TcpStream {
    let (mut connection, statement) = accept_statement(member).await;
    assert!(statement.contains("id=a1"), "{statement}");
    send_row(&mut connection, value).await;
    connection
}

/// From now on the first member serves `mine` on each new connection. Returns the statements that it gets.
pub fn serve_at_first_member(setup: &Rc<TestSetup>) -> Rc<RefCell<Vec<String>>> {
    let statements = Rc::new(RefCell::new(Vec::new()));
    let received = statements.clone();
    let setup = setup.clone();
    spawn_local(async move {
        loop {
            let (connection, _) = setup.members[0].accept().await.expect("a connection");
            spawn_local(serve_connection(connection, received.clone()));
        }
    });
    statements
}

/// Serves one connection to its end. One that was made for a client that has left may end before its startup message.
async fn serve_connection(mut connection: TcpStream, received: Rc<RefCell<Vec<String>>>) {
    let Ok(length) = connection.read_u32().await else { return };
    if connection.read_exact(&mut vec![0; length as usize - 4]).await.is_err()
        || connection.write_all(&greeting()).await.is_err()
    {
        return;
    }
    while let Some(statement) = read_statement(&mut connection).await {
        received.borrow_mut().push(statement);
        send_row(&mut connection, "mine").await;
    }
}

/// Stops the program, waits for its end, and returns what a connection to a member still got.
pub async fn stop_and_read_rest(setup: Rc<TestSetup>, connection: TcpStream) -> String {
    setup.program.signal("-TERM");
    let rest = read_rest(connection).await;
    assert!(setup.program.wait_for_exit().await.success());
    rest
}

/// Waits until the machine has taken in, at the other end, all that was written: on a busy one that is later.
pub async fn wait_until_delivered(stream: &TcpStream) {
    let port = |address: io::Result<SocketAddr>| format!(":{:04X}", address.expect("an address").port());
    let local = port(stream.local_addr());
    let remote = port(stream.peer_addr());
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
        let mut entries = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let entry = entries
            .find(|fields| fields.len() > 4 && fields[1].ends_with(&local) && fields[2].ends_with(&remote));
        // The fifth field holds what is not acknowledged yet, before what is not read yet.
        if entry.is_some_and(|fields| fields[4].starts_with("00000000:")) {
            return;
        }
        tokio::task::yield_now().await;
    }
}
