//! Single parts where nothing comes, or too late: paused time and streams in memory.

#[path = "../examples/toy/peer.rs"]
#[allow(dead_code)] // The tests of the program use the rest.
mod peer;

use bytes::Bytes;
use futures_util::FutureExt;
use linenhill::api::{Discovery, GroupId, LogPosition, MemberId, MemberState, Micros, Outcome, RequestId};
use linenhill::clients::connection_gate::{AdmittedConnection, ConnectionGate};
use linenhill::clients::listener;
use linenhill::clients::request_gateway::RequestGateway;
use linenhill::clients::session;
use linenhill::clock::Clock;
use linenhill::close_reason::CloseReason;
use linenhill::config::{Config, LoadReason, Variables};
use linenhill::connection_admission::AdmissionLimits;
use linenhill::counters::Counters;
use linenhill::discovery::list::{self, DecodedList, ListEvent};
use linenhill::discovery::status::DiscoveryStatus;
use linenhill::discovery::watch::{first_message_timeout, read_watch};
use linenhill::fleet::quota::FleetQuota;
use linenhill::hot_restart::{maintenance_log::MaintenanceLog, saved};
use linenhill::lifecycle::ServingState;
use linenhill::maintenance::{ListedMember, Maintenance};
use linenhill::metrics::Metrics;
use linenhill::policy::Router;
use linenhill::request::Payload;
use linenhill::resource_limit::ResourceLimit;
use linenhill::stages::admit::Admit;
use linenhill::stages::book::Book;
use linenhill::stages::intake::Intake;
use linenhill::stages::relay::Relay;
use linenhill::stages::route::{Route, RouteParts};
use linenhill::stages::send::Sender;
use linenhill::stages::{Answer, Input};
use linenhill::upstream::attempt::{self, AttemptRequest};
use linenhill::upstream::connection::MemberConnection;
use linenhill::upstream::pool::Pool;
use linenhill::upstream::send_guard::{Purpose, SendGuard, SendIntent, SendPermit};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// The longest time until the first message of a watch.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_750);

/// Plays a watch that sends these parts, 2 s apart. Returns the list version in use after it, the lists received, and why
/// it ended.
async fn play_watch(parts: Vec<String>) -> (u64, usize, CloseReason) {
    let (inbox, mut events) = mpsc::unbounded_channel();
    let (stream, mut far) = duplex(4096);
    let told = async {
        for part in parts {
            far.write_all(part.as_bytes()).await.expect("written");
            sleep(Duration::from_secs(2)).await;
        }
        std::future::pending::<()>().await;
    };
    let status = DiscoveryStatus::new(41, Clock::start(), SendGuard::without_list());
    let reason = tokio::select! {
        reason = read_watch(stream, &status, &inbox, FIRST_MESSAGE_TIMEOUT) => reason,
        () = told => unreachable!(),
    };
    let mut lists = 0;
    while let Ok(input) = events.try_recv() {
        lists += usize::from(matches!(input, Input::List(ListEvent::Received(_))));
    }
    (status.list_version(), lists, reason)
}

/// Guards against trusting a watch whose service hangs: only its blank lines show that it lives, and a line that never
/// ends does not. And against skipping a bad line, whose content the watch does not repeat: the list in use stays, but
/// the watch ends.
#[tokio::test(start_paused = true)]
async fn a_watch_ends_on_silence_or_a_bad_line() {
    let list = r#"{"version":43,"full":false,"servers":[]}"#;
    let bad = r#"{"version":44,"full":false,"servers":[{"id":5}]}"#;
    let alive = ["", "", "", "", list].map(chunk);
    let alive = [&[HEAD.to_string()], &alive[..]].concat();
    assert_eq!(play_watch(alive.clone()).await, (43, 1, CloseReason::Silent));
    let later = list.replace("43", "45");
    let parts = [&alive[..], &[chunk(bad), chunk(&later)]].concat();
    assert_eq!(play_watch(parts).await, (43, 1, CloseReason::Protocol));
    assert_eq!(play_watch(vec![]).await, (41, 0, CloseReason::Silent));
    // A call that waits in turn for 2 s is not given up: the next one would wait behind it. Later it may have fallen
    // silent right after it was made, and what it misses counts as told 6 s after that.
    let late = |steps| [vec![String::new(); steps], vec![HEAD.to_string(), chunk(list)]].concat();
    assert_eq!(play_watch(late(1)).await, (43, 1, CloseReason::Silent));
    assert_eq!(play_watch(late(2)).await, (41, 0, CloseReason::Silent));
    assert_eq!(first_message_timeout(Discovery::OnRequest), FIRST_MESSAGE_TIMEOUT);
    assert_eq!(first_message_timeout(Discovery::Pushed), Duration::from_millis(1_500));
    // Bytes that trickle in without ever making a line.
    let trickle: Vec<String> = (0..9).map(|_| "1\r\n \r\n".to_string()).collect();
    let parts = [vec![HEAD.to_string()], trickle].concat();
    assert_eq!(play_watch(parts).await, (41, 0, CloseReason::Silent));
    // A call that is answered with nothing new is told once, so that the gaps after failures start anew.
    let words = |lines: &[&str]| {
        let (inbox, mut events) = mpsc::unbounded_channel();
        let text = HEAD.to_string() + &lines.iter().map(|l| chunk(l)).collect::<String>() + "0\r\n\r\n";
        async move {
            let status = DiscoveryStatus::new(41, Clock::start(), SendGuard::without_list());
            assert_eq!(
                read_watch(text.as_bytes(), &status, &inbox, FIRST_MESSAGE_TIMEOUT).await,
                CloseReason::WatchEnded
            );
            let told = std::iter::from_fn(|| events.try_recv().ok());
            told.map(|input| matches!(input, Input::List(ListEvent::Unchanged))).collect::<Vec<bool>>()
        }
    };
    assert_eq!(words(&["", "", list]).await, [true, false]);
    assert_eq!(words(&[list, "", ""]).await, [false]);
    let busy = "HTTP/1.1 503 Service Unavailable\r\n\r\n".to_string();
    assert_eq!(play_watch(vec![busy]).await, (41, 0, CloseReason::Status));
    assert_eq!(play_watch(vec![format!("{HEAD}0\r\n\r\n")]).await, (41, 0, CloseReason::WatchEnded));
}

