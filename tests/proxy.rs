//! The program itself against scripted members, discovery and clients. Nothing here looks at a clock: each
//! step waits for what the one before brings about.

#[path = "../examples/toy/peer.rs"]
mod peer;

use bytes::BytesMut;
use linenhill::pg::backend::{BackendCodec, Command as Sent};
use peer::Act;
use std::cell::RefCell;
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio_util::codec::Encoder;

const CONFIG: &str = include_str!("../examples/config.json");
const READ: &str = "/* id=a1,c=list,d=60000,cluster=1 */ SELECT val FROM state WHERE uid = 'aa'";
const WRITE: &str =
    "/* id=a2,c=order,d=60000,k=b2,cluster=1 */ INSERT INTO state VALUES ('aa', 'x') RETURNING val";

/// Places for clients that are served, of 96 descriptors.
const PLACES: usize = 45;

/// The program, killed when the test is over.
struct Program {
    child: RefCell<Child>,
    config: std::path::PathBuf,
    log: Arc<Mutex<String>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.get_mut().kill();
        let _ = self.child.get_mut().wait();
    }
}

impl Program {
    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.borrow().id().to_string()]).status();
        assert!(sent.is_ok_and(|s| s.success()));
    }

    /// Waits until the log holds these words.
    async fn says(&self, words: &str) {
        while !self.log.lock().expect("the log").contains(words) {
            tokio::task::yield_now().await;
        }
    }

    async fn end(&self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.borrow_mut().try_wait().expect("a child") {
                return status;
            }
            tokio::task::yield_now().await;
        }
    }
}

/// A file under the build's own folder for temporary files.
fn file(name: &str, text: &str) -> std::path::PathBuf {
    let path =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn program(config: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    command.env("LB_CONFIG", config).env("LB_LISTEN", "127.0.0.1:0").env("RUST_LOG", "info");
    command.env_remove("LB_NAME").env_remove("LB_DISCOVERY").stderr(Stdio::piped());
    command
}

/// Starts three members (the first is the primary), discovery and the program, and plays a test with them.
fn play<A, R, T, F>(name: &str, act: A, test: T)
where
    A: Fn(usize, String) -> R + Clone + 'static,
    R: Future<Output = Act> + 'static,
    T: FnOnce(SocketAddr, Rc<Program>) -> F,
    F: Future<Output = ()>,
{
    play_with(name, CONFIG, act, test);
}

fn play_with<A, R, T, F>(name: &str, config: &str, act: A, test: T)
where
    A: Fn(usize, String) -> R + Clone + 'static,
    R: Future<Output = Act> + 'static,
    T: FnOnce(SocketAddr, Rc<Program>) -> F,
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let all = async {
        let mut config = config.to_string();
        for (i, named) in ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"].iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let at = listener.local_addr().expect("an address");
            config = config.replace(named, &at.to_string());
            let act = act.clone();
            tokio::task::spawn_local(peer::member(listener, i == 0, move |s| act(i, s)));
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let line = r#"{"version":2,"full":false,"servers":[]}"#.to_string();
        tokio::task::spawn_local(peer::discovery(listener, line));
        let config = config.replace("127.0.0.1:8500", &at.to_string());
        // A slow machine must not turn a connection into a failed one, or an answer into a late one.
        let config = config.replace("\"slo\": 800000", "\"slo\": 30000000");
        let config = config.replace("\"connectTimeout\": 250000", "\"connectTimeout\": 5000000");
        let path = file(&format!("{name}.json"), &config);
        let mut child = program(&path).spawn().expect("the program");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let said = Arc::new(Mutex::new(String::new()));
        let program = Rc::new(Program { child: RefCell::new(child), config: path, log: said.clone() });
        let mut line = String::new();
        while !line.contains("listens on ") {
            line.clear();
            assert!(log.read_line(&mut line).is_ok_and(|n| n > 0), "the program has ended");
        }
        let at = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                said.lock().expect("the log").push_str(&(line + "\n"));
            }
        });
        test(at, program.clone()).await;
    };
    runtime.block_on(tokio::task::LocalSet::new().run_until(all));
}

fn encoded(commands: &[Sent]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for command in commands {
        BackendCodec.encode(command.clone(), &mut bytes).expect("encoded");
    }
    bytes
}

fn query(statement: &str) -> Sent {
    Sent::Query(statement.to_string().into())
}

/// A client whose startup message and first queries come in one piece.
async fn client(at: SocketAddr, queries: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let all: Vec<Sent> = [Sent::Startup].into_iter().chain(queries.iter().map(|q| query(q))).collect();
    stream.write_all(&encoded(&all)).await.expect("written");
    answer(&mut stream).await;
    stream
}

