//! Connections to members: which are reused, when a statement may be written, and which replies are accepted.

use crate::{peer, typed_message};
use bytes::Bytes;
use linenhill::api::{LogPosition, MemberId, Outcome, RequestId, Role};
use linenhill::request::Payload;
use linenhill::resource_limit::ResourceLimit;
use linenhill::response_memory::ResponseMemory;
use linenhill::upstream::attempt::{self, AttemptRequest, Cancellation};
use linenhill::upstream::connection::MemberConnection;
use linenhill::upstream::pool::{Pool, PoolLimits};
use linenhill::upstream::reply::ReportedState;
use linenhill::upstream::response::{MemberResponse, ResponseChunk};
use linenhill::upstream::send_guard::{Purpose, SendIntent, SendPermit};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

const MEMBER: MemberId = MemberId(1);
/// More memory than any reply of these tests takes.
pub const RESPONSE_BYTES: usize = 1 << 20;
/// A time limit that no step reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Longer than the pool waits before it reuses a connection.
const REUSE_WAIT: Duration = Duration::from_millis(5);

/// The answer of a member to a startup message: AuthenticationOk and ReadyForQuery.
fn startup_answer() -> Vec<u8> {
    [typed_message(b'R', &[0; 4]), typed_message(b'Z', b"I")].concat()
}

/// Creates a pool of at most `descriptors` connections, for a member that closes idle connections after `idle_close`.
fn new_pool(descriptors: usize, idle_close: Duration, address: SocketAddr) -> Pool {
    let limits = PoolLimits {
        max_connections: descriptors,
        response_bytes: RESPONSE_BYTES,
        idle_close,
        connect_timeout: LONG_TIMEOUT,
    };
    let pool = Pool::new(limits, Rc::default());
    pool.set_address(MEMBER, address);
    pool
}

async fn open_connection(pool: &Pool, address: SocketAddr) -> MemberConnection {
    let descriptor = pool.reserve_descriptor().expect("free descriptor");
    let Ok(connection) = MemberConnection::open(address, descriptor, LONG_TIMEOUT).await else {
        panic!("connection was not opened")
    };
    connection
}

/// Checks out an idle connection and puts it back; returns whether there was one.
fn has_usable_connection(pool: &Pool) -> bool {
    pool.checkout(MEMBER).map(|connection| pool.put_back(MEMBER, connection)).is_some()
}

/// Guards against writing to a connection that its member may be closing, and against exceeding the limit of
/// descriptors.
#[tokio::test]
async fn the_pool_skips_old_connections_and_evicts_idle_ones() {
    let respond = |_| std::future::ready(peer::MemberAction::Disconnect);
    let steps = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
        let address = listener.local_addr().expect("local address");
        tokio::task::spawn_local(peer::member(listener, true, respond));
        for (idle_close, is_kept) in [(Duration::ZERO, false), (Duration::from_secs(3_600), true)] {
            let pool = new_pool(1, idle_close, address);
            let connection = open_connection(&pool, address).await;
            assert!(pool.reserve_descriptor().is_none(), "the only descriptor is in use");
            tokio::time::pause();
            pool.put_back(MEMBER, connection);
            tokio::time::advance(Duration::from_millis(3)).await;
            assert_eq!(has_usable_connection(&pool), is_kept);
            assert!(pool.reserve_descriptor().is_some(), "an idle connection is evicted");
            assert!(pool.checkout(MEMBER).is_none());
            tokio::time::resume();
        }
    };
    LocalSet::new().run_until(steps).await;
}

/// Runs a member in its own thread: it accepts one connection, answers the startup message and returns the connection.
fn accept_in_thread() -> (SocketAddr, JoinHandle<std::net::TcpStream>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let address = listener.local_addr().expect("local address");
    let accepted = std::thread::spawn(move || {
        let (mut member_stream, _) = listener.accept().expect("accept connection");
        let mut length = [0; 4];
        member_stream.read_exact(&mut length).expect("read length");
        let remaining = u32::from_be_bytes(length) as usize - length.len();
        member_stream.read_exact(&mut vec![0; remaining]).expect("read startup message");
        member_stream.write_all(&startup_answer()).expect("write");
        member_stream
    });
    (address, accepted)
}