type Events = mpsc::UnboundedReceiver<Input>;

/// A gateway whose events are at hand.
fn gateway() -> (Rc<RequestGateway>, Events) {
    let text = include_str!("../examples/config.json");
    let config = Config::parse(text, Path::new("config.json"), Variables::default(), LoadReason::Start)
        .expect("a configuration");
    let (inbox, events) = mpsc::unbounded_channel();
    let intake = Intake::new(&config.site, Clock::start());
    let book = Book::new(Rc::new(Counters::default()), metrics());
    let admit = Admit::new(9, 256 * 1024, 1 << 20);
    let guard = SendGuard::without_list();
    (Rc::new(RequestGateway::new(intake, admit, book, inbox, guard)), events)
}

fn metrics() -> Rc<Metrics> {
    Rc::new(Metrics::new(["list", "own", "order"]))
}

fn admission_limits(max_served: usize) -> AdmissionLimits {
    AdmissionLimits {
        max_served,
        max_rejected: 0,
        max_closing: 2,
        max_request_connections: 99,
        max_retry_after: Micros(2_000_000),
    }
}

fn connection_gate(max_served: usize) -> Rc<ConnectionGate> {
    ConnectionGate::new(admission_limits(max_served), Clock::start())
}

/// A session on one end of a stream, before this gateway.
fn before(
    gateway: &Rc<RequestGateway>, connection: AdmittedConnection,
) -> (DuplexStream, impl Future<Output = CloseReason> + use<>, watch::Sender<ServingState>) {
    let (near, far) = duplex(4096);
    let (tell, serving_state) = watch::channel(SERVING);
    (near, session::run(far, gateway.clone(), connection, serving_state), tell)
}

fn session() -> (DuplexStream, Events, impl Future<Output = CloseReason>, watch::Sender<ServingState>) {
    let (gateway, events) = gateway();
    let (near, session, tell) = before(&gateway, connection_gate(9).admit().expect("a place"));
    (near, events, session, tell)
}

const SERVING: ServingState = ServingState {
    reports_ready: true,
    is_starting: false,
    is_stopping: false,
    accepts_connections: true,
    closes_idle: false,
    rejects_requests: false,
};
const STARTUP: &[u8] = b"\0\0\0\x08\0\x03\0\0";

fn query(id: &str, class: &str) -> Vec<u8> {
    typed(b'Q', format!("/* id={id},c={class},d=900,cluster=1 */ SELECT 1\0").as_bytes())
}

/// Plays a client that sends this at once and reads to the end: what it got, and why the connection ended.
async fn send_all(bytes: &[u8]) -> (String, CloseReason) {
    let (near, _events, session, _tell) = session();
    let (mut reader, mut writer) = tokio::io::split(near);
    let read = async {
        let mut got = Vec::new();
        reader.read_to_end(&mut got).await.expect("read");
        String::from_utf8_lossy(&got).into_owned()
    };
    let write = async { writer.write_all(&[STARTUP, bytes].concat()).await.expect("all is read") };
    let (reason, got, ()) = tokio::join!(session, read, write);
    (got, reason)
}

/// Guards against bad clients that get no error, are not disconnected, keep a slot, or are served.
#[tokio::test(start_paused = true)]
async fn bad_clients_get_an_error_and_are_disconnected() {
    let protocol = |what: &str, bytes: Vec<u8>| (what.to_string(), bytes, "08P01", CloseReason::Protocol);
    let huge = [b"Q".as_slice(), &(9u32 << 20).to_be_bytes(), &vec![b'x'; 9 << 20]].concat();
    let unread: Vec<u8> = (0..8).flat_map(|_| query("", "list")).collect();
    for (what, bytes, code, ends) in [
        protocol("a value over 4 MB", huge),
        protocol("a length without its bytes", query("1", "list")[..30].to_vec()),
        protocol("a negative length", b"Q\xff\xff\xff\xff".to_vec()),
        protocol("noise", b"\x07noise".to_vec()),
        ("the same again and again".into(), unread, "42601", CloseReason::Protocol),
    ] {
        let (got, reason) = send_all(&bytes).await;
        assert!(got.contains(code) && reason == ends, "{what}: {reason:?}, {got:?}");
    }
    let (got, _) = send_all(&[query("1", "none"), b"X\0\0\0\x04".to_vec()].concat()).await;
    assert!(got.contains("field c"), "{got:?}");
}

/// The platform's bound for a client that stops in the middle of a message, less the hold-up that it allows.
const STOPPED_CLIENT_WITHIN: Duration = Duration::from_millis(2_850);

/// Guards against limits that are longer than what is owed, in exact time: whatever part of a message is missing, and also
/// where the rest of it trickles in. A client that spends 2 s on a message is served all the same.
#[tokio::test(start_paused = true)]
async fn client_that_stops_in_a_message_gets_its_end_in_time() {
    let whole = [STARTUP, &query("1", "list")].concat();
    for length in (1..whole.len()).filter(|length| *length != STARTUP.len()) {
        let (mut near, _events, session, _tell) = session();
        let started = tokio::time::Instant::now();
        let stop = async {
            near.write_all(&whole[..length]).await.expect("written");
            let mut got = Vec::new();
            near.read_to_end(&mut got).await.expect("read");
            started.elapsed()
        };
        let (reason, took) = tokio::join!(session, stop);
        assert!(took <= STOPPED_CLIENT_WITHIN, "after {length} bytes: {took:?}, {reason}");
        assert!(took >= Duration::from_millis(2_100), "after {length} bytes: {took:?}, {reason}");
    }
    let (mut near, mut events, session, _tell) = session();
    let trickle = async {
        near.write_all(STARTUP).await.expect("written");
        let slow = query("1", "list");
        for byte in &slow {
            near.write_all(&[*byte]).await.expect("written");
            sleep(Duration::from_secs(2) / slow.len() as u32).await;
        }
        assert!(matches!(events.recv().await, Some(Input::Taken(_))), "2 s are no stop");
        drop(near);
    };
    tokio::join!(session, trickle);
}

