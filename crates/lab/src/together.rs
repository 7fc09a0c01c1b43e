//! A fleet under virtual time: keepers with the real engine and their real store, proxies with the machines that hold and
//! seek, a network that delays, loses, doubles and cuts, and clocks at the edge of the bound on drift. One seed draws it all.
//!
//! The checker stands outside: it counts the units in use and knows the whole, and nothing of shares.

use crate::disk::{Image, Wrong};
use linenhill_cluster::log_entry::Declaration;
use linenhill_cluster::protocol::{Body, Envelope, LeaseRequest, OperatorRequest};
use linenhill_cluster::raft_node::{self, Action, Event, KeeperError, RaftNode, TICK_US};
use linenhill_cluster::store::{self, KeeperStore};
use linenhill_cluster::transport::InstanceIdentity;
use linenhill_decisions::membership::LeaseTerms;
use linenhill_decisions::quota::leader_search::LeaderSearch;
use linenhill_decisions::quota::lease_holder::{AcquireDecision, LeaseHolder};
use linenhill_decisions::quota::{Budget, Budgets};
use linenhill_settings::operator::{Keeper, Operator};
use prost::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;

/// The budget that is divided.
pub const BUDGET: &str = "units";
const MS: u64 = 1_000;
/// A proxy looks at what it could use so often.
const USE_EVERY: u64 = 20 * MS;
/// What a fault lasts at most before the next may come.
const FAULT_EVERY: u64 = 1_500 * MS;
const HISTORY_MOST: usize = 400;

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Draws everything that is not given here.
    pub seed: u64,
    /// Keepers, from 1 on.
    pub keepers: usize,
    /// Proxies.
    pub proxies: usize,
    /// How long things hold.
    pub terms: LeaseTerms,
    /// Units of the whole fleet.
    pub whole: u64,
    /// What each proxy keeps.
    pub floor: u64,
    /// How long a unit outlives its lease at most, in microseconds.
    pub outlives: u64,
    /// Each proxy looks at what it could use so often, in microseconds.
    pub use_every: u64,
    /// Whether clocks drift, up to the bound.
    pub drift: bool,
    /// Whether units stay in use for as long as they are wanted and may be; else each ends by chance.
    pub steady: bool,
}

impl Plan {
    /// A small fleet under short terms.
    pub fn small(seed: u64, keepers: usize, proxies: usize) -> Plan {
        let terms = LeaseTerms { lease_us: 1_000 * MS, membership_us: 4_000 * MS, drift_ppm: 50_000 };
        let (whole, floor, outlives) = (6, 1, 300 * MS);
        Plan {
            seed,
            keepers,
            proxies,
            terms,
            whole,
            floor,
            outlives,
            use_every: USE_EVERY,
            drift: true,
            steady: false,
        }
    }
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Messages between instances, and their bytes.
    pub messages: u64,
    /// See there.
    pub bytes: u64,
    /// Real time spent in the keepers, in nanoseconds: compared within one run only.
    pub keepers_ns: u64,
    /// Grants that were sent.
    pub grants: u64,
    /// The most units in use at once.
    pub most: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum At {
    Keeper(usize),
    Proxy(usize),
}

/// Of events that lie ahead: those of a life that is over are dropped.
#[derive(Clone, Debug)]
enum Ahead {
    Tick(usize, u64),
    Due(usize, u64),
    Joined(usize, u64, Box<Envelope>),
    Deliver(At, At, u64, Box<Envelope>),
    Wake(usize, u64),
    Use(usize, u64),
    End(usize, u64),
}

struct Clock {
    offset: u64,
    /// Millionths of the true rate.
    rate: u64,
}

impl Clock {
    fn shows(&self, real: u64) -> u64 {
        self.offset + (u128::from(real) * u128::from(self.rate) / 1_000_000) as u64
    }

