//! Tests of the program with one client that sends far more commands at once than may wait on its connection. No
//! result depends on measured time: each step waits for an effect of the previous one.

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

/// Number of reads in the flood: many times the number of messages that may wait on one connection.
const FLOOD_READS: usize = 20 * MAX_MESSAGES;

/// Time limit of a test. No test takes this long even on a slow machine, unless an expected event never occurs.
const TEST_TIMEOUT: Duration = Duration::from_secs(100);

/// Runs a test with the program and members that act as `respond` says. Panics with the program's log if the test is
/// not complete within [`TEST_TIMEOUT`].
fn run_within_time<A, R, F>(name: &str, respond: A, test: impl FnOnce(SocketAddr, Rc<Program>) -> F)
where
    A: Fn(usize, String) -> R + Clone + 'static,
    R: Future<Output = MemberAction> + 'static,
    F: Future<Output = ()>,
{
    run_with_config(name, CONFIG, respond, |address, program| async move {
        let logging = program.clone();
        if timeout(TEST_TIMEOUT, test(address, program)).await.is_err() {
            panic!(
                "{name}: not complete after {TEST_TIMEOUT:?}, log of the program: {}",
                logging.log.lock().expect("lock log")
            );
        }
    });
}

/// The reads of the flood, numbered from 0.
fn flood() -> Vec<String> {
    (0..FLOOD_READS).map(|n| READ.replace("id=a1", &format!("id=f{n}."))).collect()
}

async fn flooding_client(address: SocketAddr) -> TcpStream {
    let queries = flood();
    let queries: Vec<&str> = queries.iter().map(String::as_str).collect();
    connect_client(address, &queries).await
}

/// Returns `other` for an answer with that row, or else the complete answer.
fn other_or_answer(answer: &str) -> &str {
    if answer.contains("SELECT 1") && answer.contains("other") { "other" } else { answer }
}

/// Connects a client that sends the flood, and waits until the first of its reads has reached a member.
async fn active_flooding_client(address: SocketAddr, sent: &Cell<usize>) -> TcpStream {
    let client = flooding_client(address).await;
    while sent.get() == 0 {
        tokio::task::yield_now().await;
    }
    client
}

/// The number of a read of the flood; `None` for other statements.
fn flood_number(statement: &str) -> Option<usize> {
    let (_, rest) = statement.split_once("id=f")?;
    rest.split_once('.')?.0.parse().ok()
}

/// Actions of members that answer each read of the flood with its number once `gate` has permits, and other
/// statements at once. `sent` counts the reads of the flood that members have received.
fn gated_members(
    gate: &Rc<Semaphore>, sent: &Rc<Cell<usize>>,
) -> impl Fn(usize, String) -> std::pin::Pin<Box<dyn Future<Output = MemberAction>>> + Clone + 'static {
    let (gate, sent) = (gate.clone(), sent.clone());
    move |_, statement| {
        let (gate, sent) = (gate.clone(), sent.clone());
        Box::pin(async move {
            let Some(flood_number) = flood_number(&statement) else {
                return MemberAction::Row("other".into());
            };
            sent.set(sent.get() + 1);
            let _ = gate.acquire().await.expect("semaphore is open");
            MemberAction::Row(format!("row {flood_number}."))
        })
    }
}

/// Reads the answers to the flood: each must be the row with its own number, or a rejection with the time after which
/// to retry. Returns how many reads were served and how many rejected.
async fn answers_in_order(client: &mut TcpStream) -> (usize, usize) {
    let (mut served, mut rejected) = (0, 0);
    for flood_number in 0..FLOOD_READS {
        let answer = read_answer(client).await;
        if answer.contains(&format!("row {flood_number}.")) {
            served += 1;
        } else {
            assert!(
                answer.contains("C53300\0") && answer.contains("\0D"),
                "answer {flood_number}: {answer:?}"
            );
            rejected += 1;
        }
    }
    (served, rejected)
}

