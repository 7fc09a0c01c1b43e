//! Requests of one client session: their ids, their order, and their answers while the proxy drains or stops.

use crate::session_fixture::{
    SERVING, STARTUP, SessionFixture, TERMINATE, connection_gate, new_gateway, next_accepted, query,
    read_to_end, read_until, serve, statement, write,
};
use linenhill::close_reason::CloseReason;
use linenhill::lifecycle::ServingState;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

/// Guards against a request with the id of an open request that is submitted, or that affects the open one.
#[tokio::test(start_paused = true)]
async fn duplicate_id_of_an_open_request_is_rejected() {
    let (gateway, mut events) = new_gateway();
    let connection_gate = connection_gate(9);
    let request = query("7", "list");
    let mut first = SessionFixture::new(&gateway, connection_gate.admit().expect("free slot"));
    let mut second = SessionFixture::new(&gateway, connection_gate.admit().expect("free slot"));
    let steps = async {
        write(&mut first.client, &[STARTUP, &request].concat()).await;
        let accepted = next_accepted(&mut events).await;
        write(&mut second.client, &[STARTUP, &request].concat()).await;
        read_until(&mut second.client, "C42710\0").await;
        serve(accepted, "the row");
        read_until(&mut first.client, "the row").await;
        assert!(events.try_recv().is_err(), "the second request is not submitted");
        write(&mut second.client, &request).await;
        // The id is free again once its request is answered.
        let _accepted = next_accepted(&mut events).await;
        drop((first.client, second.client));
    };
    tokio::join!(first.session, second.session, steps);
}

/// Guards against requests that wait for independent earlier ones, and against answers, or writes to one key, that are
/// out of order.
#[tokio::test(start_paused = true)]
async fn pipelined_requests_run_concurrently_and_answer_in_order() {
    let (SessionFixture { mut client, session, serving_state: _serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let request = |id: &str, class: &str| statement(id, class, "SELECT val FROM s WHERE uid = 'a'");
    let steps = async {
        let requests = [STARTUP, &request("1", "list"), &request("2", "own"), &request("3", "order")];
        write(&mut client, &requests.concat()).await;
        let first = next_accepted(&mut events).await;
        let second = next_accepted(&mut events).await;
        sleep(Duration::from_millis(100)).await;
        assert!(
            events.try_recv().is_err(),
            "the third request writes to the key of the first two and waits for them"
        );
        for (accepted, row) in [(second, "row 2"), (first, "row 1")] {
            serve(accepted, row);
            sleep(Duration::from_millis(100)).await;
        }
        let third = next_accepted(&mut events).await;
        assert_eq!(third.request.time_left.0, 700_000, "its timeout counts from its arrival");
        serve(third, "row 3");
        write(&mut client, TERMINATE).await;
        let received = read_to_end(&mut client).await;
        let rows: Vec<&str> = received.split("row ").skip(1).map(|row| &row[..1]).collect();
        assert_eq!(rows, ["1", "2", "3"]);
    };
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Terminated);
}

/// Guards against a drain that drops the first request of a new connection, keeps the connection open after it, or
/// still answers the platform's readiness check, an empty query, as ready.
#[tokio::test(start_paused = true)]
async fn drain_serves_one_request_of_a_new_connection() {
    let (SessionFixture { mut client, session, serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let _ = serving_state.send(ServingState { reports_ready: false, closes_idle: true, ..SERVING });
    let steps = async {
        sleep(Duration::from_millis(200)).await;
        write(&mut client, &[STARTUP, b"Q"].concat()).await;
        sleep(Duration::from_millis(900)).await;
        write(&mut client, b"\0\0\0\x05\0").await;
        write(&mut client, &query("1", "list")).await;
        let accepted = next_accepted(&mut events).await;
        sleep(Duration::from_millis(700)).await;
        serve(accepted, "the row");
        let received = read_to_end(&mut client).await;
        assert!(received.contains("C57P03\0") && received.contains("the row"), "{received:?}");
    };
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Stopping);
}

/// Guards against a request that is accepted late in a stop, when the platform may kill the process before its
/// answer. It must be rejected, after the answer to the request before it.
#[tokio::test(start_paused = true)]
async fn late_requests_are_rejected_during_a_stop() {
    let (SessionFixture { mut client, session, serving_state }, mut events) =
        SessionFixture::with_own_gateway();
    let steps = async {
        write(&mut client, &[STARTUP, &query("1", "list")].concat()).await;
        let accepted = next_accepted(&mut events).await;
        let late_in_a_stop =
            ServingState { accepts_connections: false, closes_idle: true, rejects_requests: true, ..SERVING };
        let _ = serving_state.send(late_in_a_stop);
        write(&mut client, &query("2", "list")).await;
        sleep(Duration::from_millis(100)).await;
        assert!(events.try_recv().is_err(), "the second request is not submitted");
        serve(accepted, "the row");
        let received = read_to_end(&mut client).await;
        let row = received.find("the row");
        let rejection = received.find("C53300\0");
        assert!(row.is_some() && row < rejection, "{received:?}");
    };
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Stopping);
}

/// Guards against accepted requests that are lost when the client's next bytes are not a valid message, or when the
/// process stops.
#[tokio::test(start_paused = true)]
async fn accepted_requests_are_answered_before_the_end() {
    for (is_malformed, following, expected_reason) in
        [(true, b"Q\0\0\0\0".as_slice(), CloseReason::Protocol), (false, b"", CloseReason::Stopping)]
    {
        let (SessionFixture { mut client, session, serving_state }, mut events) =
            SessionFixture::with_own_gateway();
        let steps = async {
            write(&mut client, &[STARTUP, &query("1", "list"), following].concat()).await;
            let accepted = next_accepted(&mut events).await;
            let _ = serving_state.send(ServingState { closes_idle: true, ..SERVING });
            sleep(Duration::from_millis(300)).await;
            serve(accepted, "the row");
            let received = read_to_end(&mut client).await;
            assert!(
                received.contains("the row") && received.contains("08P01") == is_malformed,
                "{received:?}"
            );
        };
        let (reason, ()) = tokio::join!(session, steps);
        assert_eq!(reason, expected_reason);
    }
}

/// Guards against a client that is cut off with commands unanswered because it takes seconds to read: what counts is that
/// it goes on reading. A client that has stopped reading is disconnected.
#[tokio::test(start_paused = true)]
async fn a_client_that_reads_slowly_gets_all_its_answers() {
    // Each answer is longer than the buffer of the connection.
    let answer: &'static str = "v".repeat(20_000).leak();
    for (pause, is_served) in [(Duration::from_secs(4), true), (Duration::from_secs(30), false)] {
        let (SessionFixture { mut client, session, serving_state: _serving_state }, mut events) =
            SessionFixture::with_own_gateway();
        let steps = async {
            write(&mut client, &[STARTUP, &query("1", "list"), &query("2", "list")].concat()).await;
            serve(next_accepted(&mut events).await, answer);
            serve(next_accepted(&mut events).await, answer);
            write(&mut client, TERMINATE).await;
            let mut received = 0;
            for _ in 0..5 {
                sleep(pause).await;
                received += client.read(&mut [0; 10_000]).await.expect("read");
            }
            received + read_to_end(&mut client).await.len()
        };
        let (reason, received) = tokio::join!(session, steps);
        assert_eq!(received > 2 * answer.len(), is_served, "{received} bytes, {reason}");
        assert_eq!(reason, if is_served { CloseReason::Terminated } else { CloseReason::WriteTimeout });
    }
}
