//! A soak test: real proxies with simulated members, discovery and clients, under overlapping random faults from one
//! seed. It is checked from outside by the platform's rules, and by the invariants that the proxies check themselves;
//! their metrics are not used.

pub mod client;
pub mod discovery;
pub mod judge;
pub mod member;
pub mod process;
pub mod schedule;
pub mod wire;

use client::Client;
use discovery::{Condition, Discovery};
use judge::{Counts, Judge, Violation};
use member::{Member, OpenAttempts};
use process::{Process, ProcessConfig};
use schedule::{Fault, Schedule, SoakSize};
use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Number of groups.
const GROUPS: usize = 3;
/// Members per group. The first one is the primary.
const GROUP_MEMBERS: usize = 3;
/// Clients per proxy.
const CLIENTS: usize = 3;
/// Fleet sizes in the proxies' settings; the seed selects one. The number of proxies is the minimum.
const FLEET_SIZES: [usize; 3] = [1, 300, 900];
/// Interval at which the lateness of the judge's thread is measured.
const LATENESS_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the last fault within which all open requests and connections must end.
const SETTLING_TIMEOUT: Duration = Duration::from_secs(12);
/// Duration of slow discovery.
const SLOW_DISCOVERY_DURATION: Duration = Duration::from_secs(5);
/// Time within which at least one request must be served after the last fault.
const PROGRESS_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of violations, and of log lines, in a report's text.
const PRINTED_MAX: usize = 12;

/// Configuration of a soak.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// Path of the proxy's executable.
    pub program: PathBuf,
    /// Template of the proxies' configuration; see [`ProcessConfig::template`].
    pub template: String,
    /// Directory for configurations and logs.
    pub folder: PathBuf,
    /// Seed for the faults and the clients' behaviour.
    pub seed: u64,
    /// Maximum time from the start of the soak to its last fault.
    pub length: Duration,
    /// Number of proxies.
    pub processes: usize,
}

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Scheduled faults.
    pub schedule: Schedule,
    /// Violated rules.
    pub violations: Vec<Violation>,
    /// Counters.
    pub counts: Counts,
    /// Log lines of the proxies about violated invariants or panics.
    pub invariant_lines: Vec<String>,
    /// Number of log lines about the list lease: confirmed, expired, sends withheld.
    pub lease_lines: usize,
}

impl SoakReport {
    /// Whether no rule was violated and at least one request was served.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.invariant_lines.is_empty() && self.counts.served > 0
    }

    /// Summary with the seed, the counters and the violations. Lists all faults if the soak failed.
    pub fn text(&self) -> String {
        let mut lines = vec![format!(
            "seed {}: {} faults, {:?}",
            self.schedule.seed,
            self.schedule.faults.len(),
            self.counts
        )];
        lines.push(format!(
            "{} violations, {} log lines about invariants or panics",
            self.violations.len(),
            self.invariant_lines.len()
        ));
        lines.extend(
            self.violations
                .iter()
                .take(PRINTED_MAX)
                .map(|violation| format!("  {}: {}", violation.rule, violation.text)),
        );
        lines.extend(self.invariant_lines.iter().take(PRINTED_MAX).map(|line| format!("  {line}")));
        if !self.is_clean() {
            let faults = self.schedule.faults.iter();
            lines.extend(faults.map(|(at, fault)| format!("  {:.3} s {fault}", at.as_secs_f64())));
        }
        lines.join("\n")
    }
}

/// Runs a soak to its end.
///
/// # Errors
/// Fails if a port, a file or a process cannot be opened.
pub fn run(config: SoakConfig) -> io::Result<SoakReport> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(run_soak(config)))
}

/// The simulated services, the proxies and the judge.
struct Soak {
    judge: Rc<Judge>,
    members: Vec<Rc<Member>>,
    discovery: Rc<Discovery>,
    processes: Vec<Rc<Process>>,
    is_over: Rc<Cell<bool>>,
}

async fn run_soak(config: SoakConfig) -> io::Result<SoakReport> {
    let size =
        SoakSize { processes: config.processes, members: GROUPS * GROUP_MEMBERS, length: config.length };
    let schedule = Schedule::draw(config.seed, size);
    let soak = Rc::new(Soak::prepare(&config, size).await?);
    spawn_local(measure_lateness(soak.judge.clone()));
    let starts = soak.processes.iter().map(|process| {
        let process = process.clone();
        spawn_local(async move { process.start().await })
    });
    for start in starts.collect::<Vec<_>>() {
        start.await.map_err(io::Error::other)??;
    }
    let clients = soak.start_clients(config.seed);
    let began = Instant::now();
    for (at, fault) in schedule.faults.clone() {
        sleep_until(began + at).await;
        spawn_local(soak.clone().inject(fault));
        soak.check_crashes();
    }
    soak.settle(clients).await;
    let patterns = ["violated", "panicked"];
    let invariant_lines = soak.processes.iter().flat_map(|process| process.log_lines(&patterns)).collect();
    let lease_lines = soak.processes.iter().map(|process| process.log_lines(&["list lease"]).len()).sum();
    Ok(SoakReport {
        schedule,
        violations: soak.judge.violations(),
        counts: soak.judge.counts(),
        invariant_lines,
        lease_lines,
    })
}

/// Measures how late the judge's own thread runs.
async fn measure_lateness(judge: Rc<Judge>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        sleep_until(due).await;
        judge.record_lateness(due.elapsed());
    }
}