/// Reads to the next ReadyForQuery, or to the end.
async fn answer(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    while !got.ends_with(b"Z\0\0\0\x05I") {
        match stream.read_u8().await {
            Ok(byte) => got.push(byte),
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&got).into_owned()
}

#[test]
fn queries_are_served_in_their_order_with_only_d_rewritten() {
    let heard = Rc::new(RefCell::new(Vec::new()));
    let noted = heard.clone();
    let act = move |member: usize, statement: String| {
        noted.borrow_mut().push(statement.clone());
        let row = if statement.contains("INSERT") && member > 0 { None } else { Some(statement) };
        std::future::ready(row.map_or(Act::Error("25006"), |s| Act::Row(s[..8].to_string())))
    };
    play("served", act, |at, _program| async move {
        let mut c = client(at, &["", READ, WRITE]).await;
        assert!(answer(&mut c).await.starts_with('I'), "the empty query comes first");
        assert!(answer(&mut c).await.contains("/* id=a1"));
        assert!(answer(&mut c).await.contains("/* id=a2"));
        let cut = |s: &str| {
            let (head, tail) = s.split_once(",d=").expect("d");
            (head.to_string(), tail.split_once(',').expect("more").1.to_string())
        };
        let wanted = [cut(READ), cut(WRITE)];
        assert!(heard.borrow().iter().all(|s| wanted.contains(&cut(s))), "{:?}", heard.borrow());
    });
}

// Guards against a refusal that doesn't say when to come back, and against failures dressed as refusals.
#[test]
fn the_turned_away_is_refused_with_d_and_the_unknown_has_failed() {
    let act = |_, statement: String| {
        std::future::ready(Act::Error(if statement.contains("INSERT") { "XX000" } else { "53300" }))
    };
    play("refused", act, |at, _program| async move {
        let mut c = client(at, &[READ, WRITE]).await;
        let refused = answer(&mut c).await;
        let advice = refused.split("\0D").nth(1).and_then(|d| d.split('\0').next()).expect("a field D");
        assert!(refused.contains("C53300\0") && advice.parse::<u64>().is_ok_and(|ms| ms > 0), "{refused:?}");
        let failed = answer(&mut c).await;
        assert!(failed.contains("C08007\0"), "{failed:?}");
    });
}

#[test]
fn a_read_that_every_replica_turns_away_runs_on_the_primary() {
    let act = |member, statement: String| {
        let behind = member > 0 && !statement.contains("INSERT");
        let write = member > 0 && statement.contains("INSERT");
        std::future::ready(match (behind, write) {
            (true, _) => Act::Error("72000"),
            (_, true) => Act::Error("25006"),
            _ => Act::Row("from the primary".into()),
        })
    };
    play("miss", act, |at, _program| async move {
        let mut c = client(at, &[WRITE, READ]).await;
        assert!(answer(&mut c).await.contains("from the primary"));
        assert!(answer(&mut c).await.contains("from the primary"));
    });
}

#[test]
fn a_read_whose_connection_breaks_is_sent_anew() {
    let broken = Rc::new(RefCell::new(false));
    let act = move |_, _| {
        let first = !broken.replace(true);
        std::future::ready(if first { Act::Break } else { Act::Row("second".into()) })
    };
    play("reset", act, |at, _program| async move {
        let mut c = client(at, &[READ]).await;
        assert!(answer(&mut c).await.contains("second"));
    });
}

// Guards against work that goes on for a client that is gone.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let (heard, hung_up) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (tell, told) = (heard.clone(), hung_up.clone());
    let act = move |_, _| {
        tell.notify_one();
        let told = told.clone();
        std::future::ready(Act::Silence(Box::new(move || told.notify_one())))
    };
    play("gone", act, |at, _program| async move {
        let c = client(at, &[READ]).await;
        heard.notified().await;
        drop(c);
        hung_up.notified().await;
    });
}

// Guards against a planned restart that loses what was taken, or that is never over.
#[test]
fn a_stop_answers_what_was_taken_and_ends() {
    let (heard, go) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (tell, wait) = (heard.clone(), go.clone());
    let act = move |_, _| {
        let (tell, wait) = (tell.clone(), wait.clone());
        async move {
            tell.notify_one();
            wait.notified().await;
            Act::Row("kept".into())
        }
    };
    play("stop", act, |at, program| async move {
        let mut idle = client(at, &[]).await;
        let mut busy = client(at, &[READ]).await;
        heard.notified().await;
        program.signal("-TERM");
        go.notify_one();
        assert!(answer(&mut busy).await.contains("kept"));
        assert_eq!(answer(&mut idle).await, "", "between requests a connection is just closed");
        assert!(program.end().await.success());
    });
}

// Guards against a reload that ends the program, loses a connection, or leaves discovery where it was.
#[test]
fn a_reload_moves_discovery_and_keeps_the_rest() {
    let act = |_, _| std::future::ready(Act::Row("served".into()));
    play("reload", act, |at, program| async move {
        let mut before = client(at, &[READ]).await;
        assert!(answer(&mut before).await.contains("served"));
        program.says("list version 2").await;
        let text = std::fs::read_to_string(&program.config).expect("the file");
        std::fs::write(&program.config, text.replace("\"discovery\":", "\"discovery\": 5, \"x\":"))
            .expect("a file");
        program.signal("-HUP");
        program.says("the old configuration is kept: ").await;
        let old = text.split("\"discovery\": \"").nth(1).and_then(|t| t.split('"').next()).expect("it");
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let new = listener.local_addr().expect("an address").to_string();
            std::fs::write(&program.config, text.replace(old, &new)).expect("a file");
            program.signal("-HUP");
            let (mut call, _) = listener.accept().await.expect("a call");
            let mut head = [0; 64];
            let got = call.read(&mut head).await.expect("read");
            assert!(head[..got].starts_with(b"GET /v1/endpoints?watch=1&from=2 "), "{head:?}");
        }
        program.says("code=moved").await;
        before.write_all(&encoded(&[query(READ)])).await.expect("written");
        assert!(answer(&mut before).await.contains("served"), "clients and members stay");
        program.signal("-HUP");
        program.signal("-TERM");
        assert!(program.end().await.success());
    });
}