    fn real(&self, span: u64) -> u64 {
        (u128::from(span) * 1_000_000).div_ceil(u128::from(self.rate)) as u64
    }
}

struct KeeperPart {
    node: Option<RaftNode<Option<At>>>,
    image: Image,
    clock: Clock,
    life: u64,
    /// It is to be called then, on its clock.
    due: Option<u64>,
    stopped: bool,
    held: Vec<Ahead>,
}

struct ProxyPart {
    identity: InstanceIdentity,
    holder: LeaseHolder,
    seeking: LeaderSearch,
    clock: Clock,
    life: u64,
    alive: bool,
    stopped: bool,
    held: Vec<Ahead>,
    /// When it looks at what is due next, in real time: earlier plans for that are void.
    wakes: u64,
    /// It speaks to nobody before that, on its clock.
    paused: u64,
    /// Units that it could use.
    wants: u64,
    /// In use by this life.
    in_use: u64,
}

/// The fleet.
pub struct World {
    plan: Plan,
    rng: fastrand::Rng,
    /// Real time.
    pub now: u64,
    order: u64,
    ahead: BinaryHeap<Reverse<(u64, u64, usize)>>,
    waiting: Vec<Option<Ahead>>,
    free: Vec<usize>,
    operator: Operator,
    keepers: Vec<KeeperPart>,
    proxies: Vec<ProxyPart>,
    /// Ways that carry nothing.
    cut: BTreeMap<(At, At), ()>,
    /// Of a hundred messages so many are lost, and so many come twice or late.
    loss: u64,
    late: u64,
    in_use: u64,
    /// The most that may be in use: the whole, and after it was lowered what it was, until that is over.
    pub bound: u64,
    /// What was counted.
    pub counts: Counts,
    broken: Option<String>,
    history: Vec<String>,
    addresses: BTreeMap<SocketAddr, usize>,
}

impl World {
    /// Starts all of it.
    pub fn new(plan: Plan) -> Result<World, KeeperError> {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let address = |i: usize| SocketAddr::from(([10, 0, 0, 1], 1_000 + i as u16));
        let named = (0..plan.keepers).map(|i| Keeper { name: format!("k{i}"), address: address(i) });
        let Plan { whole, floor, outlives: outlives_us, .. } = plan;
        let budget = Budget { total: whole, floor, burst: 0, outlives_us, per_key: false };
        let operator = operator(named.collect(), plan.terms, [(BUDGET.to_string(), budget)].into());
        let clock = |rng: &mut fastrand::Rng| {
            let drift = if plan.drift { u64::from(plan.terms.drift_ppm as u32) } else { 0 };
            // Mostly at the edges, where a margin that is too small shows.
            let rate = match rng.u8(0..3) {
                0 => 1_000_000 - drift,
                1 => 1_000_000 + drift,
                _ => rng.u64(1_000_000 - drift..=1_000_000 + drift),
            };
            Clock { offset: rng.u64(0..10_000_000_000), rate }
        };
        let keepers = (0..plan.keepers)
            .map(|_| KeeperPart {
                node: None,
                image: Image::default(),
                clock: clock(&mut rng),
                life: 0,
                due: None,
                stopped: false,
                held: Vec::new(),
            })
            .collect();
        let proxies = (0..plan.proxies)
            .map(|i| ProxyPart {
                identity: identity(&operator, &format!("p{i}"), 0),
                holder: LeaseHolder::new(plan.terms.lease_us),
                seeking: LeaderSearch::new(plan.keepers, plan.terms.lease_us),
                clock: clock(&mut rng),
                life: 0,
                alive: false,
                stopped: false,
                held: Vec::new(),
                wakes: 0,
                paused: 0,
                wants: 0,
                in_use: 0,
            })
            .collect();
        let (many, bound) = (plan.keepers, plan.whole);
        let mut world = World {
            plan,
            rng,
            now: 0,
            order: 0,
            ahead: BinaryHeap::new(),
            waiting: Vec::new(),
            free: Vec::new(),
            operator,
            keepers,
            proxies,
            cut: BTreeMap::new(),
            loss: 0,
            late: 0,
            in_use: 0,
            bound,
            counts: Counts::default(),
            broken: None,
            history: Vec::new(),
            addresses: (0..many).map(|i| (address(i), i)).collect(),
        };
        (0..many).for_each(|i| world.start_keeper(i));
        (0..world.proxies.len()).for_each(|i| world.start_proxy(i));
        Ok(world)
    }

