//! The memory of the program, as the kernel reports it, while answers wait behind slow requests.

mod harness;

use harness::{CONFIG, MemberAction, Program, READ, WRITE, connect_client, run_with_config};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// The smallest limits of the platform.
const MEMORY_MIB: u64 = 32;
const SOCKETS: usize = 256;
/// Fewer connections than clients may hold for requests under these limits.
const CLIENTS: usize = 60;
/// The reads that each client sends at once behind its write.
const READS: usize = 16;
/// The longest value that is read with its row.
const VALUE_BYTES: usize = 64 * 1024;
/// So many answers take more memory than the limit.
const ANSWERS_OVER_LIMIT: usize = 600;
/// The writes are answered after this time, or once [`ANSWERS_OVER_LIMIT`] reads are.
const SLOW_WRITE: Duration = Duration::from_secs(2);

/// Time limit of the test. It does not take this long even on a slow machine, unless an answer never arrives.
const TEST_TIMEOUT: Duration = Duration::from_secs(100);

/// What members have done so far.
#[derive(Clone)]
struct Members {
    /// Closed until the writes may be answered.
    gate: Rc<Semaphore>,
    answered_reads: Rc<Cell<usize>>,
}

impl Members {
    async fn respond(self, statement: String) -> MemberAction {
        if statement.contains("INSERT") {
            let _ = self.gate.acquire().await.expect("semaphore is open");
            return MemberAction::Row("written".into());
        }
        self.answered_reads.set(self.answered_reads.get() + 1);
        MemberAction::Row("v".repeat(VALUE_BYTES))
    }
}

/// The commands of a client: a write, and reads of other keys behind it.
fn statements(client: usize) -> Vec<String> {
    let write = WRITE.replace("id=a2", &format!("id=w{client}")).replace("'aa'", &format!("'w{client}'"));
    let reads = (0..READS).map(|read| {
        let statement = READ.replace("id=a1", &format!("id=r{client}.{read}"));
        statement.replace("'aa'", &format!("'r{client}.{read}'"))
    });
    [write].into_iter().chain(reads).collect()
}

/// Reads messages up to the next ReadyForQuery; returns whether a row was among them.
async fn read_served(client: &mut TcpStream) -> bool {
    let mut is_served = false;
    loop {
        let message_type = client.read_u8().await.expect("read a message type");
        let length = client.read_u32().await.expect("read a length") as usize;
        client.read_exact(&mut vec![0; length - 4]).await.expect("read a message");
        match message_type {
            b'D' => is_served = true,
            b'Z' => return is_served,
            _ => {}
        }
    }
}

/// Connects a client, which sends its statements at once.
async fn connect(address: SocketAddr, client: usize) -> TcpStream {
    let statements = statements(client);
    let statements: Vec<&str> = statements.iter().map(String::as_str).collect();
    connect_client(address, &statements).await
}

/// Reads the answers of a client; returns how many of its statements were served.
async fn count_served(mut client: TcpStream) -> usize {
    let mut served = 0;
    for _ in 0..=READS {
        served += usize::from(read_served(&mut client).await);
    }
    served
}

/// Opens the gate when it is time, and measures the program until all clients are done. Returns the largest memory of
/// the program's own, in KiB.
async fn measure_peak(program: &Program, members: &Members, is_done: impl Fn() -> bool) -> u64 {
    let started = Instant::now();
    let mut peak = 0;
    while !is_done() {
        peak = peak.max(program.memory_kib("RssAnon"));
        let is_time = members.answered_reads.get() >= ANSWERS_OVER_LIMIT || started.elapsed() >= SLOW_WRITE;
        if is_time && members.gate.available_permits() == 0 {
            members.gate.add_permits(CLIENTS);
        }
        sleep(Duration::from_millis(5)).await;
    }
    peak
}

/// Guards against answers that gather behind slow requests until the platform kills the proxy for its memory, and
/// against a proxy that keeps within it by not serving.
#[test]
fn answers_behind_slow_writes_keep_within_the_memory_limit() {
    let members = Members { gate: Rc::new(Semaphore::new(0)), answered_reads: Rc::default() };
    let limits = format!("\"memory_mb\": {MEMORY_MIB}, \"sockets\": {SOCKETS}");
    let config = CONFIG.replace("\"memory_mb\": 192, \"sockets\": 1024", &limits);
    assert!(config.contains(&limits));
    let responding = members.clone();
    let respond = move |_, statement| responding.clone().respond(statement);
    run_with_config("response-memory", &config, respond, |address, program| async move {
        let mut clients = Vec::new();
        for client in 0..CLIENTS {
            clients.push(spawn_local(count_served(connect(address, client).await)));
        }
        let is_done = || clients.iter().all(JoinHandle::is_finished);
        let measured = timeout(TEST_TIMEOUT, measure_peak(&program, &members, is_done)).await;
        let log = || program.log.lock().expect("lock log").clone();
        let Ok(peak) = measured else { panic!("not complete after {TEST_TIMEOUT:?}, log: {}", log()) };
        assert!(peak <= MEMORY_MIB * 1_024, "{peak} KiB of {MEMORY_MIB} MiB");
        let mut served = 0;
        for client in clients {
            served += client.await.unwrap_or_else(|error| panic!("{error}, log: {}", log()));
        }
        assert_eq!(served, CLIENTS * (READS + 1));
    });
}