/// Guards against a client's stop that is seen only from the answer to an earlier request on: its time runs meanwhile.
#[tokio::test(start_paused = true)]
async fn client_that_stops_behind_an_open_request_is_ended_with_its_answer() {
    let (mut near, mut events, session, _tell) = session();
    let play = async {
        let half = &query("2", "own")[..20];
        near.write_all(&[STARTUP, &query("1", "list"), half].concat()).await.expect("written");
        let Some(Input::Taken(taken)) = events.recv().await else { panic!("nothing was taken") };
        sleep(Duration::from_secs(5)).await;
        taken.reply.send(Answer::Served(b"the row".as_slice().into())).expect("still owed");
        let answered = tokio::time::Instant::now();
        let mut got = Vec::new();
        near.read_to_end(&mut got).await.expect("read");
        let got = String::from_utf8_lossy(&got).into_owned();
        assert!(got.contains("the row") && got.contains("08P01"), "{got:?}");
        assert!(answered.elapsed() < Duration::from_millis(300), "{:?}", answered.elapsed());
    };
    let (reason, ()) = tokio::join!(session, play);
    assert_eq!(reason, CloseReason::Protocol);
}

/// Guards against a second request under the id of an open one, and against harm to the first one.
#[tokio::test(start_paused = true)]
async fn duplicate_id_of_an_open_request_is_rejected() {
    let (gateway, mut events) = gateway();
    let (connection_gate, ask) = (connection_gate(9), [STARTUP, &query("7", "list")].concat());
    let (mut first, serve_first, _tell) = before(&gateway, connection_gate.admit().expect("a place"));
    let (mut second, serve_second, _tell2) = before(&gateway, connection_gate.admit().expect("a place"));
    let play = async {
        first.write_all(&ask).await.expect("written");
        let Some(Input::Taken(taken)) = events.recv().await else { panic!("nothing was taken") };
        second.write_all(&ask).await.expect("written");
        let mut got = [0; 512];
        let mut text = String::new();
        while !text.contains("C42710\0") {
            let read = second.read(&mut got).await.expect("read");
            text.push_str(&String::from_utf8_lossy(&got[..read]));
        }
        taken.reply.send(Answer::Served(b"the row".as_slice().into())).expect("still owed");
        let mut text = String::new();
        while !text.contains("the row") {
            let read = first.read(&mut got).await.expect("read");
            text.push_str(&String::from_utf8_lossy(&got[..read]));
        }
        assert!(events.try_recv().is_err(), "the second was not handed in");
        second.write_all(&ask[STARTUP.len()..]).await.expect("written");
        assert!(matches!(events.recv().await, Some(Input::Taken(_))), "after its answer an id is free");
        drop((first, second));
    };
    tokio::join!(serve_first, serve_second, play);
}

/// Guards against requests that wait behind others without need, and against answers, or writes to one key, that are out
/// of order.
#[tokio::test(start_paused = true)]
async fn pipelined_requests_run_concurrently_and_answer_in_order() {
    let (mut near, mut events, session, _tell) = session();
    let ask = |id: &str, class: &str| {
        let text = format!("/* id={id},c={class},d=900,cluster=1 */ SELECT val FROM s WHERE uid = 'a'\0");
        typed(b'Q', text.as_bytes())
    };
    let play = async {
        let asks = [STARTUP, &ask("1", "list"), &ask("2", "own"), &ask("3", "order")].concat();
        near.write_all(&asks).await.expect("written");
        let mut taken = Vec::new();
        for _ in 0..2 {
            let Some(Input::Taken(next)) = events.recv().await else { panic!("nothing was taken") };
            taken.push(next);
        }
        sleep(Duration::from_millis(100)).await;
        assert!(events.try_recv().is_err(), "the third writes to the key of the others");
        for (taken, row) in taken.into_iter().zip(["row 1", "row 2"]).rev() {
            taken.reply.send(Answer::Served(row.as_bytes().into())).expect("still owed");
            sleep(Duration::from_millis(100)).await;
        }
        let Some(Input::Taken(third)) = events.recv().await else { panic!("nothing was taken") };
        assert_eq!(third.request.time_left.0, 700_000, "its time has run since it came");
        third.reply.send(Answer::Served(b"row 3".as_slice().into())).expect("still owed");
        near.write_all(b"X\0\0\0\x04").await.expect("written");
        let mut got = Vec::new();
        near.read_to_end(&mut got).await.expect("read");
        let got = String::from_utf8_lossy(&got).into_owned();
        let rows: Vec<&str> = got.split("row ").skip(1).map(|r| &r[..1]).collect();
        assert_eq!(rows, ["1", "2", "3"]);
    };
    let (reason, ()) = tokio::join!(session, play);
    assert_eq!(reason, CloseReason::Terminated);
}

/// Guards against messages that together take more memory than there is.
#[tokio::test(start_paused = true)]
async fn message_without_memory_is_rejected() {
    let (gateway, _events) = gateway();
    let connection_gate = connection_gate(9);
    let large = [STARTUP, b"Q", &(150u32 << 10).to_be_bytes(), b"/* "].concat();
    let (mut first, serve_first, _tell) = before(&gateway, connection_gate.admit().expect("a place"));
    let (mut second, serve_second, _tell2) = before(&gateway, connection_gate.admit().expect("a place"));
    let play = async {
        first.write_all(&large).await.expect("written");
        sleep(Duration::from_millis(10)).await;
        second.write_all(&large).await.expect("written");
        let mut got = Vec::new();
        second.read_to_end(&mut got).await.expect("read");
        let got = String::from_utf8_lossy(&got).into_owned();
        assert!(got.contains("C53300\0") && got.contains("\0D"), "{got:?}");
        drop(first);
    };
    tokio::join!(serve_first, serve_second, play);
    assert!(gateway.message_memory().acquire_weighted(256 * 1024).is_some(), "all of it is given back");
}

