//! SIGTERM that coincides with another event. Requests that were accepted before must be answered before the process
//! exits.

use crate::harness::{CONFIG, connect_client, encode, query_command, read_answer};
use crate::member_side::{accept_startup, answer_startup, read_rest, read_statement, send_row};
use crate::setup::{
    ReadAtEitherMember, SITES, TestSetup, WITHOUT_CANCEL, accept_statement, read_at_either_member,
    read_with_id, replica_read, request_at_first_member, run_with_setup, serve_at_first_member, serve_retry,
    wait_until_delivered,
};
use linenhill::pg::backend::Command as ClientCommand;
use std::cell::Cell;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Longer than the program waits after SIGTERM before it closes idle connections and its listener.
const PAST_CLOSE_DELAY: Duration = Duration::from_millis(700);

/// Repeats a test until it reports that the program was suspended before the event under test; on a busy machine the
/// suspension may be too late.
fn repeat_until_suspended_in_time(test: impl Fn(Rc<Cell<bool>>)) {
    let is_in_time = Rc::new(Cell::new(false));
    let in_time = (0..50).find(|_| {
        test(is_in_time.clone());
        is_in_time.get()
    });
    assert!(in_time.is_some(), "the program was never suspended in time");
}

/// SIGTERM while one connection has a half-read query and another has two pipelined requests in progress, followed by
/// a second SIGTERM and a SIGHUP. Guards against accepted requests that are not answered before the process exits.
#[test]
fn sigterm_answers_half_read_and_pipelined_requests() {
    for (site, config) in SITES {
        run_with_setup(&format!("term-{site}"), config, 1, &[], |setup| async move {
            let reads = [replica_read(site, "a1"), replica_read(site, "a2")];
            let mut pipelined = connect_client(setup.address, &[&reads[0], &reads[1]]).await;
            let member = &setup.members[0];
            let mut connections = [accept_startup(member).await, accept_startup(member).await];
            for connection in &mut connections {
                answer_startup(connection).await;
                assert!(read_statement(connection).await.is_some());
            }
            let mut half_read = connect_client(setup.address, &[]).await;
            let third = encode(&[query_command(&replica_read(site, "a3"))]);
            half_read.write_all(&third[..20]).await.expect("write");
            setup.program.signal("-TERM");
            setup.program.wait_for_log("stopping, ").await;
            half_read.write_all(&third[20..]).await.expect("write");
            setup.program.signal("-TERM");
            setup.program.signal("-HUP");
            let answer = read_answer(&mut half_read);
            let [mut first, mut second] = connections;
            // The statement arrives on a new connection. On a slow machine the request may be rejected as too late.
            let serve_third = async {
                let (mut connection, _) = accept_statement(member).await;
                send_row(&mut connection, "three").await;
                std::future::pending::<()>().await;
            };
            let answer = tokio::select! {
                answer = answer => answer,
                () = serve_third => unreachable!(),
            };
            assert!(answer.contains("three") || answer.contains("C53300"), "{answer}");
            send_row(&mut second, "later").await;
            send_row(&mut first, "sooner").await;
            let answers = [read_answer(&mut pipelined).await, read_answer(&mut pipelined).await];
            assert!(
                answers.iter().any(|answer| answer.contains("sooner"))
                    && answers.iter().any(|answer| answer.contains("later")),
                "{answers:?}"
            );
            assert_eq!(read_answer(&mut pipelined).await, "", "the connection is closed after the answer");
            assert!(setup.program.wait_for_exit().await.success());
        });
    }
}

/// Whether the kernel has received the close of a connection by the other side.
fn is_closed(stream: &TcpStream) -> bool {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|length| length == 0)
}

/// A query arrives on an idle connection right before or right after the stop closes the connection. Guards against a
/// request that is read but not answered, and against one that is read and forwarded after its connection was closed.
#[test]
fn query_at_the_close_of_its_connection_is_answered_or_unread() {
    for (site, config) in SITES {
        for is_close_first in [false, true] {
            let name = format!("idle-at-stop-{site}-{is_close_first}");
            repeat_until_suspended_in_time(|is_in_time| {
                run_with_setup(&name, config, 1, &[WITHOUT_CANCEL], |setup| async move {
                    let was_closed = query_at_the_close(setup, site, is_close_first).await;
                    is_in_time.set(was_closed == is_close_first);
                });
            });
        }
    }
}

