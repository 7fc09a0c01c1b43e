//! A proxy's side of the fleet: it finds the leader by itself, renews what it holds, and answers what may be used now.
//!
//! Nothing here holds up a request. What may be used is looked up in [`LeaseHolder`] with the clock read at that moment; the
//! rest runs beside it, and while no keeper is there the proxy lives on what it has until that is over by the clock.

use crate::clock;
use crate::log_entry::DisruptionRequest;
use crate::protocol::{
    Body, BudgetStatus, Envelope, EnvelopeCodec, LeaseGranted, LeaseRequest, OperatorReply, OperatorRequest,
    Status,
};
use crate::transport::{self, IncomingMessage, InstanceIdentity};
use futures_util::{SinkExt, StreamExt};
use linenhill_decisions::disruption::reporter::HealthReporter;
use linenhill_decisions::disruption::{Availability, HealthObservation, Quarantine};
use linenhill_decisions::quota::leader_search::LeaderSearch;
use linenhill_decisions::quota::lease_holder::{AcquireDecision, LeaseHolder};
use linenhill_settings::operator::Operator;
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// What others ask of this instance, waiting.
const INBOX: usize = 64;

type Link = Framed<TcpStream, EnvelopeCodec>;

/// A proxy's part in the fleet.
pub struct Fleet {
    holder: RefCell<LeaseHolder>,
    identity: RefCell<Rc<InstanceIdentity>>,
    operator: Operator,
    version: String,
    leader: RefCell<String>,
    answered: Cell<u64>,
    wake: Notify,
    changed: Notify,
    reporter: RefCell<HealthReporter>,
    fence: watch::Sender<Quarantine>,
    /// Until when it is a member whose fence is carried out.
    fenced_until: Cell<u64>,
}

impl Fleet {
    /// Of the instance `name`, in an incarnation that chance draws.
    pub fn new(operator: Operator, name: &str, version: &str) -> Rc<Fleet> {
        let mut holder = LeaseHolder::new(operator.terms.lease_us);
        for (budget, declared) in operator.budgets.iter().filter(|(_, b)| !b.per_key) {
            holder.enforce(budget, declared.is_rate());
        }
        let incarnation = fastrand::Rng::new().u64(1..u64::MAX);
        let identity = InstanceIdentity {
            cluster: operator.cluster.clone(),
            name: name.to_string(),
            incarnation,
            keepers: operator.keepers.iter().map(|k| k.name.clone()).collect(),
        };
        Rc::new(Fleet {
            holder: RefCell::new(holder),
            identity: RefCell::new(Rc::new(identity)),
            operator,
            version: version.to_string(),
            leader: RefCell::default(),
            answered: Cell::new(clock::now()),
            wake: Notify::new(),
            changed: Notify::new(),
            reporter: RefCell::default(),
            fence: watch::channel(Quarantine::default()).0,
            fenced_until: Cell::new(0),
        })
    }

    fn identity(&self) -> Rc<InstanceIdentity> {
        self.identity.borrow().clone()
    }

    /// The operators' file.
    pub fn operator(&self) -> &Operator {
        &self.operator
    }

    /// Says that a budget of which there is one for each thing binds here for one more of them.
    pub fn bind(&self, line: &str) {
        self.holder.borrow_mut().enforce(line, false);
    }

    /// A thing is gone; nothing of its budget may be in use.
    pub fn unbind(&self, line: &str) {
        self.holder.borrow_mut().stop_enforcing(line);
    }

    /// Takes a unit of a held budget, to be used at once.
    pub fn take(&self, line: &str) -> AcquireDecision {
        let leave = self.holder.borrow_mut().acquire(clock::now(), line);
        self.short(leave)
    }

    /// What may be used of a budget now; none where it doesn't bind.
    pub fn limit(&self, line: &str) -> Option<u64> {
        self.holder.borrow().limit(clock::now(), line)
    }

    /// So many units could be used.
    pub fn want(&self, line: &str, units: u64) {
        self.holder.borrow_mut().request_units(line, units);
    }

    /// A unit has ended.
    pub fn give(&self, line: &str) {
        self.holder.borrow_mut().release(line);
    }

