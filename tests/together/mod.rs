//! A fleet of processes on loopback: keepers, proxies and members that count, with a stand-in network between every proxy or
//! keeper and each keeper.
#![allow(dead_code)] // Each test file uses its part.

use crate::harness::{self, Act, Program, encoded, file, peer, query};
use linenhill::pg::backend::Command as Sent;
use linenhill_standins::{NetworkFaults, Relay};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

pub const KEEPERS: usize = 3;
/// Connections at each member, over all proxies.
pub const WHOLE: usize = 6;
/// A state that must come has come by then, on the slowest machine.
pub const LONG: Duration = Duration::from_secs(120);

/// How long things hold, in milliseconds.
#[derive(Clone, Copy)]
pub struct Rules {
    pub lease: u64,
    pub membership: u64,
    pub drift_ppm: u64,
    pub outlives: u64,
    /// Members end a connection that is idle for so long.
    pub idle: u64,
    /// And answer after that.
    pub work: u64,
    /// What is bounded.
    pub bounds: Bounds,
}

/// The budgets that are declared.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Bounds {
    /// Connections at each member.
    Connections,
    /// Attempts in flight at each member, and admissions of the class `order`.
    Work,
}

/// Admissions a second, and at once.
pub const RATE: (u64, u64) = (60, 6);

pub const RULES: Rules = Rules {
    lease: 1_000,
    membership: 4_000,
    drift_ppm: 20_000,
    outlives: 2_500,
    idle: 800,
    work: 20,
    bounds: Bounds::Connections,
};
/// What ends soon outlives a lease by little: an overlap of leases shows.
pub const TIGHT: Rules = Rules { lease: 1_000, membership: 20_000, outlives: 600, idle: 150, ..RULES };

/// A member that counts the connections it has at once, as its kernel sees them.
#[derive(Default)]
pub struct Counted {
    pub open: RefCell<BTreeMap<u64, std::net::TcpStream>>,
    pub most: Cell<usize>,
    pub broken: RefCell<Vec<String>>,
    pub served: Cell<u64>,
    /// Attempts in flight here.
    pub flying: Cell<usize>,
    /// When each admitted write first came, and which.
    pub came: RefCell<(Vec<std::time::Instant>, std::collections::BTreeSet<String>)>,
}

/// An attempt in flight at a member, until it is answered or its connection is gone.
struct Flying(Rc<Counted>);

impl Drop for Flying {
    fn drop(&mut self) {
        self.0.flying.set(self.0.flying.get() - 1);
    }
}

impl Counted {
    /// How many connections the other side has not ended.
    pub fn now(&self) -> usize {
        let alive = |stream: &&std::net::TcpStream| match stream.peek(&mut [0]) {
            Ok(n) => n > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        };
        self.open.borrow().values().filter(alive).count()
    }

    /// An attempt begins.
    fn attempt(&self, statement: &str, rules: Rules) {
        if rules.bounds == Bounds::Connections {
            return;
        }
        let flying = self.flying.get();
        self.most.set(self.most.get().max(flying));
        if flying > WHOLE {
            self.broken.borrow_mut().push(format!("{flying} attempts in flight, of {WHOLE}"));
        }
        let id = statement.split('\'').nth(1).unwrap_or_default().to_string();
        let mut came = self.came.borrow_mut();
        if came.1.insert(id) {
            came.0.push(std::time::Instant::now());
        }
    }

    /// The most admissions beyond the rate in any window: more than the burst are too many, but for those that waited
    /// between their admission and their arrival.
    pub fn burst(&self) -> f64 {
        let (mut level, mut most, mut before) = (0.0f64, 0.0f64, None::<std::time::Instant>);
        for at in &self.came.borrow().0 {
            let passed = before.map_or(0.0, |b| (*at - b).as_secs_f64());
            level = (level - passed * RATE.0 as f64).max(0.0) + 1.0;
            (most, before) = (most.max(level), Some(*at));
        }
        most
    }

    pub fn note(&self, rules: Rules) {
        let now = self.now();
        if rules.bounds != Bounds::Connections {
            return;
        }
        self.most.set(self.most.get().max(now));
        if now > WHOLE {
            self.broken.borrow_mut().push(format!("{now} connections at once, of {WHOLE}"));
        }
    }
}