/// Guards against a statement that is written to a closed connection, and against late bytes that are read as its
/// reply. The member closes an idle connection, or sends bytes on it, between two polls of the runtime: this thread
/// does not yield.
#[tokio::test]
async fn a_connection_that_ended_between_polls_is_not_used() {
    for event in ["closed", "reset", "late bytes"] {
        let (address, accepted) = accept_in_thread();
        let pool = new_pool(1, Duration::from_secs(3_600), address);
        let connection = open_connection(&pool, address).await;
        let mut member_stream = accepted.join().expect("member thread");
        pool.put_back(MEMBER, connection);
        std::thread::sleep(REUSE_WAIT);
        assert!(has_usable_connection(&pool), "neither closed nor with pending input");
        let mut kept_open = None;
        match event {
            "closed" => drop(member_stream),
            "reset" => {
                socket2::SockRef::from(&member_stream).set_linger(Some(Duration::ZERO)).expect("set linger");
                drop(member_stream);
            }
            _ => {
                member_stream.write_all(&typed_message(b'Z', b"I")).expect("write");
                kept_open = Some(member_stream);
            }
        }
        // On a busy machine the event may arrive late.
        let is_used = |_: &u32| {
            std::thread::sleep(REUSE_WAIT);
            has_usable_connection(&pool)
        };
        assert!((0..1_000).take_while(is_used).count() < 1_000, "{event}: the connection is still used");
        drop(kept_open);
    }
}

/// Accepts the next connection from the proxy and reads its startup message, without answering it.
async fn accept_startup(listener: &TcpListener) -> TcpStream {
    let (mut member_stream, _) = listener.accept().await.expect("accept connection");
    let length = member_stream.read_u32().await.expect("read length") as usize;
    member_stream.read_exact(&mut vec![0; length - 4]).await.expect("read startup message");
    member_stream
}

/// Guards against a statement that is sent after a drain, when its attempt started before the drain was announced and
/// its connection was still being opened.
#[tokio::test]
async fn no_statement_is_written_after_a_drain() {
    let steps = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
        let pool = new_pool(2, LONG_TIMEOUT, listener.local_addr().expect("local address"));
        for (is_draining, first_byte, outcome) in
            [(true, None, Outcome::NotSent), (false, Some(b'Q'), Outcome::Reset)]
        {
            pool.set_accepting(|_| true);
            let attempt_request = AttemptRequest {
                member: MEMBER,
                payload: Payload::split_at_timeout(&Bytes::from_static(b"/* d=9 */ SELECT 1"), 5..6),
                deadline: Instant::now() + LONG_TIMEOUT,
                written_by: None,
                is_retry: false,
                purpose: Purpose::Attempt(RequestId([b'a'; 36]), 0),
                is_request_over: Rc::default(),
            };
            let (_cancel, cancelled) = tokio::sync::oneshot::channel();
            let run = tokio::task::spawn_local(attempt::run(
                pool.clone(),
                attempt_request,
                cancelled,
                || (),
                |_| (),
            ));
            let mut member_stream = accept_startup(&listener).await;
            pool.set_accepting(|_| !is_draining);
            member_stream.write_all(&startup_answer()).await.expect("write");
            assert_eq!(member_stream.read_u8().await.ok(), first_byte, "draining: {is_draining}");
            drop(member_stream);
            assert_eq!(run.await.expect("attempt task").outcome, outcome);
        }
    };
    LocalSet::new().run_until(steps).await;
}

/// The parameters of an attempt with a statement of this length, with no time limit that a test reaches.
fn long_attempt(statement_bytes: usize) -> AttemptRequest {
    let statement = [b"/* d=9 */ SELECT ".as_slice(), &vec![b'1'; statement_bytes]].concat();
    AttemptRequest {
        member: MEMBER,
        payload: Payload::split_at_timeout(&Bytes::from(statement), 5..6),
        deadline: Instant::now() + LONG_TIMEOUT,
        written_by: None,
        is_retry: true,
        purpose: Purpose::Attempt(RequestId([b'a'; 36]), 1),
        is_request_over: Rc::default(),
    }
}