/// Guards against connections that take a descriptor for good and send nothing.
#[tokio::test(start_paused = true)]
async fn client_without_startup_message_is_disconnected() {
    let (near, _events, session, _tell) = session();
    assert_eq!(session.await, CloseReason::StartupTimeout);
    drop(near);
}

/// Guards against rejecting new connections for the sake of those that send nothing, and against ending one while a
/// request of it is open.
#[tokio::test(start_paused = true)]
async fn new_connection_gets_the_slot_of_the_one_idle_longest() {
    let gate = connection_gate(4);
    let admit_busy = || gate.admit().inspect(AdmittedConnection::mark_busy);
    let is_asked_to_close =
        |connection: &AdmittedConnection| connection.close_requested().now_or_never().is_some();
    let admitted: Vec<AdmittedConnection> = (0..4).filter_map(|_| admit_busy()).collect();
    let is_asked = |index: usize| is_asked_to_close(&admitted[index]);
    admitted[3].mark_started();
    sleep(Duration::from_millis(100)).await;
    admitted[2].mark_idle();
    assert!(gate.admit().is_none(), "none has been idle or silent for long enough");
    sleep(Duration::from_millis(100)).await;
    let fourth = admit_busy();
    assert!(fourth.is_some() && is_asked(3) && !is_asked(2), "it has sent no request for 0.2 s");
    sleep(Duration::from_millis(150)).await;
    let fifth = admit_busy();
    assert!(fifth.is_some() && is_asked(2), "idle for 0.2 s");
    let sixth = gate.admit();
    assert!(sixth.is_none() && !is_asked(0) && !is_asked(1), "requests are open, or it came just now");
    drop(admitted);
    let silent: Vec<AdmittedConnection> = (0..2).filter_map(|_| gate.admit()).collect();
    let asked: Vec<bool> = silent.iter().map(is_asked_to_close).collect();
    assert_eq!(asked, [true, false], "only the oldest of those that are silent, with slots left");
}

/// Guards against the recorded incident on real sockets: clients that may hold 8 connections for requests, send one
/// request on each and hold it, send nothing more once all 8 are held, unless some are closed.
#[tokio::test]
async fn clients_that_hold_connections_are_still_served() {
    let (gateway, mut events) = gateway();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let limits = AdmissionLimits { max_request_connections: 8, ..admission_limits(40) };
    let connection_gate = ConnectionGate::new(limits, Clock::start());
    let (_tell, serving_state) = watch::channel(SERVING);
    let counters = Rc::new(Counters::default());
    let answering = async move {
        while let Some(input) = events.recv().await {
            if let Input::Taken(taken) = input {
                let _ = taken.reply.send(Answer::Served(b"the row".as_slice().into()));
            }
        }
    };
    let asking = async {
        let allowed = Arc::new(Semaphore::new(8));
        for n in 0..40 {
            let permit = allowed.clone().acquire_owned().await.expect("open");
            let mut stream = TcpStream::connect(at).await.expect("connected");
            let asked = [STARTUP, &query(&n.to_string(), "list")].concat();
            stream.write_all(&asked).await.expect("written");
            tokio::task::spawn_local(async move {
                let mut got = Vec::new();
                stream.read_to_end(&mut got).await.expect("read");
                assert!(String::from_utf8_lossy(&got).contains("the row"));
                drop(permit);
            });
        }
    };
    let local = LocalSet::new();
    local.spawn_local(listener::run(
        listener,
        gateway,
        connection_gate.clone(),
        serving_state,
        counters.clone(),
    ));
    local.spawn_local(connection_gate.run());
    local.spawn_local(answering);
    let done = local.run_until(timeout(Duration::from_secs(20), asking)).await;
    assert!(done.is_ok(), "after {} connections no more could be opened", counters.clients.get());
    let made_room = counters.ended.get(CloseReason::MadeRoom);
    let all_ended = counters.ended.total();
    assert!(made_room >= 32 && made_room == all_ended, "{made_room} of {all_ended}");
}

/// Guards against a slot that is not given back, and against a request that is lost when its connection makes room.
#[tokio::test(start_paused = true)]
async fn connection_asked_to_close_ends_between_requests() {
    let connection_gate = connection_gate(1);
    let (gateway, mut events) = gateway();
    let (mut near, session, _tell) = before(&gateway, connection_gate.admit().expect("a place"));
    let client = async {
        near.write_all(b"\0\0\0\x08\0\x03\0\0").await.expect("written");
        let query = b"Q\0\0\0\x2f/* id=1,c=list,d=900,cluster=1 */ SELECT 1\0";
        near.write_all(query).await.expect("written");
        let Some(Input::Taken(taken)) = events.recv().await else { panic!("nothing was taken") };
        sleep(Duration::from_secs(3)).await;
        assert!(connection_gate.admit().is_none(), "its request is open");
        taken.reply.send(Answer::Served(b"the row".as_slice().into())).expect("still owed");
        sleep(Duration::from_secs(3)).await;
        assert!(connection_gate.admit().is_some());
    };
    let (reason, ()) = tokio::join!(session, client);
    assert_eq!(reason, CloseReason::MadeRoom);
}