pub async fn member(listener: TcpListener, primary: bool, counted: Rc<Counted>, rules: Rules) {
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        let std = stream.into_std().expect("a socket");
        counted.open.borrow_mut().insert(number, std.try_clone().expect("a second handle"));
        counted.note(rules);
        let stream = TcpStream::from_std(std).expect("a socket");
        let counted = counted.clone();
        spawn_local(async move {
            let count = counted.clone();
            let act = move |statement: String| {
                let count = count.clone();
                async move {
                    count.served.set(count.served.get() + 1);
                    count.flying.set(count.flying.get() + 1);
                    let flying = Flying(count.clone());
                    count.attempt(&statement, rules);
                    sleep(Duration::from_millis(rules.work)).await;
                    drop(flying);
                    Act::Row("served".into())
                }
            };
            // Idle connections end here: what a stopped process holds can't outlast that.
            peer::serve_until_idle(stream, primary, act, Duration::from_millis(rules.idle)).await;
            counted.open.borrow_mut().remove(&number);
        });
    }
}

/// The relays from one instance to each keeper.
pub type Ways = Vec<Relay>;

pub struct Node {
    pub name: String,
    pub program: Option<Program>,
    pub ways: Ways,
    pub operator: PathBuf,
    pub stopped: bool,
}

pub struct World {
    pub keepers: Vec<Node>,
    pub proxies: Vec<Node>,
    pub config: PathBuf,
    /// The members.
    pub counted: Vec<Rc<Counted>>,
    pub folder: PathBuf,
    pub planted: Option<&'static str>,
    pub rules: Rules,
    /// The rate of each instance's clock, in millionths, where it is planted.
    pub clocks: BTreeMap<String, u64>,
    /// What may be out at once, as the operators' file has it.
    pub bounds: &'static str,
    pub history: Vec<String>,
    /// Where each proxy serves now.
    pub serving: Rc<RefCell<Vec<Option<SocketAddr>>>>,
    pub label: String,
}

pub async fn ways() -> Ways {
    let mut ways = Vec::new();
    for _ in 0..KEEPERS {
        ways.push(Relay::start().await.expect("a relay"));
    }
    ways
}

pub fn operator(name: &str, ways: &Ways, store: &str, rules: Rules, revision: u64, whole: usize) -> String {
    let keepers: String = ways
        .iter()
        .enumerate()
        .map(|(i, w)| format!("keeper {{ name: \"k{i}\" address: \"{}\" }}\n", w.address))
        .collect();
    let Rules { lease, membership, drift_ppm, outlives, .. } = rules;
    let held = format!("held {{ units: {whole} outlives_ms: {outlives} }} floor: 1");
    let budgets = match rules.bounds {
        Bounds::Connections => format!("budget {{ name: \"connections\" what: CONNECTIONS {held} }}"),
        Bounds::Work => format!(
            "budget {{ name: \"attempts\" what: ATTEMPTS {held} }}\nbudget {{ name: \"orders\" what: ADMISSIONS \
             class: \"order\" rate {{ per_second: {} burst: {} }} floor: 2 }}",
            RATE.0, RATE.1
        ),
    };
    format!(
        "cluster: \"test\"\nrevision: {revision}\ninstance {{ listen: \"127.0.0.1:0\" zone: \"{name}\" store: \"{store}\" }}\n{keepers}\
         terms {{ lease_ms: {lease} membership_ms: {membership} drift_ppm: {drift_ppm} }}\n\
         {budgets}\n"
    )
}

/// Starts a process and reads its log, up to the line that says where it listens.
pub fn start(mut command: Command, config: PathBuf) -> Option<Program> {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program");
    let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
    let said = Arc::new(Mutex::new(String::new()));
    let program = Program::of(child, config, said.clone());
    while !said.lock().expect("the log").contains(" listens on ") {
        let mut line = String::new();
        if !log.read_line(&mut line).is_ok_and(|n| n > 0) {
            return None;
        }
        said.lock().expect("the log").push_str(&line);
    }
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            said.lock().expect("the log").push_str(&(line + "\n"));
        }
    });
    Some(program)
}

pub fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenhill"));
    command.env("RUST_LOG", "info").env_remove("LB_DISCOVERY").env_remove("LB_NAME");
    command
}

impl World {
    pub async fn new(label: &str, proxies: usize, planted: Option<&'static str>) -> World {
        World::under(label, proxies, planted, RULES, BTreeMap::new()).await
    }

    /// A fleet whose operators bound what is out, by the text of their file; members count nothing there.
    pub async fn bounded(
        label: &str, proxies: usize, bounds: &'static str, planted: Option<&'static str>,
    ) -> World {
        World::made(label, proxies, planted, RULES, BTreeMap::new(), bounds).await
    }

    pub async fn under(
        label: &str, proxies: usize, planted: Option<&'static str>, rules: Rules,
        clocks: BTreeMap<String, u64>,
    ) -> World {
        World::made(label, proxies, planted, rules, clocks, "").await
    }

