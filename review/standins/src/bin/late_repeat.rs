//! A keyed write with a long value whose first attempt ran and whose connection was reset; the repeat is read slowly by
//! the primary. The repeat must reach it within the window in which it drops repeats.

use review_standins::client::{Answer, Client, wait_until_ready};
use review_standins::discovery::{Discovery, Entry, list};
use review_standins::member::{answer, health, notes};
use review_standins::process::{Process, folders, free_address, limit_time, run_command, write_config};
use review_standins::record::Record;
use review_standins::{has_trouble, unix_ms, wire};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The window for repeats of the class `sale-record`, as in the configuration, and the platform's slack on every time
/// limit.
const WINDOW: Duration = Duration::from_millis(3_000);
const SLACK: Duration = Duration::from_millis(50);
/// Size of a written value, the largest that the pages name; its statement holds it in hexadecimal, more than the
/// systems of both sides hold back, so that the last byte can't arrive before the primary reads on.
const VALUE_BYTES: usize = 4 << 20;
/// Time after which the connection of the first attempt is reset.
const RESET_AFTER: Duration = Duration::from_millis(400);
/// How the primary reads a repeat: its first bytes, a pause, and the rest at once.
const FIRST_BYTES: usize = 256;
const PAUSE: Duration = Duration::from_millis(3_200);
/// Number of writes.
const WRITES: usize = 6;

/// A key at the group: when its first attempt was read whole and ran, and how often it ran.
struct KeyState {
    first_ran: Instant,
    runs: u32,
}

struct Group {
    record: Record,
    keys: Mutex<BTreeMap<String, KeyState>>,
    /// Repeats that ran again, and how long after the window.
    broken: Mutex<Vec<(String, Duration)>>,
}

impl Group {
    fn has_run(&self, key: &str) -> bool {
        self.keys.lock().expect("lock the keys").contains_key(key)
    }

    /// Runs a write whose last byte has arrived, or drops it as a repeat. Returns whether it is the first.
    fn run(&self, key: &str) -> bool {
        let now = Instant::now();
        let mut keys = self.keys.lock().expect("lock the keys");
        let Some(state) = keys.get_mut(key) else {
            self.record.line(format!("m-1 ran key {key}"));
            keys.insert(key.to_string(), KeyState { first_ran: now, runs: 1 });
            return true;
        };
        let age = now - state.first_ran;
        if age <= WINDOW + SLACK {
            self.record.line(format!("m-1 dropped a repeat of key {key}, {age:?} after the first run"));
            return false;
        }
        state.runs += 1;
        self.record.line(format!(
            "m-1 BROKEN: ran key {key} again, {age:?} after the first run, run {}",
            state.runs
        ));
        self.broken.lock().expect("lock the list").push((key.to_string(), age));
        false
    }
}

/// Reads a message; one that repeats a key is read with a pause.
fn read_statement(group: &Group, stream: &mut TcpStream) -> io::Result<String> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4;
    if head[0] != b'Q' {
        return Err(io::Error::other("not a query"));
    }
    let mut body = vec![0; length];
    let start = length.min(FIRST_BYTES);
    stream.read_exact(&mut body[..start])?;
    let key = wire::field(&String::from_utf8_lossy(&body[..start]), "k").unwrap_or("").to_string();
    if has_trouble() && group.has_run(&key) {
        group.record.line(format!("m-1 reads the repeat of key {key} slowly"));
        thread::sleep(PAUSE);
    }
    stream.read_exact(&mut body[start..])?;
    body.pop();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn serve(group: &Group, is_primary: bool, mut stream: TcpStream) -> io::Result<()> {
    wire::read_startup(&mut stream)?;
    wire::open_session(&mut stream)?;
    loop {
        let statement = read_statement(group, &mut stream)?;
        let now = unix_ms();
        let notes = notes(is_primary, now, 0.3);
        if statement == "SHOW health" {
            stream.write_all(&answer(health(is_primary, now, 0.3).as_bytes(), &notes))?;
        } else if statement.contains("INSERT") && !is_primary {
            stream.write_all(&[wire::error("25006"), notes, wire::ready()].concat())?;
        } else if let Some(key) = wire::field(&statement, "k") {
            if group.run(key) {
                // It has run; its connection breaks before the answer.
                thread::sleep(RESET_AFTER);
                group.record.line(format!("m-1 ends the connection of key {key} without an answer"));
                return Ok(());
            }
            stream.write_all(&answer(b"\x01", &notes))?;
        } else {
            stream.write_all(&answer(b"value", &notes))?;
        }
    }
}