/// Guards against a request that is cut off because its connection has to make room when only its first bytes are read,
/// and against a slot that is held by a message without an end.
#[tokio::test(start_paused = true)]
async fn connection_asked_to_close_finishes_its_message() {
    for (ends, spoken) in [(true, true), (false, true), (false, false)] {
        let connection_gate = connection_gate(1);
        let (gateway, mut events) = gateway();
        let (mut near, session, _tell) = before(&gateway, connection_gate.admit().expect("a place"));
        let client = async {
            let whole = if spoken { [STARTUP, &query("1", "list")].concat() } else { STARTUP.to_vec() };
            let cut = if spoken { STARTUP.len() + 9 } else { 3 };
            near.write_all(&whole[..cut]).await.expect("written");
            sleep(Duration::from_secs(1)).await;
            let _next = connection_gate.admit().expect("the place of the one that asks nothing");
            if ends {
                sleep(Duration::from_millis(100)).await;
                near.write_all(&whole[cut..]).await.expect("written");
                let Some(Input::Taken(taken)) = events.recv().await else { panic!("nothing was taken") };
                taken.reply.send(Answer::Served(b"the row".as_slice().into())).expect("still owed");
            }
            let told = tokio::time::Instant::now();
            let mut got = Vec::new();
            near.read_to_end(&mut got).await.expect("read");
            let got = String::from_utf8_lossy(&got).into_owned();
            assert_eq!(got.contains("the row"), ends, "{got:?}");
            assert!(told.elapsed() < Duration::from_millis(if spoken { 300 } else { 10 }));
        };
        let (reason, ()) = tokio::join!(session, client);
        assert_eq!(reason, CloseReason::MadeRoom);
    }
}

/// Guards against a drain that drops the first request of a new connection, that keeps the connection after it, or that
/// still answers the platform's empty query with yes.
#[tokio::test(start_paused = true)]
async fn drain_serves_one_request_of_a_new_connection() {
    let (mut near, mut events, session, tell) = session();
    let _ = tell.send(ServingState { reports_ready: false, closes_idle: true, ..SERVING });
    let client = async {
        sleep(Duration::from_millis(200)).await;
        near.write_all(&[STARTUP, b"Q"].concat()).await.expect("written");
        sleep(Duration::from_millis(900)).await;
        near.write_all(b"\0\0\0\x05\0").await.expect("written");
        near.write_all(&query("1", "list")).await.expect("written");
        let Some(Input::Taken(taken)) = events.recv().await else { panic!("nothing was taken") };
        sleep(Duration::from_millis(700)).await;
        taken.reply.send(Answer::Served(b"the row".as_slice().into())).expect("still owed");
        let mut got = Vec::new();
        near.read_to_end(&mut got).await.expect("read");
        let got = String::from_utf8_lossy(&got).into_owned();
        assert!(got.contains("C57P03\0") && got.contains("the row"), "{got:?}");
    };
    let (reason, ()) = tokio::join!(session, client);
    assert_eq!(reason, CloseReason::Stopping);
}

/// Guards against accepting a request late in a stop, when the platform may end the process before its answer: it is
/// rejected, after the answer before it.
#[tokio::test(start_paused = true)]
async fn late_requests_are_rejected_during_a_stop() {
    let (mut near, mut events, session, tell) = session();
    let client = async {
        near.write_all(&[STARTUP, &query("1", "list")].concat()).await.expect("written");
        let Some(Input::Taken(taken)) = events.recv().await else { panic!("nothing was taken") };
        let _ = tell.send(ServingState {
            accepts_connections: false,
            closes_idle: true,
            rejects_requests: true,
            ..SERVING
        });
        near.write_all(&query("2", "list")).await.expect("written");
        sleep(Duration::from_millis(100)).await;
        assert!(events.try_recv().is_err(), "it is not handed in");
        taken.reply.send(Answer::Served(b"the row".as_slice().into())).expect("still owed");
        let mut got = Vec::new();
        near.read_to_end(&mut got).await.expect("read");
        let got = String::from_utf8_lossy(&got).into_owned();
        let (row, refused) = (got.find("the row"), got.find("C53300\0"));
        assert!(row.is_some() && row < refused, "{got:?}");
    };
    let (reason, ()) = tokio::join!(session, client);
    assert_eq!(reason, CloseReason::Stopping);
}

/// Guards against losing accepted requests when the client's next bytes are no message, or when a stop comes.
#[tokio::test(start_paused = true)]
async fn accepted_requests_are_answered_before_the_end() {
    for broken in [true, false] {
        let (mut near, mut events, session, tell) = session();
        let client = async {
            let query = b"/* id=1,c=list,d=900,cluster=1 */ SELECT 1\0";
            let length = (4 + query.len() as u32).to_be_bytes();
            let startup = b"\0\0\0\x08\0\x03\0\0".as_slice();
            let rest = if broken { b"Q\0\0\0\0".as_slice() } else { b"" };
            near.write_all(&[startup, b"Q", &length, query, rest].concat()).await.expect("written");
            let Some(Input::Taken(taken)) = events.recv().await else { panic!("nothing was taken") };
            let _ = tell.send(ServingState { closes_idle: true, ..SERVING });
            sleep(Duration::from_millis(300)).await;
            taken.reply.send(Answer::Served(b"the row".as_slice().into())).expect("still owed");
            let mut got = Vec::new();
            near.read_to_end(&mut got).await.expect("read");
            let got = String::from_utf8_lossy(&got).into_owned();
            assert!(got.contains("the row") && got.contains("08P01") == broken, "{got:?}");
        };
        let (reason, ()) = tokio::join!(session, client);
        assert_eq!(reason, if broken { CloseReason::Protocol } else { CloseReason::Stopping });
    }
}

/// Guards against writing to a connection that its member may be closing, and against exceeding the descriptors.
#[tokio::test]
async fn the_pool_skips_old_connections_and_evicts_idle_ones() {
    let act = |_| std::future::ready(peer::Act::Break);
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        tokio::task::spawn_local(peer::member(listener, true, act));
        for (idle_close, kept) in [(Duration::ZERO, false), (Duration::from_secs(3_600), true)] {
            let (m, long) = (MemberId(1), Duration::from_secs(60));
            let pool = Pool::new(1, idle_close, long, Rc::new(Counters::default()));
            pool.set_address(m, at);
            let descriptor = pool.reserve_descriptor().expect("a descriptor");
            let Ok(connection) = MemberConnection::open(at, descriptor, long).await else {
                panic!("no connection")
            };
            assert!(pool.reserve_descriptor().is_none(), "the one descriptor is in use");
            tokio::time::pause();
            pool.put_back(m, connection);
            assert!(pool.checkout(m).is_none(), "more than the answer may still be on the way");
            tokio::time::advance(Duration::from_millis(3)).await;
            assert_eq!(pool.checkout(m).map(|connection| pool.put_back(m, connection)).is_some(), kept);
            assert!(pool.reserve_descriptor().is_some(), "an idle connection makes room");
            assert!(pool.checkout(m).is_none());
            tokio::time::resume();
        }
    };
    tokio::task::LocalSet::new().run_until(play).await;
}

