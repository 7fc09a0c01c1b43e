//! SIGTERM at the moment when something else happens. What was accepted by then must be answered before the process ends.

use crate::harness::{CONFIG, connect_client, encode, query_command, read_answer};
use crate::member_side::{accept_startup, greet, read_rest, read_statement, send_row};
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
const PAST_THE_CLOSE: Duration = Duration::from_millis(700);

/// Repeats a test until it notes that the program was suspended before the moment that it is about: a busy machine may be
/// late for it.
fn repeat_until_suspended_in_time(test: impl Fn(Rc<Cell<bool>>)) {
    let is_in_time = Rc::new(Cell::new(false));
    let in_time = (0..50).find(|_| {
        test(is_in_time.clone());
        is_in_time.get()
    });
    assert!(in_time.is_some(), "the program was never suspended in time");
}

/// SIGTERM while a query is half read, others are in flight on the same connection, and a second SIGTERM and a SIGHUP
/// come. Guards against anything that was accepted and not answered, in its order, before the end.
#[test]
fn sigterm_answers_half_read_and_pipelined_requests() {
    for (site, config) in SITES {
        run_with_setup(&format!("term-{site}"), config, 1, &[], |setup| async move {
            let reads = [replica_read(site, "a1"), replica_read(site, "a2")];
            let mut pipelined = connect_client(setup.address, &[&reads[0], &reads[1]]).await;
            let member = &setup.members[0];
            let mut connections = [accept_startup(member).await, accept_startup(member).await];
            for connection in &mut connections {
                greet(connection).await;
                assert!(read_statement(connection).await.is_some());
            }
            let mut half_read = connect_client(setup.address, &[]).await;
            let third = encode(&[query_command(&replica_read(site, "a3"))]);
            half_read.write_all(&third[..20]).await.expect("written");
            setup.program.signal("-TERM");
            setup.program.wait_for_log("stopping, ").await;
            half_read.write_all(&third[20..]).await.expect("written");
            setup.program.signal("-TERM");
            setup.program.signal("-HUP");
            let answer = read_answer(&mut half_read);
            let [mut first, mut second] = connections;
            // Its statement comes on a new connection, or it was rejected for want of time: on a slow machine.
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
            assert_eq!(read_answer(&mut pipelined).await, "", "then it is closed");
            assert!(setup.program.wait_for_exit().await.success());
        });
    }
}

/// Whether the other side has ended a connection, as this machine knows by now.
fn is_closed(stream: &TcpStream) -> bool {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|length| length == 0)
}

/// A query on an idle connection at the very moment when the stop closes it, in both orders. Guards against a request that
/// is read and not answered, and against one that is read once its connection is closed, and forwarded.
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

/// Plays the moment, and returns whether the connection was closed before the query was written.
async fn query_at_the_close(setup: Rc<TestSetup>, site: &str, is_close_first: bool) -> bool {
    let mut idle = connect_client(setup.address, &[]).await;
    let (mut busy, mut connection) = request_at_first_member(&setup, &replica_read(site, "a1")).await;
    setup.program.signal("-TERM");
    if is_close_first {
        setup.program.wait_for_log("code=stopping").await;
    } else {
        // Suspended until the moment to close it has passed, and its query is there.
        setup.program.wait_for_log("stopping, ").await;
        setup.program.suspend();
        sleep(PAST_THE_CLOSE).await;
    }
    let statements = serve_at_first_member(&setup);
    let was_closed = is_closed(&idle);
    idle.write_all(&encode(&[query_command(&replica_read(site, "a2"))])).await.expect("written");
    if !was_closed {
        wait_until_delivered(&idle).await;
    }
    setup.program.signal("-CONT");
    let answer = read_answer(&mut idle).await;
    // Read before the program looks at its clock it is served, else it is too late.
    let is_served = answer.contains("mine");
    assert_eq!(is_served || answer.contains("C53300"), !was_closed, "it is answered: {answer}");
    assert_eq!(statements.borrow().len(), usize::from(is_served), "sent only for an answer");
    assert_eq!(read_answer(&mut idle).await, "", "then it is closed");
    send_row(&mut connection, "one").await;
    assert!(read_answer(&mut busy).await.contains("one"));
    assert!(!read_rest(connection).await.contains("id=a2"));
    assert!(setup.program.wait_for_exit().await.success());
    assert!(statements.borrow().iter().all(|statement| statement.contains("id=a2")));
    was_closed
}

/// A client connects at the moment when the listener closes: the program is suspended until that has passed and its query is there.
/// Guards against a new connection that the machine has accepted and the program resets.
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
                sleep(PAST_THE_CLOSE).await;
                let _statements = serve_at_first_member(&setup);
                // Closed before it was suspended: nothing was accepted.
                let Ok(mut last) = TcpStream::connect(setup.address).await else { return };
                is_in_time.set(true);
                let request = encode(&[ClientCommand::Startup, query_command(&replica_read(site, "a2"))]);
                last.write_all(&request).await.expect("written");
                wait_until_delivered(&last).await;
                setup.program.signal("-CONT");
                read_answer(&mut last).await;
                let answer = read_answer(&mut last).await;
                assert!(answer.contains("mine") || answer.contains("C53300"), "it is answered: {answer}");
                send_row(&mut connection, "one").await;
                assert!(read_answer(&mut busy).await.contains("one"));
                assert!(setup.program.wait_for_exit().await.success());
            })
        });
    }
}

/// SIGTERM while an answer is half written to a client that takes its time. Guards against a stop that cuts it off.
#[test]
fn half_written_answer_is_completed_before_the_end() {
    run_with_setup("term-slow", CONFIG, 1, &[], |setup| async move {
        let (mut client, mut connection) = request_at_first_member(&setup, &read_with_id("a1")).await;
        let value = "v".repeat(4_000_000);
        let member = spawn_local(async move {
            send_row(&mut connection, &value).await;
            connection
        });
        client.read_exact(&mut [0; 1000]).await.expect("it has begun");
        setup.program.signal("-TERM");
        setup.program.wait_for_log("stopping, ").await;
        let answer = read_answer(&mut client).await;
        assert!(answer.len() > 3_999_000 && answer.contains("SELECT 1"), "{} bytes", answer.len());
        assert_eq!(read_answer(&mut client).await, "", "then it is closed");
        drop(member.await);
        assert!(setup.program.wait_for_exit().await.success());
    });
}

/// SIGTERM while a retry is due: the member breaks under a read, the program is suspended meanwhile. Guards against a request
/// that is forgotten between its two attempts.
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

/// SIGTERM while an attempt hangs: it ends by its deadline, with a final answer, and so does the program.
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