    fn note(&mut self, what: String) {
        if self.history.len() < HISTORY_MOST {
            self.history.push(format!("{:.3} {what}", self.now as f64 / 1e6));
        }
    }

    fn after(&mut self, span: u64, what: Ahead) {
        let place = self.free.pop().unwrap_or(self.waiting.len());
        match self.waiting.get_mut(place) {
            Some(slot) => *slot = Some(what),
            None => self.waiting.push(Some(what)),
        }
        self.order += 1;
        self.ahead.push(Reverse((self.now + span, self.order, place)));
    }

    /// Starts a keeper on the disk it has: one without begins a new store, the first of all a new log.
    pub fn start_keeper(&mut self, i: usize) {
        let name = format!("k{i}");
        let keeper = &mut self.keepers[i];
        keeper.life += 1;
        (keeper.stopped, keeper.node, keeper.due) = (false, None, None);
        keeper.held.clear();
        let image = keeper.image.clone();
        let disk = if image.is_blank() {
            let (id, founds) = (self.rng.u64(1..u64::MAX), self.now == 0 && i == 0);
            let log_id = if founds { self.rng.u64(1..u64::MAX) } else { 0 };
            let cluster = self.operator.cluster.clone();
            let identity = store::StoreIdentity { id, log_id, name: name.clone(), cluster };
            let state = founds.then(|| raft_node::initial_state(id, &name, self.operator.keepers[i].address));
            KeeperStore::create_with_backend(image, identity, state)
        } else {
            KeeperStore::open_with_backend(image, &name)
        };
        let opened = disk.map_err(KeeperError::Store).and_then(|disk| {
            let identity = Rc::new(identity(&self.operator, &name, disk.identity().id));
            let shows = self.keepers[i].clock.shows(self.now);
            RaftNode::start(self.operator.clone(), identity, disk, shows, self.rng.u64(..))
        });
        match opened {
            Ok(node) => {
                self.keepers[i].node = Some(node);
                let (first, life) = (self.rng.u64(0..TICK_US), self.keepers[i].life);
                self.after(first, Ahead::Tick(i, life));
            }
            Err(problem) => self.note(format!("k{i} does not start: {problem}")),
        }
    }

    /// Starts a proxy as a new incarnation.
    pub fn start_proxy(&mut self, i: usize) {
        let incarnation = self.rng.u64(1..u64::MAX);
        let (first, second) = (self.rng.u64(0..100 * MS), self.rng.u64(0..self.plan.use_every));
        let proxy = &mut self.proxies[i];
        proxy.life += 1;
        proxy.identity.incarnation = incarnation;
        proxy.holder = LeaseHolder::new(self.plan.terms.lease_us);
        proxy.holder.enforce(BUDGET, false);
        proxy.seeking = LeaderSearch::new(self.plan.keepers, self.plan.terms.lease_us);
        (proxy.alive, proxy.stopped, proxy.paused, proxy.in_use) = (true, false, 0, 0);
        proxy.held.clear();
        let life = proxy.life;
        self.wake_in(i, first);
        self.after(second, Ahead::Use(i, life));
    }

    /// A proxy dies; what it has in use outside ends by itself.
    pub fn kill_proxy(&mut self, i: usize) {
        let (life, left) = (self.proxies[i].life, self.proxies[i].in_use);
        self.proxies[i].alive = false;
        for _ in 0..if self.plan.steady { left } else { 0 } {
            let span = self.rng.u64(1..=self.plan.outlives);
            self.after(span, Ahead::End(i, life));
        }
    }

    /// What a proxy could use from now on.
    pub fn wants(&mut self, i: usize, units: u64) {
        self.proxies[i].wants = units;
    }

    /// Units in use now.
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Units in use by a proxy.
    pub fn in_use_by(&self, i: usize) -> u64 {
        self.proxies[i].in_use
    }