/// The member closes an idle connection, or sends bytes on it, between two polls of the runtime: this thread does not
/// yield. Guards against a statement written to a closed connection, and against late bytes taken for its reply.
#[tokio::test]
async fn a_connection_that_ended_between_polls_is_not_used() {
    for how in ["ends", "resets", "speaks"] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let greeted = std::thread::spawn(move || {
            let (mut far, _) = listener.accept().expect("a connection");
            let mut length = [0; 4];
            far.read_exact(&mut length).expect("a length");
            let rest = u32::from_be_bytes(length) as usize - 4;
            far.read_exact(&mut vec![0; rest]).expect("a startup message");
            far.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").expect("written");
            far
        });
        let (m, long) = (MemberId(1), Duration::from_secs(60));
        let pool = Pool::new(1, Duration::from_secs(3_600), long, Rc::new(Counters::default()));
        pool.set_address(m, at);
        let descriptor = pool.reserve_descriptor().expect("a descriptor");
        let Ok(connection) = MemberConnection::open(at, descriptor, long).await else {
            panic!("no connection")
        };
        let mut far = greeted.join().expect("a member");
        pool.put_back(m, connection);
        // Longer than it rests.
        std::thread::sleep(Duration::from_millis(5));
        assert!(pool.checkout(m).map(|connection| pool.put_back(m, connection)).is_some(), "nothing came");
        if how == "resets" {
            socket2::SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("set");
        }
        let kept = match how {
            "speaks" => far.write_all(b"Z\0\0\0\x05I").map(|()| Some(far)).expect("written"),
            _ => {
                drop(far);
                None
            }
        };
        // Written is not arrived, on a busy machine.
        let used = |_: &u32| {
            std::thread::sleep(Duration::from_millis(5));
            pool.checkout(m).map(|connection| pool.put_back(m, connection)).is_some()
        };
        assert!((0..1_000).take_while(used).count() < 1_000, "{how}: it is used on and on");
        drop(kept);
    }
}

/// Guards against sending work that was decided on before a drain was announced, while its connection came up.
#[tokio::test]
async fn no_statement_is_written_after_a_drain() {
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (m, long) = (MemberId(1), Duration::from_secs(60));
        let pool = Pool::new(2, long, long, Rc::new(Counters::default()));
        for drains in [true, false] {
            pool.set_address(m, listener.local_addr().expect("an address"));
            pool.set_accepting(|_| true);
            let payload = Payload::cut(&Bytes::from_static(b"/* d=9 */ SELECT 1"), 5..6);
            let attempt_request = AttemptRequest {
                member: m,
                payload,
                deadline: tokio::time::Instant::now() + long,
                is_retry: false,
                purpose: Purpose::Attempt(RequestId([b'a'; 36]), 0),
                is_request_over: Rc::default(),
            };
            let (_call_off, called_off) = tokio::sync::oneshot::channel();
            let run =
                tokio::task::spawn_local(attempt::run(pool.clone(), attempt_request, called_off, || ()));
            let (mut far, _) = listener.accept().await.expect("a connection");
            let length = far.read_u32().await.expect("a length") as usize;
            far.read_exact(&mut vec![0; length - 4]).await.expect("a startup message");
            pool.set_accepting(|_| !drains);
            far.write_all(&[typed(b'R', &[0; 4]), typed(b'Z', b"I")].concat()).await.expect("written");
            let first = far.read_u8().await.ok();
            assert_eq!(first, (!drains).then_some(b'Q'), "drains: {drains}");
            drop(far);
            let ending = run.await.expect("an end").outcome;
            assert_eq!(ending, if drains { Outcome::NotSent } else { Outcome::Reset });
        }
    };
    tokio::task::LocalSet::new().run_until(play).await;
}

fn typed(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(4 + body.len() as u32).to_be_bytes()[..], body].concat()
}

/// A permit to write to a member that accepts.
async fn permit_for_test() -> SendPermit {
    let (member, long) = (MemberId(1), Duration::from_secs(60));
    let pool = Pool::new(1, long, long, Rc::new(Counters::default()));
    pool.set_address(member, "127.0.0.1:1".parse().expect("an address"));
    let deadline = tokio::time::Instant::now() + long;
    let intent = SendIntent { member, purpose: Purpose::Probe, deadline, is_request_over: Rc::default() };
    pool.guard().permit(&pool, intent).await.expect("a permit")
}

/// The reply that a connection reads from these bytes, sent in answer to a statement; the connection stays open. Its
/// outcome, the position of its report, and whether the connection is reusable.
async fn reply_to(bytes: Vec<u8>) -> (Outcome, Option<LogPosition>, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let member = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut got = [0; 256];
        assert!(stream.read(&mut got).await.expect("a startup message") > 0);
        stream.write_all(&[typed(b'R', &[0; 4]), typed(b'Z', b"I")].concat()).await.expect("written");
        assert!(stream.read(&mut got).await.expect("a statement") > 0);
        stream.write_all(&bytes).await.expect("written");
        while stream.read(&mut got).await.is_ok_and(|n| n > 0) {}
    };
    let proxy = async {
        let long = Duration::from_secs(60);
        let descriptor = ResourceLimit::new(1).acquire().expect("a descriptor");
        let Ok(mut connection) = MemberConnection::open(at, descriptor, long).await else {
            panic!("no connection")
        };
        let permit = permit_for_test().await;
        connection
            .write_statement(permit, b"SELECT 1".as_slice().into(), Bytes::new())
            .await
            .expect("written");
        let reply = connection.read_reply().await;
        (reply.outcome, reply.report.position, reply.is_reusable)
    };
    let (reply, ()) = tokio::join!(proxy, member);
    reply
}

