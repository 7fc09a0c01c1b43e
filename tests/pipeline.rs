//! One client that sends far more commands at once than may wait on its connection, against the program itself. Nothing
//! here looks at a clock: each step waits for what the one before brings about.

mod harness;

use harness::{CONFIG, MemberAction, Program, READ, connect_client, read_answer, run_with_config};
use linenhill::clients::pipeline::MAX_MESSAGES;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Many times what may wait on one connection.
const FLOOD: usize = 20 * MAX_MESSAGES;

/// No step takes so long, however slow the machine: what is waited for never comes.
const NEVER: Duration = Duration::from_secs(100);

/// Runs a test with the program and members that do what `act` says, and fails it if a step never comes.
fn run_within_time<A, R, F>(name: &str, act: A, test: impl FnOnce(SocketAddr, Rc<Program>) -> F)
where
    A: Fn(usize, String) -> R + Clone + 'static,
    R: Future<Output = MemberAction> + 'static,
    F: Future<Output = ()>,
{
    run_with_config(name, CONFIG, act, |address, program| async move {
        let logging = program.clone();
        if timeout(NEVER, test(address, program)).await.is_err() {
            panic!("{name}: a step that never came: {}", logging.log.lock().expect("the log"));
        }
    });
}

/// Reads of the flood, numbered from 0.
fn flood() -> Vec<String> {
    (0..FLOOD).map(|n| READ.replace("id=a1", &format!("id=f{n}."))).collect()
}

async fn flooding_client(address: SocketAddr) -> TcpStream {
    let queries = flood();
    let queries: Vec<&str> = queries.iter().map(String::as_str).collect();
    connect_client(address, &queries).await
}

/// The value of an answer, or all of it where it is no row.
fn value(answer: &str) -> &str {
    if answer.contains("SELECT 1") && answer.contains("other") { "other" } else { answer }
}

/// The same, once the first of its reads has reached a member.
async fn flooding_client_under_way(address: SocketAddr, sent: &Cell<usize>) -> TcpStream {
    let client = flooding_client(address).await;
    while sent.get() == 0 {
        tokio::task::yield_now().await;
    }
    client
}

/// The number of a read of the flood; none for other statements.
fn number(statement: &str) -> Option<usize> {
    let (_, rest) = statement.split_once("id=f")?;
    rest.split_once('.')?.0.parse().ok()
}

/// Members that serve reads of the flood once `gate` lets them, each with its number, and others at once. They note how
/// many reads of the flood they have been sent.
fn gated(
    gate: &Rc<Semaphore>, sent: &Rc<Cell<usize>>,
) -> impl Fn(usize, String) -> std::pin::Pin<Box<dyn Future<Output = MemberAction>>> + Clone + 'static {
    let (gate, sent) = (gate.clone(), sent.clone());
    move |_, statement| {
        let (gate, sent) = (gate.clone(), sent.clone());
        Box::pin(async move {
            let Some(number) = number(&statement) else { return MemberAction::Row("other".into()) };
            sent.set(sent.get() + 1);
            let _ = gate.acquire().await.expect("never closed");
            MemberAction::Row(format!("row {number}."))
        })
    }
}

/// Reads the flood's answers: each is the row of its own number, or a rejection that says when to retry. How many of
/// each there were.
async fn answers_in_order(client: &mut TcpStream) -> (usize, usize) {
    let (mut served, mut rejected) = (0, 0);
    for number in 0..FLOOD {
        let answer = read_answer(client).await;
        if answer.contains(&format!("row {number}.")) {
            served += 1;
        } else {
            assert!(answer.contains("C53300\0") && answer.contains("\0D"), "answer {number}: {answer:?}");
            rejected += 1;
        }
    }
    (served, rejected)
}

