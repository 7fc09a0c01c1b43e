//! Case 9: long values, more at once than memory holds, bring the process over its memory limit.

use review_standins_2::client::{Answer, Client, wait_until_ready};
use review_standins_2::discovery::{Discovery, Entry, list_json};
use review_standins_2::member::{Arrivals, Member, Reply};
use review_standins_2::process::Process;
use review_standins_2::settings::Site;
use review_standins_2::{Record, TemporaryFolder, Verdict, free_address, run_case, sleep_ms, unix_ms, wire};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The smallest memory and the most descriptors that the pages give a proxy.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1_024;
/// Clients that have started a session and say nothing.
const SILENT: usize = 300;
/// Clients with a request, 226 of the 341 that may have one.
const WRITERS: usize = 120;
const LONG_WRITERS: usize = 6;
const READERS: usize = 100;
const SHORT_BYTES: usize = 1_000;
const WRITTEN_BYTES: usize = 131_500;
/// With its statement and header a little under 4 MiB.
const LONG_BYTES: usize = (4 << 20) - 200;

#[derive(Default)]
struct Ends {
    served: AtomicUsize,
    errors: AtomicUsize,
    ended: AtomicUsize,
}

impl Ends {
    fn count(&self, answer: &Answer) {
        let counter = match answer {
            Answer::Served(_) => &self.served,
            Answer::Error(_) => &self.errors,
            _ => &self.ended,
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}

/// Anonymous memory and all resident memory of a process, in KiB, as the system shows them.
fn memory_kib(pid: u32) -> (u64, u64) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    };
    (field("RssAnon:"), field("VmRSS:"))
}

/// A write, sent in pieces over some 200 ms.
fn write_value(address: SocketAddr, id: String, bytes: usize, piece: usize) -> Answer {
    let Ok(mut client) = Client::connect(address) else { return Answer::Ended("no connection".into()) };
    let value = "v".repeat(bytes);
    let key = unix_ms() * 1_000 + id.len() as u64;
    let statement = format!(
        "/* id={id},c=order-write,d=4900,k={key:016x},cluster=1 */ INSERT INTO state (uid, val) VALUES ('{id}', '{value}') RETURNING val"
    );
    for part in wire::query(&statement).chunks(piece) {
        if client.stream.write_all(part).is_err() {
            return client.receive();
        }
        sleep_ms(40);
    }
    client.receive()
}

