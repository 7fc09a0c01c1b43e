//! What a keeper does with messages and time, without a socket or a clock: it drives the Raft engine, puts on the disk what
//! must be there before anything is said of it, and applies what is agreed on. [`crate::keeper`] carries out its actions;
//! tests play it under virtual time. The disk is the one thing that it writes by itself, since words rest on it.
//!
//! Only the leader writes entries, and each says what the leader's own clock counted since its entry before, or since it
//! became leader: time of log stands still while nobody leads, so nothing that was granted is over too early.

use crate::log_entry::{
    Command, Declaration, DisruptionRequest, LogEntry, LoggedCommand, SessionLeaseRequest,
};
use crate::protocol::{
    Body, BudgetStatus, Envelope, JoinRequest, LeaseGranted, LeaseRejected, LeaseRequest, NotLeader,
    OperatorReply, OperatorRequest, SessionStatus, Status, UnavailableStatus,
};
use crate::replicated_state::{AppliedResult, DisruptionResult, KeeperRecord, ReplicatedState};
use crate::store::{self, KeeperStore, StoreError, WriteBatch};
use crate::transport::InstanceIdentity;
use linenhill_decisions::disruption::Availability;
use linenhill_decisions::disruption::table::{LivenessView, Permit};
use linenhill_decisions::membership::SessionRejected;
use linenhill_decisions::quota::table::QuotaReply;
use linenhill_settings::operator::Operator;
use log::{error, info, warn};
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, EntryType, Message};
use raft::{Config, RawNode, StateRole};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// The engine's tick, in microseconds. An election takes 10 to 20 of them, a heartbeat comes every 2.
pub const TICK_US: u64 = 50_000;
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// A snapshot that was not taken after so many ticks is sent again.
const SNAPSHOT_TICKS: u64 = 40;
/// Without a request the leader still counts its time so often.
const COUNT_EVERY_US: u64 = 500_000;
/// Entries after which the state takes the log's place.
const COMPACT_AFTER: u64 = 4_096;
/// Requests that come within this time share an entry, a sync of each disk, and one division; nothing that a client
/// waits for waits for it.
const ENTRY_EVERY_US: u64 = 10_000;
/// Requests that wait for their entry, and for how long: an entry may be lost with its leader.
const WAITING: usize = 16_384;
const WAIT_US: u64 = 5_000_000;
/// Longest request, and the longest entry but for one request more, in bytes: frames must carry it.
const ASK_MOST: usize = 256 << 10;
const ENTRY_MOST: usize = 1 << 20;
/// Longest wish of operators, in bytes.
const WISH_MOST: usize = 4_096;
/// Others that are talked to.
const PEERS_MOST: usize = 16;
/// How often a newcomer asks to be a keeper, in ticks.
const JOIN_TICKS: u64 = 10;

/// Why a keeper does not start or stops; printed as one line.
#[derive(Debug)]
pub enum KeeperError {
    /// Its disk. It votes no more.
    Store(StoreError),
    /// The engine.
    Engine(raft::Error),
    /// The operator's file lacks something.
    File(&'static str),
    /// The store is of another name or fleet.
    Stranger(String),
}

impl fmt::Display for KeeperError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            KeeperError::Store(e) => write!(f, "the keeper votes no more: {e}"),
            KeeperError::Engine(e) => write!(f, "the keeper's engine: {e}"),
            KeeperError::File(field) => write!(f, "the operator's file lacks {field}"),
            KeeperError::Stranger(whose) => write!(f, "the store is of {whose}"),
        }
    }
}

impl std::error::Error for KeeperError {}

impl From<StoreError> for KeeperError {
    fn from(e: StoreError) -> KeeperError {
        KeeperError::Store(e)
    }
}

impl From<raft::Error> for KeeperError {
    fn from(e: raft::Error) -> KeeperError {
        KeeperError::Engine(e)
    }
}

