//! Case 7: a client that sends many commands at once and takes 4 s before it reads is cut off with requests unanswered.

use review_standins_2::client::{Answer, Client, wait_until_ready};
use review_standins_2::discovery::{Discovery, Entry, list_json};
use review_standins_2::member::{Arrivals, Member, Reply};
use review_standins_2::process::Process;
use review_standins_2::settings::Site;
use review_standins_2::{Record, TemporaryFolder, Verdict, free_address, run_case, sleep_ms, unix_ms};
use std::thread;
use std::time::Duration;

const COMMANDS: usize = 120;
/// Below the 64 KiB that a usual value has at most.
const VALUE_BYTES: usize = 60_000;
const PAUSE_MS: u64 = 4_000;

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = TemporaryFolder::create();
    let arrivals = Arrivals::default();
    let members: Vec<Member> = (1..=3)
        .map(|number| {
            let answer = |_: &str| Reply::row(&vec![b'v'; VALUE_BYTES], Duration::from_millis(5));
            Member::start(&format!("m-{number}"), number == 1, &arrivals, record, unix_ms, answer)
        })
        .collect();
    let entries: Vec<Entry> = members.iter().map(|m| Entry::in_service(&m.name, m.address, "a")).collect();
    let discovery = Discovery::start(1, entries.clone(), record);
    let mut site = Site { fleet_size: 1, ..Site::first() };
    site.classes[0].give_up = 6_000_000;
    let listen = free_address();
    let config = folder.0.join("config.json");
    let text = site.config("n1", listen, discovery.address, &list_json(1, true, &entries));
    std::fs::write(&config, text).map_err(|error| error.to_string())?;
    let proxy = Process::start(&folder.0, "n1", "", &[("LB_CONFIG", &config.display().to_string())])?;
    if !wait_until_ready(listen, Duration::from_secs(12)) {
        return Err("the proxy is not ready".into());
    }
    let mut client = Client::connect(listen).map_err(|error| error.to_string())?;
    let mut writing = client.handle();
    let writer = thread::spawn(move || {
        for number in 1..=COMMANDS {
            let statement = format!(
                "/* id=q-{number},c=list-read,d=5900,cluster=1 */ SELECT val FROM state WHERE uid = 'u{number}'"
            );
            if writing.send(&statement).is_err() {
                return number - 1;
            }
        }
        COMMANDS
    });
    if trouble {
        sleep_ms(PAUSE_MS);
    }
    let mut counts = [0; 3];
    for number in 1..=COMMANDS {
        let answer = client.receive();
        record.line(format!("client: answer {number}: {}", answer.text()));
        match answer {
            Answer::Served(value) if value.len() == VALUE_BYTES => counts[0] += 1,
            Answer::Error(_) => counts[1] += 1,
            _ => {
                counts[2] = COMMANDS - number + 1;
                break;
            }
        }
    }
    let sent = writer.join().unwrap_or(0);
    for line in proxy.log_text().lines().filter(|line| line.contains("closed client")) {
        record.line(format!("log: {line}"));
    }
    let [served, refused, never] = counts;
    let text = format!(
        "{sent} commands written, {served} served, {refused} refused or failed, {never} never answered"
    );
    Ok(if never == 0 { Verdict::Held(text) } else { Verdict::Broken(text) })
}

fn main() {
    run_case(|record, trouble| run(record, trouble).unwrap_or_else(Verdict::CouldNotRun))
}