fn start_member(group: &Arc<Group>, is_primary: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let group = group.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let group = group.clone();
            thread::spawn(move || serve(&group, is_primary, stream));
        }
    });
    Ok(address)
}

fn run() -> io::Result<i32> {
    let (case, temporary) = folders()?;
    let record = Record::create(&case.join("record.txt"))?;
    let group = Arc::new(Group { record: record.clone(), keys: Mutex::default(), broken: Mutex::default() });
    let mut entries = Vec::new();
    for (index, name) in ["m-1", "m-2", "m-3"].into_iter().enumerate() {
        let address = start_member(&group, index == 0)?;
        entries.push(Entry { id: name.into(), address });
    }
    let known = list(&entries);
    let discovery = Discovery::start(&entries)?;
    let listen = free_address()?;
    let config = temporary.join("config.json");
    let window = format!("\"window\": {}, \"points\": 3.0, \"lateWorth\": 0.5", WINDOW.as_micros());
    // The classes and limits of `kerval-caisses`, as far as the case uses them.
    let replacements = [
        ("\"window\": 5000000, \"points\": 4.0, \"lateWorth\": 0.7", window.as_str()),
        (
            "\"name\": \"order-write\", \"giveUp\": 5000000, \"slo\": 500000",
            "\"name\": \"sale-record\", \"giveUp\": 5000000, \"slo\": 600000",
        ),
        (
            "\"name\": \"list-read\", \"giveUp\": 3000000, \"slo\": 800000",
            "\"name\": \"price-lookup\", \"giveUp\": 750000, \"slo\": 300000",
        ),
        (
            "\"name\": \"own-read\", \"giveUp\": 3000000, \"slo\": 800000",
            "\"name\": \"basket-read\", \"giveUp\": 1200000, \"slo\": 300000",
        ),
        ("\"classBound\": [3000000, 0, 0]", "\"classBound\": [500000, 0, 0]"),
        ("\"maxAttempts\": 6", "\"maxAttempts\": 8"),
        ("\"wait\": 50000", "\"wait\": 100000"),
        ("\"synchronous\": true", "\"synchronous\": false"),
        ("\"fallMultiple\": 3.0", "\"fallMultiple\": 2.0"),
    ];
    write_config(&config, "n1", listen, discovery.address, &known, &replacements)?;
    let variables = [("LB_CONFIG", config.display().to_string())];
    let _proxy = Process::start(&run_command()?, "n1", &temporary, &variables)?;
    if !wait_until_ready(listen, Duration::from_secs(15)) {
        record.say("the proxy did not become ready");
        return Ok(2);
    }
    let mut client = Client::connect(listen, Duration::from_secs(10))?;
    // Reads first, so that the proxy has met the members.
    for number in 0..30 {
        let answer = client.ask(&format!(
            "/* id=r{number},c=price-lookup,d=750,cluster=1 */ SELECT val FROM state WHERE uid = '{number:016x}'"
        ))?;
        record.line(format!("r{number}: {answer:?}"));
    }
    let mut served = 0;
    for number in 0..WRITES {
        let key = format!("{:016x}", 0xabc0 + number);
        let value = "5a".repeat(VALUE_BYTES);
        record.line(format!("client sent write {number}, key {key}"));
        let outcome = client.ask(&format!(
            "/* id=w{number},c=sale-record,d=5000,k={key},cluster=1 */ INSERT INTO state (uid, val) VALUES ('{key}', '\\x{value}') RETURNING val"
        ));
        record.line(format!("write {number} was answered: {outcome:?}"));
        served += u32::from(matches!(outcome, Ok(Answer::Value(_))));
        if outcome.is_err() {
            client = Client::connect(listen, Duration::from_secs(10))?;
        }
    }
    let broken = group.broken.lock().expect("lock the list").clone();
    let keys = group.keys.lock().expect("lock the keys").len();
    record
        .say(format!("{served} of {WRITES} writes served, {keys} keys ran, {} of them twice", broken.len()));
    if keys < WRITES {
        record.say("too few writes ran for a verdict");
        return Ok(2);
    }
    Ok(i32::from(!broken.is_empty()))
}

fn main() {
    limit_time(Duration::from_secs(100));
    let code = run().unwrap_or_else(|error| {
        println!("the case could not run: {error}");
        2
    });
    std::process::exit(code);
}