/// Opens the keeper's store, or makes one; `found` begins a new log of which it is the only keeper so far.
pub fn open(operator: &Operator, name: &str, found: bool) -> Result<KeeperStore, KeeperError> {
    let folder = operator.store.as_deref().ok_or(KeeperError::File("instance.store"))?;
    let seat = operator.keepers.iter().find(|k| k.name == name);
    let address = seat.ok_or(KeeperError::File("a keeper of this name"))?.address;
    if KeeperStore::exists(folder) && !found {
        let disk = KeeperStore::open(folder)?;
        let whose = disk.identity();
        if whose.name != name || whose.cluster != operator.cluster {
            return Err(KeeperError::Stranger(format!(
                "keeper '{}' of fleet '{}'",
                whose.name, whose.cluster
            )));
        }
        return Ok(disk);
    }
    let mut rng = fastrand::Rng::new();
    let (id, log_id) = (rng.u64(1..u64::MAX), if found { rng.u64(1..u64::MAX) } else { 0 });
    let cluster = operator.cluster.clone();
    let identity = store::StoreIdentity { id, log_id, name: name.to_string(), cluster };
    let state = found.then(|| founded(id, name, address));
    Ok(KeeperStore::create(folder, identity, state)?)
}

/// The state with which a log begins: its only keeper so far.
pub fn founded(id: u64, name: &str, address: SocketAddr) -> Vec<u8> {
    let mut state = ReplicatedState::default();
    state.keepers.insert(id, KeeperRecord { name: name.to_string(), address: address.to_string() });
    state.encode_to_vec()
}

/// The budgets of a file, as they are declared to the leader.
pub fn declaration(operator: &Operator) -> Declaration {
    let Operator { terms, budgets, revision, outages, .. } = operator;
    Declaration { terms: *terms, budgets: budgets.clone(), revision: *revision, disruption_policy: *outages }
}

/// What comes to a keeper; `R` is where an answer goes.
pub enum Event<R> {
    /// [`TICK_US`] went by.
    Tick,
    /// Somebody says something.
    Came(Envelope, R),
    /// The answer to a request to be let in.
    Joined(Envelope),
}

/// What is to be done, in this order.
pub enum Action<R> {
    /// Say it to whoever asked.
    Answer(R, Envelope),
    /// Say it to the keeper of that number, or lose it.
    Send(u64, Envelope),
    /// These are the keepers to talk to from now on, in the place of all before.
    Peers(BTreeMap<u64, SocketAddr>),
    /// Ask the keeper there to be let in; its answer comes back as [`Event::Joined`].
    AskToJoin(SocketAddr, Envelope),
}

/// Who waits for the entry of its request.
struct Waiting<R> {
    incarnation: u64,
    seq: u64,
    since: u64,
    /// The edition of the fence that it goes by.
    fenced: u64,
    reply: R,
}

/// A keeper without its sockets and its clock.
pub struct Node<R> {
    engine: RawNode<KeeperStore>,
    operator: Operator,
    identity: Rc<InstanceIdentity>,
    state: ReplicatedState,
    applied: u64,
    compacted: u64,
    peers: BTreeMap<u64, SocketAddr>,
    actions: Vec<Action<R>>,
    now: u64,
    /// By this chance elections of different keepers begin at different times.
    chance: u64,
    /// Of this term as leader, up to when its clock has been counted.
    counted: Option<(u64, u64)>,
    /// Commands for the next entry.
    commands: VecDeque<LoggedCommand>,
    waiting: VecDeque<Waiting<R>>,
    /// Whether the operator's file has been compared with what is agreed, in this term.
    declared: Option<u64>,
    news: u64,
    led: Option<String>,
    ticks: u64,
    /// Wishes so far.
    tickets: u64,
}