/// Guards against accepted requests that are lost with their connection when too many arrive at once, and against
/// answers that are missing, duplicated or out of order. Members answer only after the client has sent everything, so
/// that the flood reaches every limit.
#[test]
fn a_flood_is_answered_in_order() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-read", gated_members(&gate, &sent), |address, program| async move {
        let mut flooding = active_flooding_client(address, &sent).await;
        // The waiting requests of the flood do not delay another client.
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(other_or_answer(&read_answer(&mut other).await), "other");
        assert!(sent.get() <= 1 + MAX_MESSAGES, "{} reads were sent to members", sent.get());
        gate.add_permits(FLOOD_READS);
        let (served, rejected) = answers_in_order(&mut flooding).await;
        assert!(served > MAX_MESSAGES, "{served} served, {rejected} rejected");
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
        assert_eq!(flooding.read(&mut [0; 1]).await.expect("read the end"), 0, "no further answer follows");
    });
}

/// Guards against a client that reads no answers and holds memory indefinitely or delays other clients.
#[test]
fn flood_from_a_client_that_does_not_read_is_dropped() {
    let respond = |_, statement: String| {
        let row = if flood_number(&statement).is_some() { "v".repeat(60_000) } else { "other".into() };
        std::future::ready(MemberAction::Row(row))
    };
    run_within_time("flood-unread", respond, |address, program| async move {
        let flooding = flooding_client(address).await;
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(other_or_answer(&read_answer(&mut other).await), "other");
        program.wait_for_log("code=write-timeout").await;
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(other_or_answer(&read_answer(&mut other).await), "other");
        drop(flooding);
    });
}

/// Guards against a client's close that is not detected behind unread input, and against requests that are queued or
/// forwarded for a client that has left.
#[test]
fn a_client_that_leaves_in_mid_flood_is_seen() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-left", gated_members(&gate, &sent), |address, program| async move {
        let flooding = active_flooding_client(address, &sent).await;
        drop(flooding);
        program.wait_for_log("code=client-gone").await;
        let before = sent.get();
        gate.add_permits(FLOOD_READS);
        let mut other = connect_client(address, &[READ]).await;
        assert_eq!(other_or_answer(&read_answer(&mut other).await), "other");
        assert_eq!(sent.get(), before, "nothing is sent for a client that has left");
        program.signal("-TERM");
        assert!(program.wait_for_exit().await.success());
    });
}

/// Guards against requests of a flood that are lost in a stop: those that were accepted before it, and those that were
/// still unread.
#[test]
fn a_flood_is_answered_through_a_stop() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-stop", gated_members(&gate, &sent), |address, program| async move {
        let mut flooding = active_flooding_client(address, &sent).await;
        program.signal("-TERM");
        program.wait_for_log("stopping, ").await;
        gate.add_permits(FLOOD_READS);
        let (served, _) = answers_in_order(&mut flooding).await;
        assert!(served > 0, "requests that were accepted before the stop are served");
        assert!(program.wait_for_exit().await.success());
        assert_eq!(flooding.read(&mut [0; 1]).await.expect("read the end"), 0, "no further answer follows");
        assert!(program.log.lock().expect("lock log").contains("stopped, all answered"));
    });
}

/// Guards against accepted requests that are lost when malformed statements after them end the connection. Accepted
/// requests must be answered, and a request after the last malformed statement must not be accepted.
#[test]
fn too_many_malformed_statements_end_the_connection_behind_what_was_accepted() {
    let gate = Rc::new(Semaphore::new(0));
    let sent = Rc::new(Cell::new(0));
    run_within_time("flood-malformed", gated_members(&gate, &sent), |address, program| async move {
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
        assert_eq!(read_answer(&mut flooding).await, "", "the connection is closed");
        program.wait_for_log("code=protocol").await;
        assert_eq!(sent.get(), 1, "the request after the malformed statements is not accepted");
    });
}
