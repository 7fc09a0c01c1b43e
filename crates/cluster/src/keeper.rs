//! A keeper: one of three or five processes that hold the agreed log. It drives the Raft engine with messages and time,
//! puts on the disk what must be there before anything is said of it, and applies what is agreed on.
//!
//! Only the leader writes entries, and each says what the leader's own clock counted since its entry before, or since it
//! became leader: time of log stands still while nobody leads, so nothing that was granted is over too early.

use crate::clock;
use crate::link::{self, Identity, Incoming, Peer};
use crate::state::{AskDoc, CommandDoc, DeclareDoc, Entry, KeeperSeat, State, Which};
use crate::store::{self, Batch, Disk, DiskError};
use crate::wire::{
    Body, BudgetStatus, Done, Elsewhere, Envelope, Join, Operate, ProxyAsk, Refused, SeatStatus, Status,
};
use linenhill_decisions::roster::Unseated;
use linenhill_decisions::shares::table::Effect;
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
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

/// The engine's tick. An election takes 10 to 20 of them, a heartbeat comes every 2.
const TICK: Duration = Duration::from_millis(50);
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// A snapshot that was not taken after so many ticks is sent again.
const SNAPSHOT_TICKS: u64 = 40;
/// Without a request the leader still counts its time so often.
const COUNT_EVERY_US: u64 = 500_000;
/// Messages of others that wait here, and that are taken before the engine goes on: they share an entry and a sync.
const INBOX: usize = 4_096;
const BATCH: usize = 512;
/// Entries after which the state takes the log's place.
const COMPACT_AFTER: u64 = 4_096;
/// Requests that wait for their entry, and for how long: an entry may be lost with its leader.
const WAITING: usize = 16_384;
const WAIT_US: u64 = 5_000_000;
/// Longest request, and the longest entry but for one request more, in bytes: frames must carry it.
const ASK_MOST: usize = 256 << 10;
const ENTRY_MOST: usize = 1 << 20;
/// Others that are talked to.
const PEERS_MOST: usize = 16;
/// How often a newcomer asks to be a keeper.
const JOIN_EVERY: Duration = Duration::from_millis(500);

/// Why a keeper does not start or stops; printed as one line.
#[derive(Debug)]
pub enum KeeperError {
    /// Its disk. It votes no more.
    Disk(DiskError),
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
            KeeperError::Disk(e) => write!(f, "the keeper votes no more: {e}"),
            KeeperError::Engine(e) => write!(f, "the keeper's engine: {e}"),
            KeeperError::File(field) => write!(f, "the operator's file lacks {field}"),
            KeeperError::Stranger(whose) => write!(f, "the store is of {whose}"),
        }
    }
}

impl std::error::Error for KeeperError {}

impl From<DiskError> for KeeperError {
    fn from(e: DiskError) -> KeeperError {
        KeeperError::Disk(e)
    }
}

impl From<raft::Error> for KeeperError {
    fn from(e: raft::Error) -> KeeperError {
        KeeperError::Engine(e)
    }
}