impl<R> Node<R> {
    /// Starts on a disk at `now`, in microseconds on a clock that never stands still; what is to be done first comes with
    /// the first event.
    pub fn start(
        operator: Operator, identity: Rc<InstanceIdentity>, disk: KeeperStore, now: u64, chance: u64,
    ) -> Result<Node<R>, KeeperError> {
        let applied = disk.snapshot().get_metadata().index;
        let state = match disk.snapshot().get_data() {
            [] => ReplicatedState::default(),
            data => ReplicatedState::decode(data)
                .map_err(|_| KeeperError::File("a state that this version can read"))?,
        };
        let config = Config {
            id: identity.incarnation,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 256,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let engine = RawNode::new(&config, disk, &logger)?;
        info!("fleet: keeper {} has number {}", identity.name, identity.incarnation);
        let mut node = Node {
            engine,
            operator,
            identity,
            state,
            applied,
            compacted: applied,
            peers: BTreeMap::new(),
            actions: Vec::new(),
            now,
            chance,
            counted: None,
            commands: VecDeque::new(),
            waiting: VecDeque::new(),
            declared: None,
            news: now,
            led: None,
            ticks: 0,
            tickets: 0,
        };
        node.meet();
        Ok(node)
    }

    /// Takes in what came since the last call, at `now`; it shares an entry and a sync of the disk. After an error nothing
    /// of this keeper may be used any more.
    pub fn handle(
        &mut self, now: u64, events: impl IntoIterator<Item = Event<R>>,
    ) -> Result<Vec<Action<R>>, KeeperError> {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::Tick => self.on_tick(),
                Event::Came(envelope, reply) => self.take(envelope, reply),
                Event::Joined(answer) => self.on_joined(answer)?,
            }
        }
        self.propose();
        self.advance()?;
        Ok(std::mem::take(&mut self.actions))
    }

    /// When it is to be called without an event, if it is.
    pub fn due(&self) -> Option<u64> {
        let waits = self.leads() && !self.commands.is_empty();
        let counted = self.counted.filter(|(term, _)| *term == self.engine.raft.term);
        counted.filter(|_| waits).map(|(_, at)| at.saturating_add(ENTRY_EVERY_US))
    }

    /// The state as far as it is applied here.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The term in which it leads, if it does.
    pub fn leader_term(&self) -> Option<u64> {
        self.leads().then_some(self.engine.raft.term)
    }

    /// What was to be sent to that keeper was lost here.
    pub fn unreachable(&mut self, keeper: u64) {
        self.engine.report_unreachable(keeper);
    }

    fn answer(&mut self, to: R, log_id: u64, body: Body) {
        self.actions.push(Action::Answer(to, self.identity.envelope(log_id, body)));
    }

    /// Its number as a keeper.
    pub fn id(&self) -> u64 {
        self.identity.incarnation
    }

    fn log_id(&self) -> u64 {
        self.engine.store().identity().log_id
    }

    fn is_member(&self) -> bool {
        self.state.keepers.contains_key(&self.id())
    }

    fn leads(&self) -> bool {
        self.engine.raft.state == StateRole::Leader
    }

    fn leader(&self) -> String {
        self.state.keepers.get(&self.engine.raft.leader_id).map_or_else(String::new, |k| k.name.clone())
    }

    /// The agreed keepers are those that are talked to, where this file says they are.
    fn meet(&mut self) {
        let id = self.id();
        // A newcomer knows nobody yet but those who speak to it.
        if !self.state.keepers.is_empty() {
            self.peers.retain(|other, _| self.state.keepers.contains_key(other));
        }
        for (other, seat) in self.state.keepers.iter().filter(|(other, _)| **other != id) {
            let named = self.operator.keepers.iter().find(|k| k.name == seat.name).map(|k| k.address);
            if let Some(address) = named.or_else(|| seat.address.parse().ok()) {
                self.peers.insert(*other, address);
            }
        }
        self.actions.push(Action::Peers(self.peers.clone()));
    }

    fn ask_to_join(&mut self) {
        let own = self.operator.keepers.iter().find(|k| k.name == self.identity.name).map(|k| k.address);
        let Some(own) = own else { return };
        for other in self.operator.keepers.iter().filter(|k| k.name != self.identity.name) {
            let join =
                self.identity.envelope(self.log_id(), Body::Join(JoinRequest { address: own.to_string() }));
            self.actions.push(Action::AskToJoin(other.address, join));
        }
    }

    fn on_joined(&mut self, answer: Envelope) -> Result<(), KeeperError> {
        match answer.body {
            Some(Body::OperatorReply(OperatorReply { ok: true, .. }))
                if answer.log_id > 0 && self.log_id() == 0 =>
            {
                info!("fleet: {} lets this keeper in", answer.from);
                self.engine.mut_store().set_log_id(answer.log_id)?;
            }
            Some(Body::OperatorReply(OperatorReply { ok: false, text, .. })) => {
                warn!("fleet: {}: {text}", answer.from)
            }
            _ => {}
        }
        Ok(())
    }

    fn on_tick(&mut self) {
        // The engine draws by a chance of its own, which no seed can play again: drawn anew here, for each election.
        let round = self.ticks / ELECTION_TICKS as u64;
        let mut rng = fastrand::Rng::with_seed(self.chance.wrapping_add(round));
        let patience = ELECTION_TICKS + rng.usize(0..ELECTION_TICKS);
        self.engine.raft.set_randomized_election_timeout(patience);
        self.engine.tick();
        if !self.is_member() && self.ticks.is_multiple_of(JOIN_TICKS) {
            self.ask_to_join();
        }
        let term = self.engine.raft.term;
        if !self.leads() {
            self.counted = None;
            // Whoever waits here asks elsewhere.
            let elsewhere = Body::NotLeader(NotLeader { leader: self.leader() });
            for waiting in std::mem::take(&mut self.waiting) {
                self.answer(waiting.reply, 0, elsewhere.clone());
            }
            self.commands.clear();
        } else if self.declared != Some(term) && self.applied_this_term() {
            self.declared = Some(term);
            let file = declaration(&self.operator);
            let (table, ours) = (&self.state.quota, file.revision);
            let same = table.terms == file.terms && table.declared == file.budgets;
            if table.accepts_revision(ours) {
                info!("fleet: budgets are declared as this file has them, revision {ours}");
                self.commands.push_back(doc(Command::Declare(file)));
            } else if !same {
                let agreed = table.revision;
                warn!(
                    "fleet: this file's budgets, revision {ours}, are not those agreed on, revision {agreed}"
                );
            }
        }
        let now = self.now;
        let late = |w: &Waiting<R>| now > w.since + WAIT_US;
        while self.waiting.front().is_some_and(late) {
            self.waiting.pop_front();
        }
        self.ticks += 1;
        if self.leads() && self.ticks.is_multiple_of(SNAPSHOT_TICKS) {
            // The engine waits for the end of a snapshot, which may have been lost on its way.
            let waits =
                |(id, p): (&u64, &raft::Progress)| (p.state == raft::ProgressState::Snapshot).then_some(*id);
            let waiting: Vec<u64> = self.engine.raft.prs().iter().filter_map(waits).collect();
            waiting.into_iter().for_each(|id| self.engine.report_snapshot(id, raft::SnapshotStatus::Failure));
        }
        let leader = Some(self.leader()).filter(|l| !l.is_empty());
        if leader != self.led {
            info!("fleet: leader {} in term {term}", leader.as_deref().unwrap_or("unknown"));
            self.led = leader;
        }
    }

    /// What came before this term is applied: what is compared with the state is the state.
    fn applied_this_term(&self) -> bool {
        self.engine.store_term(self.applied) == self.engine.raft.term
    }

    fn take(&mut self, envelope: Envelope, reply: R) {
        let Envelope { from, incarnation, log_id, body, .. } = envelope;
        match body {
            Some(Body::Raft(bytes)) => {
                // A joiner learns what the keepers have in common from whoever lets it in, and only then votes.
                if log_id == 0 || log_id != self.log_id() {
                    return;
                }
                let named = self.operator.keepers.iter().find(|k| k.name == from).map(|k| k.address);
                let room = self.state.keepers.is_empty() && self.peers.len() < PEERS_MOST;
                if let (Some(address), false) = (named, self.peers.contains_key(&incarnation) || !room) {
                    self.peers.insert(incarnation, address);
                    self.actions.push(Action::Peers(self.peers.clone()));
                }
                if let Ok(message) = Message::parse_from_bytes(&bytes)
                    && message.to == self.id()
                    && message.from == incarnation
                    && let Err(problem) = self.engine.step(message)
                {
                    info!("fleet: a message of {from} was not taken: {problem}");
                }
            }
            Some(Body::LeaseRequest(ask)) => self.on_ask(from, incarnation, ask, reply),
            Some(Body::StatusRequest(_)) => {
                let status = self.status();
                self.answer(reply, 0, Body::Status(status));
            }
            Some(Body::Join(join)) => self.on_join(&from, incarnation, &join, reply),
            Some(Body::OperatorRequest(OperatorRequest { disruption: Some(wish), .. })) if self.leads() => {
                self.wish(wish, reply)
            }
            Some(Body::OperatorRequest(operate)) => {
                let not_leader = !self.leads();
                let (ok, text) = self.operate(&operate);
                self.answer(
                    reply,
                    0,
                    Body::OperatorReply(OperatorReply { ok, text, not_leader, ..OperatorReply::default() }),
                );
            }
            _ => {}
        }
    }

    fn on_ask(&mut self, name: String, incarnation: u64, ask: LeaseRequest, reply: R) {
        if !self.leads() || self.waiting.len() >= WAITING {
            let elsewhere = NotLeader { leader: if self.leads() { String::new() } else { self.leader() } };
            self.answer(reply, 0, Body::NotLeader(elsewhere));
            return;
        }
        let seq = ask.quota.seq;
        if ask.encoded_len() > ASK_MOST {
            let reason = format!("a request of over {ASK_MOST} bytes");
            let refused = LeaseRejected { seq, superseded: false, reason, incarnation };
            self.answer(reply, 0, Body::LeaseRejected(refused));
            return;
        }
        let fenced = ask.report.as_ref().map_or(0, |r| r.quarantine_edition);
        self.waiting.push_back(Waiting { incarnation, seq, since: self.now, fenced, reply });
        self.commands.push_back(doc(Command::LeaseRequest(SessionLeaseRequest {
            name,
            incarnation,
            request: ask,
        })));
    }

    fn on_join(&mut self, name: &str, id: u64, join: &JoinRequest, reply: R) {
        // Whoever was let in and never heard of it learns so from any keeper: without its vote none may be able to lead.
        let known = self.state.keeper_id(name) == Some(id);
        if !self.leads() && !known {
            return;
        }
        let (ok, text) = match self.state.keeper_id(name) {
            Some(_) if known => (true, "known".to_string()),
            Some(_) => (
                false,
                format!("keeper {name} has another store: a lost one is replaced by 'fleet replace {name}'"),
            ),
            None if !self.operator.keepers.iter().any(|k| k.name == name) => {
                (false, format!("the leader's file names no keeper {name}"))
            }
            None => {
                let seat = KeeperRecord { name: name.to_string(), address: join.address.clone() };
                let mut change = ConfChange::default();
                change.set_change_type(ConfChangeType::AddNode);
                change.node_id = id;
                change.set_context(seat.encode_to_vec().into());
                match self.engine.propose_conf_change(Vec::new(), change) {
                    Ok(()) => (true, "being let in".to_string()),
                    Err(problem) => (false, problem.to_string()),
                }
            }
        };
        self.answer(
            reply,
            self.log_id(),
            Body::OperatorReply(OperatorReply { ok, text, ..OperatorReply::default() }),
        );
    }

    /// A wish is answered once its entry is applied.
    fn wish(&mut self, wish: DisruptionRequest, reply: R) {
        if wish.encoded_len() > WISH_MOST || self.waiting.len() >= WAITING {
            let text = format!("a wish of over {WISH_MOST} bytes, or too many at once");
            return self.answer(
                reply,
                0,
                Body::OperatorReply(OperatorReply { text, ..OperatorReply::default() }),
            );
        }
        self.tickets += 1;
        let ticket = fastrand::Rng::with_seed(self.chance ^ self.tickets).u64(1..u64::MAX);
        self.waiting.push_back(Waiting { incarnation: ticket, seq: 0, since: self.now, fenced: 0, reply });
        self.commands
            .push_back(LoggedCommand { command: Some(Command::Disruption(wish)), request_id: ticket });
    }

    fn operate(&mut self, operate: &OperatorRequest) -> (bool, String) {
        if !self.leads() {
            return (false, format!("the leader is {}", self.leader()));
        }
        if let Some(file) = &operate.declare {
            let (newer, agreed) =
                (self.state.quota.accepts_revision(file.revision), self.state.quota.revision);
            if !newer {
                return (false, format!("revision {agreed} is agreed on: a change needs a higher one"));
            }
            self.commands.push_back(doc(Command::Declare(file.clone())));
            return (true, format!("revision {} is declared in the place of {agreed}", file.revision));
        }
        if !operate.remove.is_empty() {
            self.commands.push_back(doc(Command::RemoveProxy(operate.remove.clone())));
            return (true, format!("{} is taken off; what it holds ends by itself", operate.remove));
        }
        match self.state.keeper_id(&operate.replace) {
            None => (false, format!("there is no keeper '{}'", operate.replace)),
            Some(id) if id == self.id() => (false, "this keeper leads".to_string()),
            Some(id) => {
                let mut change = ConfChange::default();
                change.set_change_type(ConfChangeType::RemoveNode);
                change.node_id = id;
                match self.engine.propose_conf_change(Vec::new(), change) {
                    Ok(()) => (
                        true,
                        format!("{} with number {id} votes no more; another store may join", operate.replace),
                    ),
                    Err(problem) => (false, problem.to_string()),
                }
            }
        }
    }

    /// Writes an entry, if this leads and there is something to write or time to be counted.
    fn propose(&mut self) {
        if !self.leads() {
            return;
        }
        let (now, term) = (self.now, self.engine.raft.term);
        let from = match self.counted {
            Some((counted_term, at)) if counted_term == term => at,
            _ => {
                self.counted = Some((term, now));
                now
            }
        };
        let pause = if self.commands.is_empty() { COUNT_EVERY_US } else { ENTRY_EVERY_US };
        if now < from.saturating_add(pause) {
            return;
        }
        let mut elapsed_us = now.saturating_sub(from);
        loop {
            let (mut commands, mut size) = (Vec::new(), 0);
            while size < ENTRY_MOST
                && let Some(command) = self.commands.pop_front()
            {
                size += command.encoded_len();
                commands.push(command);
            }
            match self.engine.propose(Vec::new(), LogEntry { elapsed_us, commands }.encode_to_vec()) {
                Ok(()) => (self.counted, elapsed_us) = (Some((term, now)), 0),
                // Too much is under way: what was asked for is asked for again.
                Err(problem) => info!("fleet: an entry was not taken: {problem}"),
            }
            if self.commands.is_empty() {
                return;
            }
        }
    }

    /// Carries out what the engine wants: first the disk, then words.
    fn advance(&mut self) -> Result<(), KeeperError> {
        while self.engine.has_ready() {
            let mut ready = self.engine.ready();
            self.send(ready.take_messages());
            let snapshot = Some(ready.snapshot().clone()).filter(|s| s.get_metadata().index > 0);
            if let Some(snapshot) = &snapshot {
                let state = ReplicatedState::decode(snapshot.get_data());
                self.state = state.map_err(|_| KeeperError::File("a state that this version can read"))?;
                self.applied = snapshot.get_metadata().index;
                self.compacted = self.applied;
            }
            let batch =
                WriteBatch { snapshot: snapshot.as_ref(), entries: ready.entries(), hard_state: ready.hs() };
            self.engine.mut_store().save(&batch)?;
            if snapshot.is_some() {
                self.meet();
            }
            let committed = ready.take_committed_entries();
            self.apply(committed)?;
            self.send(ready.take_persisted_messages());
            let mut light = self.engine.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.engine.mut_store().set_commit_index(commit);
            }
            self.send(light.take_messages());
            let committed = light.take_committed_entries();
            self.apply(committed)?;
            self.engine.advance_apply();
        }
        if self.applied >= self.compacted + COMPACT_AFTER {
            let (conf, state) = (self.engine.raft.prs().conf().to_conf_state(), self.state.encode_to_vec());
            let applied = self.applied;
            self.engine.mut_store().compact(applied, &conf, state)?;
            self.compacted = applied;
        }
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>) {
        let log_id = self.log_id();
        for message in messages {
            let Ok(bytes) = message.write_to_bytes() else { continue };
            if self.peers.contains_key(&message.to) {
                let say = self.identity.envelope(log_id, Body::Raft(bytes));
                self.actions.push(Action::Send(message.to, say));
            } else {
                self.engine.report_unreachable(message.to);
            }
        }
    }

    fn apply(&mut self, entries: Vec<raft::eraftpb::Entry>) -> Result<(), KeeperError> {
        for entry in entries {
            self.applied = entry.index;
            self.news = self.now;
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let effects = self.state.apply(&entry.data);
                    for outcome in effects {
                        match outcome {
                            AppliedResult::Quota(effect) => self.tell(effect),
                            AppliedResult::Disruption(told) => self.tell_wish(told),
                        }
                    }
                }
                EntryType::EntryConfChange => {
                    let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { continue };
                    let conf = self.engine.apply_conf_change(&change)?;
                    match change.get_change_type() {
                        ConfChangeType::RemoveNode => _ = self.state.keepers.remove(&change.node_id),
                        _ => {
                            let seat = KeeperRecord::decode(change.get_context()).unwrap_or_default();
                            info!("fleet: {} is a keeper", seat.name);
                            self.state.keepers.insert(change.node_id, seat);
                        }
                    }
                    self.meet();
                    // A newcomer takes only a snapshot that names it, and is sent the last one there is.
                    let state = self.state.encode_to_vec();
                    self.engine.mut_store().compact(entry.index, &conf, state)?;
                    self.compacted = entry.index;
                }
                EntryType::EntryConfChangeV2 => error!("fleet: a change of keepers that nobody makes"),
            }
        }
        Ok(())
    }

    fn tell(&mut self, effect: QuotaReply) {
        let QuotaReply { name, incarnation, result: answer } = effect;
        let seq = answer.as_ref().map_or(0, |grant| grant.seq);
        let mine = |w: &Waiting<R>| w.incarnation == incarnation && (seq == 0 || w.seq == seq);
        let Some(place) = self.waiting.iter().position(mine) else { return };
        let Some(waiting) = self.waiting.remove(place) else { return };
        let body = match answer {
            Ok(grant) => {
                let fence = self.state.disruption.quarantine();
                let fence = Some(fence).filter(|f| f.edition > waiting.fenced);
                Body::LeaseGranted(LeaseGranted { grant, quarantine: fence })
            }
            Err(problem) => {
                let superseded = matches!(problem, SessionRejected::Superseded);
                if !matches!(problem, SessionRejected::StaleRequest | SessionRejected::NameInUse) {
                    info!("fleet: {name} is not let in: {}", problem.wire_reason());
                }
                let reason = problem.wire_reason().to_string();
                Body::LeaseRejected(LeaseRejected { seq: waiting.seq, superseded, reason, incarnation })
            }
        };
        self.answer(waiting.reply, 0, body);
    }

    fn tell_wish(&mut self, told: DisruptionResult) {
        let mine = |w: &Waiting<R>| w.incarnation == told.request_id && w.seq == 0;
        let Some(waiting) = self.waiting.iter().position(mine).and_then(|at| self.waiting.remove(at)) else {
            return;
        };
        let seats = &self.state.quota.membership.sessions;
        let name = |i: &u64| seats.iter().find(|(_, s)| s.incarnation == *i).map(|(name, _)| name.clone());
        let unconfirmed = told.unconfirmed.iter().filter_map(name).collect();
        self.answer(
            waiting.reply,
            0,
            Body::OperatorReply(OperatorReply {
                ok: told.ok,
                text: told.text,
                unconfirmed,
                not_leader: false,
            }),
        );
    }

    /// What operators are told.
    pub fn status(&self) -> Status {
        let role = match self.engine.raft.state {
            StateRole::Leader => "leader",
            StateRole::Follower => "follower",
            StateRole::Candidate | StateRole::PreCandidate => "candidate",
        };
        let table = &self.state.quota;
        let now = table.membership.now;
        let lease = table.terms.with_drift_margin(table.terms.lease_us);
        let seat = |(name, s): (&String, &linenhill_decisions::membership::Session)| SessionStatus {
            name: name.clone(),
            incarnation: s.incarnation,
            version: s.version.clone(),
            zone: s.zone.clone(),
            last_request_age_ms: now.saturating_sub(s.last_request_at) / 1_000,
            has_lease: now <= s.last_request_at.saturating_add(lease),
        };
        let budget =
            |(name, line): (&String, &linenhill_decisions::quota::table::BudgetEntry)| BudgetStatus {
                name: name.clone(),
                total: line.budget.as_ref().map_or(0, |b| b.total),
                committed: line.committed(now),
                in_use: line.allocations.values().map(|h| h.in_use).sum(),
            };
        let outages = &self.state.disruption;
        let out = |(thing, cause): (String, Availability)| {
            let permit = outages.subjects.get(&thing).and_then(|k| k.permit.clone()).unwrap_or_default();
            let Permit { number, requested_by, reason, forced, .. } = permit;
            UnavailableStatus {
                subject: thing,
                cause: cause.label().to_string(),
                permit: number,
                requested_by,
                reason,
                forced,
            }
        };
        let out = outages
            .unavailable(&LivenessView::new(&table.membership, &table.terms))
            .into_iter()
            .map(out)
            .collect();
        Status {
            role: role.to_string(),
            leader: self.leader(),
            term: self.engine.raft.term,
            applied: self.applied,
            keepers: self.state.keepers.values().map(|k| (k.name.clone(), k.address.clone())).collect(),
            sessions: table.membership.sessions.iter().map(seat).collect(),
            budgets: table.entries.iter().map(budget).collect(),
            log_age_ms: self.now.saturating_sub(self.news) / 1_000,
            unavailable: out,
        }
    }
}

fn doc(which: Command) -> LoggedCommand {
    LoggedCommand { command: Some(which), request_id: 0 }
}

/// The engine's word on the term of an entry, 0 where it has none.
trait StoreTerm {
    fn store_term(&self, index: u64) -> u64;
}

impl StoreTerm for RawNode<KeeperStore> {
    fn store_term(&self, index: u64) -> u64 {
        use raft::Storage;
        self.store().term(index).unwrap_or(0)
    }
}