/// Guards against relaying what no member made for the request, against waiting for an end that never comes, and
/// against losing a good answer to what arrives along with it.
#[tokio::test]
async fn malformed_replies_are_garbled_and_good_ones_served() {
    let description = typed(b'T', &[b"\0\x01val\0".as_slice(), &[0; 18]].concat());
    let row = typed(b'D', b"\0\x01\0\0\0\x02ok");
    let (complete, ready) = (typed(b'C', b"SELECT 1\0"), typed(b'Z', b"I"));
    let health = |text: &[u8]| typed(b'S', &[b"health\0", text, b"\0"].concat());
    let ends = [&complete[..], &ready].concat();
    let good = [&description[..], &row, &ends].concat();
    let with = |row: &[u8]| [&description[..], row, &ends].concat();
    let garbled = [
        b"noise without an end".to_vec(),
        with(&[&b"D"[..], &3_000_000_000u32.to_be_bytes(), b"\0\x01"].concat()),
        with(&typed(b'D', b"\0\x01\0\0\0\x03ok")),
        with(&typed(b'D', b"\0\x01\0\0\0\x01ok")),
        with(&typed(b'D', b"\0\x02\0\0\0\x02ok\0\0\0\x02ok")),
        with(&typed(b'D', b"\0\x01\xff\xff\xff\xff")),
        with(&[&row[..], &row].concat()),
        with(b""),
        [&row[..], &ends].concat(),
        [&typed(b'T', &[b"\0\x02val\0".as_slice(), &[0; 18]].concat()), &row[..], &ends].concat(),
        [&description[..], &row, &ready].concat(),
        [&description[..], &row, &typed(b'C', b"SELECT 1"), &ready].concat(),
        [&description[..], &row, &complete, &typed(b'Z', b"?")].concat(),
        [&description[..], &row, &typed(b'E', b"SERROR\0C53300\0\0"), &ready].concat(),
        [&typed(b'E', b"SERROR\0C53\0\0"), &ready[..]].concat(),
        // The rest of these never comes.
        good[..good.len() - 1].to_vec(),
        [&description[..], &row[..9]].concat(),
    ];
    for bytes in garbled {
        assert_eq!(reply_to(bytes.clone()).await, (Outcome::MalformedReply, None, false), "{bytes:?}");
    }
    assert_eq!(reply_to(good.clone()).await, (Outcome::Ok, None, true));
    for more in [&good[..], b"\xffnoise"] {
        assert_eq!(reply_to([&good, more].concat()).await, (Outcome::Ok, None, false), "{more:?}");
    }
    let told = |report: Vec<u8>| [&report[..], &good].concat();
    let position = Some(LogPosition(7_000_000));
    assert_eq!(reply_to(told(health(b"x0=7,x1=1"))).await, (Outcome::Ok, position, true));
    for report in [health(b"x0=7,x1=\xff"), health(b"x0=7,x1"), typed(b'S', b"health")] {
        assert_eq!(reply_to(told(report)).await, (Outcome::Ok, None, true));
    }
}

/// Guards against a slot kept for every member that ever was, and against a number that comes to mean another member.
#[tokio::test(start_paused = true)]
async fn forgotten_members_are_dropped_everywhere() {
    let text = include_str!("../examples/config.json");
    let config = Config::parse(text, Path::new("config.json"), Variables::default(), LoadReason::Start)
        .expect("a configuration");
    let counters = Rc::new(Counters::default());
    let second = Duration::from_secs(1);
    let pool = Pool::new(9, second, second, counters.clone());
    let (inbox, events) = mpsc::unbounded_channel();
    let (clock, book) = (Clock::start(), Book::new(counters, metrics()));
    let sender = Sender::new(pool.clone(), inbox.clone(), book.clone(), &config.site.settings.limits);
    let router = Router::new(config.site.settings, 42, clock.now());
    let (relay, asked) = (Relay::default(), Rc::new(Notify::new()));
    let route = Route::new(RouteParts {
        router,
        clock,
        inbox: events,
        sender,
        relay,
        pool: pool.clone(),
        names: config.names,
        subscribe: asked,
        maintenance: Rc::default(),
        quota: FleetQuota::default(),
    });
    let list = |version: u64, id: &str| {
        let line = format!(
            r#"{{"version":{version},"full":true,"servers":[{{"id":"{id}","addr":"127.0.0.1:1",
                "zone":"a","kind":"m2","cell":1,"state":"in_service"}}]}}"#
        );
        let decoded = list::decode(line.as_bytes()).expect("a list");
        assert!(inbox.send(Input::List(ListEvent::Received(decoded.list))).is_ok());
    };
    let play = async {
        for (version, id) in [(1, "old"), (2, "new")] {
            list(version, id);
            sleep(second).await;
        }
        assert!(pool.address(MemberId(0)).is_some(), "it may come back");
        sleep(60 * second).await;
        list(3, "new");
        sleep(second).await;
        assert!(pool.address(MemberId(0)).is_none() && pool.address(MemberId(1)).is_some());
        list(4, "newest");
        sleep(second).await;
        assert!(pool.address(MemberId(0)).is_none() && pool.address(MemberId(2)).is_some());
    };
    let run = async {
        tokio::select! {
            () = route.run() => unreachable!(),
            () = play => {}
        }
    };
    tokio::task::LocalSet::new().run_until(run).await;
}

/// Guards against a time limit that is kept long after its request has ended.
#[tokio::test(start_paused = true)]
async fn nothing_is_due_once_it_is_answered() {
    let mut relay = Relay::default();
    let due = tokio::time::Instant::now() + Duration::from_secs(600);
    let ids = [RequestId([1; 36]), RequestId([2; 36])];
    let replies = ids.map(|id| {
        let (reply, answer) = tokio::sync::oneshot::channel();
        relay.owe(id, reply, due);
        answer
    });
    assert_eq!(relay.first_due(), Some((due, ids[0])));
    assert!(relay.answer(&ids[0], Answer::Failed) && relay.lapse(&ids[1]));
    assert!(!relay.answer(&ids[0], Answer::Failed), "one answer only");
    assert_eq!(relay.first_due(), None);
    drop(replies);
}