/// Opens the keeper's store, or makes one; `found` begins a new log of which it is the only keeper so far.
pub fn open(operator: &Operator, name: &str, found: bool) -> Result<Disk, KeeperError> {
    let folder = operator.store.as_deref().ok_or(KeeperError::File("instance.store"))?;
    let seat = operator.keepers.iter().find(|k| k.name == name);
    let address = seat.ok_or(KeeperError::File("a keeper of this name"))?.address;
    if Disk::exists(folder) && !found {
        let disk = Disk::open(folder)?;
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
    let (id, founding) = (rng.u64(1..u64::MAX), if found { rng.u64(1..u64::MAX) } else { 0 });
    let cluster = operator.cluster.clone();
    let identity = store::Identity { id, founding, name: name.to_string(), cluster };
    let state = found.then(|| {
        let mut state = State::default();
        state.keepers.insert(id, KeeperSeat { name: name.to_string(), address: address.to_string() });
        state.encode_to_vec()
    });
    Ok(Disk::create(folder, identity, state)?)
}

/// Who waits for the entry of its request.
struct Waiting {
    incarnation: u64,
    seq: u64,
    since: u64,
    reply: mpsc::Sender<Envelope>,
}

struct Keeper {
    node: RawNode<Disk>,
    operator: Operator,
    identity: Rc<Identity>,
    state: State,
    applied: u64,
    compacted: u64,
    peers: BTreeMap<u64, Peer>,
    /// Of this term as leader, up to when its clock has been counted.
    counted: Option<(u64, u64)>,
    /// Commands for the next entry.
    commands: VecDeque<CommandDoc>,
    waiting: VecDeque<Waiting>,
    /// Whether the operator's file has been compared with what is agreed, in this term.
    declared: Option<u64>,
    news: u64,
    led: Option<String>,
    ticks: u64,
}

/// Runs a keeper until its disk or its engine fails.
pub async fn run(
    operator: Operator, name: &str, disk: Disk, listener: TcpListener,
) -> Result<(), KeeperError> {
    let id = disk.identity().id;
    let identity = Rc::new(Identity {
        cluster: operator.cluster.clone(),
        name: name.to_string(),
        incarnation: id,
        keepers: operator.keepers.iter().map(|k| k.name.clone()).collect(),
    });
    let (inbox, mut came) = mpsc::channel(INBOX);
    spawn_local(link::serve(listener, operator.allow.clone(), identity.clone(), inbox));
    let mut keeper = Keeper::start(operator, identity, disk)?;
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut join = interval(JOIN_EVERY);
    join.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (joined, mut answers) = mpsc::channel(8);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                keeper.node.tick();
                keeper.on_tick();
            }
            _ = join.tick(), if !keeper.is_member() => keeper.ask_to_join(&joined),
            Some(answer) = answers.recv() => keeper.on_joined(answer)?,
            Some(incoming) = came.recv() => {
                keeper.take(incoming);
                for _ in 0..BATCH {
                    let Ok(next) = came.try_recv() else { break };
                    keeper.take(next);
                }
            }
        }
        keeper.propose();
        keeper.advance()?;
    }
}

impl Keeper {
    fn start(operator: Operator, identity: Rc<Identity>, disk: Disk) -> Result<Keeper, KeeperError> {
        let applied = disk.snapshot().get_metadata().index;
        let state = match disk.snapshot().get_data() {
            [] => State::default(),
            data => {
                State::decode(data).map_err(|_| KeeperError::File("a state that this version can read"))?
            }
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
        let node = RawNode::new(&config, disk, &logger)?;
        info!("fleet: keeper {} has number {}", identity.name, identity.incarnation);
        let mut keeper = Keeper {
            node,
            operator,
            identity,
            state,
            applied,
            compacted: applied,
            peers: BTreeMap::new(),
            counted: None,
            commands: VecDeque::new(),
            waiting: VecDeque::new(),
            declared: None,
            news: clock::now(),
            led: None,
            ticks: 0,
        };
        keeper.meet();
        Ok(keeper)
    }

    fn id(&self) -> u64 {
        self.identity.incarnation
    }

    fn founding(&self) -> u64 {
        self.node.store().identity().founding
    }

    fn is_member(&self) -> bool {
        self.state.keepers.contains_key(&self.id())
    }

    fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    fn leader(&self) -> String {
        self.state.keepers.get(&self.node.raft.leader_id).map_or_else(String::new, |k| k.name.clone())
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
            let Some(address) = named.or_else(|| seat.address.parse::<SocketAddr>().ok()) else { continue };
            if self.peers.get(other).is_none_or(|p| p.address != address) {
                self.peers.insert(*other, Peer::start(address, self.identity.clone()));
            }
        }
    }

    fn ask_to_join(&self, joined: &mpsc::Sender<Envelope>) {
        let own = self.operator.keepers.iter().find(|k| k.name == self.identity.name).map(|k| k.address);
        let Some(own) = own else { return };
        for other in self.operator.keepers.iter().filter(|k| k.name != self.identity.name) {
            let join = self.identity.say(self.founding(), Body::Join(Join { address: own.to_string() }));
            let (joined, address) = (joined.clone(), other.address);
            spawn_local(async move {
                if let Ok(answer) = link::call(address, join).await {
                    let _ = joined.send(answer).await;
                }
            });
        }
    }

