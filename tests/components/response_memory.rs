//! The memory of members' replies: what may be read, what may be asked for ahead of its turn, and when memory is
//! released.

use crate::member_connection::{RESPONSE_BYTES, answered_connection};
use crate::session_fixture::{
    STARTUP, SessionFixture, TERMINATE, connection_gate, new_gateway_with_read_ahead, next_accepted, query,
    read_to_end, read_until, serve, write,
};
use linenhill::close_reason::CloseReason;
use linenhill::response_memory::ResponseMemory;
use linenhill::upstream::response::MAX_RESPONSE_BYTES;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A time in which a step that is not blocked is done.
const SETTLED: Duration = Duration::from_millis(100);

/// Guards against answers that gather without limit behind a slow request, until the platform kills the proxy for its
/// memory: with memory for one answer, one of three later requests runs ahead, and the next one once it is released.
#[tokio::test(start_paused = true)]
async fn requests_run_ahead_of_their_turn_only_with_memory_for_their_answers() {
    let (gateway, mut events) = new_gateway_with_read_ahead(MAX_RESPONSE_BYTES);
    let connection = connection_gate(9).admit().expect("free slot");
    let SessionFixture { mut client, session, serving_state: _serving_state } =
        SessionFixture::new(&gateway, connection);
    let steps = async {
        let requests = [STARTUP, &query("1", "list"), &query("2", "list"), &query("3", "list")];
        write(&mut client, &requests.concat()).await;
        let first = next_accepted(&mut events).await;
        let second = next_accepted(&mut events).await;
        sleep(SETTLED).await;
        assert!(events.try_recv().is_err(), "the third request waits for memory");
        serve(second, "row 2");
        sleep(SETTLED).await;
        assert!(events.try_recv().is_err(), "the answer to the second request holds memory until its turn");
        serve(first, "row 1");
        read_until(&mut client, "row 2").await;
        let third = next_accepted(&mut events).await;
        assert_eq!(third.request.time_left.0, 700_000, "its timeout counts from its arrival");
        serve(third, "row 3");
        write(&mut client, TERMINATE).await;
        assert!(read_to_end(&mut client).await.contains("row 3"));
    };
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Terminated);
}

/// Guards against a reservation of the largest size that is kept for a small answer, so that few requests run ahead.
#[tokio::test(start_paused = true)]
async fn a_small_answer_keeps_only_its_own_memory() {
    let (gateway, mut events) = new_gateway_with_read_ahead(MAX_RESPONSE_BYTES + 100);
    let connection = connection_gate(9).admit().expect("free slot");
    let SessionFixture { mut client, session, serving_state: _serving_state } =
        SessionFixture::new(&gateway, connection);
    let steps = async {
        write(&mut client, &[STARTUP, &query("1", "list"), &query("2", "list")].concat()).await;
        let first = next_accepted(&mut events).await;
        serve(next_accepted(&mut events).await, "row 2");
        sleep(SETTLED).await;
        write(&mut client, &query("3", "list")).await;
        let third = next_accepted(&mut events).await;
        serve(first, "row 1");
        serve(third, "row 3");
        read_until(&mut client, "row 3").await;
        write(&mut client, TERMINATE).await;
    };
    let (reason, ()) = tokio::join!(session, steps);
    assert_eq!(reason, CloseReason::Terminated);
}

/// Guards against replies that are read without limit: a reply stays in its socket until memory for its declared size
/// is free, and the memory of an answer is in use until its last byte is dropped.
#[tokio::test]
async fn a_reply_is_read_once_memory_for_it_is_free() {
    let value = vec![b'v'; 40_000];
    let memory = ResponseMemory::new(60_000, Rc::default());
    let mut first = answered_connection(&value).await;
    let held = first.connection.read_reply(&memory).await.raw;
    assert!(held.len() > value.len() && memory.in_use() >= held.len(), "{} in use", memory.in_use());
    let part = held.slice(..1);
    drop(held);
    let mut second = answered_connection(&value).await;
    let second_reply = second.connection.read_reply(&memory);
    tokio::pin!(second_reply);
    assert!(timeout(SETTLED, &mut second_reply).await.is_err(), "a part of the first reply still exists");
    drop(part);
    assert!(second_reply.await.raw.len() > value.len());
    assert_eq!(memory.in_use(), 0, "the second reply was dropped");
}

/// Guards against a reply that is larger than all memory and waits for ever.
#[tokio::test]
async fn a_reply_larger_than_the_total_takes_all_memory() {
    let memory = ResponseMemory::new(10, Rc::default());
    let mut answered = answered_connection(&[b'v'; 1_000]).await;
    assert!(answered.connection.read_reply(&memory).await.raw.len() > 1_000);
    const { assert!(RESPONSE_BYTES > 1_000) };
}
