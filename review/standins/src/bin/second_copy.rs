//! Members whose answers now and then come with a second copy right behind; every client must get the value that was
//! made for its own request.

use review_standins::client::{Answer, Client, wait_until_ready};
use review_standins::discovery::{Discovery, Entry, list};
use review_standins::member::{Member, answer, health, notes};
use review_standins::process::{Process, folders, free_address, limit_time, run_command, write_config};
use review_standins::record::Record;
use review_standins::{Random, has_trouble, unix_ms, wire};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// One answer in this many comes with a second copy.
const COPY_EVERY: u64 = 50;
/// How long clients ask.
const SECONDS: u64 = 25;
/// Clients, each with one connection and one request at a time.
const CLIENTS: u64 = 12;

/// What the clients saw.
#[derive(Default)]
struct Seen {
    served: AtomicU64,
    not_served: AtomicU64,
    foreign: AtomicU64,
}

/// The value that members make for a request.
fn value_of(id: &str) -> Vec<u8> {
    format!("list made for request {id}").into_bytes()
}

/// Whether nothing waits on the connection: no byte of a further statement has arrived.
fn is_quiet(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn respond(
    name: &str, is_primary: bool, record: &Record, copies: &AtomicU64, statement: &str,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let now = unix_ms();
    if statement == "SHOW health" {
        return stream
            .write_all(&answer(health(is_primary, now, 0.4).as_bytes(), &notes(is_primary, now, 0.4)));
    }
    let id = wire::field(statement, "id").unwrap_or("");
    let is_write = statement.contains("INSERT");
    if is_write && !is_primary {
        return stream.write_all(&[wire::error("25006"), notes(false, now, 0.4), wire::ready()].concat());
    }
    let number = id.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    let mut random = Random::new(number);
    thread::sleep(Duration::from_millis(10 + random.below(15)));
    let whole = answer(&value_of(id), &notes(is_primary, unix_ms(), 0.4));
    stream.write_all(&whole)?;
    record.line(format!("{name} ran {id}"));
    if has_trouble() && random.below(COPY_EVERY) == 0 && is_quiet(stream) {
        stream.write_all(&whole)?;
        copies.fetch_add(1, Ordering::SeqCst);
        record.line(format!("{name} wrote a second copy of the answer to {id}, right behind it"));
    }
    Ok(())
}

fn run_client(proxy: SocketAddr, number: u64, until: Instant, seen: &Seen, record: &Record) {
    let mut random = Random::new(number + 1);
    let mut client = None;
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let id = format!("c{number:02}-{count:05}");
        let key = format!("{:016x}", number * 1_000 + random.below(50));
        let statement = if random.below(10) < 2 {
            format!(
                "/* id={id},c=order-write,d=5000,k={:016x},cluster=1 */ INSERT INTO state (uid, val) VALUES ('{key}', '\\x01') RETURNING val",
                random.next_number()
            )
        } else {
            format!("/* id={id},c=list-read,d=3000,cluster=1 */ SELECT val FROM state WHERE uid = '{key}'")
        };
        if client.is_none() {
            client = Client::connect(proxy, Duration::from_secs(8)).ok();
        }
        let Some(open) = client.as_mut() else { continue };
        let class = wire::field(&statement, "c").unwrap_or("");
        record.line(format!("client {number} sent {id}, {class}"));
        match open.ask(&statement) {
            Ok(Answer::Value(value)) if value == value_of(&id) => {
                seen.served.fetch_add(1, Ordering::SeqCst);
                record.line(format!("client {number} got the value of {id}"));
            }
            Ok(Answer::Value(value)) => {
                seen.foreign.fetch_add(1, Ordering::SeqCst);
                record.line(format!(
                    "client {number} BROKEN: {id} was answered with '{}'",
                    String::from_utf8_lossy(&value)
                ));
            }
            other => {
                seen.not_served.fetch_add(1, Ordering::SeqCst);
                record.line(format!("client {number}: {id} was not served: {other:?}"));
                if other.is_err() {
                    client = None;
                }
            }
        }
        thread::sleep(Duration::from_millis(random.below(30)));
    }
}

fn run() -> io::Result<i32> {
    let (case, temporary) = folders()?;
    let record = Record::create(&case.join("record.txt"))?;
    let copies = Arc::new(AtomicU64::new(0));
    let mut entries = Vec::new();
    for (index, name) in ["m-1", "m-2", "m-3"].into_iter().enumerate() {
        let (record, copies) = (record.clone(), copies.clone());
        let member = Member::start(Arc::new(move |statement: &str, stream: &mut TcpStream| {
            respond(name, index == 0, &record, &copies, statement, stream)
        }))?;
        entries.push(Entry { id: name.into(), address: member.address });
    }
    let known = list(&entries);
    let discovery = Discovery::start(&entries)?;
    let listen = free_address()?;
    let config = temporary.join("config.json");
    write_config(&config, "n1", listen, discovery.address, &known, &[])?;
    let variables = [("LB_CONFIG", config.display().to_string())];
    let _proxy = Process::start(&run_command()?, "n1", &temporary, &variables)?;
    if !wait_until_ready(listen, Duration::from_secs(15)) {
        record.say("the proxy did not become ready");
        return Ok(2);
    }
    let seen = Arc::new(Seen::default());
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let clients = (0..CLIENTS).map(|number| {
        let (seen, record) = (seen.clone(), record.clone());
        thread::spawn(move || run_client(listen, number, until, &seen, &record))
    });
    for client in clients.collect::<Vec<_>>() {
        let _ = client.join();
    }
    let [served, not_served, foreign] =
        [&seen.served, &seen.not_served, &seen.foreign].map(|count| count.load(Ordering::SeqCst));
    let copies = copies.load(Ordering::SeqCst);
    record.say(format!(
        "served {served}, not served {not_served}, answered with the value of another request {foreign}; second copies {copies}"
    ));
    if served < 1_000 || (has_trouble() && copies < 20) {
        record.say("too few requests or copies for a verdict");
        return Ok(2);
    }
    Ok(i32::from(foreign > 0))
}

fn main() {
    limit_time(Duration::from_secs(100));
    let code = run().unwrap_or_else(|error| {
        println!("the case could not run: {error}");
        2
    });
    std::process::exit(code);
}