    /// Whether every proxy that lives holds a lease.
    pub fn settled(&self) -> bool {
        let holds = |p: &ProxyPart| !p.alive || p.holder.has_lease(p.clock.shows(self.now));
        self.proxies.iter().all(holds)
    }

    /// The place of the keeper that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        let term = |k: &KeeperPart| k.node.as_ref().filter(|_| !k.stopped).and_then(RaftNode::leader_term);
        (0..self.keepers.len())
            .filter(|i| term(&self.keepers[*i]).is_some())
            .max_by_key(|i| term(&self.keepers[*i]))
    }

    /// A keeper dies with everything but its disk.
    pub fn kill_keeper(&mut self, i: usize) {
        self.keepers[i].node = None;
        self.keepers[i].life += 1;
    }

    /// Nothing that a keeper says reaches a proxy.
    pub fn silence(&mut self, keeper: usize) {
        self.note(format!("k{keeper} says nothing to proxies"));
        let ways = (0..self.proxies.len()).map(|i| ((At::Keeper(keeper), At::Proxy(i)), ()));
        self.cut.extend(ways);
    }

    /// The disk of a keeper fails from now on, or is well again.
    pub fn disk(&mut self, i: usize, wrong: Wrong) {
        self.keepers[i].image.fails(wrong);
    }

    /// Whether a keeper runs.
    pub fn runs(&self, i: usize) -> bool {
        self.keepers[i].node.is_some()
    }

    /// What was broken, with the seed and the history.
    pub fn check(&self) -> Result<(), String> {
        self.broken.as_ref().map_or(Ok(()), |broken| Err(self.story(broken)))
    }

    /// A problem with the seed, what happened, and how the keepers are now.
    pub fn story(&self, problem: &str) -> String {
        let mut text = format!("seed {}: {problem}\n{}\n", self.plan.seed, self.history.join("\n"));
        for (i, keeper) in self.keepers.iter().enumerate() {
            let status = keeper.node.as_ref().map(|n| (n.status(), n.id()));
            text += &status.map_or(format!("k{i} is away\n"), |(s, id)| {
                format!(
                    "k{i} {id:x}: {} of {:?} in term {}, entry {}, keepers {:?}\n",
                    s.role, s.leader, s.term, s.applied, s.keepers
                )
            });
        }
        text
    }

    /// Plays until that moment.
    pub fn until(&mut self, at: u64) {
        while let Some(Reverse((when, _, place))) = self.ahead.peek().copied()
            && when <= at
        {
            self.ahead.pop();
            self.now = when;
            let ahead = self.waiting[place].take();
            self.free.push(place);
            ahead.into_iter().for_each(|a| self.happen(a));
        }
        self.now = self.now.max(at);
    }

    /// Plays until `done`, and says how long it took; none if it did not come within `most`.
    pub fn wait(&mut self, most: u64, done: impl Fn(&World) -> bool) -> Option<u64> {
        let from = self.now;
        while !done(self) {
            if self.now >= from + most {
                return None;
            }
            self.until(self.now + 10 * MS);
        }
        Some(self.now - from)
    }