/// Reads all that the system of a member has received on a connection, up to its end.
async fn received_bytes(mut member_stream: TcpStream) -> usize {
    let mut received = Vec::new();
    let _ = member_stream.read_to_end(&mut received).await;
    received.len()
}

/// Runs an attempt with a statement of this length, at a member that never reads it. Returns its outcome, and how much of
/// it the member's system has received in the end.
async fn attempt_at_a_member_that_does_not_read(statement_bytes: usize) -> (Outcome, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
    let pool = new_pool(1, LONG_TIMEOUT, listener.local_addr().expect("local address"));
    let written_by = Some(Instant::now() + Duration::from_millis(300));
    let attempt_request = AttemptRequest { written_by, ..long_attempt(statement_bytes) };
    let (_cancel, cancelled) = tokio::sync::oneshot::channel();
    let run = tokio::task::spawn_local(attempt::run(pool, attempt_request, cancelled, || (), |_| ()));
    let mut member_stream = accept_startup(&listener).await;
    member_stream.write_all(&startup_answer()).await.expect("write");
    let outcome = run.await.expect("attempt task").outcome;
    (outcome, received_bytes(member_stream).await)
}

/// A member whose system takes a few thousand bytes of a statement before the member reads them, and a pool for it.
fn member_with_small_receive_buffer() -> (TcpListener, Pool) {
    let socket = TcpSocket::new_v4().expect("create socket");
    socket.set_recv_buffer_size(4 * 1024).expect("set receive buffer");
    socket.bind("127.0.0.1:0".parse().expect("valid address")).expect("bind listener");
    let listener = socket.listen(16).expect("listen");
    let pool = new_pool(1, LONG_TIMEOUT, listener.local_addr().expect("local address"));
    (listener, pool)
}

/// How an attempt ends while the kernel still delivers its statement to the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnding {
    /// The router or the client's departure cancels it.
    Cancelled,
    /// Its deadline passes.
    Deadline,
    /// Its task ends with the process.
    TaskEnd,
    /// The member sends a reply that the protocol does not allow.
    MalformedReply,
    /// The member begins a reply and does not continue it.
    StalledReply,
}

/// Ends an attempt whose statement is written and of which its member has not read anything. Returns how much of the
/// statement the member's system has received in the end.
async fn received_after(ending: AttemptEnding, statement_bytes: usize) -> usize {
    let (listener, pool) = member_with_small_receive_buffer();
    let mut attempt_request = long_attempt(statement_bytes);
    if ending == AttemptEnding::Deadline {
        attempt_request.deadline = Instant::now() + Duration::from_millis(500);
    }
    let (cancel, cancelled) = tokio::sync::oneshot::channel();
    let (written, is_written) = tokio::sync::oneshot::channel();
    let on_written = || written.send(()).expect("the test waits for the statement");
    let run = tokio::task::spawn_local(attempt::run(pool, attempt_request, cancelled, on_written, |_| ()));
    let mut member_stream = accept_startup(&listener).await;
    member_stream.write_all(&startup_answer()).await.expect("write");
    is_written.await.expect("the statement should fit the buffers of both systems");
    match ending {
        AttemptEnding::Cancelled => {
            cancel.send(Cancellation::Always).expect("the attempt should be in progress")
        }
        AttemptEnding::Deadline => {}
        AttemptEnding::TaskEnd => run.abort(),
        AttemptEnding::MalformedReply => member_stream.write_all(b"Z\0\0\0\x05I").await.expect("write"),
        AttemptEnding::StalledReply => member_stream.write_all(b"T\0\0").await.expect("write"),
    }
    let _ = run.await;
    received_bytes(member_stream).await
}

