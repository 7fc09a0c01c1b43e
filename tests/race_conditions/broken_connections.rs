//! Connections to members that break, close, or deliver bytes at an unexpected time. A request must get exactly one
//! final answer, and only from the reply to its own statement.

use crate::harness::{
    CONFIG, WATCH_HEAD, WRITE, accept_watch, connect_client, encode, query_command, read_answer,
    send_watch_line,
};
use crate::member_side::{
    EMPTY_STATEMENT, accept_startup, empty_query_answer, read_query, read_rest, read_startup, read_statement,
    reply_with_row, send_row, startup_answer,
};
use crate::setup::{
    ConfigChange, PUSHED_CONFIG, ReadAtEitherMember, SITES, WITHOUT_CANCEL, accept_statement,
    read_at_either_member, read_first_statement, read_with_id, replica_read, request_at_first_member,
    run_with_setup, serve_retry,
};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Members do not report their role.
const ROLES_NOT_SHOWN: ConfigChange = ("\"showsRole\": \"trailing\"", "\"showsRole\": \"off\"");

/// Guards against an attempt on an idle connection that the member has closed, and against late bytes of a reply that
/// are delivered to the next request.
#[test]
fn closed_or_dirty_idle_connection_is_not_used() {
    for event in ["closed", "reset", "late-bytes"] {
        run_with_setup(&format!("idle-{event}"), CONFIG, 1, &[], |setup| async move {
            let (mut client, mut connection) = request_at_first_member(&setup, &read_with_id("a1")).await;
            send_row(&mut connection, "first").await;
            assert!(read_answer(&mut client).await.contains("first"));
            match event {
                "closed" => connection.shutdown().await.expect("shut down"),
                "reset" => connection.set_zero_linger().expect("set linger"),
                _ => connection.write_all(&reply_with_row("late")).await.expect("write"),
            }
            let still_open = (event != "reset").then_some(connection);
            // On a busy machine the event may arrive late: the program has processed it once it logs the close.
            let close_code = if event == "late-bytes" { "code=protocol" } else { "code=peer-closed" };
            setup.program.wait_for_log(close_code).await;
            client.write_all(&encode(&[query_command(&read_with_id("a2"))])).await.expect("write");
            let (mut new_connection, statement) = accept_statement(&setup.members[0]).await;
            assert!(statement.contains("id=a2"), "{statement}");
            send_row(&mut new_connection, "second").await;
            let answer = read_answer(&mut client).await;
            assert!(answer.contains("second") && !answer.contains("late"), "{answer}");
            if let Some(connection) = still_open {
                assert_eq!(read_rest(connection).await, "", "nothing more was sent on it");
            }
        });
    }
}

/// Guards against a second copy of an answer that the member's system held back, and that is served to the next request
/// on the connection. The copy arrives once the program has sent anything more, however late that is.
#[test]
fn a_second_copy_behind_an_answer_is_not_served_to_the_next_request() {
    run_with_setup("second-copy", CONFIG, 1, &[], |setup| async move {
        let (mut client, mut connection) = request_at_first_member(&setup, &read_with_id("a1")).await;
        send_row(&mut connection, "first").await;
        assert!(read_answer(&mut client).await.contains("first"));
        spawn_local(async move {
            let next = read_query(&mut connection).await;
            send_row(&mut connection, "first").await;
            match next.as_deref() {
                Some(EMPTY_STATEMENT) => {
                    connection.write_all(&empty_query_answer()).await.expect("write");
                }
                _ => send_row(&mut connection, "second").await,
            }
            read_rest(connection).await
        });
        let member = setup.members[0].accept();
        // A connection must not count as clean because time has passed.
        sleep(Duration::from_millis(100)).await;
        client.write_all(&encode(&[query_command(&read_with_id("a2"))])).await.expect("write");
        let answer = read_answer(&mut client);
        tokio::pin!(answer);
        // The next statement goes out on a new connection, or its answer shows what was served.
        let answer = tokio::select! {
            answer = &mut answer => answer,
            accepted = member => {
                let (mut connection, _) = accepted.expect("accept connection");
                read_startup(&mut connection).await;
                let (mut connection, _statement) = read_first_statement(connection).await;
                send_row(&mut connection, "second").await;
                answer.await
            }
        };
        assert!(answer.contains("second") && !answer.contains("first"), "{answer}");
        setup.program.wait_for_log("code=protocol").await;
    });
}

/// Guards against a reply that is relayed to a request although the member sent it before it received the statement,
/// together with its answer to the startup message.
#[test]
fn reply_before_its_statement_is_discarded() {
    run_with_setup("early", CONFIG, 2, &[], |setup| async move {
        let mut client = connect_client(setup.address, &[&read_with_id("a1")]).await;
        let (mut early, other) = tokio::select! {
            connection = accept_startup(&setup.members[0]) => (connection, 1),
            connection = accept_startup(&setup.members[1]) => (connection, 0),
        };
        early.write_all(&[startup_answer(), reply_with_row("early")].concat()).await.expect("write");
        assert_eq!(read_statement(&mut early).await, None, "the member that replied early gets no statement");
        let _next = serve_retry(&setup.members[other], "after its statement").await;
        let answer = read_answer(&mut client).await;
        assert!(answer.contains("after its statement") && !answer.contains("early"), "{answer}");
        setup.program.wait_for_log("code=protocol").await;
    });
}

