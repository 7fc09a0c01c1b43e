//! A client leaves while its request is on the way. Nothing may be sent for it afterwards, and its end must be seen.

use crate::harness::{
    CONFIG, WATCH_HEAD, accept_watch, connect_client, encode, query_command, read_answer, send_watch_line,
};
use crate::member_side::{accept_startup, greet, read_statement, reply_with_row, send_row};
use crate::setup::{
    SITES, WITHOUT_CANCEL, accept_statement, greet_for_statement, read_with_id, replica_read,
    request_at_first_member, run_with_setup, serve_at_first_member, stop_and_read_rest, wait_until_delivered,
};
use linenhill::pg::backend::Command as ClientCommand;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Serves the statement that comes on one of two connections, and returns it.
async fn serve_one_of(first: &mut TcpStream, second: &mut TcpStream) -> String {
    tokio::select! {
        statement = read_statement(first) => {
            send_row(first, "one").await;
            statement
        }
        statement = read_statement(second) => {
            send_row(second, "two").await;
            statement
        }
    }
    .expect("a statement")
}

/// A client leaves while its request's connection comes up. Guards against the request being written once it is up, also
/// where the settings allow no cancelling: nothing is cancelled where nothing was written. The connection is kept.
#[test]
fn no_statement_is_written_for_a_client_that_left() {
    for (site, config) in SITES {
        for (is_cancel_allowed, changes) in [(true, &[][..]), (false, &[WITHOUT_CANCEL][..])] {
            let name = format!("left-{site}-{is_cancel_allowed}");
            run_with_setup(&name, config, 1, changes, |setup| async move {
                let first = connect_client(setup.address, &[&replica_read(site, "a1")]).await;
                let mut connection = accept_startup(&setup.members[0]).await;
                drop(first);
                setup.program.wait_for_log("code=client-gone").await;
                let mut second = connect_client(setup.address, &[&replica_read(site, "a9")]).await;
                // The request that is left may take either connection; the one that nobody waits for takes none.
                let mut new_connection = accept_startup(&setup.members[0]).await;
                let statement = if is_cancel_allowed {
                    connection = new_connection;
                    greet(&mut connection).await;
                    let statement = read_statement(&mut connection).await.expect("a statement");
                    send_row(&mut connection, "one").await;
                    statement
                } else {
                    greet(&mut connection).await;
                    greet(&mut new_connection).await;
                    serve_one_of(&mut connection, &mut new_connection).await
                };
                assert!(statement.contains("id=a9"), "{statement}");
                read_answer(&mut second).await;
                let rest = stop_and_read_rest(setup, connection).await;
                assert!(!rest.contains("id=a1"), "{rest}");
            });
        }
    }
}

/// A client that asks and leaves while the program doesn't run: it finds the connection in the listener's backlog with the
/// request, and the end behind it, in one turn. Guards against a request that is forwarded for it, and against a stop that
/// drops what the machine had accepted for it by then.
#[test]
fn backlog_is_answered_unless_its_client_left() {
    for (site, config) in SITES {
        for is_reset in [false, true] {
            run_with_setup(
                &format!("backlog-{site}-{is_reset}"),
                config,
                1,
                &[WITHOUT_CANCEL],
                |setup| async move {
                    // The list is confirmed: the lease on a saved one would be over after the stop, or on a slow machine
                    // before it, and the request be rejected.
                    let (mut watch, _) = accept_watch(&setup.discovery).await;
                    send_watch_line(&mut watch, WATCH_HEAD, "").await;
                    setup.program.wait_for_log("saved to confirmed").await;
                    setup.program.suspend();
                    let mut leaving = TcpStream::connect(setup.address).await.expect("a connection");
                    let request =
                        |id: &str| encode(&[ClientCommand::Startup, query_command(&replica_read(site, id))]);
                    leaving.write_all(&request("a1")).await.expect("written");
                    if is_reset {
                        leaving.set_zero_linger().expect("set");
                    }
                    drop(leaving);
                    let mut staying = TcpStream::connect(setup.address).await.expect("a connection");
                    staying.write_all(&request("a2")).await.expect("written");
                    wait_until_delivered(&staying).await;
                    setup.program.signal("-TERM");
                    setup.program.signal("-CONT");
                    let statements = serve_at_first_member(&setup);
                    read_answer(&mut staying).await;
                    let answer = read_answer(&mut staying).await;
                    assert!(answer.contains("mine"), "{answer}");
                    assert_eq!(read_answer(&mut staying).await, "", "then it is closed");
                    assert!(setup.program.wait_for_exit().await.success());
                    let statements = statements.borrow();
                    assert!(statements.len() == 1 && statements[0].contains("id=a2"), "{statements:?}");
                },
            );
        }
    }
}

