//! Connections to members: which are used again, when a statement may still be written, and which replies are accepted.

use crate::{peer, typed_message};
use bytes::Bytes;
use linenhill::api::{LogPosition, MemberId, Outcome, RequestId};
use linenhill::counters::Counters;
use linenhill::request::Payload;
use linenhill::resource_limit::ResourceLimit;
use linenhill::upstream::attempt::{self, AttemptRequest};
use linenhill::upstream::connection::MemberConnection;
use linenhill::upstream::pool::Pool;
use linenhill::upstream::send_guard::{Purpose, SendIntent, SendPermit};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

const MEMBER: MemberId = MemberId(1);
/// No step takes so long.
const LONG: Duration = Duration::from_secs(60);
/// Longer than a connection rests in the pool until it may be used again.
const SETTLED: Duration = Duration::from_millis(5);

/// How a member greets a new connection: it is authenticated and ready.
fn greeting() -> Vec<u8> {
    [typed_message(b'R', &[0; 4]), typed_message(b'Z', b"I")].concat()
}

/// A pool with room for `descriptors` connections that may be idle for `idle_close`.
fn new_pool(descriptors: usize, idle_close: Duration, address: SocketAddr) -> Pool {
    let pool = Pool::new(descriptors, idle_close, LONG, Rc::new(Counters::default()));
    pool.set_address(MEMBER, address);
    pool
}

async fn open_connection(pool: &Pool, address: SocketAddr) -> MemberConnection {
    let descriptor = pool.reserve_descriptor().expect("a descriptor");
    let Ok(connection) = MemberConnection::open(address, descriptor, LONG).await else {
        panic!("no connection")
    };
    connection
}

/// Whether the pool gives out an idle connection; it is put back.
fn has_usable_connection(pool: &Pool) -> bool {
    pool.checkout(MEMBER).map(|connection| pool.put_back(MEMBER, connection)).is_some()
}

/// Guards against writing to a connection that its member may be closing, and against exceeding the descriptors.
#[tokio::test]
async fn the_pool_skips_old_connections_and_evicts_idle_ones() {
    let act = |_| std::future::ready(peer::MemberAction::Disconnect);
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::task::spawn_local(peer::member(listener, true, act));
        for (idle_close, is_kept) in [(Duration::ZERO, false), (Duration::from_secs(3_600), true)] {
            let pool = new_pool(1, idle_close, address);
            let connection = open_connection(&pool, address).await;
            assert!(pool.reserve_descriptor().is_none(), "the one descriptor is in use");
            tokio::time::pause();
            pool.put_back(MEMBER, connection);
            assert!(pool.checkout(MEMBER).is_none(), "more than the answer may still be on the way");
            tokio::time::advance(Duration::from_millis(3)).await;
            assert_eq!(has_usable_connection(&pool), is_kept);
            assert!(pool.reserve_descriptor().is_some(), "an idle connection makes room");
            assert!(pool.checkout(MEMBER).is_none());
            tokio::time::resume();
        }
    };
    LocalSet::new().run_until(play).await;
}

/// A member in a thread of its own that greets one connection and gives it back.
fn greet_in_thread() -> (SocketAddr, JoinHandle<std::net::TcpStream>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let greeted = std::thread::spawn(move || {
        let (mut far, _) = listener.accept().expect("a connection");
        let mut length = [0; 4];
        far.read_exact(&mut length).expect("a length");
        let remaining = u32::from_be_bytes(length) as usize - length.len();
        far.read_exact(&mut vec![0; remaining]).expect("a startup message");
        far.write_all(&greeting()).expect("written");
        far
    });
    (address, greeted)
}

/// The member closes an idle connection, or sends bytes on it, between two polls of the runtime: this thread does not
/// yield. Guards against a statement written to a closed connection, and against late bytes taken for its reply.
#[tokio::test]
async fn a_connection_that_ended_between_polls_is_not_used() {
    for event in ["closed", "reset", "late bytes"] {
        let (address, greeted) = greet_in_thread();
        let pool = new_pool(1, Duration::from_secs(3_600), address);
        let connection = open_connection(&pool, address).await;
        let mut far = greeted.join().expect("a member");
        pool.put_back(MEMBER, connection);
        std::thread::sleep(SETTLED);
        assert!(has_usable_connection(&pool), "nothing came");
        let mut kept_open = None;
        match event {
            "closed" => drop(far),
            "reset" => {
                socket2::SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("set");
                drop(far);
            }
            _ => {
                far.write_all(&typed_message(b'Z', b"I")).expect("written");
                kept_open = Some(far);
            }
        }
        // Written is not arrived, on a busy machine.
        let is_used = |_: &u32| {
            std::thread::sleep(SETTLED);
            has_usable_connection(&pool)
        };
        assert!((0..1_000).take_while(is_used).count() < 1_000, "{event}: it is used on and on");
        drop(kept_open);
    }
}

/// Accepts the proxy's next connection and reads its startup message, without an answer.
async fn accept_startup(listener: &TcpListener) -> TcpStream {
    let (mut far, _) = listener.accept().await.expect("a connection");
    let length = far.read_u32().await.expect("a length") as usize;
    far.read_exact(&mut vec![0; length - 4]).await.expect("a startup message");
    far
}

