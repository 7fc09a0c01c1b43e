//! Starts, restarts and stops the processes of a fleet and its members.

use super::counting_member::{MemberCounts, run_member};
use super::fleet_commands::linenhill_command;
use super::instance::{Instance, start_relays};
use super::operator_file::{OperatorFile, Terms};
use super::{KEEPERS, MEMBER_LIMIT};
use crate::harness::{CONFIG, Program, bind_loopback, peer, try_wait_until_listening, write_test_file};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Configuration of a cluster.
pub struct ClusterConfig {
    /// Part of the names of the cluster's files; unique among the tests of a binary.
    pub label: String,
    pub proxies: usize,
    /// Name of a fault that every instance injects into itself.
    pub injected_fault: Option<&'static str>,
    pub terms: Terms,
    /// Clock rates by instance name, in millionths of the machine's rate; other instances use the machine's rate.
    pub clock_rates: BTreeMap<String, u64>,
    /// Disruption limits as text of the operators' file. Unless it is empty, the cluster has two replicas besides the
    /// primary, and [`Cluster::check_limits`] checks nothing.
    pub disruption_limits: &'static str,
}

impl ClusterConfig {
    pub fn new(label: &str, proxies: usize) -> ClusterConfig {
        ClusterConfig {
            label: label.to_string(),
            proxies,
            injected_fault: None,
            terms: Terms::DEFAULT,
            clock_rates: BTreeMap::new(),
            disruption_limits: "",
        }
    }

    fn has_disruption_limits(&self) -> bool {
        !self.disruption_limits.is_empty()
    }

    fn member_count(&self) -> usize {
        if self.has_disruption_limits() { 3 } else { 1 }
    }

    /// Configuration of all proxies, with these addresses of the members and of discovery.
    fn proxy_settings(&self, members: &[SocketAddr], discovery: SocketAddr) -> String {
        let mut settings = CONFIG.replace("127.0.0.1:8500", &discovery.to_string());
        for (index, member) in members.iter().enumerate() {
            settings = settings.replace(&format!("127.0.0.1:{}", 7001 + index), &member.to_string());
        }
        if self.has_disruption_limits() {
            settings = settings.replacen("\"seed\"", "\"admin\": \"127.0.0.1:0\", \"seed\"", 1);
        } else {
            settings = without_replicas(&settings);
        }
        // A higher latency objective, because otherwise long statements count as overload and the proxy lowers its
        // concurrency.
        if self.terms.work_ms > 100 {
            settings = settings.replace("\"slo\": 500000", "\"slo\": 5000000");
        }
        let idle_close = format!("\"idleClose\": {}", self.terms.idle_ms * 1_000);
        settings.replace("\"idleClose\": 15000000", &idle_close)
    }
}

/// Removes the replicas from the endpoint list, so that all attempts go to the primary.
fn without_replicas(settings: &str) -> String {
    let from = settings.find("  {\"id\": \"m-2\"").expect("the second member in the configuration");
    let to = settings.find("]},\n \"settings\"").expect("the end of the list in the configuration");
    settings[..from].trim_end().trim_end_matches(',').to_string() + &settings[to..]
}

/// A violation of a limit of the whole fleet at a member, with the history before it.
#[derive(Debug)]
pub struct LimitExceeded {
    pub violation: String,
    pub history: Vec<String>,
}

impl fmt::Display for LimitExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, after {:?}", self.violation, self.history)
    }
}

impl std::error::Error for LimitExceeded {}

/// A running fleet; dropping it kills its processes.
pub struct Cluster {
    pub keepers: Vec<Instance>,
    pub proxies: Vec<Instance>,
    /// Counters of each member; the first member is the primary.
    pub members: Vec<Rc<MemberCounts>>,
    /// Current client address of each proxy.
    pub addresses: Rc<RefCell<Vec<Option<SocketAddr>>>>,
    /// Folder with the stores of the keepers.
    pub folder: PathBuf,
    /// Faults and other actions so far, in order, for failure messages.
    pub history: Vec<String>,
    /// Path of the configuration file of all proxies.
    proxy_settings: PathBuf,
    config: ClusterConfig,
}

impl Cluster {
    /// Starts a fleet with the default terms.
    pub async fn start(label: &str, proxies: usize) -> Cluster {
        Cluster::start_with(ClusterConfig::new(label, proxies)).await
    }

