//! Clients that leave while their request is in progress. No statement may be sent for such a client afterwards, and
//! the close of its connection must be detected.

use crate::harness::{
    CONFIG, WATCH_HEAD, accept_watch, connect_client, encode, query_command, read_answer, send_watch_line,
};
use crate::member_side::{accept_startup, answer_startup, read_statement, reply_with_row, send_row};
use crate::setup::{
    SITES, WITHOUT_CANCEL, accept_statement, read_first_statement, read_with_id, replica_read,
    request_at_first_member, run_with_setup, serve_at_first_member, stop_and_read_rest, wait_until_delivered,
};
use linenhill::pg::backend::Command as ClientCommand;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Answers the next statement on either connection and returns it.
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
    .expect("read statement")
}

/// A client leaves while the connection for its request is being opened. Guards against a statement that is written
/// once the connection is open, also where cancelling is disabled, since nothing was written that would have to be
/// cancelled. Where cancelling is disabled, the connection is kept and may serve the next request.
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
                // The second request may use either connection; the abandoned request must not use any.
                let mut new_connection = accept_startup(&setup.members[0]).await;
                let statement = if is_cancel_allowed {
                    connection = new_connection;
                    answer_startup(&mut connection).await;
                    let statement = read_statement(&mut connection).await.expect("read statement");
                    send_row(&mut connection, "one").await;
                    statement
                } else {
                    answer_startup(&mut connection).await;
                    answer_startup(&mut new_connection).await;
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

/// A client connects, sends a request and leaves while the program is suspended, so that the program finds the
/// request and the close together in the listen backlog. Guards against forwarding the request of a client that has
/// left, and against a stop that drops connections which the kernel had already accepted.
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
                    // Confirms the list: the lease of a saved list would expire during the suspension, or before it
                    // on a slow machine, and the request would be rejected.
                    let (mut watch, _) = accept_watch(&setup.discovery).await;
                    send_watch_line(&mut watch, WATCH_HEAD, "").await;
                    setup.program.wait_for_log("saved to confirmed").await;
                    setup.program.suspend();
                    let mut leaving = TcpStream::connect(setup.address).await.expect("connect");
                    let request =
                        |id: &str| encode(&[ClientCommand::Startup, query_command(&replica_read(site, id))]);
                    leaving.write_all(&request("a1")).await.expect("write");
                    if is_reset {
                        leaving.set_zero_linger().expect("set linger");
                    }
                    drop(leaving);
                    let mut staying = TcpStream::connect(setup.address).await.expect("connect");
                    staying.write_all(&request("a2")).await.expect("write");
                    wait_until_delivered(&staying).await;
                    setup.program.signal("-TERM");
                    setup.program.signal("-CONT");
                    let statements = serve_at_first_member(&setup);
                    read_answer(&mut staying).await;
                    let answer = read_answer(&mut staying).await;
                    assert!(answer.contains("mine"), "{answer}");
                    assert_eq!(
                        read_answer(&mut staying).await,
                        "",
                        "the connection is closed after the answer"
                    );
                    assert!(setup.program.wait_for_exit().await.success());
                    let statements = statements.borrow();
                    assert!(statements.len() == 1 && statements[0].contains("id=a2"), "{statements:?}");
                },
            );
        }
    }
}

/// A client leaves after the statement of its request was written. Guards against an attempt that continues where
/// cancelling is allowed, and against closing its connection where it is not.
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
            // The connection is kept, but not reused for a short time: the next request may arrive too early for it.
            let mut connection = tokio::select! {
                statement = read_statement(&mut connection) => {
                    assert!(statement.is_some_and(|statement| statement.contains("id=a9")));
                    connection
                }
                new_connection = accept_startup(&setup.members[0]) => {
                    let (new_connection, statement) = read_first_statement(new_connection).await;
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

/// Guards against a close that is not detected because earlier input of the client is unread: a long message behind
/// the open request, input that violates the protocol, or a second request while a long reply is incomplete.
#[test]
fn client_end_is_seen_behind_unread_input() {
    let long_message = [&[b'Q'][..], &3_000_000u32.to_be_bytes(), &[b'x'; 200_000]].concat();
    for (name, following) in [("long", long_message), ("garbage", b"\xff\xff\xff\xff\xff\xff\xff".to_vec())] {
        run_with_setup(&format!("unread-{name}"), CONFIG, 1, &[WITHOUT_CANCEL], |setup| async move {
            let mut first = connect_client(setup.address, &[&read_with_id("a1")]).await;
            let mut connection = accept_startup(&setup.members[0]).await;
            first.write_all(&following).await.expect("write");
            drop(first);
            setup.program.wait_for_log("code=client-gone").await;
            answer_startup(&mut connection).await;
            let rest = stop_and_read_rest(setup, connection).await;
            assert!(!rest.contains("id=a1"), "{rest}");
        });
    }
    run_with_setup("unread-passing", CONFIG, 1, &[WITHOUT_CANCEL], |setup| async move {
        let (mut first, mut connection) = request_at_first_member(&setup, &read_with_id("a1")).await;
        first.write_all(&encode(&[query_command(&read_with_id("a2"))])).await.expect("write");
        let mut second_connection = accept_startup(&setup.members[0]).await;
        let long_reply = reply_with_row(&"v".repeat(300_000));
        connection.write_all(&long_reply[..100_000]).await.expect("write");
        first.read_exact(&mut [0; 50_000]).await.expect("start of the answer");
        drop(first);
        setup.program.wait_for_log("code=client-gone").await;
        answer_startup(&mut second_connection).await;
        let rest = stop_and_read_rest(setup, second_connection).await;
        assert!(!rest.contains("id=a2"), "{rest}");
    });
}