    fn on_joined(&mut self, answer: Envelope) -> Result<(), KeeperError> {
        match answer.body {
            Some(Body::Done(Done { ok: true, .. })) if answer.founding > 0 && self.founding() == 0 => {
                info!("fleet: {} lets this keeper in", answer.from);
                self.node.mut_store().found(answer.founding)?;
            }
            Some(Body::Done(Done { ok: false, text })) => warn!("fleet: {}: {text}", answer.from),
            _ => {}
        }
        Ok(())
    }

    fn on_tick(&mut self) {
        let term = self.node.raft.term;
        if !self.leads() {
            self.counted = None;
            // Whoever waits here asks elsewhere.
            let elsewhere = Body::Elsewhere(Elsewhere { leader: self.leader() });
            for waiting in std::mem::take(&mut self.waiting) {
                let _ = waiting.reply.try_send(self.identity.say(0, elsewhere.clone()));
            }
            self.commands.clear();
        } else if self.declared != Some(term) && self.applied_this_term() {
            self.declared = Some(term);
            let (terms, budgets) = (self.operator.terms, self.operator.budgets.clone());
            if self.state.table.terms != terms || self.state.table.declared != budgets {
                info!("fleet: budgets are declared as this file has them");
                self.commands.push_back(doc(Which::Declare(DeclareDoc { terms, budgets })));
            }
        }
        let late = |w: &Waiting| clock::now() > w.since + WAIT_US;
        while self.waiting.front().is_some_and(late) {
            self.waiting.pop_front();
        }
        self.ticks += 1;
        if self.leads() && self.ticks.is_multiple_of(SNAPSHOT_TICKS) {
            // The engine waits for the end of a snapshot, which may have been lost on its way.
            let waits =
                |(id, p): (&u64, &raft::Progress)| (p.state == raft::ProgressState::Snapshot).then_some(*id);
            let waiting: Vec<u64> = self.node.raft.prs().iter().filter_map(waits).collect();
            waiting.into_iter().for_each(|id| self.node.report_snapshot(id, raft::SnapshotStatus::Failure));
        }
        let leader = Some(self.leader()).filter(|l| !l.is_empty());
        if leader != self.led {
            info!("fleet: leader {} in term {term}", leader.as_deref().unwrap_or("unknown"));
            self.led = leader;
        }
    }

    /// What came before this term is applied: what is compared with the state is the state.
    fn applied_this_term(&self) -> bool {
        self.node.store_term(self.applied) == self.node.raft.term
    }

    fn take(&mut self, incoming: Incoming) {
        let Incoming { envelope, reply } = incoming;
        let Envelope { from, incarnation, founding, body, .. } = envelope;
        match body {
            Some(Body::Raft(bytes)) => {
                // A joiner learns what the keepers have in common from whoever lets it in, and only then votes.
                if founding == 0 || founding != self.founding() {
                    return;
                }
                let named = self.operator.keepers.iter().find(|k| k.name == from).map(|k| k.address);
                let room = self.state.keepers.is_empty() && self.peers.len() < PEERS_MOST;
                if let (Some(address), false) = (named, self.peers.contains_key(&incarnation) || !room) {
                    self.peers.insert(incarnation, Peer::start(address, self.identity.clone()));
                }
                if let Ok(message) = Message::parse_from_bytes(&bytes)
                    && message.to == self.id()
                    && message.from == incarnation
                    && let Err(problem) = self.node.step(message)
                {
                    info!("fleet: a message of {from} was not taken: {problem}");
                }
            }
            Some(Body::Ask(ask)) => self.on_ask(from, incarnation, ask, reply),
            Some(Body::StatusAsk(_)) => {
                let _ = reply.try_send(self.identity.say(0, Body::Status(self.status())));
            }
            Some(Body::Join(join)) => self.on_join(&from, incarnation, &join, &reply),
            Some(Body::Operate(operate)) => {
                let (ok, text) = self.operate(&operate);
                let _ = reply.try_send(self.identity.say(0, Body::Done(Done { ok, text })));
            }
            _ => {}
        }
    }