    fn happen(&mut self, ahead: Ahead) {
        // What comes to a process that is stopped waits for it; timers of one that is dead are gone with it.
        let (life, stopped, held) = match &ahead {
            Ahead::Tick(i, _)
            | Ahead::Due(i, _)
            | Ahead::Joined(i, ..)
            | Ahead::Deliver(_, At::Keeper(i), ..) => {
                let k = &mut self.keepers[*i];
                (k.life, k.stopped, &mut k.held)
            }
            Ahead::Wake(i, _) | Ahead::Use(i, _) | Ahead::Deliver(_, At::Proxy(i), ..) => {
                let p = &mut self.proxies[*i];
                (p.life, p.stopped, &mut p.held)
            }
            Ahead::End(i, of) => {
                self.in_use -= 1;
                if self.proxies[*i].life == *of {
                    self.proxies[*i].in_use -= 1;
                    self.proxies[*i].holder.release(BUDGET);
                }
                return;
            }
        };
        let (Ahead::Tick(_, of)
        | Ahead::Due(_, of)
        | Ahead::Joined(_, of, _)
        | Ahead::Wake(_, of)
        | Ahead::Use(_, of)
        | Ahead::Deliver(_, _, of, _)
        | Ahead::End(_, of)) = ahead;
        if life != of {
            return;
        }
        if stopped {
            held.push(ahead);
            return;
        }
        match ahead {
            Ahead::Tick(i, life) => {
                let span = self.keepers[i].clock.real(TICK_US);
                self.after(span, Ahead::Tick(i, life));
                self.feed(i, Some(Event::Tick));
            }
            Ahead::Due(i, _) => {
                self.keepers[i].due = None;
                self.feed(i, None);
            }
            Ahead::Joined(i, _, answer) => self.feed(i, Some(Event::JoinReply(*answer))),
            Ahead::Deliver(from, At::Keeper(i), _, say) => {
                self.feed(i, Some(Event::Received(*say, Some(from))))
            }
            Ahead::Deliver(_, At::Proxy(i), _, say) => self.answered(i, *say),
            Ahead::Wake(i, _) => {
                if self.now >= self.proxies[i].wakes {
                    self.wake(i);
                }
            }
            Ahead::Use(i, life) => {
                if self.proxies[i].alive {
                    self.take(i);
                    self.after(self.plan.use_every, Ahead::Use(i, life));
                }
            }
            Ahead::End(..) => {}
        }
    }

    fn feed(&mut self, i: usize, event: Option<Event<Option<At>>>) {
        let shows = self.keepers[i].clock.shows(self.now);
        let Some(node) = &mut self.keepers[i].node else { return };
        let began = std::time::Instant::now();
        let done = node.handle(shows, event);
        let due = node.next_call_at();
        self.counts.keepers_ns += began.elapsed().as_nanos() as u64;
        let actions = match done {
            Ok(actions) => actions,
            Err(problem) => {
                self.note(format!("k{i} ends: {problem}"));
                self.kill_keeper(i);
                return;
            }
        };
        let keeper = &mut self.keepers[i];
        if let (Some(due), None) = (due, keeper.due) {
            let (span, life) = (keeper.clock.real(due.saturating_sub(shows)), keeper.life);
            keeper.due = Some(due);
            self.after(span, Ahead::Due(i, life));
        }
        for action in actions {
            match action {
                Action::Reply(Some(to), say) => self.send(At::Keeper(i), to, say),
                Action::Send(id, say) => {
                    let place = |k: &KeeperPart| k.node.as_ref().is_some_and(|n| n.id() == id);
                    if let Some(to) = self.keepers.iter().position(place) {
                        self.send(At::Keeper(i), At::Keeper(to), say);
                    }
                }
                Action::RequestJoin(address, say) => {
                    if let Some(to) = self.addresses.get(&address).copied() {
                        self.send(At::Keeper(i), At::Keeper(to), say);
                    }
                }
                Action::Reply(None, _) | Action::SetPeers(_) => {}
            }
        }
    }

    fn send(&mut self, from: At, to: At, say: Envelope) {
        self.counts.messages += 1;
        self.counts.bytes += say.encoded_len() as u64;
        self.counts.grants += u64::from(matches!(say.body, Some(Body::LeaseGranted(_))));
        if self.cut.contains_key(&(from, to)) || self.rng.u64(0..100) < self.loss {
            return;
        }
        let twice = self.rng.u64(0..100) < self.late;
        for _ in 0..=usize::from(twice) {
            let mut span = self.rng.u64(200..2_000);
            if self.rng.u64(0..100) < self.late {
                span += self.rng.u64(0..1_500 * MS);
            }
            let ahead = match (to, &say.body) {
                (At::Keeper(i), Some(Body::OperatorReply(_))) => {
                    Ahead::Joined(i, self.keepers[i].life, Box::new(say.clone()))
                }
                (At::Keeper(i), _) => Ahead::Deliver(from, to, self.keepers[i].life, Box::new(say.clone())),
                (At::Proxy(i), _) => Ahead::Deliver(from, to, self.proxies[i].life, Box::new(say.clone())),
            };
            self.after(span, ahead);
        }
    }