/// The other order: the statement is written, then the client leaves. Guards against work that goes on where it may be
/// cancelled, and against a connection that is cut where it may not.
#[test]
fn written_attempt_is_cancelled_only_where_allowed() {
    for (is_allowed, changes) in [(true, &[][..]), (false, &[WITHOUT_CANCEL][..])] {
        run_with_setup(&format!("written-{is_allowed}"), CONFIG, 1, changes, |setup| async move {
            let first = connect_client(setup.address, &[&read_with_id("a1")]).await;
            let (mut connection, statement) = accept_statement(&setup.members[0]).await;
            assert!(statement.contains("id=a1"), "{statement}");
            drop(first);
            setup.program.wait_for_log("code=client-gone").await;
            if is_allowed {
                assert_eq!(read_statement(&mut connection).await, None, "cancelled");
                return;
            }
            send_row(&mut connection, "for nobody").await;
            let mut second = connect_client(setup.address, &[&read_with_id("a9")]).await;
            // The connection rests for a moment, and is kept: the next request may come too soon for it.
            let mut connection = tokio::select! {
                statement = read_statement(&mut connection) => {
                    assert!(statement.is_some_and(|statement| statement.contains("id=a9")));
                    connection
                }
                new_connection = accept_startup(&setup.members[0]) => {
                    let (new_connection, statement) = greet_for_statement(new_connection).await;
                    assert!(statement.contains("id=a9"), "{statement}");
                    new_connection
                }
            };
            send_row(&mut connection, "mine").await;
            let answer = read_answer(&mut second).await;
            assert!(answer.contains("mine") && !answer.contains("nobody"), "{answer}");
        });
    }
}

/// Guards against an end that isn't seen since what the client sent before it is not read: behind its request a long
/// message waits for its turn, or its input broke the protocol, or it takes a long answer of which no more comes.
#[test]
fn client_end_is_seen_behind_unread_input() {
    let long_message = [&[b'Q'][..], &3_000_000u32.to_be_bytes(), &[b'x'; 200_000]].concat();
    for (name, following) in [("long", long_message), ("garbage", b"\xff\xff\xff\xff\xff\xff\xff".to_vec())] {
        run_with_setup(&format!("unread-{name}"), CONFIG, 1, &[WITHOUT_CANCEL], |setup| async move {
            let mut first = connect_client(setup.address, &[&read_with_id("a1")]).await;
            let mut connection = accept_startup(&setup.members[0]).await;
            first.write_all(&following).await.expect("written");
            drop(first);
            setup.program.wait_for_log("code=client-gone").await;
            greet(&mut connection).await;
            let rest = stop_and_read_rest(setup, connection).await;
            assert!(!rest.contains("id=a1"), "{rest}");
        });
    }
    run_with_setup("unread-passing", CONFIG, 1, &[WITHOUT_CANCEL], |setup| async move {
        let (mut first, mut connection) = request_at_first_member(&setup, &read_with_id("a1")).await;
        first.write_all(&encode(&[query_command(&read_with_id("a2"))])).await.expect("written");
        let mut second_connection = accept_startup(&setup.members[0]).await;
        let long_reply = reply_with_row(&"v".repeat(300_000));
        connection.write_all(&long_reply[..100_000]).await.expect("written");
        first.read_exact(&mut [0; 50_000]).await.expect("it has begun");
        drop(first);
        setup.program.wait_for_log("code=client-gone").await;
        greet(&mut second_connection).await;
        let rest = stop_and_read_rest(setup, second_connection).await;
        assert!(!rest.contains("id=a2"), "{rest}");
    });
}