    fn on_ask(&mut self, name: String, incarnation: u64, ask: ProxyAsk, reply: mpsc::Sender<Envelope>) {
        if !self.leads() || self.waiting.len() >= WAITING {
            let elsewhere = Elsewhere { leader: if self.leads() { String::new() } else { self.leader() } };
            let _ = reply.try_send(self.identity.say(0, Body::Elsewhere(elsewhere)));
            return;
        }
        let seq = ask.ask.seq;
        if ask.encoded_len() > ASK_MOST {
            let reason = format!("a request of over {ASK_MOST} bytes");
            let refused = Refused { seq, superseded: false, reason };
            let _ = reply.try_send(self.identity.say(0, Body::Refused(refused)));
            return;
        }
        self.waiting.push_back(Waiting { incarnation, seq, since: clock::now(), reply });
        self.commands.push_back(doc(Which::Ask(AskDoc { name, incarnation, ask })));
    }

    fn on_join(&mut self, name: &str, id: u64, join: &Join, reply: &mpsc::Sender<Envelope>) {
        if !self.leads() {
            return;
        }
        let (ok, text) = match self.state.keeper(name) {
            Some(known) if known == id => (true, "known".to_string()),
            Some(_) => (
                false,
                format!("keeper {name} has another store: a lost one is replaced by 'fleet replace {name}'"),
            ),
            None if !self.operator.keepers.iter().any(|k| k.name == name) => {
                (false, format!("the leader's file names no keeper {name}"))
            }
            None => {
                let seat = KeeperSeat { name: name.to_string(), address: join.address.clone() };
                let mut change = ConfChange::default();
                change.set_change_type(ConfChangeType::AddNode);
                change.node_id = id;
                change.set_context(seat.encode_to_vec().into());
                match self.node.propose_conf_change(Vec::new(), change) {
                    Ok(()) => (true, "being let in".to_string()),
                    Err(problem) => (false, problem.to_string()),
                }
            }
        };
        let _ = reply.try_send(self.identity.say(self.founding(), Body::Done(Done { ok, text })));
    }