/// A list of `members` members under this version, as discovery writes it, with a field that nobody knows.
fn large_list(version: u64, full: bool, members: usize) -> String {
    let entry = |n: usize| {
        format!(
            r#"{{"id":"s-{n}","addr":"10.1.0.{n}:6543","zone":"a","kind":"m2","cell":{},"state":"in_service","weight":1.0,"started_ms":0,"rack":"r{n}"}}"#,
            n % 12
        )
    };
    let entries: Vec<String> = (1..=members).map(entry).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}],"region":"mu"}}"#, entries.join(","))
}

/// Guards against a large fleet's list that is lost or misread: cut anywhere, sent twice, older than the one in use,
/// empty, with unknown fields. An old change would undo a drain that was announced since.
#[tokio::test(start_paused = true)]
async fn lists_are_accepted_whole_and_never_backwards() {
    let whole = chunk(&large_list(50, true, 60));
    for cut in (1..whole.len()).step_by(397) {
        let parts = vec![HEAD.to_string() + &whole[..cut], whole[cut..].to_string()];
        assert_eq!(play_watch(parts).await, (50, 1, CloseReason::Silent), "cut at {cut}");
    }
    let stream = |lists: &[String]| {
        let lines: String = lists.iter().map(|l| chunk(l)).collect();
        vec![HEAD.to_string() + &lines]
    };
    let [new, older, empty] = [(50, 60), (49, 60), (51, 0)].map(|(v, n)| large_list(v, false, n));
    assert_eq!(play_watch(stream(&[new.clone(), new.clone()])).await, (50, 2, CloseReason::Silent), "twice");
    assert_eq!(
        play_watch(stream(&[new.clone(), older.clone()])).await,
        (50, 1, CloseReason::Silent),
        "older"
    );
    assert_eq!(play_watch(stream(&[new.clone(), empty])).await, (51, 2, CloseReason::Silent), "empty");
    let before = large_list(40, false, 60);
    assert_eq!(
        play_watch(stream(&[before])).await,
        (41, 0, CloseReason::Silent),
        "from before what is known"
    );
    let anew = large_list(3, true, 60);
    assert_eq!(
        play_watch(stream(std::slice::from_ref(&anew))).await,
        (3, 1, CloseReason::Silent),
        "a service that began anew"
    );
    assert_eq!(play_watch(stream(&[new, anew])).await, (50, 1, CloseReason::Silent), "but not amid a watch");
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
        let whole = chunk("") + &chunk(text) + &chunk("") + &chunk(&text.replace("50", "51"));
        for cut in (1..whole.len()).step_by(89) {
            let parts = vec![HEAD.to_string() + &whole[..cut], whole[cut..].to_string()];
            assert_eq!(play_watch(parts).await, (51, 2, CloseReason::Silent), "cut at {cut}");
        }
    }
    let next = chunk("") + &chunk(&flat);
    for cut in (1..indented.len()).step_by(7) {
        let parts = vec![HEAD.to_string() + &chunk(&indented[..cut]), next.clone()];
        assert_eq!(play_watch(parts).await, (41, 0, CloseReason::Protocol), "cut at {cut}");
    }
    // The members' entries stand for themselves: one that can't be read keeps nobody else's news from being heard.
    let odd = flat.replacen("10.1.0.1:6543", "10.1.0.1:port", 1);
    assert_eq!(play_watch(vec![HEAD.to_string() + &chunk(&odd)]).await, (50, 1, CloseReason::Silent));
    let DecodedList { list, skipped } = list::decode(odd.as_bytes()).expect("a list");
    assert_eq!((list.endpoints.len(), skipped.len()), (1, 1));
    assert!(skipped[0].to_string().contains("servers[0].addr"), "{}", skipped[0]);
    let leaves = odd.replacen("in_service", "terminating", 1);
    let DecodedList { list, skipped } = list::decode(leaves.as_bytes()).expect("a list");
    assert_eq!((list.endpoints.len(), skipped.len()), (2, 0), "that it leaves counts, wherever it is");
}

/// Guards against an order that is lost when two versions write at once, when the file is torn, or when its new text is
/// as long as the old; and against a foreign file that is written over.
#[tokio::test]
async fn orders_outlast_what_others_write_over_them() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-orders", std::process::id()));
    let _ = std::fs::remove_file(&file);
    let (clock, (inbox, _events)) = (Clock::start(), mpsc::unbounded_channel());
    let version = || {
        let mut known = Maintenance::default();
        for id in ["a", "b"] {
            let (group, state) = (GroupId(1), MemberState::InService);
            known.record_listed(clock.now(), ListedMember { id, group, state, started: None });
        }
        MaintenanceLog::new(Rc::new(RefCell::new(known)), Some(file.clone()), clock, inbox.clone())
    };
    let text = || saved::read(&file).expect("a file").unwrap_or_default();
    let one = version();
    assert_eq!(one.order("a", true), Ok(true));
    let stale = std::fs::read(&file).expect("the file");
    assert_eq!(one.order("a", false), Ok(true));
    let newest = text();
    for over in [stale, saved::seal(&newest).into_bytes()[..30].to_vec()] {
        std::fs::write(&file, over).expect("written over");
        one.sync();
        assert_eq!(text(), newest, "its own newest word is there again");
    }
    let two = version();
    assert_eq!(two.order("b", true), Ok(true));
    one.sync();
    assert_eq!(one.order("b", true), Ok(false), "given to the other one");
    std::fs::write(&file, "something else\n").expect("written");
    one.sync();
    assert_eq!(std::fs::read(&file).expect("the file"), b"something else\n");
}
