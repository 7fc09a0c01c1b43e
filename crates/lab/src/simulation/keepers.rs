//! Simulated keepers: the real Raft node and the real store on an in-memory disk that outlives the process.

use super::clock::Clock;
use super::config::{BUDGET_NAME, instance_identity, keeper_address, keeper_name};
use super::events::{Endpoint, KeeperEvent, ScheduledEvent};
use super::{Simulation, SimulationConfig};
use crate::disk::{DiskFault, MemoryDisk};
use linenhill_cluster::log_entry::Declaration;
use linenhill_cluster::protocol::{Body, OperatorRequest};
use linenhill_cluster::raft_node::{self, Action, Event, KeeperError, RaftNode, TICK_US};
use linenhill_cluster::store::{KeeperStore, StoreError, StoreIdentity};
use std::rc::Rc;
use std::time::Instant;

/// The real Raft node. The sender of a message takes the place of the connection to reply on; operators have none.
type Node = RaftNode<Option<Endpoint>>;

/// One keeper over all its incarnations.
pub(super) struct SimulatedKeeper {
    /// `None` while the process is not started.
    node: Option<Node>,
    disk: MemoryDisk,
    clock: Clock,
    /// Counts starts and ends. Events scheduled for an earlier incarnation are dropped.
    pub(super) incarnation: u64,
    /// Whether a call requested by the node is scheduled.
    has_call_scheduled: bool,
    /// Whether the process is suspended. Events that fall due meanwhile are deferred.
    pub(super) is_suspended: bool,
    pub(super) deferred: Vec<ScheduledEvent>,
}

impl SimulatedKeeper {
    /// Creates a keeper with an empty disk, not started yet.
    pub(super) fn new(config: &SimulationConfig, rng: &mut fastrand::Rng) -> SimulatedKeeper {
        SimulatedKeeper {
            node: None,
            disk: MemoryDisk::default(),
            clock: Clock::draw(rng, config.drift_ppm()),
            incarnation: 0,
            has_call_scheduled: false,
            is_suspended: false,
            deferred: Vec::new(),
        }
    }

    /// The term in which this keeper is leader, if any.
    fn leader_term(&self) -> Option<u64> {
        self.node.as_ref().filter(|_| !self.is_suspended).and_then(RaftNode::leader_term)
    }

    /// Describes the state of the keeper in one line.
    fn describe(&self, name: &str) -> String {
        let Some(node) = &self.node else { return format!("{name} is not started") };
        let (id, status) = (node.id(), node.status());
        format!(
            "{name} {id:x}: {} of {:?} in term {}, entry {}, keepers {:?}",
            status.role, status.leader, status.term, status.applied, status.keepers
        )
    }
}

impl Simulation {
    /// Starts a keeper on its disk. On an empty disk it creates a new store; at time 0 the first keeper also creates
    /// a new log. If a keeper fails to start, the reason is recorded in the history.
    pub fn start_keeper(&mut self, index: usize) {
        let keeper = &mut self.keepers[index];
        keeper.incarnation += 1;
        keeper.is_suspended = false;
        keeper.node = None;
        keeper.has_call_scheduled = false;
        keeper.deferred.clear();
        match self.open_node(index) {
            Ok(node) => {
                self.keepers[index].node = Some(node);
                let first_tick_us = self.rng.u64(0..TICK_US);
                self.schedule_for_keeper(index, first_tick_us, KeeperEvent::Tick);
            }
            Err(error) => self.record(&format!("{} failed to start: {error}", keeper_name(index))),
        }
    }

    fn open_node(&mut self, index: usize) -> Result<Node, KeeperError> {
        let name = keeper_name(index);
        let store = self.open_store(index, &name)?;
        let identity = Rc::new(instance_identity(&self.operator, &name, store.identity().id));
        let now = self.keepers[index].clock.reading(self.now_us);
        RaftNode::start(self.operator.clone(), identity, store, now, self.rng.u64(..))
    }

    fn open_store(&mut self, index: usize, name: &str) -> Result<KeeperStore, StoreError> {
        let disk = self.keepers[index].disk.clone();
        if !disk.is_empty() {
            return KeeperStore::open_with_backend(disk, name);
        }
        let id = self.rng.u64(1..u64::MAX);
        let begins_log = self.now_us == 0 && index == 0;
        let log_id = if begins_log { self.rng.u64(1..u64::MAX) } else { 0 };
        let identity =
            StoreIdentity { id, log_id, name: name.to_string(), cluster: self.operator.cluster.clone() };
        let state = begins_log.then(|| raft_node::initial_state(id, name, keeper_address(index)));
        KeeperStore::create_with_backend(disk, identity, state)
    }

    /// Ends a keeper's process. Only its disk remains.
    pub fn kill_keeper(&mut self, index: usize) {
        self.keepers[index].node = None;
        self.keepers[index].incarnation += 1;
    }

    /// Whether a keeper's process is started; it may be suspended.
    pub fn is_keeper_started(&self, index: usize) -> bool {
        self.keepers[index].node.is_some()
    }

    /// Index of the leader in the highest term, if any.
    pub fn leader(&self) -> Option<usize> {
        (0..self.keepers.len())
            .filter(|index| self.keepers[*index].leader_term().is_some())
            .max_by_key(|index| self.keepers[*index].leader_term())
    }