    /// Spends a unit of a rate.
    pub fn spend(&self, line: &str) -> AcquireDecision {
        let leave = self.holder.borrow_mut().spend_token(clock::now(), line);
        self.short(leave)
    }

    /// Units in use beyond what may be.
    pub fn excess(&self, line: &str) -> u64 {
        self.holder.borrow().excess(clock::now(), line)
    }

    /// What may be used of a budget changed, or ran out.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn short(&self, leave: AcquireDecision) -> AcquireDecision {
        if leave == AcquireDecision::Exhausted {
            self.wake.notify_one();
        }
        leave
    }

    /// Renews what this proxy holds, for as long as the program runs.
    pub async fn run(self: Rc<Self>) {
        let mut seeking = LeaderSearch::new(self.operator.keepers.len(), self.operator.terms.lease_us);
        let (mut link, mut held) = (None::<Link>, false);
        loop {
            let holds = self.holder.borrow().has_lease(clock::now());
            if held != holds {
                held = holds;
                self.changed.notify_one();
                let text = if holds { "holds its shares" } else { "has no lease and lives on its floors" };
                info!("fleet: {} {text}", self.identity().name);
            }
            let due = self.holder.borrow().next_request_at();
            let until = self.holder.borrow().expiry().quotas;
            let Some(open) = &mut link else {
                let Some(keeper) = self.operator.keepers.get(seeking.current_keeper()) else { return };
                match transport::connect(keeper.address).await {
                    Ok(opened) => {
                        link = Some(opened);
                        self.holder.borrow_mut().request_at_once();
                    }
                    Err(_) => sleep(Duration::from_micros(seeking.keeper_lost(fastrand::f64()))).await,
                }
                continue;
            };
            let answer_by = seeking.answer_deadline();
            let mut pause = None;
            tokio::select! {
                () = sleep(clock::until(due)) => {
                    let ask = self.holder.borrow_mut().next_request(clock::now());
                    seeking.request_sent(clock::now());
                    let (version, zone) = (self.version.clone(), self.operator.zone.clone());
                    let report = self.bounds_outages().then(|| self.reporter.borrow_mut().next_report(ask.seq));
                    let envelope = self.identity().envelope(0, Body::LeaseRequest(LeaseRequest { quota: ask, version, zone, report }));
                    let within = Duration::from_micros(seeking.answer_timeout());
                    if !matches!(timeout(within, open.send(envelope)).await, Ok(Ok(()))) {
                        pause = Some(seeking.keeper_lost(fastrand::f64()));
                    }
                }
                () = self.wake.notified() => {}
                () = sleep(clock::until(until)), if held => {}
                () = sleep(clock::until(answer_by.unwrap_or(0))), if answer_by.is_some() => {
                    pause = Some(seeking.keeper_lost(fastrand::f64()));
                }
                came = open.next() => match came {
                    Some(Ok(envelope)) => match self.on_answer(envelope) {
                        Answer::Granted => seeking.request_granted(),
                        Answer::NotLeader(place) => {
                            pause = Some(seeking.redirected(place, fastrand::f64()));
                        }
                        Answer::Nothing => {}
                    },
                    _ => pause = Some(seeking.keeper_lost(fastrand::f64())),
                },
            }
            if let Some(pause) = pause {
                link = None;
                sleep(Duration::from_micros(pause)).await;
            }
        }
    }

    fn on_answer(&self, envelope: Envelope) -> Answer {
        match envelope.body {
            Some(Body::LeaseGranted(LeaseGranted { grant, quarantine: fence })) => {
                let seq = grant.seq;
                if !self.holder.borrow_mut().apply_grant(clock::now(), grant) {
                    return Answer::Nothing;
                }
                if let Some(newer) = self.reporter.borrow_mut().handle_grant(seq, fence) {
                    self.fence.send_replace(newer);
                }
                self.go_by_fence();
                self.answered.set(clock::now());
                if *self.leader.borrow() != envelope.from {
                    info!("fleet: leader {}", envelope.from);
                    self.leader.replace(envelope.from);
                }
                self.changed.notify_one();
                Answer::Granted
            }
            Some(Body::NotLeader(elsewhere)) => {
                Answer::NotLeader(self.operator.keepers.iter().position(|k| k.name == elsewhere.leader))
            }
            Some(Body::LeaseRejected(refused)) if refused.superseded => {
                // Not an answer to the incarnation that was drawn since.
                if refused.incarnation == self.identity().incarnation {
                    warn!("fleet: another process is {} now; this one has nothing", self.identity().name);
                    let incarnation = fastrand::Rng::new().u64(1..u64::MAX);
                    let next = InstanceIdentity { incarnation, ..InstanceIdentity::clone(&self.identity()) };
                    self.identity.replace(Rc::new(next));
                    self.holder.borrow_mut().handle_superseded(clock::now());
                    self.reporter.borrow_mut().reset();
                    self.changed.notify_one();
                }
                Answer::Nothing
            }
            _ => Answer::Nothing,
        }
    }

    /// This instance's name.
    pub fn name(&self) -> String {
        self.identity().name.clone()
    }

    /// How often what is held is renewed.
    pub fn renews_every(&self) -> Duration {
        Duration::from_micros(self.operator.terms.lease_us / 3)
    }

    /// Whether the operators' file bounds what is out.
    pub fn bounds_outages(&self) -> bool {
        self.operator.outages.is_some()
    }

    /// Whether clients are served: a proxy that is a member no more can't know who is out, nor that it is counted.
    pub fn serves(&self) -> bool {
        !self.bounds_outages() || clock::now() < self.fenced_until.get()
    }

    /// How this process is.
    pub fn own(&self, cause: Availability) {
        if self.reporter.borrow_mut().set_own_availability(cause) {
            self.holder.borrow_mut().request_at_once();
            self.wake.notify_one();
        }
    }

    /// A grant that told of a newer fence makes no member before that fence is carried out.
    fn go_by_fence(&self) {
        if self.reporter.borrow().is_quarantine_applied() {
            self.fenced_until.set(self.holder.borrow().expiry().floors);
        }
    }

    /// How members are seen.
    pub fn see(&self, sights: BTreeMap<String, HealthObservation>) {
        self.reporter.borrow_mut().observe(sights);
    }

    /// To whom nothing new may be sent, now and from then on.
    pub fn fences(&self) -> watch::Receiver<Quarantine> {
        self.fence.subscribe()
    }

    /// That edition of the fence is carried out.
    pub fn carried(&self, edition: u64) {
        self.reporter.borrow_mut().quarantine_applied(edition);
        self.go_by_fence();
        self.holder.borrow_mut().request_at_once();
        self.wake.notify_one();
    }

    /// Wishes something of the keepers: what the leader says, or what each of them said.
    pub async fn wish(&self, outage: DisruptionRequest) -> Result<OperatorReply, String> {
        let operate = OperatorRequest { disruption: Some(outage), ..OperatorRequest::default() };
        transport::send_to_leader(&self.operator.keepers, &self.identity(), operate)
            .await
            .map_err(|e| e.to_string())
    }

    /// Answers operators who ask this proxy for its state.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let (inbox, mut came) = mpsc::channel::<IncomingMessage>(INBOX);
        let served = transport::serve(listener, self.operator.allow.clone(), self.identity(), inbox);
        let answer = async {
            while let Some(IncomingMessage { envelope, reply }) = came.recv().await {
                if matches!(envelope.body, Some(Body::StatusRequest(_))) {
                    let _ = reply.try_send(self.identity().envelope(0, Body::Status(self.status())));
                }
            }
        };
        tokio::join!(served, answer);
    }

    /// What is known here.
    pub fn status(&self) -> Status {
        let (holder, now) = (self.holder.borrow(), clock::now());
        let budget = |name: &str| BudgetStatus {
            name: name.to_string(),
            total: 0,
            committed: holder.limit(now, name).unwrap_or(0),
            in_use: holder.in_use(name),
        };
        let keepers: BTreeMap<String, String> =
            self.operator.keepers.iter().map(|k| (k.name.clone(), k.address.to_string())).collect();
        Status {
            role: "proxy".to_string(),
            leader: self.leader.borrow().clone(),
            keepers,
            budgets: holder.budgets().map(budget).collect(),
            log_age_ms: now.saturating_sub(self.answered.get()) / 1_000,
            ..Status::default()
        }
    }
}

enum Answer {
    Granted,
    NotLeader(Option<usize>),
    Nothing,
}
