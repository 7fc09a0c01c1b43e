//! Watches of the discovery service: when a watch counts as failed, and which of its lists are accepted. A watch that
//! loses a list must end, and a list must never replace a newer one.

use linenhill::api::Discovery;
use linenhill::clock::Clock;
use linenhill::close_reason::CloseReason;
use linenhill::discovery::list::{self, DecodedList, ListEvent};
use linenhill::discovery::status::DiscoveryStatus;
use linenhill::discovery::watch::{first_message_timeout, read_watch};
use linenhill::stages::DriverInput;
use linenhill::upstream::send_guard::SendGuard;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, duplex};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Head of the response to a watch.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The chunk that ends the response.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Time limit for the first message of a watch.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_750);
/// Version of the list in use when a watch starts.
const VERSION_IN_USE: u64 = 41;

/// Encodes a line of a watch as one HTTP chunk.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Returns the head of the response, followed by `parts`.
fn response(parts: &[String]) -> Vec<String> {
    [&[RESPONSE_HEAD.to_string()], parts].concat()
}

/// Returns the head of the response and `lines` as one part.
fn response_in_one_part(lines: &[&str]) -> Vec<String> {
    let chunks: String = lines.iter().map(|line| chunk(line)).collect();
    vec![RESPONSE_HEAD.to_string() + &chunks]
}

/// The result of a watch.
#[derive(Debug, PartialEq, Eq)]
struct WatchEnd {
    /// Version of the list in use after the watch.
    version: u64,
    lists_received: usize,
    reason: CloseReason,
}

fn ended(version: u64, lists_received: usize, reason: CloseReason) -> WatchEnd {
    WatchEnd { version, lists_received, reason }
}

/// Reads a watch that sends `parts` 2 s apart and then stays open without sending anything.
async fn run_watch(parts: Vec<String>) -> WatchEnd {
    let (inbox, mut events) = mpsc::unbounded_channel();
    let (stream, mut service) = duplex(4096);
    let send = async {
        for part in parts {
            service.write_all(part.as_bytes()).await.expect("write");
            sleep(Duration::from_secs(2)).await;
        }
        std::future::pending::<()>().await;
    };
    let status = DiscoveryStatus::new(VERSION_IN_USE, Clock::start(), SendGuard::without_list());
    let reason = tokio::select! {
        reason = read_watch(stream, &status, &inbox, FIRST_MESSAGE_TIMEOUT) => reason,
        () = send => unreachable!(),
    };
    let mut lists_received = 0;
    while let Ok(input) = events.try_recv() {
        lists_received += usize::from(matches!(input, DriverInput::List(ListEvent::Received(_))));
    }
    ended(status.list_version(), lists_received, reason)
}

/// Reads a watch that sends `lines` at once and ends. Returns for each event whether it is [`ListEvent::Unchanged`].
async fn unchanged_events(lines: &[&str]) -> Vec<bool> {
    let (inbox, mut events) = mpsc::unbounded_channel();
    let text = response_in_one_part(lines).concat() + LAST_CHUNK;
    let status = DiscoveryStatus::new(VERSION_IN_USE, Clock::start(), SendGuard::without_list());
    let reason = read_watch(text.as_bytes(), &status, &inbox, FIRST_MESSAGE_TIMEOUT).await;
    assert_eq!(reason, CloseReason::WatchEnded);
    let received = std::iter::from_fn(|| events.try_recv().ok());
    received.map(|input| matches!(input, DriverInput::List(ListEvent::Unchanged))).collect()
}

/// Guards against keeping a watch whose service is unresponsive: complete lines count as messages, also empty ones,
/// but an incomplete line does not. Also guards against skipping an invalid line, which the watch does not resend:
/// the list in use stays, but the watch must end.
#[tokio::test(start_paused = true)]
async fn a_watch_ends_on_silence_or_a_bad_line() {
    let list = r#"{"version":43,"full":false,"servers":[]}"#;
    let invalid_list = r#"{"version":44,"full":false,"servers":[{"id":5}]}"#;
    let responsive = response(&["", "", "", "", list].map(chunk));
    assert_eq!(run_watch(responsive.clone()).await, ended(43, 1, CloseReason::WatchTimeout));
    let later_list = list.replace("43", "45");
    let parts = [&responsive[..], &[chunk(invalid_list), chunk(&later_list)]].concat();
    assert_eq!(run_watch(parts).await, ended(43, 1, CloseReason::Protocol));
    assert_eq!(run_watch(vec![]).await, ended(41, 0, CloseReason::WatchTimeout));
    // A call that is queued at the service for 2 s is not abandoned, since the next call would queue behind it. A
    // call without a message for longer may have hung from the start, and a change that it misses counts as notified
    // after 6 s.
    let delayed = |steps| [vec![String::new(); steps], response(&[chunk(list)])].concat();
    assert_eq!(run_watch(delayed(1)).await, ended(43, 1, CloseReason::WatchTimeout));
    assert_eq!(run_watch(delayed(2)).await, ended(41, 0, CloseReason::WatchTimeout));
    assert_eq!(first_message_timeout(Discovery::OnRequest), FIRST_MESSAGE_TIMEOUT);
    assert_eq!(first_message_timeout(Discovery::Pushed), Duration::from_millis(1_500));
    // Bytes that arrive slowly and never complete a line.
    let trickle = vec!["1\r\n \r\n".to_string(); 9];
    assert_eq!(run_watch(response(&trickle)).await, ended(41, 0, CloseReason::WatchTimeout));
    // A call whose first line reports no change produces one event, which resets the backoff after failures.
    assert_eq!(unchanged_events(&["", "", list]).await, [true, false]);
    assert_eq!(unchanged_events(&[list, "", ""]).await, [false]);
    let busy = "HTTP/1.1 503 Service Unavailable\r\n\r\n".to_string();
    assert_eq!(run_watch(vec![busy]).await, ended(41, 0, CloseReason::ErrorStatus));
    let empty = format!("{RESPONSE_HEAD}{LAST_CHUNK}");
    assert_eq!(run_watch(vec![empty]).await, ended(41, 0, CloseReason::WatchEnded));
}

