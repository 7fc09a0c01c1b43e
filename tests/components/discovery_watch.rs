//! Watches at the discovery service: when one counts as silent or broken, and which of its lists are accepted. A list must
//! never be lost without the end of its watch, and never replace a newer one.

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

/// How the response to a watch begins.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// How it ends.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// The longest time until the first message of a watch.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_750);
/// The version of the list that is in use when a watch begins.
const VERSION_IN_USE: u64 = 41;

/// One line of a watch, as a chunk of its own.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// These parts after the head of the response.
fn response(parts: &[String]) -> Vec<String> {
    [&[RESPONSE_HEAD.to_string()], parts].concat()
}

/// The head and these lines in one part.
fn response_in_one_part(lines: &[&str]) -> Vec<String> {
    let chunks: String = lines.iter().map(|line| chunk(line)).collect();
    vec![RESPONSE_HEAD.to_string() + &chunks]
}

/// How a watch ended.
#[derive(Debug, PartialEq, Eq)]
struct WatchEnd {
    /// The version of the list in use after it.
    version: u64,
    lists_received: usize,
    reason: CloseReason,
}

fn ended(version: u64, lists_received: usize, reason: CloseReason) -> WatchEnd {
    WatchEnd { version, lists_received, reason }
}

/// Plays a watch that sends these parts, 2 s apart, and then nothing.
async fn play_watch(parts: Vec<String>) -> WatchEnd {
    let (inbox, mut events) = mpsc::unbounded_channel();
    let (stream, mut far) = duplex(4096);
    let send = async {
        for part in parts {
            far.write_all(part.as_bytes()).await.expect("written");
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

/// Plays a watch that sends these lines at once and ends: for each event whether it says that nothing has changed.
async fn unchanged_events(lines: &[&str]) -> Vec<bool> {
    let (inbox, mut events) = mpsc::unbounded_channel();
    let text = response_in_one_part(lines).concat() + LAST_CHUNK;
    let status = DiscoveryStatus::new(VERSION_IN_USE, Clock::start(), SendGuard::without_list());
    let reason = read_watch(text.as_bytes(), &status, &inbox, FIRST_MESSAGE_TIMEOUT).await;
    assert_eq!(reason, CloseReason::WatchEnded);
    let received = std::iter::from_fn(|| events.try_recv().ok());
    received.map(|input| matches!(input, DriverInput::List(ListEvent::Unchanged))).collect()
}

/// Guards against trusting a watch whose service hangs: only its blank lines show that it lives, and a line that never
/// ends does not. And against skipping a bad line, whose content the watch does not repeat: the list in use stays, but
/// the watch ends.
#[tokio::test(start_paused = true)]
async fn a_watch_ends_on_silence_or_a_bad_line() {
    let list = r#"{"version":43,"full":false,"servers":[]}"#;
    let bad_list = r#"{"version":44,"full":false,"servers":[{"id":5}]}"#;
    let alive = response(&["", "", "", "", list].map(chunk));
    assert_eq!(play_watch(alive.clone()).await, ended(43, 1, CloseReason::WatchTimeout));
    let later_list = list.replace("43", "45");
    let parts = [&alive[..], &[chunk(bad_list), chunk(&later_list)]].concat();
    assert_eq!(play_watch(parts).await, ended(43, 1, CloseReason::Protocol));
    assert_eq!(play_watch(vec![]).await, ended(41, 0, CloseReason::WatchTimeout));
    // A call that waits in turn for 2 s is not given up: the next one would wait behind it. Later it may have fallen
    // silent right after it was made, and what it misses counts as notified 6 s after that.
    let late = |steps| [vec![String::new(); steps], response(&[chunk(list)])].concat();
    assert_eq!(play_watch(late(1)).await, ended(43, 1, CloseReason::WatchTimeout));
    assert_eq!(play_watch(late(2)).await, ended(41, 0, CloseReason::WatchTimeout));
    assert_eq!(first_message_timeout(Discovery::OnRequest), FIRST_MESSAGE_TIMEOUT);
    assert_eq!(first_message_timeout(Discovery::Pushed), Duration::from_millis(1_500));
    // Bytes that trickle in without ever making a line.
    let trickle = vec!["1\r\n \r\n".to_string(); 9];
    assert_eq!(play_watch(response(&trickle)).await, ended(41, 0, CloseReason::WatchTimeout));
    // A call that is answered with nothing new gives one event, so that the backoff after failures starts anew.
    assert_eq!(unchanged_events(&["", "", list]).await, [true, false]);
    assert_eq!(unchanged_events(&[list, "", ""]).await, [false]);
    let busy = "HTTP/1.1 503 Service Unavailable\r\n\r\n".to_string();
    assert_eq!(play_watch(vec![busy]).await, ended(41, 0, CloseReason::ErrorStatus));
    let empty = format!("{RESPONSE_HEAD}{LAST_CHUNK}");
    assert_eq!(play_watch(vec![empty]).await, ended(41, 0, CloseReason::WatchEnded));
}

/// A list of this version with so many members, as discovery writes it, with a field that the proxy doesn't know.
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

/// Guards against a large fleet's list that is lost or misread: cut anywhere, sent twice, older than the one in use,
/// empty, with unknown fields. An old change would undo a drain that was announced since.
#[tokio::test(start_paused = true)]
async fn lists_are_accepted_complete_and_never_backwards() {
    let complete = chunk(&large_list(50, true, 60));
    for cut in (1..complete.len()).step_by(397) {
        let parts = vec![RESPONSE_HEAD.to_string() + &complete[..cut], complete[cut..].to_string()];
        assert_eq!(play_watch(parts).await, ended(50, 1, CloseReason::WatchTimeout), "cut at {cut}");
    }
    let new = large_list(50, false, 60);
    let older = large_list(49, false, 60);
    let empty = large_list(51, false, 0);
    let before_use = large_list(40, false, 60);
    let restarted = large_list(3, true, 60);
    for (what, lists, end) in [
        ("twice", vec![&new, &new], ended(50, 2, CloseReason::WatchTimeout)),
        ("older", vec![&new, &older], ended(50, 1, CloseReason::WatchTimeout)),
        ("empty", vec![&new, &empty], ended(51, 2, CloseReason::WatchTimeout)),
        ("from before the list in use", vec![&before_use], ended(41, 0, CloseReason::WatchTimeout)),
        ("a service that began anew", vec![&restarted], ended(3, 1, CloseReason::WatchTimeout)),
        ("but not amid a watch", vec![&new, &restarted], ended(50, 1, CloseReason::WatchTimeout)),
    ] {
        let lines: Vec<&str> = lines_of(&lists);
        assert_eq!(play_watch(response_in_one_part(&lines)).await, end, "{what}");
    }
}

fn lines_of<'a>(lists: &[&'a String]) -> Vec<&'a str> {
    lists.iter().map(|list| list.as_str()).collect()
}