/// Runs the test once; returns whether the connection was closed before the query was written.
async fn query_at_the_close(setup: Rc<TestSetup>, site: &str, is_close_first: bool) -> bool {
    let mut idle = connect_client(setup.address, &[]).await;
    let (mut busy, mut connection) = request_at_first_member(&setup, &replica_read(site, "a1")).await;
    setup.program.signal("-TERM");
    if is_close_first {
        setup.program.wait_for_log("code=stopping").await;
    } else {
        // Suspended until the close is due and the query has arrived.
        setup.program.wait_for_log("stopping, ").await;
        setup.program.suspend();
        sleep(PAST_CLOSE_DELAY).await;
    }
    let statements = serve_at_first_member(&setup);
    let was_closed = is_closed(&idle);
    idle.write_all(&encode(&[query_command(&replica_read(site, "a2"))])).await.expect("write");
    if !was_closed {
        wait_until_delivered(&idle).await;
    }
    setup.program.signal("-CONT");
    let answer = read_answer(&mut idle).await;
    // The query is served if it is read before the program checks its clock; otherwise it is rejected as too late.
    let is_served = answer.contains("mine");
    assert_eq!(
        is_served || answer.contains("C53300"),
        !was_closed,
        "answered unless the connection was closed: {answer}"
    );
    assert_eq!(
        statements.borrow().len(),
        usize::from(is_served),
        "a statement is sent only if the query is served"
    );
    assert_eq!(read_answer(&mut idle).await, "", "the connection is closed after the answer");
    send_row(&mut connection, "one").await;
    assert!(read_answer(&mut busy).await.contains("one"));
    assert!(!read_rest(connection).await.contains("id=a2"));
    assert!(setup.program.wait_for_exit().await.success());
    assert!(statements.borrow().iter().all(|statement| statement.contains("id=a2")));
    was_closed
}

/// A client connects right before the listener closes: the program is suspended until the close is due and the
/// client's query has arrived. Guards against a connection that the kernel has accepted and the program resets.
#[test]
fn connection_at_the_close_of_the_listener_is_answered() {
    for (site, config) in SITES {
        repeat_until_suspended_in_time(|is_in_time| {
            run_with_setup(&format!("last-in-{site}"), config, 1, &[WITHOUT_CANCEL], |setup| async move {
                let (mut busy, mut connection) =
                    request_at_first_member(&setup, &replica_read(site, "a1")).await;
                setup.program.signal("-TERM");
                setup.program.wait_for_log("stopping, ").await;
                setup.program.suspend();
                sleep(PAST_CLOSE_DELAY).await;
                let _statements = serve_at_first_member(&setup);
                // Refused if the listener was closed before the program was suspended.
                let Ok(mut last) = TcpStream::connect(setup.address).await else { return };
                is_in_time.set(true);
                let request = encode(&[ClientCommand::Startup, query_command(&replica_read(site, "a2"))]);
                last.write_all(&request).await.expect("write");
                wait_until_delivered(&last).await;
                setup.program.signal("-CONT");
                read_answer(&mut last).await;
                let answer = read_answer(&mut last).await;
                assert!(
                    answer.contains("mine") || answer.contains("C53300"),
                    "the query is answered: {answer}"
                );
                send_row(&mut connection, "one").await;
                assert!(read_answer(&mut busy).await.contains("one"));
                assert!(setup.program.wait_for_exit().await.success());
            })
        });
    }
}

/// SIGTERM while an answer is half written to a slow client. Guards against a stop that truncates the answer.
#[test]
fn half_written_answer_is_completed_before_the_end() {
    run_with_setup("term-slow", CONFIG, 1, &[], |setup| async move {
        let (mut client, mut connection) = request_at_first_member(&setup, &read_with_id("a1")).await;
        let value = "v".repeat(4_000_000);
        let member = spawn_local(async move {
            send_row(&mut connection, &value).await;
            connection
        });
        client.read_exact(&mut [0; 1000]).await.expect("start of the answer");
        setup.program.signal("-TERM");
        setup.program.wait_for_log("stopping, ").await;
        let answer = read_answer(&mut client).await;
        assert!(answer.len() > 3_999_000 && answer.contains("SELECT 1"), "{} bytes", answer.len());
        assert_eq!(read_answer(&mut client).await, "", "the connection is closed after the answer");
        drop(member.await);
        assert!(setup.program.wait_for_exit().await.success());
    });
}

/// SIGTERM while a retry is due: the connection with the first attempt of a read breaks while the program is
/// suspended. Guards against a request that is lost between its two attempts.
#[test]
fn due_retry_is_made_during_a_stop() {
    run_with_setup("term-retry", CONFIG, 2, &[], |setup| async move {
        let ReadAtEitherMember { mut client, connection, other } = read_at_either_member(&setup).await;
        setup.program.suspend();
        drop(connection);
        setup.program.signal("-TERM");
        setup.program.signal("-CONT");
        let _next = serve_retry(&setup.members[other], "again").await;
        assert!(read_answer(&mut client).await.contains("again"));
        assert!(setup.program.wait_for_exit().await.success());
    });
}

/// SIGTERM while an attempt gets no reply. Guards against a request without a final answer by its deadline, and
/// against a program that does not exit after it.
#[test]
fn hanging_request_is_answered_by_its_deadline_during_a_stop() {
    run_with_setup("term-hang", CONFIG, 1, &[], |setup| async move {
        let read = read_with_id("a1").replace("d=60000", "d=4000");
        let (mut client, _connection) = request_at_first_member(&setup, &read).await;
        setup.program.signal("-TERM");
        let answer = read_answer(&mut client).await;
        assert!(answer.contains("C53300") || answer.contains("C08007"), "{answer}");
        assert!(setup.program.wait_for_exit().await.success());
    });
}