impl Soak {
    async fn prepare(config: &SoakConfig, size: SoakSize) -> io::Result<Soak> {
        let judge = Rc::new(Judge::new(size.processes, size.members));
        let open = Rc::new(OpenAttempts::default());
        let mut members = Vec::new();
        for index in 0..size.members {
            let group = index / GROUP_MEMBERS;
            let is_primary = index % GROUP_MEMBERS == 0;
            let member = Member::start(index, group, is_primary, size.processes, judge.clone(), open.clone());
            members.push(member.await?);
        }
        let discovery = Discovery::start(members.clone(), size.processes, judge.clone()).await?;
        std::fs::create_dir_all(&config.folder)?;
        let process_config = Rc::new(ProcessConfig {
            program: config.program.clone(),
            template: config.template.clone(),
            folder: config.folder.clone(),
            processes: size.processes,
            fleet_size: FLEET_SIZES[config.seed as usize % FLEET_SIZES.len()].max(size.processes),
        });
        let process = |index| Process::new(index, process_config.clone(), discovery.clone(), judge.clone());
        let processes = (0..size.processes).map(process).collect();
        Ok(Soak { judge, members, discovery, processes, is_over: Rc::default() })
    }

    fn start_clients(&self, seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xc11e);
        let next_id = Rc::new(Cell::new(1));
        let mut clients = Vec::new();
        for process in &self.processes {
            for _ in 0..CLIENTS {
                let client = Client {
                    process: process.clone(),
                    judge: self.judge.clone(),
                    next_id: next_id.clone(),
                    groups: GROUPS,
                    is_over: self.is_over.clone(),
                    rng: rng.fork(),
                };
                clients.push(spawn_local(client.run()));
            }
        }
        clients
    }

    fn check_crashes(&self) {
        for process in self.processes.iter().filter(|process| process.has_crashed()) {
            self.judge.record_violation("crash", format!("proxy {} exited unexpectedly", process.index));
            process.kill();
        }
    }

    async fn inject(self: Rc<Soak>, fault: Fault) {
        match fault {
            Fault::Kill { process, downtime } => self.restart(process, Some(downtime)).await,
            Fault::Terminate { process } => self.restart(process, None).await,
            Fault::Suspend { process, length } if self.processes[process].is_running() => {
                self.processes[process].suspend(length).await;
            }
            Fault::Suspend { .. } => {}
            Fault::Drain { member, return_after, is_removed } => {
                self.drain(member, return_after, is_removed).await
            }
            Fault::Hang { member, length } => {
                self.members[member].hangs_until.set(Some(Instant::now() + length));
            }
            Fault::Reset { member } => self.members[member].resets.send_modify(|resets| *resets += 1),
            Fault::DiscoveryDown { length } => self.disturb_discovery(Condition::Down, length).await,
            Fault::DiscoveryOverloaded { length } => {
                self.disturb_discovery(Condition::Overloaded, length).await
            }
            Fault::DiscoverySlow { delay } => {
                self.disturb_discovery(Condition::Serving(delay), SLOW_DISCOVERY_DURATION).await
            }
            Fault::WatchesStalled => self.discovery.stall_watches(),
            Fault::WatchesReset => self.discovery.reset_watches(),
        }
    }

    async fn restart(&self, process: usize, downtime: Option<Duration>) {
        let process = &self.processes[process];
        // A proxy that is down or stopping is restarted by the fault that ended it.
        if !process.is_running() || process.terminated_at.get().is_some() {
            return;
        }
        match downtime {
            Some(downtime) => {
                process.kill();
                sleep(downtime).await;
            }
            None => process.terminate().await,
        }
        if let Err(error) = process.start().await {
            self.judge.record_violation("start", error.to_string());
        }
    }

    /// Takes a member out of service and returns it later. Has no effect on a member that is already out of service.
    async fn drain(&self, member: usize, return_after: Duration, is_removed: bool) {
        if !self.discovery.is_in_service(member) {
            return;
        }
        self.discovery.change_member(member, if is_removed { "terminated" } else { "terminating" });
        sleep(return_after).await;
        self.members[member].resets.send_modify(|resets| *resets += 1);
        self.discovery.change_member(member, "in_service");
    }

    /// Changes how discovery handles calls for this duration. Has no effect during another disturbance.
    async fn disturb_discovery(&self, condition: Condition, length: Duration) {
        let normal = Condition::Serving(Duration::ZERO);
        if self.discovery.condition.get() != normal {
            return;
        }
        self.discovery.set_condition(condition);
        sleep(length).await;
        self.discovery.set_condition(normal);
    }

    /// After the last fault, waits until open requests have ended, checks that requests are served, and stops clients
    /// and proxies.
    async fn settle(&self, clients: Vec<tokio::task::JoinHandle<()>>) {
        sleep(SETTLING_TIMEOUT).await;
        self.check_crashes();
        let before = self.judge.counts().served;
        sleep(PROGRESS_WINDOW).await;
        if self.judge.counts().served == before {
            self.judge.record_violation(
                "progress",
                format!("no request was served within {PROGRESS_WINDOW:?}, {SETTLING_TIMEOUT:?} after the last fault"),
            );
        }
        self.is_over.set(true);
        for client in clients {
            let _ = timeout(SETTLING_TIMEOUT, client).await;
        }
        self.processes.iter().for_each(|process| process.kill());
    }
}