    /// Starts members and discovery, then the keepers, then the proxies.
    pub async fn start_with(config: ClusterConfig) -> Cluster {
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{}", std::process::id(), config.label));
        let _ = std::fs::remove_dir_all(&folder);
        let mut members = Vec::new();
        let mut member_addresses = Vec::new();
        for index in 0..config.member_count() {
            let (listener, address) = bind_loopback().await;
            let counts = Rc::new(MemberCounts::default());
            spawn_local(run_member(listener, index == 0, counts.clone(), config.terms));
            members.push(counts);
            member_addresses.push(address);
        }
        let (discovery, discovery_address) = bind_loopback().await;
        spawn_local(peer::discovery(discovery, r#"{"version":2,"full":false,"servers":[]}"#.to_string()));
        let settings = config.proxy_settings(&member_addresses, discovery_address);
        let proxies = config.proxies;
        let mut cluster = Cluster {
            keepers: Vec::new(),
            proxies: Vec::new(),
            members,
            addresses: Rc::default(),
            folder,
            history: Vec::new(),
            proxy_settings: write_test_file(&format!("{}.json", config.label), &settings),
            config,
        };
        cluster.start_keepers().await;
        for index in 0..proxies {
            cluster.add_proxy(&format!("p{index}")).await;
        }
        cluster
    }

    /// Starts all keepers; the first one founds the fleet.
    async fn start_keepers(&mut self) {
        for index in 0..KEEPERS {
            let name = format!("k{index}");
            let store = self.folder.join(&name).display().to_string();
            let file_name = format!("{}-{name}.textproto", self.config.label);
            self.keepers.push(self.new_instance(&name, &store, &file_name).await);
        }
        (0..KEEPERS).for_each(|index| self.start_keeper(index, index == 0));
    }

    /// Creates an instance and writes its operators' file, without starting its process.
    async fn new_instance(&self, name: &str, store: &str, file_name: &str) -> Instance {
        let relays = start_relays().await;
        let operator_file = OperatorFile {
            name,
            relays: &relays,
            store,
            terms: self.config.terms,
            revision: 1,
            member_limit: MEMBER_LIMIT,
        };
        let path = write_test_file(file_name, &(operator_file.text() + self.config.disruption_limits));
        Instance::new(name, relays, path)
    }

    /// Adds and starts a proxy; another proxy may have the same name.
    pub async fn add_proxy(&mut self, name: &str) {
        let index = self.proxies.len();
        let file_name = format!("{}-{index}.textproto", self.config.label);
        self.proxies.push(self.new_instance(name, "", &file_name).await);
        self.addresses.borrow_mut().resize(index + 1, None);
        self.connect_relays();
        self.start_proxy(index);
    }

    /// Adds and starts a proxy that belongs to no fleet.
    pub async fn add_proxy_without_fleet(&mut self) {
        let mut command = linenhill_command();
        command.env("LB_CONFIG", &self.proxy_settings).env("LB_LISTEN", "127.0.0.1:0");
        let program = start_process(command, self.proxy_settings.clone()).expect("start a proxy");
        self.addresses.borrow_mut().push(Some(program.logged_address(" listens on ")));
        let operator_file = self.proxies[0].operator_file.clone();
        let mut instance = Instance::new("alone", start_relays().await, operator_file);
        instance.program = Some(program);
        self.proxies.push(instance);
    }

    /// Sets the targets of all relays to the keepers' current addresses.
    fn connect_relays(&self) {
        for (index, keeper) in self.keepers.iter().enumerate() {
            let Some(program) = &keeper.program else { continue };
            let address = program.logged_address("listens on ");
            for instance in self.keepers.iter().chain(&self.proxies) {
                instance.connect_to_keeper(index, address);
            }
        }
    }

    /// Starts the process of a keeper. If it exits before it listens, its `program` is `None`.
    pub fn start_keeper(&mut self, index: usize, is_founder: bool) {
        let keeper = &self.keepers[index];
        let mut command = linenhill_command();
        command.args(["keep", "--name", &keeper.name, "--operator"]).arg(&keeper.operator_file);
        if is_founder {
            command.arg("--found");
        }
        self.set_fault_environment(&mut command, &keeper.name);
        let program = start_process(command, keeper.operator_file.clone());
        let keeper = &mut self.keepers[index];
        keeper.is_suspended = false;
        keeper.program = program;
        self.connect_relays();
    }

    /// Starts the process of a proxy and waits until it listens.
    pub fn start_proxy(&mut self, index: usize) {
        let proxy = &self.proxies[index];
        let mut command = linenhill_command();
        command.args(["serve", "--operator"]).arg(&proxy.operator_file);
        command.env("LB_CONFIG", &self.proxy_settings);
        command.env("LB_LISTEN", "127.0.0.1:0").env("LB_NAME", &proxy.name);
        self.set_fault_environment(&mut command, &proxy.name);
        let program = start_process(command, self.proxy_settings.clone()).expect("start a proxy");
        self.addresses.borrow_mut()[index] = Some(program.logged_address(" listens on "));
        let proxy = &mut self.proxies[index];
        proxy.is_suspended = false;
        proxy.program = Some(program);
    }

    /// Passes the fault to inject and the instance's clock rate in the environment.
    fn set_fault_environment(&self, command: &mut Command, name: &str) {
        if let Some(fault) = self.config.injected_fault {
            command.env("LINENHILL_PLANTED", fault);
        }
        if let Some(rate) = self.config.clock_rates.get(name) {
            command.env("LINENHILL_CLOCK_PPM", rate.to_string());
        }
    }

    /// All keepers, then all proxies.
    pub fn instances_mut(&mut self) -> impl Iterator<Item = &mut Instance> {
        self.keepers.iter_mut().chain(&mut self.proxies)
    }

    /// Appends `action` to the history, lets the cluster run for `length`, and checks the limits.
    pub async fn run_for(&mut self, length: Duration, action: &str) -> Result<(), LimitExceeded> {
        self.history.push(action.to_string());
        sleep(length).await;
        self.check_limits()
    }

    /// Returns the first violation at the primary, if there was any so far.
    pub fn check_limits(&self) -> Result<(), LimitExceeded> {
        match self.members[0].violations.borrow().first() {
            Some(violation) if !self.config.has_disruption_limits() => Err(self.limit_exceeded(violation)),
            _ => Ok(()),
        }
    }

    /// An error for this violation, with the history so far.
    pub fn limit_exceeded(&self, violation: &str) -> LimitExceeded {
        LimitExceeded { violation: violation.to_string(), history: self.history.clone() }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.heal();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a process and waits until it listens; `None` if it exits before.
fn start_process(mut command: Command, config: PathBuf) -> Option<Program> {
    let process = command.stderr(Stdio::piped()).spawn().expect("start the program");
    try_wait_until_listening(process, config)
}