/// Guards against losing lists that are indented, also in pieces; and against a list that was cut and would take all
/// later lines as its own.
#[tokio::test(start_paused = true)]
async fn indented_lists_are_read_and_cut_ones_end_the_watch() {
    let entry =
        r#"{"id":"s-{\"{","addr":"10.1.0.1:6543","zone":"a\\","kind":"m2","cell":1,"state":"in_service"}"#;
    let flat = format!(r#"{{"version":50,"full":true,"servers":[{entry},{entry}],"more":{{"x":[1,[2]]}}}}"#);
    let indented = flat.replace('[', "[\r\n    ").replace(",\"", ",\n  \"").replace('}', "\n}");
    assert!(indented.lines().count() > 20);
    for text in [&flat, &indented] {
        let lines = chunk("") + &chunk(text) + &chunk("") + &chunk(&text.replace("50", "51"));
        for cut in (1..lines.len()).step_by(89) {
            let parts = vec![RESPONSE_HEAD.to_string() + &lines[..cut], lines[cut..].to_string()];
            assert_eq!(play_watch(parts).await, ended(51, 2, CloseReason::WatchTimeout), "cut at {cut}");
        }
    }
    let next = chunk("") + &chunk(&flat);
    for cut in (1..indented.len()).step_by(7) {
        let parts = vec![RESPONSE_HEAD.to_string() + &chunk(&indented[..cut]), next.clone()];
        assert_eq!(play_watch(parts).await, ended(41, 0, CloseReason::Protocol), "cut at {cut}");
    }
    // Each member's entry is read by itself: one that can't be read keeps back no other one.
    let with_bad_address = flat.replacen("10.1.0.1:6543", "10.1.0.1:port", 1);
    let parts = response_in_one_part(&[&with_bad_address]);
    assert_eq!(play_watch(parts).await, ended(50, 1, CloseReason::WatchTimeout));
    let DecodedList { list, skipped } = list::decode(with_bad_address.as_bytes()).expect("a list");
    assert_eq!((list.endpoints.len(), skipped.len()), (1, 1));
    assert!(skipped[0].to_string().contains("servers[0].addr"), "{}", skipped[0]);
    let terminating = with_bad_address.replacen("in_service", "terminating", 1);
    let DecodedList { list, skipped } = list::decode(terminating.as_bytes()).expect("a list");
    assert_eq!((list.endpoints.len(), skipped.len()), (2, 0), "that it leaves counts, whatever its address");
}