    fn operate(&mut self, operate: &Operate) -> (bool, String) {
        if !self.leads() {
            return (false, format!("the leader is {}", self.leader()));
        }
        if !operate.remove.is_empty() {
            self.commands.push_back(doc(Which::Remove(operate.remove.clone())));
            return (true, format!("{} is taken off; what it holds ends by itself", operate.remove));
        }
        match self.state.keeper(&operate.replace) {
            None => (false, format!("there is no keeper '{}'", operate.replace)),
            Some(id) if id == self.id() => (false, "this keeper leads".to_string()),
            Some(id) => {
                let mut change = ConfChange::default();
                change.set_change_type(ConfChangeType::RemoveNode);
                change.node_id = id;
                match self.node.propose_conf_change(Vec::new(), change) {
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
        let (now, term) = (clock::now(), self.node.raft.term);
        let from = match self.counted {
            Some((counted_term, at)) if counted_term == term => at,
            _ => {
                self.counted = Some((term, now));
                now
            }
        };
        if self.commands.is_empty() && now < from + COUNT_EVERY_US {
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
            match self.node.propose(Vec::new(), Entry { elapsed_us, commands }.encode_to_vec()) {
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
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            self.send(ready.take_messages());
            let snapshot = Some(ready.snapshot().clone()).filter(|s| s.get_metadata().index > 0);
            if let Some(snapshot) = &snapshot {
                let state = State::decode(snapshot.get_data());
                self.state = state.map_err(|_| KeeperError::File("a state that this version can read"))?;
                self.applied = snapshot.get_metadata().index;
                self.compacted = self.applied;
            }
            let batch = Batch { snapshot: snapshot.as_ref(), entries: ready.entries(), hard: ready.hs() };
            self.node.mut_store().save(&batch)?;
            if snapshot.is_some() {
                self.meet();
            }
            let committed = ready.take_committed_entries();
            self.apply(committed)?;
            self.send(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().commit(commit);
            }
            self.send(light.take_messages());
            let committed = light.take_committed_entries();
            self.apply(committed)?;
            self.node.advance_apply();
        }
        if self.applied >= self.compacted + COMPACT_AFTER {
            let (conf, state) = (self.node.raft.prs().conf().to_conf_state(), self.state.encode_to_vec());
            let applied = self.applied;
            self.node.mut_store().compact(applied, &conf, state)?;
            self.compacted = applied;
        }
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>) {
        let founding = self.founding();
        for message in messages {
            let Ok(bytes) = message.write_to_bytes() else { continue };
            let sent = self
                .peers
                .get(&message.to)
                .is_some_and(|peer| peer.send(self.identity.say(founding, Body::Raft(bytes))));
            if !sent {
                self.node.report_unreachable(message.to);
            }
        }
    }

    fn apply(&mut self, entries: Vec<raft::eraftpb::Entry>) -> Result<(), KeeperError> {
        for entry in entries {
            self.applied = entry.index;
            self.news = clock::now();
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let effects = self.state.apply(&entry.data);
                    effects.into_iter().for_each(|effect| self.tell(effect));
                }
                EntryType::EntryConfChange => {
                    let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { continue };
                    let conf = self.node.apply_conf_change(&change)?;
                    match change.get_change_type() {
                        ConfChangeType::RemoveNode => _ = self.state.keepers.remove(&change.node_id),
                        _ => {
                            let seat = KeeperSeat::decode(change.get_context()).unwrap_or_default();
                            info!("fleet: {} is a keeper", seat.name);
                            self.state.keepers.insert(change.node_id, seat);
                        }
                    }
                    self.meet();
                    // A newcomer takes only a snapshot that names it, and is sent the last one there is.
                    let state = self.state.encode_to_vec();
                    self.node.mut_store().compact(entry.index, &conf, state)?;
                    self.compacted = entry.index;
                }
                EntryType::EntryConfChangeV2 => error!("fleet: a change of keepers that nobody makes"),
            }
        }
        Ok(())
    }

    fn tell(&mut self, effect: Effect) {
        let Effect { name, incarnation, answer } = effect;
        let seq = answer.as_ref().map_or(0, |grant| grant.seq);
        let mine = |w: &Waiting| w.incarnation == incarnation && (seq == 0 || w.seq == seq);
        let Some(place) = self.waiting.iter().position(mine) else { return };
        let Some(waiting) = self.waiting.remove(place) else { return };
        let body = match answer {
            Ok(grant) => Body::Granted(grant),
            Err(problem) => {
                let superseded = matches!(problem, Unseated::Superseded);
                if problem != Unseated::Old {
                    info!("fleet: {name} is not let in: {problem:?}");
                }
                Body::Refused(Refused { seq: waiting.seq, superseded, reason: format!("{problem:?}") })
            }
        };
        let _ = waiting.reply.try_send(self.identity.say(0, body));
    }

    fn status(&self) -> Status {
        let role = match self.node.raft.state {
            StateRole::Leader => "leader",
            StateRole::Follower => "follower",
            StateRole::Candidate | StateRole::PreCandidate => "candidate",
        };
        let table = &self.state.table;
        let now = table.roster.now;
        let lease = table.terms.stretched(table.terms.lease_us);
        let seat = |(name, s): (&String, &linenhill_decisions::roster::Seat)| SeatStatus {
            name: name.clone(),
            incarnation: s.incarnation,
            version: s.version.clone(),
            zone: s.zone.clone(),
            heard_ms: now.saturating_sub(s.heard) / 1_000,
            holds: now <= s.heard.saturating_add(lease),
        };
        let budget = |(name, line): (&String, &linenhill_decisions::shares::table::Line)| BudgetStatus {
            name: name.clone(),
            whole: line.budget.as_ref().map_or(0, |b| b.whole),
            counted: line.counted(now),
            in_use: line.holdings.values().map(|h| h.in_use).sum(),
        };
        Status {
            role: role.to_string(),
            leader: self.leader(),
            term: self.node.raft.term,
            applied: self.applied,
            keepers: self.state.keepers.values().map(|k| (k.name.clone(), k.address.clone())).collect(),
            seats: table.roster.seats.iter().map(seat).collect(),
            budgets: table.lines.iter().map(budget).collect(),
            news_ms: clock::now().saturating_sub(self.news) / 1_000,
        }
    }
}

fn doc(which: Which) -> CommandDoc {
    CommandDoc { which: Some(which) }
}

/// The engine's word on the term of an entry, 0 where it has none.
trait StoreTerm {
    fn store_term(&self, index: u64) -> u64;
}

impl StoreTerm for RawNode<Disk> {
    fn store_term(&self, index: u64) -> u64 {
        use raft::Storage;
        self.store().term(index).unwrap_or(0)
    }
}