/// Guards against an attempt that is over and whose statement still arrives whole, and is applied a second time after
/// its repeat: the kernel goes on delivering what was written before an orderly close.
#[tokio::test]
async fn nothing_of_a_statement_arrives_after_the_end_of_its_attempt() {
    let steps = async {
        // Fits the send buffer, and not the receive buffer of the member's system.
        let statement_bytes = 40 * 1024;
        for ending in [
            AttemptEnding::Cancelled,
            AttemptEnding::Deadline,
            AttemptEnding::TaskEnd,
            AttemptEnding::MalformedReply,
            AttemptEnding::StalledReply,
        ] {
            let received = received_after(ending, statement_bytes).await;
            assert!(received < statement_bytes, "{ending:?}: all {received} bytes arrived");
        }
    };
    LocalSet::new().run_until(steps).await;
}

/// Guards against a repeat of a keyed write that a slow member receives whole after the window of its key, and applies a
/// second time. The longer statement does not fit the buffers of both systems.
#[tokio::test]
async fn a_statement_that_is_not_written_in_time_never_arrives_whole() {
    let steps = async {
        let long = 64 << 20;
        let (outcome, received) = attempt_at_a_member_that_does_not_read(long).await;
        assert_eq!(outcome, Outcome::NotSent);
        assert!(received < long, "{received} of {long} bytes");
        // It may have arrived, and the time for it is over.
        let (outcome, _) = attempt_at_a_member_that_does_not_read(100_000).await;
        assert_eq!(outcome, Outcome::TimedOut);
    };
    LocalSet::new().run_until(steps).await;
}

/// Guards against a repeat beside an attempt that may still run, and against a request that waits for a member that reads
/// its statement too slowly: an attempt is cancelled as an unwritten one only while its last byte is in this process.
#[tokio::test]
async fn an_attempt_is_cancelled_as_unwritten_only_while_its_last_byte_is_here() {
    let steps = async {
        for (statement_bytes, outcome) in [(4 << 20, Outcome::NotSent), (40 * 1024, Outcome::Ok)] {
            let (listener, pool) = member_with_small_receive_buffer();
            let (cancel, cancelled) = tokio::sync::oneshot::channel();
            let attempt_request = long_attempt(statement_bytes);
            let run = tokio::task::spawn_local(attempt::run(pool, attempt_request, cancelled, || (), |_| ()));
            let mut member_stream = accept_startup(&listener).await;
            member_stream.write_all(&startup_answer()).await.expect("write");
            // The writing has begun, and the shorter statement is written with the same write.
            assert_eq!(member_stream.read_u8().await.ok(), Some(b'Q'));
            cancel.send(Cancellation::IfUnwritten).expect("the attempt should be in progress");
            if outcome == Outcome::Ok {
                member_stream.read_exact(&mut vec![0; statement_bytes]).await.expect("read statement");
                let row = typed_message(b'D', b"\0\x01\0\0\0\x01x");
                let reply = ReplyMessages::new().with_row(&row);
                member_stream.write_all(&reply).await.expect("write");
            }
            assert_eq!(run.await.expect("attempt task").outcome, outcome);
            let received = received_bytes(member_stream).await;
            assert!(received < statement_bytes, "{received} of {statement_bytes} bytes");
        }
    };
    LocalSet::new().run_until(steps).await;
}

/// Guards against what a member says behind a long value being dropped, or being told after the client has the end of its
/// answer: the next read of its session relies on it.
#[tokio::test]
async fn what_a_member_says_behind_a_long_value_counts() {
    let steps = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
        let pool = new_pool(1, LONG_TIMEOUT, listener.local_addr().expect("local address"));
        let (_cancel, cancelled) = tokio::sync::oneshot::channel();
        let reported = Rc::new(RefCell::new(None));
        let on_long_answer_end = {
            let reported = reported.clone();
            move |state: ReportedState| *reported.borrow_mut() = Some((state.position, state.role))
        };
        let request = long_attempt(1);
        let run = tokio::task::spawn_local(attempt::run(pool, request, cancelled, || (), on_long_answer_end));
        let mut member_stream = accept_startup(&listener).await;
        member_stream.write_all(&startup_answer()).await.expect("write");
        assert!(member_stream.read(&mut [0; 256]).await.expect("read statement") > 0);
        let value = vec![b'v'; 100_000];
        let row = [b"\0\x01".as_slice(), &(value.len() as u32).to_be_bytes(), &value].concat();
        let ReplyMessages { description, complete, ready, .. } = ReplyMessages::new();
        let head = [&description[..], &typed_message(b'D', &row), &complete].concat();
        let parameters =
            [typed_message(b'S', b"lsn_ms\x0042\0"), typed_message(b'S', b"recovery\0off\0")].concat();
        member_stream.write_all(&head).await.expect("write");
        let response = run.await.expect("attempt task").response;
        let Some(MemberResponse::Streaming(mut response)) = response else {
            panic!("expected a long answer")
        };
        let answer =
            async { while !matches!(response.rest.recv().await, None | Some(ResponseChunk::Last(_))) {} };
        let parameters = async {
            assert!(reported.borrow().is_none(), "the parameters are not written yet");
            member_stream.write_all(&[parameters, ready].concat()).await.expect("write");
        };
        tokio::join!(answer, parameters);
        let expected = Some((Some(LogPosition(42_000)), Some(Role::Primary)));
        assert_eq!(*reported.borrow(), expected, "told before the end of the answer");
    };
    LocalSet::new().run_until(steps).await;
}