    fn wake(&mut self, i: usize) {
        let proxy = &mut self.proxies[i];
        let now = proxy.clock.shows(self.now);
        if !proxy.alive {
            return;
        }
        let due = proxy.holder.next_request_at();
        if proxy.seeking.answer_deadline().is_some_and(|by| now >= by) {
            proxy.paused = now + proxy.seeking.keeper_lost(self.rng.f64());
            proxy.holder.request_at_once();
        }
        let proxy = &mut self.proxies[i];
        if now >= due && now >= proxy.paused {
            let ask = proxy.holder.next_request(now);
            proxy.seeking.request_sent(now);
            let body = Body::LeaseRequest(LeaseRequest {
                quota: ask,
                version: String::new(),
                zone: String::new(),
                report: None,
            });
            let (say, to) = (proxy.identity.envelope(0, body), At::Keeper(proxy.seeking.current_keeper()));
            self.send(At::Proxy(i), to, say);
        }
        let proxy = &self.proxies[i];
        let due = proxy.holder.next_request_at().max(proxy.paused);
        let next = proxy.seeking.answer_deadline().map_or(due, |by| by.min(due)).max(now + MS);
        let span = proxy.clock.real(next - now);
        self.wake_in(i, span);
    }

    fn wake_in(&mut self, i: usize, span: u64) {
        let proxy = &mut self.proxies[i];
        proxy.wakes = self.now + span;
        let life = proxy.life;
        self.after(span, Ahead::Wake(i, life));
    }

    fn answered(&mut self, i: usize, say: Envelope) {
        let proxy = &mut self.proxies[i];
        let now = proxy.clock.shows(self.now);
        match say.body {
            Some(Body::LeaseGranted(granted)) => {
                let news = proxy.holder.apply_grant(now, granted.grant);
                news.then(|| proxy.seeking.request_granted());
            }
            Some(Body::NotLeader(elsewhere)) => {
                let leader = self.operator.keepers.iter().position(|k| k.name == elsewhere.leader);
                proxy.paused = now + proxy.seeking.redirected(leader, self.rng.f64());
                proxy.holder.request_at_once();
            }
            Some(Body::LeaseRejected(refused))
                if refused.superseded && refused.incarnation == proxy.identity.incarnation =>
            {
                proxy.identity.incarnation = self.rng.u64(1..u64::MAX);
                proxy.holder.handle_superseded(now);
            }
            _ => {}
        }
    }

    fn take(&mut self, i: usize) {
        let proxy = &mut self.proxies[i];
        let now = proxy.clock.shows(self.now);
        if self.plan.steady {
            let over = proxy.in_use.saturating_sub(proxy.wants).max(proxy.holder.excess(now, BUDGET));
            (0..over).for_each(|_| proxy.holder.release(BUDGET));
            (proxy.in_use, self.in_use) = (proxy.in_use - over, self.in_use - over);
        }
        let (life, before) = (proxy.life, proxy.in_use);
        let mut short = false;
        for _ in before..proxy.wants {
            let took = proxy.holder.acquire(now, BUDGET) == AcquireDecision::Acquired;
            proxy.in_use += u64::from(took);
            short |= !took;
        }
        let begun = proxy.in_use - before;
        let due = proxy.holder.next_request_at().max(proxy.paused).saturating_sub(now);
        let (span, wakes) = (proxy.clock.real(due.min(1 << 40)), proxy.wakes);
        if short && self.now + span < wakes {
            self.wake_in(i, span);
        }
        self.in_use += begun;
        let taken = self.in_use;
        self.counts.most = self.counts.most.max(taken);
        if taken > self.bound && self.broken.is_none() {
            self.broken = Some(format!("{taken} of {} in use at {}", self.bound, self.now));
        }
        // A unit lives no longer than it may outlive its lease.
        for _ in 0..if self.plan.steady { 0 } else { begun } {
            let span = self.rng.u64(1..=self.plan.outlives);
            self.after(span, Ahead::End(i, life));
        }
    }