/// Encodes a list with this number of members as discovery does, with fields that the proxy does not know.
fn large_list(version: u64, is_full: bool, members: usize) -> String {
    let entry = |number: usize| {
        format!(
            r#"{{"id":"s-{number}","addr":"10.1.0.{number}:6543","zone":"a","kind":"m2","cell":{},"state":"in_service","weight":1.0,"started_ms":0,"rack":"r{number}"}}"#,
            number % 12
        )
    };
    let entries: Vec<String> = (1..=members).map(entry).collect();
    format!(r#"{{"version":{version},"full":{is_full},"servers":[{}],"region":"mu"}}"#, entries.join(","))
}

/// Guards against a large list that is lost or misread when it is split, sent twice, older than the one in use,
/// empty, or has unknown fields. An older list would undo a drain that was announced since.
#[tokio::test(start_paused = true)]
async fn lists_are_accepted_complete_and_never_backwards() {
    let complete = chunk(&large_list(50, true, 60));
    for split_at in (1..complete.len()).step_by(397) {
        let parts = vec![RESPONSE_HEAD.to_string() + &complete[..split_at], complete[split_at..].to_string()];
        assert_eq!(
            run_watch(parts).await,
            ended(50, 1, CloseReason::WatchTimeout),
            "split at byte {split_at}"
        );
    }
    let new = large_list(50, false, 60);
    let older = large_list(49, false, 60);
    let empty = large_list(51, false, 0);
    let before_use = large_list(40, false, 60);
    let restarted = large_list(3, true, 60);
    for (case, lists, end) in [
        ("sent twice", vec![&new, &new], ended(50, 2, CloseReason::WatchTimeout)),
        ("older than the previous list", vec![&new, &older], ended(50, 1, CloseReason::WatchTimeout)),
        ("empty change", vec![&new, &empty], ended(51, 2, CloseReason::WatchTimeout)),
        ("older than the list in use", vec![&before_use], ended(41, 0, CloseReason::WatchTimeout)),
        ("full list of a restarted service", vec![&restarted], ended(3, 1, CloseReason::WatchTimeout)),
        (
            "older full list in the middle of a watch",
            vec![&new, &restarted],
            ended(50, 1, CloseReason::WatchTimeout),
        ),
    ] {
        let lines: Vec<&str> = lines_of(&lists);
        assert_eq!(run_watch(response_in_one_part(&lines)).await, end, "{case}");
    }
}

fn lines_of<'a>(lists: &[&'a String]) -> Vec<&'a str> {
    lists.iter().map(|list| list.as_str()).collect()
}

/// Guards against lists that are lost because they are indented, also when they arrive in parts, and against a
/// truncated list that absorbs all later lines.
#[tokio::test(start_paused = true)]
async fn indented_lists_are_read_and_cut_ones_end_the_watch() {
    let entry =
        r#"{"id":"s-{\"{","addr":"10.1.0.1:6543","zone":"a\\","kind":"m2","cell":1,"state":"in_service"}"#;
    let flat = format!(r#"{{"version":50,"full":true,"servers":[{entry},{entry}],"more":{{"x":[1,[2]]}}}}"#);
    let indented = flat.replace('[', "[\r\n    ").replace(",\"", ",\n  \"").replace('}', "\n}");
    assert!(indented.lines().count() > 20);
    for text in [&flat, &indented] {
        let lines = chunk("") + &chunk(text) + &chunk("") + &chunk(&text.replace("50", "51"));
        for split_at in (1..lines.len()).step_by(89) {
            let parts = vec![RESPONSE_HEAD.to_string() + &lines[..split_at], lines[split_at..].to_string()];
            assert_eq!(
                run_watch(parts).await,
                ended(51, 2, CloseReason::WatchTimeout),
                "split at byte {split_at}"
            );
        }
    }
    let next = chunk("") + &chunk(&flat);
    for length in (1..indented.len()).step_by(7) {
        let parts = vec![RESPONSE_HEAD.to_string() + &chunk(&indented[..length]), next.clone()];
        assert_eq!(
            run_watch(parts).await,
            ended(41, 0, CloseReason::Protocol),
            "truncated after byte {length}"
        );
    }
    // Entries are decoded independently: an invalid entry does not affect the others.
    let with_invalid_address = flat.replacen("10.1.0.1:6543", "10.1.0.1:port", 1);
    let parts = response_in_one_part(&[&with_invalid_address]);
    assert_eq!(run_watch(parts).await, ended(50, 1, CloseReason::WatchTimeout));
    let DecodedList { list, skipped } = list::decode(with_invalid_address.as_bytes()).expect("valid list");
    assert_eq!((list.endpoints.len(), skipped.len()), (1, 1));
    assert!(skipped[0].to_string().contains("servers[0].addr"), "{}", skipped[0]);
    let terminating = with_invalid_address.replacen("in_service", "terminating", 1);
    let DecodedList { list, skipped } = list::decode(terminating.as_bytes()).expect("valid list");
    assert_eq!(
        (list.endpoints.len(), skipped.len()),
        (2, 0),
        "a terminating entry is accepted with an invalid address"
    );
}