/// Guards against sending work that was decided on before a drain was announced, while its connection came up.
#[tokio::test]
async fn no_statement_is_written_after_a_drain() {
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let pool = new_pool(2, LONG, listener.local_addr().expect("an address"));
        for (is_draining, first_byte, outcome) in
            [(true, None, Outcome::NotSent), (false, Some(b'Q'), Outcome::Reset)]
        {
            pool.set_accepting(|_| true);
            let attempt_request = AttemptRequest {
                member: MEMBER,
                payload: Payload::split_at_timeout(&Bytes::from_static(b"/* d=9 */ SELECT 1"), 5..6),
                deadline: Instant::now() + LONG,
                is_retry: false,
                purpose: Purpose::Attempt(RequestId([b'a'; 36]), 0),
                is_request_over: Rc::default(),
            };
            let (_cancel, cancelled) = tokio::sync::oneshot::channel();
            let run = tokio::task::spawn_local(attempt::run(pool.clone(), attempt_request, cancelled, || ()));
            let mut far = accept_startup(&listener).await;
            pool.set_accepting(|_| !is_draining);
            far.write_all(&greeting()).await.expect("written");
            assert_eq!(far.read_u8().await.ok(), first_byte, "draining: {is_draining}");
            drop(far);
            assert_eq!(run.await.expect("an end").outcome, outcome);
        }
    };
    LocalSet::new().run_until(play).await;
}

/// A permit to write to a member that accepts.
async fn permit_for_test() -> SendPermit {
    let pool = new_pool(1, LONG, "127.0.0.1:1".parse().expect("an address"));
    let deadline = Instant::now() + LONG;
    let intent = SendIntent {
        member: MEMBER,
        purpose: Purpose::HealthCheck,
        deadline,
        is_request_over: Rc::default(),
    };
    pool.send_permit(intent).await.expect("a permit")
}

/// What a connection makes of a member's reply.
#[derive(Debug, PartialEq, Eq)]
struct ReadReply {
    outcome: Outcome,
    /// The position of its load report.
    position: Option<LogPosition>,
    /// Whether the connection may be used again.
    is_reusable: bool,
}

fn served(position: Option<LogPosition>, is_reusable: bool) -> ReadReply {
    ReadReply { outcome: Outcome::Ok, position, is_reusable }
}

const MALFORMED: ReadReply =
    ReadReply { outcome: Outcome::MalformedReply, position: None, is_reusable: false };

/// The reply that a connection reads from these bytes, sent in answer to a statement; the connection stays open.
async fn reply_to(bytes: Vec<u8>) -> ReadReply {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let member = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = [0; 256];
        assert!(stream.read(&mut received).await.expect("a startup message") > 0);
        stream.write_all(&greeting()).await.expect("written");
        assert!(stream.read(&mut received).await.expect("a statement") > 0);
        stream.write_all(&bytes).await.expect("written");
        while stream.read(&mut received).await.is_ok_and(|length| length > 0) {}
    };
    let proxy = async {
        let descriptor = ResourceLimit::new(1).acquire().expect("a descriptor");
        let Ok(mut connection) = MemberConnection::open(address, descriptor, LONG).await else {
            panic!("no connection")
        };
        let permit = permit_for_test().await;
        connection
            .write_statement(permit, b"SELECT 1".as_slice().into(), Bytes::new())
            .await
            .expect("written");
        let reply = connection.read_reply().await;
        ReadReply { outcome: reply.outcome, position: reply.report.position, is_reusable: reply.is_reusable }
    };
    let (reply, ()) = tokio::join!(proxy, member);
    reply
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

    /// A reply with these bytes in place of the row.
    fn with_row(&self, row: &[u8]) -> Vec<u8> {
        [&self.description[..], row, &self.complete, &self.ready].concat()
    }

    /// Replies that no member makes for a request, and such whose rest never comes.
    fn malformed(&self) -> Vec<Vec<u8>> {
        let ReplyMessages { description, row, complete, ready } = self;
        let good = self.with_row(row);
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
            // The rest of these never comes.
            good[..good.len() - 1].to_vec(),
            [&description[..], &row[..9]].concat(),
        ]
    }
}

/// Guards against relaying what no member made for the request, against waiting for an end that never comes, and
/// against losing a good answer to what arrives along with it.
#[tokio::test]
async fn malformed_replies_are_recognised_and_good_ones_served() {
    let messages = ReplyMessages::new();
    for bytes in messages.malformed() {
        assert_eq!(reply_to(bytes.clone()).await, MALFORMED, "{bytes:?}");
    }
    let good = messages.with_row(&messages.row);
    assert_eq!(reply_to(good.clone()).await, served(None, true));
    for following in [&good[..], b"\xffnoise"] {
        assert_eq!(reply_to([&good, following].concat()).await, served(None, false), "{following:?}");
    }
    let health = |text: &[u8]| typed_message(b'S', &[b"health\0", text, b"\0"].concat());
    let with_report = |report: Vec<u8>| [&report[..], &good].concat();
    let position = Some(LogPosition(7_000_000));
    assert_eq!(reply_to(with_report(health(b"x0=7,x1=1"))).await, served(position, true));
    for report in [health(b"x0=7,x1=\xff"), health(b"x0=7,x1"), typed_message(b'S', b"health")] {
        assert_eq!(reply_to(with_report(report)).await, served(None, true));
    }
}