/// Returns a permit to write to a member that accepts statements.
async fn permit_for_test() -> SendPermit {
    let pool = new_pool(1, LONG_TIMEOUT, "127.0.0.1:1".parse().expect("valid address"));
    let deadline = Instant::now() + LONG_TIMEOUT;
    let intent = SendIntent {
        member: MEMBER,
        purpose: Purpose::HealthCheck,
        deadline,
        is_request_over: Rc::default(),
    };
    pool.send_permit(intent).await.expect("send permit")
}

/// A member's reply as read by a connection.
#[derive(Debug, PartialEq, Eq)]
struct ReadReply {
    outcome: Outcome,
    /// The position in the load report.
    position: Option<LogPosition>,
    /// Whether the connection may be used again.
    is_reusable: bool,
}

fn served(position: Option<LogPosition>, is_reusable: bool) -> ReadReply {
    ReadReply { outcome: Outcome::Ok, position, is_reusable }
}

const MALFORMED: ReadReply =
    ReadReply { outcome: Outcome::MalformedReply, position: None, is_reusable: false };

/// A connection whose member has answered a statement, and keeps its end open.
pub struct AnsweredConnection {
    pub connection: MemberConnection,
    member_stream: TcpStream,
}

/// Opens a connection, writes a statement, and answers it with a row of this value.
pub async fn answered_connection(value: &[u8]) -> AnsweredConnection {
    let length = (value.len() as u32).to_be_bytes();
    let row = typed_message(b'D', &[b"\0\x01", &length[..], value].concat());
    connection_answered_with(&ReplyMessages::new().with_row(&row)).await
}

/// Opens a connection, writes a statement, and answers it with `bytes`.
async fn connection_answered_with(bytes: &[u8]) -> AnsweredConnection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
    let address = listener.local_addr().expect("local address");
    let descriptor = ResourceLimit::new(1).acquire().expect("free descriptor");
    let member = async {
        let mut stream = accept_startup(&listener).await;
        stream.write_all(&startup_answer()).await.expect("write");
        stream
    };
    let (opened, mut member_stream) =
        tokio::join!(MemberConnection::open(address, descriptor, LONG_TIMEOUT), member);
    let Ok(mut connection) = opened else { panic!("connection was not opened") };
    let permit = permit_for_test().await;
    connection.write_statement(permit, b"SELECT 1".as_slice().into(), Bytes::new()).await.expect("write");
    assert!(member_stream.read(&mut [0; 256]).await.expect("read statement") > 0);
    member_stream.write_all(bytes).await.expect("write");
    AnsweredConnection { connection, member_stream }
}

/// Returns the reply that a connection reads when a member answers a statement with `bytes` and keeps the connection
/// open.
async fn reply_to(bytes: Vec<u8>) -> ReadReply {
    let mut answered = connection_answered_with(&bytes).await;
    let memory = ResponseMemory::new(RESPONSE_BYTES, Rc::default());
    let reply = answered.connection.read_reply(&memory).await;
    ReadReply {
        outcome: reply.outcome,
        position: reply.state.report.position,
        is_reusable: reply.is_reusable,
    }
}

