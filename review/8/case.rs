//! Case 8: where the proxy keeps the sessions' commits, the commit of a write with a long answer is not kept.

use review_standins_2::client::{Answer, Client, wait_until_ready};
use review_standins_2::discovery::{Discovery, Entry, list_json};
use review_standins_2::member::{Arrivals, Member, Reply};
use review_standins_2::process::Process;
use review_standins_2::settings::Site;
use review_standins_2::{Record, TemporaryFolder, Verdict, free_address, run_case, sleep_ms, unix_ms, wire};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How far a replica that applies the log slowly is behind.
const SLOW_LAG_MS: u64 = 4_000;
/// How far the others are behind.
const USUAL_LAG_MS: u64 = 10;
const SHORT_BYTES: usize = 64;
const LONG_BYTES: usize = 100_000;
const ROUNDS: usize = 8;

/// The log of the group: commit, key and value of each write, in order.
type Log = Arc<Mutex<Vec<(u64, String, Vec<u8>)>>>;

/// The value of a key as a member sees it that has applied the log up to `position`.
fn value_at(log: &Log, key: &str, position: u64) -> Vec<u8> {
    let log = log.lock().unwrap();
    let seen = log.iter().rev().find(|(commit, written, _)| written == key && *commit <= position);
    seen.map(|(_, _, value)| value.clone()).unwrap_or_default()
}

fn start_member(number: usize, lag: u64, log: &Log, arrivals: &Arrivals, record: &Record) -> Member {
    let is_primary = number == 1;
    let position = move || if is_primary { unix_ms() } else { unix_ms() - lag };
    let log = log.clone();
    Member::start(&format!("m-{number}"), is_primary, arrivals, record, position, move |statement| {
        let quoted = wire::quoted(statement);
        if !statement.contains("INSERT") {
            let at = position();
            let value = value_at(&log, quoted[0], at);
            return Reply { lsn_ms: Some(at), ..Reply::row(&value, Duration::from_millis(10)) };
        }
        if !is_primary {
            return Reply::error("25006");
        }
        let mut log = log.lock().unwrap();
        let commit = unix_ms();
        log.push((commit, quoted[0].to_string(), quoted[1].as_bytes().to_vec()));
        Reply { lsn_ms: Some(commit), ..Reply::row(quoted[1].as_bytes(), Duration::from_millis(10)) }
    })
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = TemporaryFolder::create();
    let (arrivals, log) = (Arrivals::default(), Log::default());
    let lag = if trouble { SLOW_LAG_MS } else { USUAL_LAG_MS };
    let members: Vec<Member> =
        (1..=3).map(|number| start_member(number, lag, &log, &arrivals, record)).collect();
    let entry = |member: &Member| Entry {
        recovery: Some(if member.name == "m-1" { "off" } else { "on" }),
        ..Entry::in_service(&member.name, member.address, "a")
    };
    let entries: Vec<Entry> = members.iter().map(entry).collect();
    let discovery = Discovery::start(1, entries.clone(), record);
    let site = Site {
        discovery: "pushed",
        drain_grace: 250_000,
        server_checks: "off",
        write_marks: "kept",
        shows_role: "trailing",
        fleet_size: 1,
        ..Site::first()
    };
    let listen = free_address();
    let config = folder.0.join("config.json");
    let text = site.config("n1", listen, discovery.address, &list_json(1, true, &entries));
    std::fs::write(&config, text).map_err(|error| error.to_string())?;
    let _proxy = Process::start(&folder.0, "n1", "", &[("LB_CONFIG", &config.display().to_string())])?;
    if !wait_until_ready(listen, Duration::from_secs(12)) {
        return Err("the proxy is not ready".into());
    }
    sleep_ms(1_000);
    let mut client = Client::connect(listen).map_err(|error| error.to_string())?;
    let mut stale = Vec::new();
    let (mut written, mut read) = (0, 0);
    for (kind, bytes) in [("short", SHORT_BYTES), ("long", LONG_BYTES)] {
        for round in 0..ROUNDS {
            let key = format!("{kind}-{round}");
            let value = format!("{key}:")
                .into_bytes()
                .into_iter()
                .chain(std::iter::repeat(b'v'))
                .take(bytes)
                .collect::<Vec<u8>>();
            let text = String::from_utf8_lossy(&value);
            let write = format!(
                "/* id=w-{key},c=order-write,d=4900,k={:016x},cluster=1 */ INSERT INTO state (uid, val) VALUES ('{key}', '{text}') RETURNING val",
                unix_ms() + round as u64
            );
            let answer = client.ask(&write);
            record.line(format!("write {key}: {}", answer.text()));
            if answer != Answer::Served(value.clone()) {
                continue;
            }
            written += 1;
            sleep_ms(300);
            let answer = client.ask(&format!(
                "/* id=r-{key},c=own-read,d=2900,cluster=1 */ SELECT val FROM state WHERE uid = '{key}'"
            ));
            record.line(format!("own read {key}: {}", answer.text()));
            let Answer::Served(seen) = answer else { continue };
            read += 1;
            if seen != value {
                let by = arrivals.all().into_iter().rev().find(|arrival| arrival.id == format!("r-{key}"));
                let by = by.map_or("nobody".to_string(), |arrival| arrival.member);
                record.line(format!(
                    "STALE: {key} was written and answered, its session's read at {by} does not see it"
                ));
                stale.push(key);
            }
        }
    }
    if written < ROUNDS || read == 0 {
        return Err(format!("only {written} writes and {read} reads were served"));
    }
    if stale.is_empty() {
        return Ok(Verdict::Held(format!("{written} writes, {read} reads of their sessions, all saw them")));
    }
    Ok(Verdict::Broken(format!(
        "{written} writes, {read} reads of their sessions, {} did not see them: {}",
        stale.len(),
        stale.join(" ")
    )))
}

fn main() {
    run_case(|record, trouble| run(record, trouble).unwrap_or_else(Verdict::CouldNotRun))
}