/// Guards against accepted requests that are lost with their connection when too many come at once, and against answers
/// that are missing, doubled or out of order. Members answer only once the client has no more to send, so the flood meets
/// every bound.
#[test]
fn a_flood_is_answered_in_order() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-read", gated(&gate, &sent), |address, program| async move {
        let mut flooding = flooding_client_under_way(address, &sent).await;
        // Another client is not held up by what waits behind the flood.
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(value(&read_answer(&mut other).await), "other");
        assert!(sent.get() <= 1 + MAX_MESSAGES, "{} are at members", sent.get());
        gate.add_permits(FLOOD);
        let (served, rejected) = answers_in_order(&mut flooding).await;
        assert!(served > MAX_MESSAGES, "{served} served, {rejected} rejected");
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
        assert_eq!(flooding.read(&mut [0; 1]).await.expect("the end"), 0, "no answer is left over");
    });
}

/// Guards against memory and time that a client which reads nothing takes for ever, or from others.
#[test]
fn flood_from_a_client_that_does_not_read_is_dropped() {
    let act = |_, statement: String| {
        let row = if number(&statement).is_some() { "v".repeat(60_000) } else { "other".into() };
        std::future::ready(MemberAction::Row(row))
    };
    run_within_time("flood-unread", act, |address, program| async move {
        let flooding = flooding_client(address).await;
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(value(&read_answer(&mut other).await), "other");
        program.wait_for_log("code=write-timeout").await;
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(value(&read_answer(&mut other).await), "other");
        drop(flooding);
    });
}

/// Guards against a client's end that is not seen behind the input that stays unread, and against requests that are queued
/// or forwarded for it.
#[test]
fn a_client_that_leaves_in_mid_flood_is_seen() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-left", gated(&gate, &sent), |address, program| async move {
        let flooding = flooding_client_under_way(address, &sent).await;
        drop(flooding);
        program.wait_for_log("code=client-gone").await;
        let before = sent.get();
        gate.add_permits(FLOOD);
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(value(&read_answer(&mut other).await), "other");
        assert_eq!(sent.get(), before, "nothing is sent for a client that has left");
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
    });
}

/// Guards against requests of a flood that a stop loses: both those that were accepted before it and those that lay
/// unread then.
#[test]
fn a_flood_is_answered_through_a_stop() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-stop", gated(&gate, &sent), |address, program| async move {
        let mut flooding = flooding_client_under_way(address, &sent).await;
        program.signal("-TERM");
        program.wait_for_log("stopping, ").await;
        gate.add_permits(FLOOD);
        let (served, _) = answers_in_order(&mut flooding).await;
        assert!(served > 0, "what was accepted before the stop is served");
        assert!(program.wait_for_exit().await.success());
        assert_eq!(flooding.read(&mut [0; 1]).await.expect("the end"), 0, "no answer is left over");
        assert!(program.log.lock().expect("the log").contains("stopped, all answered"));
    });
}

/// Guards against requests that are lost behind malformed statements when these end the connection: what was accepted is
/// answered, and what comes behind the last of them is not accepted.
#[test]
fn too_many_malformed_statements_end_the_connection_behind_what_was_accepted() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-malformed", gated(&gate, &sent), |address, program| async move {
        let (first, last) = (READ.replace("id=a1", "id=f1."), READ.replace("id=a1", "id=f2."));
        let mut queries = vec![first.as_str()];
        queries.extend(["SELECT 1"; 8]);
        queries.push(&last);
        let mut flooding = connect_client(address, &queries).await;
        while sent.get() == 0 {
            tokio::task::yield_now().await;
        }
        gate.add_permits(2);
        assert!(read_answer(&mut flooding).await.contains("row 1."));
        for _ in 0..8 {
            assert!(read_answer(&mut flooding).await.contains("C42601\0"));
        }
        assert_eq!(read_answer(&mut flooding).await, "", "the connection ends");
        program.wait_for_log("code=protocol").await;
        assert_eq!(sent.get(), 1, "what came behind is not accepted");
    });
}