/// Guards against an answer that is cut off while its member still writes it, with pauses of a fraction of a second. A
/// short reply comes at once, so a pause in it is a fault.
#[tokio::test]
async fn a_member_may_pause_in_a_longer_reply() {
    for (value_bytes, outcome) in [(20_000, Outcome::Ok), (2_000, Outcome::MalformedReply)] {
        let value = vec![b'v'; value_bytes];
        let row = [b"\0\x01".as_slice(), &(value.len() as u32).to_be_bytes(), &value].concat();
        let reply = ReplyMessages::new().with_row(&typed_message(b'D', &row));
        let (first, rest) = reply.split_at(reply.len() / 2);
        let mut answered = connection_answered_with(first).await;
        let memory = ResponseMemory::new(RESPONSE_BYTES, Rc::default());
        let write_rest = async {
            tokio::time::sleep(Duration::from_millis(700)).await;
            // The connection may be broken by now.
            let _ = answered.member_stream.write_all(rest).await;
        };
        let (reply, ()) = tokio::join!(answered.connection.read_reply(&memory), write_rest);
        assert_eq!(reply.outcome, outcome, "{value_bytes} bytes");
    }
}

/// The messages of a reply with one row of one column.
struct ReplyMessages {
    description: Vec<u8>,
    row: Vec<u8>,
    complete: Vec<u8>,
    ready: Vec<u8>,
}

impl ReplyMessages {
    fn new() -> ReplyMessages {
        ReplyMessages {
            description: typed_message(b'T', &[b"\0\x01val\0".as_slice(), &[0; 18]].concat()),
            row: typed_message(b'D', b"\0\x01\0\0\0\x02ok"),
            complete: typed_message(b'C', b"SELECT 1\0"),
            ready: typed_message(b'Z', b"I"),
        }
    }

    /// Returns a complete reply with `row` in place of its row message.
    fn with_row(&self, row: &[u8]) -> Vec<u8> {
        [&self.description[..], row, &self.complete, &self.ready].concat()
    }

    /// Replies that are not valid answers to a statement, and replies that never complete.
    fn malformed(&self) -> Vec<Vec<u8>> {
        let ReplyMessages { description, row, complete, ready } = self;
        let valid = self.with_row(row);
        let two_columns = typed_message(b'T', &[b"\0\x02val\0".as_slice(), &[0; 18]].concat());
        vec![
            b"noise without an end".to_vec(),
            self.with_row(&[&b"D"[..], &3_000_000_000u32.to_be_bytes(), b"\0\x01"].concat()),
            self.with_row(&typed_message(b'D', b"\0\x01\0\0\0\x03ok")),
            self.with_row(&typed_message(b'D', b"\0\x01\0\0\0\x01ok")),
            self.with_row(&typed_message(b'D', b"\0\x02\0\0\0\x02ok\0\0\0\x02ok")),
            self.with_row(&typed_message(b'D', b"\0\x01\xff\xff\xff\xff")),
            self.with_row(&[&row[..], row].concat()),
            self.with_row(b""),
            [&row[..], complete, ready].concat(),
            [&two_columns[..], row, complete, ready].concat(),
            [&description[..], row, ready].concat(),
            [&description[..], row, &typed_message(b'C', b"SELECT 1"), ready].concat(),
            [&description[..], row, complete, &typed_message(b'Z', b"?")].concat(),
            [&description[..], row, &typed_message(b'E', b"SERROR\0C53300\0\0"), ready].concat(),
            [&typed_message(b'E', b"SERROR\0C53\0\0")[..], ready].concat(),
            // The remaining bytes of these replies are never sent.
            valid[..valid.len() - 1].to_vec(),
            [&description[..], &row[..9]].concat(),
        ]
    }
}