    /// Drops all messages from a keeper to proxies until [`Simulation::heal`].
    pub fn block_keeper_to_proxies(&mut self, index: usize) {
        self.record(&format!("messages from {} to proxies are lost", keeper_name(index)));
        for proxy in 0..self.proxies.len() {
            self.network.block(Endpoint::Keeper(index), Endpoint::Proxy(proxy));
        }
    }

    /// Sets the fault of a keeper's disk.
    pub fn set_disk_fault(&mut self, index: usize, fault: DiskFault) {
        self.keepers[index].disk.set_fault(fault);
    }

    /// Declares a new total at the leader, by an operators' file of the next revision. Without a leader only the file
    /// changes, which processes read when they start. The checker's bound is raised if necessary but not lowered:
    /// units granted from a larger total may stay in use until their leases expire. See
    /// [`Simulation::set_max_units_in_use`].
    pub fn declare_total(&mut self, total: u64) {
        self.operator.revision += 1;
        if let Some(budget) = self.operator.budgets.get_mut(BUDGET_NAME) {
            budget.total = total;
        }
        self.checker.set_max_units_in_use(self.checker.bound().max(total));
        let Some(leader) = self.leader() else { return };
        let request = OperatorRequest {
            declare: Some(Declaration::from(&self.operator)),
            ..OperatorRequest::default()
        };
        let operators = instance_identity(&self.operator, "operators", 1);
        let envelope = operators.envelope(0, Body::OperatorRequest(request));
        self.call_node(leader, Some(Event::Received(envelope, None)));
    }

    /// Describes each keeper in one line.
    pub(super) fn describe_keepers(&self) -> Vec<String> {
        let keepers = self.keepers.iter().enumerate();
        keepers.map(|(index, keeper)| keeper.describe(&keeper_name(index))).collect()
    }

    pub(super) fn run_keeper_event(&mut self, index: usize, event: KeeperEvent) {
        match event {
            KeeperEvent::Tick => {
                let next_tick_us = self.keepers[index].clock.simulation_duration(TICK_US);
                self.schedule_for_keeper(index, next_tick_us, KeeperEvent::Tick);
                self.call_node(index, Some(Event::Tick));
            }
            KeeperEvent::CallDue => {
                self.keepers[index].has_call_scheduled = false;
                self.call_node(index, None);
            }
            KeeperEvent::JoinReply(envelope) => self.call_node(index, Some(Event::JoinReply(*envelope))),
            KeeperEvent::Message { from, envelope } => {
                self.call_node(index, Some(Event::Received(*envelope, Some(from))));
            }
        }
    }

    /// Passes an event to the node, if its process is started, and performs the resulting actions. An error of the
    /// node ends its process.
    fn call_node(&mut self, index: usize, event: Option<Event<Option<Endpoint>>>) {
        let now = self.keepers[index].clock.reading(self.now_us);
        let Some(node) = &mut self.keepers[index].node else { return };
        let began = Instant::now();
        let handled = node.handle(now, event);
        let next_call_at = node.next_call_at();
        self.traffic.keepers_ns += began.elapsed().as_nanos() as u64;
        let actions = match handled {
            Ok(actions) => actions,
            Err(error) => {
                self.record(&format!("{} stopped: {error}", keeper_name(index)));
                self.kill_keeper(index);
                return;
            }
        };
        if let Some(at) = next_call_at {
            self.schedule_call(index, at.saturating_sub(now));
        }
        for action in actions {
            self.perform(index, action);
        }
    }

    /// Schedules the call that a node requested after `delay_us` on its clock, unless a call is already scheduled.
    fn schedule_call(&mut self, index: usize, delay_us: u64) {
        let keeper = &mut self.keepers[index];
        if keeper.has_call_scheduled {
            return;
        }
        keeper.has_call_scheduled = true;
        let simulation_delay_us = keeper.clock.simulation_duration(delay_us);
        self.schedule_for_keeper(index, simulation_delay_us, KeeperEvent::CallDue);
    }

    fn perform(&mut self, index: usize, action: Action<Option<Endpoint>>) {
        let (recipient, envelope) = match action {
            Action::Reply(recipient, envelope) => (recipient, envelope),
            Action::Send(node_id, envelope) => (self.keeper_by_node_id(node_id), envelope),
            Action::RequestJoin(address, envelope) => {
                let keepers = 0..self.keepers.len();
                let keeper = keepers.into_iter().find(|other| keeper_address(*other) == address);
                (keeper.map(Endpoint::Keeper), envelope)
            }
            // Simulated links need no connections.
            Action::SetPeers(_) => return,
        };
        if let Some(recipient) = recipient {
            self.send(Endpoint::Keeper(index), recipient, envelope);
        }
    }

    fn keeper_by_node_id(&self, node_id: u64) -> Option<Endpoint> {
        let has_id = |keeper: &SimulatedKeeper| keeper.node.as_ref().is_some_and(|node| node.id() == node_id);
        self.keepers.iter().position(has_id).map(Endpoint::Keeper)
    }

    fn schedule_for_keeper(&mut self, keeper: usize, delay_us: u64, event: KeeperEvent) {
        let incarnation = self.keepers[keeper].incarnation;
        self.schedule_after(delay_us, ScheduledEvent::ForKeeper { keeper, incarnation, event });
    }
}