/// The connection breaks right after a statement is written, or in the middle of its reply, so the statement may have
/// run. Guards against a read that is lost with its connection, against a second attempt concurrent with the first,
/// and against a write that is retried where that is not allowed.
#[test]
fn broken_read_is_retried_and_unsafe_write_is_not() {
    for is_truncated in [false, true] {
        run_with_setup(&format!("break-read-{is_truncated}"), CONFIG, 2, &[], |setup| async move {
            let ReadAtEitherMember { mut client, mut connection, other } =
                read_at_either_member(&setup).await;
            if is_truncated {
                let reply = reply_with_row("torn");
                connection.write_all(&reply[..reply.len() - 6]).await.expect("write");
            }
            connection.set_zero_linger().expect("set linger");
            drop(connection);
            let _next = serve_retry(&setup.members[other], "again").await;
            let answer = read_answer(&mut client).await;
            assert!(answer.contains("again") && !answer.contains("torn"), "{answer}");
        });
    }
    run_with_setup("break-write", PUSHED_CONFIG, 1, &[ROLES_NOT_SHOWN], |setup| async move {
        let (mut client, connection) = request_at_first_member(&setup, WRITE).await;
        drop(connection);
        let answer = read_answer(&mut client).await;
        assert!(answer.contains("C08007"), "{answer}");
        setup.program.signal("-TERM");
        assert!(setup.program.wait_for_exit().await.success());
        let next = setup.members[0].accept();
        assert!(timeout(Duration::ZERO, next).await.is_err(), "nothing more was sent");
    });
}

/// The connection breaks at different bytes near the end of a reply. The program is suspended until the bytes and the
/// break have arrived. Guards against an incomplete reply that is relayed, and against a second attempt after a
/// complete one.
#[test]
fn break_around_the_last_byte_gives_one_answer() {
    let complete = reply_with_row("complete").len();
    for (sent, is_reset) in [
        (complete - 7, true),
        (complete - 6, true),
        (complete - 1, false),
        (complete - 1, true),
        (complete, false),
    ] {
        run_with_setup(
            &format!("last-{sent}-{is_reset}"),
            CONFIG,
            2,
            &[WITHOUT_CANCEL],
            |setup| async move {
                let ReadAtEitherMember { mut client, mut connection, other } =
                    read_at_either_member(&setup).await;
                setup.program.suspend();
                connection.write_all(&reply_with_row("complete")[..sent]).await.expect("write");
                if is_reset {
                    connection.set_zero_linger().expect("set linger");
                }
                drop(connection);
                setup.program.signal("-CONT");
                if sent < complete {
                    let _next = serve_retry(&setup.members[other], "again").await;
                }
                let answer = read_answer(&mut client).await;
                assert!(answer.contains(if sent < complete { "again" } else { "complete" }), "{answer}");
                assert_eq!(answer.matches("SELECT 1").count(), 1, "{answer}");
                setup.program.signal("-TERM");
                assert!(setup.program.wait_for_exit().await.success());
                for member in &setup.members {
                    let next = timeout(Duration::ZERO, member.accept()).await;
                    assert!(next.is_err(), "nothing more was sent");
                }
            },
        );
    }
}

/// The reply to a request and its timeout are processed at the same time: the program is suspended until the timeout
/// has expired and the reply has arrived. Guards against two final answers, or none, and against a late reply that is
/// delivered to the next request.
#[test]
fn reply_and_timeout_in_one_turn_give_one_answer() {
    for (site, config) in SITES {
        run_with_setup(&format!("late-{site}"), config, 1, &[], |setup| async move {
            // Confirms the list: its lease would otherwise expire during the suspension, and nothing more would be
            // sent.
            let (mut watch, _) = accept_watch(&setup.discovery).await;
            send_watch_line(&mut watch, WATCH_HEAD, "").await;
            let read = replica_read(site, "a1").replace("d=60000", "d=3000");
            let (mut client, mut connection) = request_at_first_member(&setup, &read).await;
            setup.program.suspend();
            // Longer than the timeout of the request.
            sleep(Duration::from_millis(3_100)).await;
            send_row(&mut connection, "first").await;
            setup.program.signal("-CONT");
            let answer = read_answer(&mut client).await;
            let final_answers =
                ["first", "C53300", "C08007"].iter().filter(|text| answer.contains(**text)).count();
            assert_eq!(final_answers, 1, "{answer}");
            client.write_all(&encode(&[query_command(&replica_read(site, "a2"))])).await.expect("write");
            // A connection whose reply arrived too late is not reused.
            let mut next = tokio::select! {
                Some(statement) = read_statement(&mut connection) => {
                    assert!(statement.contains("id=a2"), "{statement}");
                    connection
                }
                new_connection = accept_startup(&setup.members[0]) => {
                    let (new_connection, statement) = read_first_statement(new_connection).await;
                    assert!(statement.contains("id=a2"), "{statement}");
                    new_connection
                }
            };
            send_row(&mut next, "second").await;
            let answer = read_answer(&mut client).await;
            assert!(answer.contains("second") && !answer.contains("first"), "{answer}");
        });
    }
}