    /// One fault by chance, or all well again; then time goes on.
    pub fn fault(&mut self) {
        let (k, p) = (self.rng.usize(0..self.keepers.len()), self.rng.usize(0..self.proxies.len()));
        let all: Vec<At> =
            (0..self.keepers.len()).map(At::Keeper).chain((0..self.proxies.len()).map(At::Proxy)).collect();
        let (one, other) = (all[self.rng.usize(0..all.len())], At::Keeper(k));
        match self.rng.u8(0..14) {
            0 => {
                self.note(format!("p{p} killed and started"));
                self.start_proxy(p);
            }
            1 | 2 => {
                self.note(format!("k{k} killed and started"));
                self.kill_keeper(k);
                self.start_keeper(k);
            }
            3 => {
                self.note(format!("k{k} killed"));
                self.kill_keeper(k);
            }
            4 | 5 => {
                self.note(format!("p{p} stopped"));
                self.proxies[p].stopped = true;
            }
            6 => {
                self.note(format!("k{k} stopped"));
                self.keepers[k].stopped = true;
            }
            7 | 8 => {
                self.note(format!("nothing from {one:?} to {other:?}"));
                self.cut.insert((one, other), ());
            }
            9 => {
                self.note(format!("nothing from {other:?} to {one:?}"));
                self.cut.insert((other, one), ());
            }
            10 => {
                (self.loss, self.late) = (self.rng.u64(0..30), self.rng.u64(0..40));
                self.note(format!("{} in 100 lost, {} late or twice", self.loss, self.late));
            }
            11 => {
                let units = self.rng.u64(0..2 * self.plan.whole);
                self.note(format!("p{p} could use {units}"));
                self.wants(p, units);
            }
            _ => self.heal(),
        }
        let span = self.rng.u64(20 * MS..FAULT_EVERY);
        self.until(self.now + span);
    }

    /// Everything is well again.
    pub fn heal(&mut self) {
        self.note("all is well".into());
        self.cut.clear();
        (self.loss, self.late) = (0, 0);
        for i in 0..self.keepers.len() {
            self.keepers[i].stopped = false;
            let held = std::mem::take(&mut self.keepers[i].held);
            held.into_iter().for_each(|a| self.after(0, a));
            if self.keepers[i].node.is_none() {
                self.start_keeper(i);
            }
        }
        for i in 0..self.proxies.len() {
            self.proxies[i].stopped = false;
            let held = std::mem::take(&mut self.proxies[i].held);
            held.into_iter().for_each(|a| self.after(0, a));
        }
    }

    /// Another whole is declared, by the file of a newer revision; what was granted of a larger one counts until it is over.
    pub fn declare(&mut self, whole: u64) {
        self.operator.revision += 1;
        self.operator.budgets.values_mut().for_each(|b| b.total = whole);
        self.bound = self.bound.max(whole);
        let Some(leader) = self.leader() else { return };
        let declare = Some(Declaration::from(&self.operator));
        let body = Body::OperatorRequest(OperatorRequest { declare, ..OperatorRequest::default() });
        let say = identity(&self.operator, "operators", 1).envelope(0, body);
        self.feed(leader, Some(Event::Received(say, None)));
    }
}

/// The operators' file of a fleet that bounds nothing but these budgets.
pub fn operator(keepers: Vec<Keeper>, terms: LeaseTerms, budgets: Budgets) -> Operator {
    Operator {
        cluster: "lab".into(),
        listen: None,
        allow: Vec::new(),
        zone: String::new(),
        store: None,
        keepers,
        terms,
        budgets,
        bindings: Vec::new(),
        revision: 1,
        outages: None,
    }
}

fn identity(operator: &Operator, name: &str, incarnation: u64) -> InstanceIdentity {
    let keepers = operator.keepers.iter().map(|k| k.name.clone()).collect();
    InstanceIdentity { cluster: operator.cluster.clone(), name: name.to_string(), incarnation, keepers }
}