    async fn made(
        label: &str, proxies: usize, planted: Option<&'static str>, rules: Rules,
        clocks: BTreeMap<String, u64>, bounds: &'static str,
    ) -> World {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{label}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let (mut counted, mut at) = (Vec::new(), Vec::new());
        for _ in 0..if bounds.is_empty() { 1 } else { 3 } {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            at.push(listener.local_addr().expect("an address").to_string());
            counted.push(Rc::new(Counted::default()));
            let (primary, own) = (counted.len() == 1, counted[counted.len() - 1].clone());
            spawn_local(member(listener, primary, own, rules));
        }
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let told = discovery.local_addr().expect("an address").to_string();
        spawn_local(peer::discovery(discovery, r#"{"version":2,"full":false,"servers":[]}"#.to_string()));
        // One member, the primary: all work goes there. Where outages are bounded there are two replicas more.
        let mut one = harness::CONFIG.replace("127.0.0.1:8500", &told);
        for (i, at) in at.iter().enumerate() {
            one = one.replace(&format!("127.0.0.1:{}", 7001 + i), at);
        }
        if bounds.is_empty() {
            let from = one.find("  {\"id\": \"m-2\"").expect("the second member");
            let to = one.find("]},\n \"settings\"").expect("the end of the list");
            one = one[..from].trim_end().trim_end_matches(',').to_string() + &one[to..];
        } else {
            one = one.replacen("\"seed\"", "\"admin\": \"127.0.0.1:0\", \"seed\"", 1);
        }
        // Long work is no strain here, or the decisions would let less of it run at once.
        let one = if rules.work > 100 { one.replace("\"slo\": 500000", "\"slo\": 5000000") } else { one };
        let one = one.replace("\"idleClose\": 15000000", &format!("\"idleClose\": {}", rules.idle * 1_000));
        let config = file(&format!("{label}.json"), &one);
        let mut world = World {
            keepers: Vec::new(),
            proxies: Vec::new(),
            config,
            counted,
            folder,
            planted,
            rules,
            clocks,
            bounds,
            history: Vec::new(),
            serving: Rc::new(RefCell::new(Vec::new())),
            label: label.to_string(),
        };
        for i in 0..KEEPERS {
            let (name, ways) = (format!("k{i}"), ways().await);
            let store = world.folder.join(&name);
            let text = operator(&name, &ways, &store.display().to_string(), rules, 1, WHOLE) + bounds;
            let operator = file(&format!("{label}-{name}.textproto"), &text);
            world.keepers.push(Node { name, program: None, ways, operator, stopped: false });
        }
        (0..KEEPERS).for_each(|i| world.start_keeper(i, i == 0));
        for i in 0..proxies {
            world.add_proxy(&format!("p{i}")).await;
        }
        world
    }

    /// One more proxy, which may have a name that another one has.
    pub async fn add_proxy(&mut self, name: &str) {
        let (i, ways) = (self.proxies.len(), ways().await);
        let text = operator(name, &ways, "", self.rules, 1, WHOLE) + self.bounds;
        let operator = file(&format!("{}-{i}.textproto", self.label), &text);
        let name = name.to_string();
        self.proxies.push(Node { name, program: None, ways, operator, stopped: false });
        self.serving.borrow_mut().resize(i + 1, None);
        self.lead();
        self.start_proxy(i);
    }

    /// All relays lead to where the keepers listen now.
    pub fn lead(&self) {
        for (k, keeper) in self.keepers.iter().enumerate() {
            let Some(at) = keeper.program.as_ref().map(|p| p.address("listens on ")) else { continue };
            self.keepers.iter().chain(&self.proxies).for_each(|node| node.ways[k].set_target(at));
        }
    }

    pub fn start_keeper(&mut self, i: usize, found: bool) {
        let keeper = &mut self.keepers[i];
        let mut command = binary();
        command.args(["keep", "--name", &keeper.name, "--operator"]).arg(&keeper.operator);
        if found {
            command.arg("--found");
        }
        self.planted.iter().for_each(|name| _ = command.env("LINENHILL_PLANTED", name));
        self.clocks
            .get(&keeper.name)
            .iter()
            .for_each(|r| _ = command.env("LINENHILL_CLOCK_PPM", r.to_string()));
        keeper.stopped = false;
        keeper.program = start(command, keeper.operator.clone());
        self.lead();
    }

    pub fn start_proxy(&mut self, i: usize) {
        let proxy = &mut self.proxies[i];
        let mut command = binary();
        command.args(["serve", "--operator"]).arg(&proxy.operator).env("LB_CONFIG", &self.config);
        command.env("LB_LISTEN", "127.0.0.1:0").env("LB_NAME", &proxy.name);
        self.planted.iter().for_each(|name| _ = command.env("LINENHILL_PLANTED", name));
        self.clocks
            .get(&proxy.name)
            .iter()
            .for_each(|r| _ = command.env("LINENHILL_CLOCK_PPM", r.to_string()));
        proxy.stopped = false;
        proxy.program = start(command, self.config.clone());
        let at = proxy.program.as_ref().expect("a proxy starts").address(" listens on ");
        self.serving.borrow_mut()[i] = Some(at);
    }

    /// Clients that ask at every proxy, `many` at each at a time.
    pub fn clients(&self, many: usize) {
        self.clients_at(0..self.proxies.len(), many);
    }

    /// `many` at one proxy, for so many milliseconds.
    pub fn clients_for(&self, proxy: usize, many: usize, span: u64) {
        let stop = tokio::time::Instant::now() + Duration::from_millis(span);
        self.clients_until(proxy..proxy + 1, many, Some(stop));
    }

    pub fn clients_at(&self, proxies: std::ops::Range<usize>, many: usize) {
        self.clients_until(proxies, many, None);
    }

    fn clients_until(
        &self, proxies: std::ops::Range<usize>, many: usize, stop: Option<tokio::time::Instant>,
    ) {
        for i in proxies {
            for n in 0..many {
                let serving = self.serving.clone();
                spawn_local(async move {
                    for round in 0u64.. {
                        if stop.is_some_and(|stop| tokio::time::Instant::now() >= stop) {
                            return;
                        }
                        let at = serving.borrow()[i];
                        let id = format!("{i}x{n}x{round}");
                        if let Some(at) = at {
                            let _ = timeout(Duration::from_secs(2), ask(at, &id)).await;
                        }
                        sleep(Duration::from_millis(5)).await;
                    }
                });
            }
        }
    }

    /// One read at a proxy.
    pub async fn read_once(&self, i: usize, n: usize) {
        let at = self.serving.borrow()[i].expect("a proxy");
        let read = format!("/* id=l{i}x{n},c=list,d=900,cluster=1 */ SELECT val FROM state WHERE uid = 'a'");
        say(at, &read).await.expect("an answer");
    }

    /// One more proxy, that is part of no fleet.
    pub async fn start_alone(&mut self) {
        let mut command = binary();
        command.env("LB_CONFIG", &self.config).env("LB_LISTEN", "127.0.0.1:0");
        let program = start(command, self.config.clone());
        let at = program.as_ref().expect("a proxy starts").address(" listens on ");
        self.serving.borrow_mut().push(Some(at));
        let (name, operator) = ("alone".to_string(), self.proxies[0].operator.clone());
        self.proxies.push(Node { name, program, ways: ways().await, operator, stopped: false });
    }

    /// Clients that read at every proxy, `many` at each at a time.
    pub fn readers(&self, many: usize) {
        for n in 0..self.proxies.len() * many {
            let (serving, i) = (self.serving.clone(), n % self.proxies.len());
            spawn_local(async move {
                for round in 0u64.. {
                    let at = serving.borrow()[i];
                    let read = format!(
                        "/* id={n}r{round},c=list,d=900,cluster=1 */ SELECT val FROM state WHERE uid = 'a'"
                    );
                    if let Some(at) = at {
                        let _ = timeout(Duration::from_secs(2), say(at, &read)).await;
                    }
                    sleep(Duration::from_millis(5)).await;
                }
            });
        }
    }

    pub fn nodes(&mut self) -> impl Iterator<Item = &mut Node> {
        self.keepers.iter_mut().chain(&mut self.proxies)
    }

    pub async fn fault(&mut self, rng: &mut fastrand::Rng) {
        let (keeper, proxy) = (rng.usize(0..KEEPERS), rng.usize(0..self.proxies.len()));
        let all = KEEPERS + self.proxies.len();
        let (node, way) = (rng.usize(0..all), rng.usize(0..KEEPERS));
        let what = rng.u8(0..12);
        let said = match what {
            0 => {
                self.proxies[proxy].program = None;
                self.start_proxy(proxy);
                format!("p{proxy} killed and started")
            }
            1 => {
                self.keepers[keeper].program = None;
                self.start_keeper(keeper, false);
                format!("k{keeper} killed and started")
            }
            2 | 3 => {
                let node = &mut self.proxies[proxy];
                let stops = !std::mem::replace(&mut node.stopped, true);
                node.program.as_ref().filter(|_| stops).iter().for_each(|p| p.signal("-STOP"));
                format!("p{proxy} stopped")
            }
            4 => {
                let node = &mut self.keepers[keeper];
                let stops = !std::mem::replace(&mut node.stopped, true);
                node.program.as_ref().filter(|_| stops).iter().for_each(|p| p.signal("-STOP"));
                format!("k{keeper} stopped")
            }
            5 | 6 => {
                let node = self.nodes().nth(node).expect("a node");
                let (to, from) =
                    [(true, true), (true, false), (false, true)][usize::from(what) % 2 + way % 2];
                node.ways[way].change_faults(|faults| faults.hold(to, from));
                format!("{} to k{way} held {to} {from}", node.name)
            }
            7 => {
                let node = self.nodes().nth(node).expect("a node");
                node.ways[way].change_faults(|faults| faults.resets += 1);
                format!("{} to k{way} reset", node.name)
            }
            8 => {
                let node = self.nodes().nth(node).expect("a node");
                node.ways[way].change_faults(|faults| faults.delay = Duration::from_millis(300));
                format!("{} to k{way} slow", node.name)
            }
            _ => {
                self.heal();
                "all is well".to_string()
            }
        };
        self.history.push(said);
        sleep(Duration::from_millis(rng.u64(50..1_500))).await;
    }

    pub fn heal(&mut self) {
        for node in self.nodes() {
            if std::mem::take(&mut node.stopped) {
                node.program.iter().for_each(|p| p.signal("-CONT"));
            }
            for way in &node.ways {
                way.change_faults(|faults| {
                    *faults = NetworkFaults { resets: faults.resets, ..NetworkFaults::NONE }
                });
            }
        }
    }

    /// Waits until each proxy holds a lease, as the leader says.
    pub async fn settled(&self) {
        let wait = async {
            loop {
                let names: Vec<String> = self.proxies.iter().map(|p| p.name.clone()).collect();
                if let Some(status) = self.status().await
                    && names.iter().all(|n| status.contains(&format!("\"name\":\"{n}\"")))
                    && status.matches("\"holds\":true").count() >= names.len()
                {
                    return;
                }
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(LONG, wait).await.unwrap_or_else(|_| panic!("{:?} never settled", self.history));
    }

    /// What `fleet` prints for a proxy's file, if it is done.
    pub async fn fleet(&self, words: &[&str], file: PathBuf) -> Option<String> {
        let words: Vec<String> = words.iter().map(|w| w.to_string()).collect();
        let work = move || binary().arg("fleet").args(words).arg("--operator").arg(file).output();
        let done = tokio::task::spawn_blocking(work).await.ok()?.ok()?;
        done.status.success().then(|| String::from_utf8_lossy(&done.stdout).into_owned())
    }

    /// The same, until it is done.
    pub async fn must(&self, words: &[&str], file: PathBuf) {
        let done = async {
            while self.fleet(words, file.clone()).await.is_none() {
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(LONG, done).await.unwrap_or_else(|_| panic!("{words:?} was never done"));
    }

    pub async fn pause(&mut self, span: u64, what: String) -> Result<(), String> {
        self.history.push(what);
        sleep(Duration::from_millis(span)).await;
        self.check()
    }

    /// What `fleet status` prints, asked as operators do.
    pub async fn status(&self) -> Option<String> {
        self.fleet(&["status", "--json"], self.proxies.last()?.operator.clone()).await
    }

    pub fn check(&self) -> Result<(), String> {
        match self.counted[0].broken.borrow().first() {
            Some(broken) if self.bounds.is_empty() => Err(format!("{broken}, after {:?}", self.history)),
            _ => Ok(()),
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.heal();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub async fn ask(at: SocketAddr, id: &str) -> std::io::Result<()> {
    let write = format!(
        "/* id={id},c=order,d=900,k={id},cluster=1 */ INSERT INTO state VALUES ('{id}', 'x') RETURNING val"
    );
    say(at, &write).await
}

async fn say(at: SocketAddr, statement: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(&encoded(&[Sent::Startup, query(statement)])).await?;
    let mut got = Vec::new();
    // Welcome, then the answer: two readies.
    while got.windows(6).filter(|w| *w == b"Z\0\0\0\x05I").count() < 2 {
        let mut piece = [0; 1024];
        match stream.read(&mut piece).await? {
            0 => break,
            n => got.extend_from_slice(&piece[..n]),
        }
    }
    Ok(())
}

pub fn play<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(work))
}
