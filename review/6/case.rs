//! Case 6: a cancelled attempt of a keyed write arrives whole later, after its repeat and after the window of its key.

use review_standins_2::client::{Answer, Client, wait_until_ready};
use review_standins_2::discovery::{Discovery, Entry, list_json};
use review_standins_2::member::{Arrivals, Member, Reply, SlowReads};
use review_standins_2::process::Process;
use review_standins_2::settings::{Class, Site};
use review_standins_2::{Record, TemporaryFolder, Verdict, free_address, run_case, sleep_ms, unix_ms, wire};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(3);
const LONG_BYTES: usize = 1 << 20;
const ROUNDS: usize = 6;
/// 16 pieces: the primary takes 4.6 s for the first sending of each long write.
const PIECE_BYTES: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(290);

/// One application of a write.
struct Run {
    id: String,
    at: Instant,
}

/// The writes that the group has applied, by key. It drops a repeat within the window of the first run.
type Applied = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

fn apply(applied: &Applied, statement: &str, record: &Record) {
    let (Some(id), Some(key)) = (wire::field(statement, "id"), wire::field(statement, "k")) else { return };
    let mut applied = applied.lock().unwrap();
    let runs = applied.entry(key.to_string()).or_default();
    let is_repeat = runs.last().is_some_and(|run| run.at.elapsed() <= WINDOW + Duration::from_millis(50));
    if is_repeat {
        return record.line(format!("group: repeat of key {key} dropped, id={id}"));
    }
    if let Some(first) = runs.first() {
        record.line(format!(
            "group: key {key} APPLIED AGAIN, id={id}, {:.3} s after the first run",
            first.at.elapsed().as_secs_f64()
        ));
    }
    runs.push(Run { id: id.to_string(), at: Instant::now() });
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = TemporaryFolder::create();
    let (arrivals, applied) = (Arrivals::default(), Applied::default());
    let slow_reads = Arc::new(SlowReads {
        left: AtomicUsize::new(0),
        longer_than: 256 * 1024,
        piece_bytes: PIECE_BYTES,
        pause: PAUSE,
    });
    let members: Vec<Member> = (1..=3)
        .map(|number| {
            let (applied, recorded, slow) =
                (applied.clone(), record.clone(), (number == 1).then(|| slow_reads.clone()));
            Member::start_with(
                &format!("m-{number}"),
                number == 1,
                &arrivals,
                record,
                slow,
                unix_ms,
                move |statement| {
                    if statement.contains("INSERT") && number != 1 {
                        return Reply::error("25006");
                    }
                    if statement.contains("INSERT") {
                        apply(&applied, statement, &recorded);
                    }
                    Reply::row(b"done", Duration::from_millis(45))
                },
            )
        })
        .collect();
    let entries: Vec<Entry> = members.iter().map(|m| Entry::in_service(&m.name, m.address, "a")).collect();
    let discovery = Discovery::start(1, entries.clone(), record);
    let class = |name, semantics, read_level, bound, give_up, slo| Class {
        name,
        semantics,
        read_level,
        bound,
        give_up,
        slo,
    };
    let site = Site {
        classes: vec![
            class("price-lookup", "read_like", "lag_bound", 500_000, 750_000, 300_000),
            class("basket-read", "read_like", "causal", 0, 1_200_000, 300_000),
            class("sale-record", "idempotency_key", "mutate", 0, 5_000_000, 600_000),
        ],
        window: WINDOW.as_micros() as u64,
        late_worth: 0.5,
        fleet_size: 1,
        ..Site::first()
    };
    let listen = free_address();
    let config = folder.0.join("config.json");
    let text = site.config("n1", listen, discovery.address, &list_json(1, true, &entries));
    std::fs::write(&config, text).map_err(|error| error.to_string())?;
    let _proxy = Process::start(
        &folder.0,
        "n1",
        "",
        &[("LB_CONFIG", &config.display().to_string()), ("RUST_LOG", "debug")],
    )?;
    if !wait_until_ready(listen, Duration::from_secs(12)) {
        return Err("the proxy is not ready".into());
    }
    // Short writes of other clients, each with a key of its own.
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..3)
        .map(|number| {
            let stop = stop.clone();
            thread::spawn(move || {
                let (mut client, mut served) = (Client::connect(listen).ok(), 0);
                for count in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let statement = format!(
                        "/* id=s-{number}-{count},c=sale-record,d=4900,k={number:04x}{count:012x},cluster=1 */ INSERT INTO state (uid, val) VALUES ('s-{number}-{count}', 'x') RETURNING val"
                    );
                    let answer = client.as_mut().map(|client| client.ask(&statement));
                    served += usize::from(matches!(answer, Some(Answer::Served(_))));
                    if !matches!(answer, Some(Answer::Served(_) | Answer::Error(_))) {
                        client = Client::connect(listen).ok();
                    }
                    sleep_ms(25);
                }
                served
            })
        })
        .collect();
    sleep_ms(2_000);
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        slow_reads.left.store(usize::from(trouble), Ordering::SeqCst);
        let key = format!("ff{round:014x}");
        let value = "v".repeat(LONG_BYTES);
        let statement = format!(
            "/* id=long-{round},c=sale-record,d=4900,k={key},cluster=1 */ INSERT INTO state (uid, val) VALUES ('long-{round}', '{value}') RETURNING val"
        );
        let mut client = Client::connect(listen).map_err(|error| error.to_string())?;
        let begun = Instant::now();
        let answer = client.ask(&statement);
        record.line(format!(
            "client: long-{round} {} after {:.3} s",
            answer.text(),
            begun.elapsed().as_secs_f64()
        ));
        answers.push(answer);
        // Until what is on its way has arrived.
        thread::sleep(Duration::from_millis(7_000).saturating_sub(begun.elapsed()));
    }
    stop.store(true, Ordering::SeqCst);
    let short: usize = others.into_iter().map(|other| other.join().unwrap_or(0)).sum();
    let applied = applied.lock().unwrap();
    let twice: Vec<String> = applied
        .iter()
        .filter(|(_, runs)| runs.len() > 1)
        .map(|(key, runs)| {
            format!("{} (key {key}) {:.3} s apart", runs[0].id, (runs[1].at - runs[0].at).as_secs_f64())
        })
        .collect();
    let served = answers.iter().filter(|answer| matches!(answer, Answer::Served(_))).count();
    let text = format!(
        "{ROUNDS} long writes, {served} served; {short} short ones served; applied twice: {}",
        twice.len()
    );
    twice.iter().for_each(|line| record.line(format!("applied twice: {line}")));
    if short < 100 || served == 0 {
        return Err(text);
    }
    Ok(if twice.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

fn main() {
    run_case(|record, trouble| run(record, trouble).unwrap_or_else(Verdict::CouldNotRun))
}