/// A read whose answer is taken 64 KiB each 40 ms; up to its end or 6 s.
fn read_slowly(address: SocketAddr, id: String) -> Answer {
    let Ok(mut client) = Client::connect(address) else { return Answer::Ended("no connection".into()) };
    let statement =
        format!("/* id={id},c=list-read,d=2900,cluster=1 */ SELECT val FROM state WHERE uid = '{id}'");
    if client.send(&statement).is_err() {
        return Answer::Ended("not sent".into());
    }
    let (mut buffer, mut all) = (vec![0; 64 * 1024], Vec::new());
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(6) && !all.ends_with(wire::READY) {
        match client.stream.read(&mut buffer) {
            Ok(0) | Err(_) => return Answer::Ended("the connection ended".into()),
            Ok(length) => all.extend_from_slice(&buffer[..length]),
        }
        sleep_ms(40);
    }
    if all.first() == Some(&b'E') { Answer::Error(String::new()) } else { Answer::Served(Vec::new()) }
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = TemporaryFolder::create();
    let arrivals = Arrivals::default();
    let members: Vec<Member> = (1..=3)
        .map(|number| {
            Member::start(&format!("m-{number}"), number == 1, &arrivals, record, unix_ms, move |statement| {
                let work = Duration::from_millis(150);
                match (statement.contains("INSERT"), trouble) {
                    (true, _) if number != 1 => Reply::error("25006"),
                    (true, _) => Reply::row(wire::quoted(statement)[1].as_bytes(), work),
                    (false, true) => Reply {
                        part_bytes: 64 * 1024,
                        pause: Duration::from_millis(20),
                        ..Reply::row(&vec![b'v'; 4 << 20], work)
                    },
                    (false, false) => Reply::row(&[b'v'; SHORT_BYTES], work),
                }
            })
        })
        .collect();
    let entries: Vec<Entry> = members.iter().map(|m| Entry::in_service(&m.name, m.address, "a")).collect();
    let discovery = Discovery::start(1, entries.clone(), record);
    let site = Site { fleet_size: 1, memory_mb: MEMORY_MB, sockets: SOCKETS, ..Site::first() };
    let listen = free_address();
    let config = folder.0.join("config.json");
    let text = site.config("n1", listen, discovery.address, &list_json(1, true, &entries));
    std::fs::write(&config, text).map_err(|error| error.to_string())?;
    let mut proxy = Process::start(&folder.0, "n1", "", &[("LB_CONFIG", &config.display().to_string())])?;
    if !wait_until_ready(listen, Duration::from_secs(12)) {
        return Err("the proxy is not ready".into());
    }
    sleep_ms(500);
    let pid = proxy.id();
    let (peak_anonymous, peak_all) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let sampler = {
        let (peak_anonymous, peak_all, stop) = (peak_anonymous.clone(), peak_all.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let (anonymous, all) = memory_kib(pid);
                peak_anonymous.fetch_max(anonymous, Ordering::SeqCst);
                peak_all.fetch_max(all, Ordering::SeqCst);
                sleep_ms(5);
            }
        })
    };
    let mut silent = Vec::new();
    for number in 0..SILENT {
        silent.extend(Client::connect(listen));
        if number % 25 == 24 {
            sleep_ms(20);
        }
    }
    record.line(format!(
        "{} silent clients, memory now {:?} KiB (anonymous, resident)",
        silent.len(),
        memory_kib(pid)
    ));

    let ends = Arc::new(Ends::default());
    let mut clients = Vec::new();
    for number in 0..WRITERS {
        let ends = ends.clone();
        clients.push(thread::spawn(move || {
            for round in 0..3 {
                let bytes = if trouble { WRITTEN_BYTES } else { SHORT_BYTES };
                ends.count(&write_value(listen, format!("w-{number}-{round}"), bytes, 30_000));
                sleep_ms(300);
            }
        }));
    }
    for number in 0..LONG_WRITERS {
        let ends = ends.clone();
        clients.push(thread::spawn(move || {
            for round in 0..3 {
                let bytes = if trouble { LONG_BYTES } else { SHORT_BYTES };
                ends.count(&write_value(listen, format!("long-{number}-{round}"), bytes, 200_000));
                sleep_ms(300);
            }
        }));
    }
    for number in 0..READERS {
        let ends = ends.clone();
        clients.push(thread::spawn(move || {
            for round in 0..3 {
                ends.count(&read_slowly(listen, format!("r-{number}-{round}")));
                sleep_ms(300);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sampler.join();
    drop(silent);
    if let Some(status) = proxy.has_ended() {
        return Ok(Verdict::Broken(format!("the proxy ended: {status}")));
    }
    proxy.signal("USR1");
    sleep_ms(300);
    for line in proxy.log_text().lines().filter(|line| line.contains("counters")) {
        record.line(format!("log: {line}"));
    }
    let (served, errors, ended) = (
        ends.served.load(Ordering::SeqCst),
        ends.errors.load(Ordering::SeqCst),
        ends.ended.load(Ordering::SeqCst),
    );
    record.line(format!("clients: {served} served, {errors} errors, {ended} ended"));
    if served < 50 {
        return Err(format!("only {served} requests were served"));
    }
    let limit = MEMORY_MB * 1_024;
    let (anonymous, all) = (peak_anonymous.load(Ordering::SeqCst), peak_all.load(Ordering::SeqCst));
    let text = format!(
        "most memory {anonymous} KiB anonymous, {all} KiB resident, the limit is {limit} KiB; {served} served, {errors} errors"
    );
    Ok(if anonymous > limit { Verdict::Broken(text) } else { Verdict::Held(text) })
}

fn main() {
    run_case(|record, trouble| run(record, trouble).unwrap_or_else(Verdict::CouldNotRun))
}
