//! Clients that send many commands at once while one member hangs: the answers that wait behind a slow one must not
//! take the proxy over its memory limit.

use review_standins::client::{Answer, Client, wait_until_ready};
use review_standins::discovery::{Discovery, Entry, list};
use review_standins::member::{Member, answer, health, notes};
use review_standins::process::{Process, folders, free_address, limit_time, run_command, write_config};
use review_standins::record::Record;
use review_standins::{has_trouble, unix_ms, wire};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the configuration, the smallest that the pages name.
const MEMORY_MIB: u64 = 32;
const SOCKETS: u64 = 256;
/// Clients' connections: at most a third of the descriptors.
const CLIENTS: u64 = 80;
/// Reads that each client sends at once behind its write.
const READS: u64 = 16;
/// Size of a value: the largest that is no long one.
const VALUE_BYTES: usize = 64 * 1024;
/// How long the member hangs.
const HANG: Duration = Duration::from_millis(2_500);
/// Time between the batches of two clients.
const GAP: Duration = Duration::from_millis(20);

/// What the clients saw.
#[derive(Default)]
struct Seen {
    served: AtomicU64,
    errors: AtomicU64,
    unanswered: AtomicU64,
}

/// The state of the members.
#[derive(Default)]
struct Group {
    hangs: AtomicBool,
    ran: AtomicU64,
}

fn respond(
    group: &Group, record: &Record, name: &str, is_primary: bool, statement: &str, stream: &mut TcpStream,
) -> io::Result<()> {
    // A hung member takes statements and answers none until it goes on.
    while is_primary && group.hangs.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
    let now = unix_ms();
    if statement == "SHOW health" {
        return stream
            .write_all(&answer(health(is_primary, now, 0.4).as_bytes(), &notes(is_primary, now, 0.4)));
    }
    let is_write = statement.contains("INSERT");
    if is_write && !is_primary {
        return stream.write_all(&[wire::error("25006"), notes(false, now, 0.4), wire::ready()].concat());
    }
    thread::sleep(Duration::from_millis(8));
    group.ran.fetch_add(1, Ordering::SeqCst);
    record.line(format!("{name} ran {}", wire::field(statement, "id").unwrap_or("")));
    let value = if is_write { vec![1; 16] } else { vec![b'v'; VALUE_BYTES] };
    stream.write_all(&answer(&value, &notes(is_primary, unix_ms(), 0.4)))
}

/// The commands that a client sends at once: a write, then reads of other keys.
fn batch(number: u64) -> Vec<u8> {
    let key = number * 1_000;
    let write = format!(
        "/* id=c{number:02}-write,c=order-write,d=5000,k={key:016x},cluster=1 */ INSERT INTO state (uid, val) VALUES ('{key:016x}', '\\x01') RETURNING val"
    );
    let mut bytes = wire::query(&write);
    for read in 1..=READS {
        let key = key + read;
        let statement = format!(
            "/* id=c{number:02}-read-{read:02},c=list-read,d=3000,cluster=1 */ SELECT val FROM state WHERE uid = '{key:016x}'"
        );
        bytes.extend(wire::query(&statement));
    }
    bytes
}

fn run_client(proxy: SocketAddr, number: u64, seen: &Seen, record: &Record) {
    thread::sleep(GAP * number as u32);
    let Ok(mut client) = Client::connect(proxy, Duration::from_secs(8)) else {
        return record.line(format!("client {number} could not connect"));
    };
    let mut left = READS + 1;
    record.line(format!("client {number} sent {left} commands at once, ids c{number:02}-write and c{number:02}-read-01 to -{READS:02}"));
    let _ = client.stream.write_all(&batch(number));
    while left > 0 {
        match client.read_answer() {
            Ok(Answer::Value(_)) => seen.served.fetch_add(1, Ordering::SeqCst),
            Ok(_) => seen.errors.fetch_add(1, Ordering::SeqCst),
            Err(error) => {
                record.line(format!("client {number}: {left} commands unanswered: {error}"));
                break;
            }
        };
        left -= 1;
    }
    seen.unanswered.fetch_add(left, Ordering::SeqCst);
    record.line(format!("client {number} got {} of {} answers", READS + 1 - left, READS + 1));
}

fn run() -> io::Result<i32> {
    let (case, temporary) = folders()?;
    let record = Record::create(&case.join("record.txt"))?;
    let group = Arc::new(Group::default());
    let mut entries = Vec::new();
    for (index, name) in ["m-1", "m-2", "m-3", "m-4"].into_iter().enumerate() {
        let (group, record) = (group.clone(), record.clone());
        let member = Member::start(Arc::new(move |statement: &str, stream: &mut TcpStream| {
            respond(&group, &record, name, index == 0, statement, stream)
        }))?;
        entries.push(Entry { id: name.into(), address: member.address });
    }
    let known = list(&entries);
    let discovery = Discovery::start(&entries)?;
    let listen = free_address()?;
    let config = temporary.join("config.json");
    let limits = format!("\"memory_mb\": {MEMORY_MIB}, \"sockets\": {SOCKETS}");
    let replacements = [("\"memory_mb\": 192, \"sockets\": 1024", limits.as_str())];
    write_config(&config, "n1", listen, discovery.address, &known, &replacements)?;
    let variables = [("LB_CONFIG", config.display().to_string())];
    let mut proxy = Process::start(&run_command()?, "n1", &temporary, &variables)?;
    if !wait_until_ready(listen, Duration::from_secs(15)) {
        record.say("the proxy did not become ready");
        return Ok(2);
    }
    let seen = Arc::new(Seen::default());
    group.hangs.store(has_trouble(), Ordering::SeqCst);
    record.line(if has_trouble() { "m-1 hangs" } else { "m-1 does not hang" });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (seen, record) = (seen.clone(), record.clone());
            thread::spawn(move || run_client(listen, number, &seen, &record))
        })
        .collect();
    let started = Instant::now();
    let (mut peak, mut recorded) = (0, 0);
    let mut is_over = false;
    while !clients.iter().all(thread::JoinHandle::is_finished) {
        let hangs = has_trouble() && started.elapsed() < HANG;
        if group.hangs.swap(hangs, Ordering::SeqCst) != hangs {
            record.line(if hangs { "m-1 hangs" } else { "m-1 goes on" });
        }
        let anonymous = proxy.memory_kib("RssAnon").unwrap_or(0);
        peak = peak.max(anonymous);
        if anonymous > recorded + 1_024 {
            recorded = anonymous;
            record.line(format!("the proxy holds {anonymous} KiB of memory of its own"));
        }
        if anonymous > MEMORY_MIB * 1_024 && !is_over {
            is_over = true;
            record.line(format!("BROKEN: over its limit of {MEMORY_MIB} MiB; the platform kills it"));
            proxy.signal("KILL");
        }
        thread::sleep(Duration::from_millis(5));
    }
    let [served, errors, unanswered] =
        [&seen.served, &seen.errors, &seen.unanswered].map(|count| count.load(Ordering::SeqCst));
    let is_running = proxy.is_running();
    record.say(format!(
        "peak {peak} KiB of {} KiB; served {served}, refused or failed {errors}, unanswered {unanswered}; run {}; running {is_running}",
        MEMORY_MIB * 1_024, group.ran.load(Ordering::SeqCst)
    ));
    Ok(i32::from(is_over))
}

fn main() {
    limit_time(Duration::from_secs(100));
    let code = run().unwrap_or_else(|error| {
        println!("the case could not run: {error}");
        2
    });
    std::process::exit(code);
}