/// Reads the reply of an answered connection and puts it into a pool. Returns the pool and the member's end, which has
/// received the empty query that follows each reply.
async fn pool_with_answered_connection() -> (Pool, TcpStream) {
    let AnsweredConnection { mut connection, mut member_stream } = answered_connection(b"first").await;
    let pool = new_pool(1, Duration::from_secs(3_600), connection.address());
    assert!(connection.read_reply(pool.response_memory()).await.is_reusable);
    pool.put_back(MEMBER, connection);
    let mut query = [0; 6];
    member_stream.read_exact(&mut query).await.expect("read empty query");
    assert_eq!(&query, b"Q\0\0\0\x05\0");
    (pool, member_stream)
}

/// Guards against a second copy of a reply, or other excess bytes, that arrive however late and are read as the reply
/// to the next statement: until the member has answered the empty query, the connection carries no statement, and
/// anything else in the answer ends it.
#[tokio::test]
async fn a_connection_is_reused_once_its_member_has_answered_an_empty_query() {
    let ReplyMessages { row, .. } = ReplyMessages::new();
    let copy = ReplyMessages::new().with_row(&row);
    let empty_response = typed_message(b'I', b"");
    let ready = typed_message(b'Z', b"I");
    let answer = [&empty_response[..], &ready].concat();
    let notice = typed_message(b'S', b"lsn_ms\x007\0");
    let cases = [
        (answer.clone(), true),
        ([&notice[..], &answer].concat(), true),
        ([&copy[..], &answer].concat(), false),
        ([&answer[..], &copy].concat(), false),
        ([&ready[..], &answer].concat(), false),
        ([&empty_response[..], &answer].concat(), false),
        (b"noise".to_vec(), false),
        (typed_message(b'E', b"SERROR\0C53300\0\0"), false),
    ];
    for (bytes, is_reused) in cases {
        let (pool, mut member_stream) = pool_with_answered_connection().await;
        assert!(!has_usable_connection(&pool), "the empty query is not answered");
        let (last, others) = bytes.split_last().expect("bytes to send");
        for part in [others, std::slice::from_ref(last)] {
            tokio::time::sleep(REUSE_WAIT).await;
            assert!(!has_usable_connection(&pool), "{bytes:?} is not complete");
            // The connection may be closed already.
            let _ = member_stream.write_all(part).await;
        }
        let decided = tokio::time::timeout(LONG_TIMEOUT, is_usable_in_the_end(&pool, &mut member_stream));
        assert_eq!(decided.await.expect("usable or closed"), is_reused, "{bytes:?}");
    }
}

/// Waits until the pool hands out the connection or has closed it; returns whether it hands it out.
async fn is_usable_in_the_end(pool: &Pool, member_stream: &mut TcpStream) -> bool {
    loop {
        if has_usable_connection(pool) {
            return true;
        }
        let mut byte = [0; 1];
        let ended = tokio::time::timeout(Duration::from_millis(1), member_stream.read(&mut byte));
        if let Ok(ended) = ended.await {
            assert!(!ended.is_ok_and(|length| length > 0), "nothing more is sent to the member");
            return false;
        }
    }
}

/// Guards against relaying a malformed reply, against waiting for a reply that never completes, and against losing a
/// valid reply because of the bytes that arrive with it.
#[tokio::test]
async fn malformed_replies_are_recognised_and_good_ones_served() {
    let messages = ReplyMessages::new();
    for bytes in messages.malformed() {
        assert_eq!(reply_to(bytes.clone()).await, MALFORMED, "{bytes:?}");
    }
    let valid = messages.with_row(&messages.row);
    assert_eq!(reply_to(valid.clone()).await, served(None, true));
    for following in [&valid[..], b"\xffnoise"] {
        assert_eq!(reply_to([&valid, following].concat()).await, served(None, false), "{following:?}");
    }
    let health = |text: &[u8]| typed_message(b'S', &[b"health\0", text, b"\0"].concat());
    let with_report = |report: Vec<u8>| [&report[..], &valid].concat();
    let position = Some(LogPosition(7_000_000));
    assert_eq!(reply_to(with_report(health(b"x0=7,x1=1"))).await, served(position, true));
    for report in [health(b"x0=7,x1=\xff"), health(b"x0=7,x1"), typed_message(b'S', b"health")] {
        assert_eq!(reply_to(with_report(report)).await, served(None, true));
    }
}