// Guards against running out of descriptors: past its part a client is refused, not left without an answer. And
// against books that tell less than clients saw: every request by its end, every connection by its reason.
#[test]
fn past_the_budget_a_client_is_refused_at_the_edge_and_the_books_agree() {
    let go = Rc::new(Semaphore::new(0));
    let wait = go.clone();
    let act = move |_, _| {
        let wait = wait.clone();
        async move {
            let _ = wait.acquire().await;
            Act::Row("served".into())
        }
    };
    let config = CONFIG.replace("\"sockets\": 1024", "\"sockets\": 96");
    play_with("edge", &config, act, |at, program| async move {
        let read = |n: usize| READ.replace("id=a1", &format!("id=a{n}"));
        let mut inside = Vec::new();
        for n in 0..PLACES {
            inside.push(client(at, &[&read(n)]).await);
        }
        for n in 0..3 {
            let mut refused = client(at, &[&read(PLACES + n)]).await;
            let got = answer(&mut refused).await;
            assert!(got.contains("C53300\0") && got.contains("\0D"), "{got:?}");
            assert_eq!(answer(&mut refused).await, "", "the refused connection ends");
        }
        go.add_permits(1_000);
        let (mut served, mut refused) = (0, 3);
        for client in &mut inside {
            // One link a member is not enough for all: what finds none may be refused, and says so.
            let got = answer(client).await;
            served += u64::from(got.contains("served"));
            refused += u64::from(got.contains("C53300\0"));
        }
        assert_eq!(served + refused, 3 + PLACES as u64);
        program.signal("-TERM");
        assert!(program.end().await.success());
        program.says("counters taken").await;
        let log = program.log.lock().expect("the log").clone();
        let line = log.lines().find(|l| l.contains("counters taken")).expect("a line");
        let count = |name: &str| -> u64 {
            let pairs = line.split(' ').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| n.starts_with(name)).filter_map(|(_, v)| v.parse::<u64>().ok()).sum()
        };
        assert_eq!([count("served"), count("refused_door"), count("failed")], [served, 3, 0], "{line}");
        let all = count("taken");
        assert_eq!([all, count("clients")], [3 + PLACES as u64; 2], "{line}");
        let refused_in_all = count("refused") - count("refused_");
        assert_eq!(refused_in_all, refused, "{line}");
        assert_eq!(count("ended_"), count("clients"), "{line}");
        assert_eq!(log.matches("closed client ").count() as u64, count("clients"));
    });
}

#[test]
fn what_breaks_the_protocol_is_told_so() {
    let act = |_, _| std::future::ready(Act::Row("served".into()));
    play("protocol", act, |at, _program| async move {
        let mut c = client(at, &["/* id=1,c=none,d=9 */ SELECT 1", "/* id=1,c=list */ SELECT 1"]).await;
        assert!(answer(&mut c).await.contains("field c"));
        assert!(answer(&mut c).await.contains("field d"));
        c.write_all(b"P\0\0\0\x08a\0b\0S\0\0\0\x04").await.expect("written");
        assert!(answer(&mut c).await.contains("C0A000\0"));
        c.write_all(&encoded(&[query(READ)])).await.expect("written");
        assert!(answer(&mut c).await.contains("served"), "the connection was kept");
        c.write_all(b"Q\0\0\0\x01").await.expect("written");
        assert!(answer(&mut c).await.contains("C08P01\0"));
        assert_eq!(answer(&mut c).await, "", "and then it ends");
        let mut c = TcpStream::connect(at).await.expect("a connection");
        c.write_all(b"\0\0\0\x08\x04\xd2\x16\x2f").await.expect("written");
        assert_eq!(c.read_u8().await.ok(), Some(b'N'));
    });
}

#[test]
fn a_bad_configuration_is_one_line_that_names_the_file_and_the_field() {
    let path = file("bad.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": []"));
    // Nobody shares the members with no proxy: shares of what all may do would be of nothing.
    let none = file("bad.zero.json", &CONFIG.replace("\"fleetSize\": 1", "\"fleetSize\": 0"));
    let field = "'settings.fleetSize'";
    for (config, words) in [(&path, field), (&none, field), (&path.with_extension("none"), "bad.none")] {
        let done = program(config).output().expect("the program");
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(!done.status.success() && said.lines().count() == 1, "{said}");
        assert!(said.contains("bad.") && said.contains(words), "{said}");
    }
}
