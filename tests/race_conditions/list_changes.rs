//! Changes of the endpoint list, mainly drains, that arrive while a connection is being opened, a watch fails, or the
//! process is suspended.

use crate::harness::{WATCH_HEAD, accept_watch, connect_client, read_answer, send_watch_line};
use crate::member_side::{accept_startup, answer_startup, read_rest, read_statement, send_row};
use crate::setup::{SITES, draining_list, replica_read, run_with_setup};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A drain is announced while a connection is being opened, before or after the statement is written. Guards against a
/// statement that is sent after the drain, and against an answer that is lost because its member drains.
#[test]
fn drain_before_the_first_byte_prevents_the_send() {
    for (site, config) in SITES {
        for is_drain_first in [true, false] {
            run_with_setup(&format!("drain-{site}-{is_drain_first}"), config, 1, &[], |setup| async move {
                let (mut watch, version) = accept_watch(&setup.discovery).await;
                assert_eq!(version, 1);
                let read = replica_read(site, "a1").replace("d=60000", "d=4000");
                let mut client = connect_client(setup.address, &[&read]).await;
                let mut connection = accept_startup(&setup.members[0]).await;
                if is_drain_first {
                    send_watch_line(&mut watch, WATCH_HEAD, &draining_list(2, &setup.members[0])).await;
                    setup.program.wait_for_log("list version 2").await;
                    answer_startup(&mut connection).await;
                    assert_eq!(read_rest(connection).await, "", "no statement is sent after the drain");
                    assert!(read_answer(&mut client).await.contains("C53300"));
                } else {
                    answer_startup(&mut connection).await;
                    assert!(
                        read_statement(&mut connection)
                            .await
                            .is_some_and(|statement| statement.contains("id=a1"))
                    );
                    send_watch_line(&mut watch, WATCH_HEAD, &draining_list(2, &setup.members[0])).await;
                    setup.program.wait_for_log("list version 2").await;
                    send_row(&mut connection, "complete").await;
                    assert!(read_answer(&mut client).await.contains("complete"));
                }
            });
        }
    }
}

/// How a watch fails to deliver a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchFailure {
    InvalidLine,
    TruncatedLine,
    Ended,
    Reset,
    Unresponsive,
}

impl WatchFailure {
    /// The failures to test at a site. Where lists are requested, an unresponsive watch is detected too slowly for
    /// the test.
    fn of_site(site: &str) -> Vec<WatchFailure> {
        use WatchFailure::{Ended, InvalidLine, Reset, TruncatedLine, Unresponsive};
        let mut failures = vec![InvalidLine, TruncatedLine, Ended, Reset];
        if site != "asked" {
            failures.push(Unresponsive);
        }
        failures
    }
}

/// Makes a watch fail. A returned watch stays open until it is dropped.
async fn fail_watch(mut watch: TcpStream, failure: WatchFailure) -> Option<TcpStream> {
    match failure {
        WatchFailure::InvalidLine => {
            let line = r#"{"version":2,"full":false,"servers":[{"id":7}]}"#;
            send_watch_line(&mut watch, WATCH_HEAD, line).await;
            keep_alive(watch);
            None
        }
        WatchFailure::TruncatedLine => {
            let line = r#"{"version":2,"full":false,"servers":[{"id":"m"#;
            send_watch_line(&mut watch, WATCH_HEAD, line).await;
            keep_alive(watch);
            None
        }
        WatchFailure::Ended => {
            watch.write_all(format!("{WATCH_HEAD}0\r\n\r\n").as_bytes()).await.expect("write");
            Some(watch)
        }
        WatchFailure::Reset => {
            watch.set_zero_linger().expect("set linger");
            None
        }
        WatchFailure::Unresponsive => Some(watch),
    }
}

/// Sends empty lines on a watch, so that only its earlier lines can end it, and not a timeout.
fn keep_alive(mut watch: TcpStream) {
    spawn_local(async move {
        while watch.write_all(b"1\r\n\n\r\n").await.is_ok() {
            sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a change that is lost with the watch that failed to deliver it: by an invalid line, a truncated
/// line, the end of the watch, a reset, or an unresponsive agent. The next watch must deliver the drain.
#[test]
fn next_watch_delivers_what_the_last_one_lost() {
    for (site, config) in SITES {
        for failure in WatchFailure::of_site(site) {
            run_with_setup(&format!("watch-{site}-{failure:?}"), config, 1, &[], |setup| async move {
                let (watch, version) = accept_watch(&setup.discovery).await;
                assert_eq!(version, 1);
                let _open_watch = fail_watch(watch, failure).await;
                let (mut next_watch, version) = accept_watch(&setup.discovery).await;
                assert_eq!(version, 1, "the list in use is unchanged");
                send_watch_line(&mut next_watch, WATCH_HEAD, &draining_list(2, &setup.members[0])).await;
                setup.program.wait_for_log("list version 2").await;
                let read = replica_read(site, "a1").replace("d=60000", "d=500");
                let mut client = connect_client(setup.address, &[&read]).await;
                assert!(read_answer(&mut client).await.contains("C53300"), "the only member drains");
            });
        }
    }
}

/// A list arrives while the program is suspended for longer than the time limit of the watch. Guards against a
/// timeout that takes effect before received input is read: the watch was closed with an unread drain, and a
/// statement was sent to the draining member.
#[test]
fn list_received_while_suspended_is_read_before_any_send() {
    for (site, config) in SITES {
        run_with_setup(&format!("stopped-{site}"), config, 1, &[], |setup| async move {
            let (mut watch, _) = accept_watch(&setup.discovery).await;
            send_watch_line(&mut watch, WATCH_HEAD, "").await;
            setup.program.wait_for_log("saved to confirmed").await;
            setup.program.suspend();
            send_watch_line(&mut watch, "", &draining_list(2, &setup.members[0])).await;
            // Longer than the time limit for the next message of a watch.
            sleep(Duration::from_millis(3_200)).await;
            setup.program.signal("-CONT");
            let read = replica_read(site, "a1").replace("d=60000", "d=800");
            let mut client = connect_client(setup.address, &[&read]).await;
            let answer = read_answer(&mut client).await;
            assert!(answer.contains("C53300") || answer.contains("C08007"), "{answer}");
            assert!(timeout(Duration::ZERO, setup.members[0].accept()).await.is_err(), "the member drains");
            setup.program.wait_for_log("list version 2 with 1 entries").await;
        });
    }
}
