//! Renewal of a proxy's lease: finds the leader, sends requests when they are due, and applies the answers.

use super::{FleetClient, random_incarnation};
use crate::clock;
use crate::protocol::{Body, Envelope, LeaseGranted, LeaseRejected, LeaseRequest};
use crate::transport::{self, Connection, InstanceIdentity};
use futures_util::{SinkExt, StreamExt};
use linenhill_decisions::quota::leader_search::LeaderSearch;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The state of [`FleetClient::run`].
struct Renewal {
    client: Rc<FleetClient>,
    search: LeaderSearch,
    /// Connection to the keeper that [`LeaderSearch::current_keeper`] names; none while it is to be opened.
    connection: Option<Connection>,
    /// Whether the proxy held a lease when it was last checked.
    had_lease: bool,
}

/// What the renewal does next.
enum Step {
    SendRequest,
    /// A request may be due earlier, or the lease expired: plan anew.
    Replan,
    /// The keeper did not answer in time, or the connection failed.
    KeeperLost,
    Received(Box<Envelope>),
}

/// What an answer means for the search of the leader.
enum Answer {
    Granted,
    /// Another keeper leads: its place among the configured keepers, if it is one of them.
    NotLeader(Option<usize>),
    /// No answer to the current request.
    Ignored,
}

impl FleetClient {
    /// Renews this proxy's lease. Never returns, unless no keeper is configured.
    pub async fn run(self: Rc<Self>) {
        let search = LeaderSearch::new(self.operator.keepers.len(), self.operator.terms.lease_us);
        let mut renewal = Renewal { client: self, search, connection: None, had_lease: false };
        loop {
            renewal.announce_lease_change();
            let pause_us = if renewal.connection.is_some() {
                renewal.exchange().await
            } else {
                let Some(connecting) = renewal.connect().await else { return };
                connecting.err()
            };
            if let Some(pause_us) = pause_us {
                renewal.connection = None;
                sleep(Duration::from_micros(pause_us)).await;
            }
        }
    }

    fn handle_answer(&self, envelope: Envelope) -> Answer {
        match envelope.body {
            Some(Body::LeaseGranted(granted)) => self.handle_grant(envelope.from, granted),
            Some(Body::NotLeader(redirect)) => {
                let mut keepers = self.operator.keepers.iter();
                Answer::NotLeader(keepers.position(|keeper| keeper.name == redirect.leader))
            }
            Some(Body::LeaseRejected(rejected)) => {
                self.handle_rejection(&rejected);
                Answer::Ignored
            }
            _ => Answer::Ignored,
        }
    }

    fn handle_grant(&self, leader: String, granted: LeaseGranted) -> Answer {
        let LeaseGranted { grant, quarantine } = granted;
        let seq = grant.seq;
        if !self.lease.borrow_mut().apply_grant(clock::now(), grant) {
            return Answer::Ignored;
        }
        let newer_quarantine = self.reporter.borrow_mut().handle_grant(seq, quarantine);
        if let Some(quarantine) = newer_quarantine {
            self.quarantine.send_replace(quarantine);
        }
        self.extend_membership();
        self.last_grant_at.set(clock::now());
        if *self.leader.borrow() != leader {
            info!("fleet: leader {leader}");
            self.leader.replace(leader);
        }
        self.quota_changed.notify_one();
        Answer::Granted
    }

    /// Becomes a new incarnation without quota if another process has this one's name.
    fn handle_rejection(&self, rejected: &LeaseRejected) {
        let identity = self.identity();
        // A rejection of an earlier incarnation must not reject the one drawn since.
        if !rejected.superseded || rejected.incarnation != identity.incarnation {
            return;
        }
        warn!("fleet: another process is {} now; this one has nothing", identity.name);
        let incarnation = random_incarnation();
        let next = InstanceIdentity { incarnation, ..InstanceIdentity::clone(&identity) };
        self.identity.replace(Rc::new(next));
        self.lease.borrow_mut().handle_superseded(clock::now());
        self.reporter.borrow_mut().reset();
        self.quota_changed.notify_one();
    }
}

impl Renewal {
    fn announce_lease_change(&mut self) {
        let has_lease = self.client.lease.borrow().has_lease(clock::now());
        if self.had_lease == has_lease {
            return;
        }
        self.had_lease = has_lease;
        self.client.quota_changed.notify_one();
        let text = if has_lease { "holds its shares" } else { "has no lease and lives on its floors" };
        info!("fleet: {} {text}", self.client.identity().name);
    }

    /// Connects to the keeper to try next; else the pause before the next one, in microseconds. `None` if no keeper is
    /// configured.
    async fn connect(&mut self) -> Option<Result<(), u64>> {
        let keeper = self.client.operator.keepers.get(self.search.current_keeper())?;
        match transport::connect(keeper.address).await {
            Ok(connection) => {
                self.connection = Some(connection);
                self.client.lease.borrow_mut().request_at_once();
                Some(Ok(()))
            }
            Err(_) => Some(Err(self.search.keeper_lost(fastrand::f64()))),
        }
    }

    /// Sends what is due, or handles what arrives. Returns the pause, in microseconds, if the connection is to be closed.
    async fn exchange(&mut self) -> Option<u64> {
        match self.next_step().await? {
            Step::SendRequest => self.send_request().await,
            Step::Replan => None,
            Step::KeeperLost => Some(self.search.keeper_lost(fastrand::f64())),
            Step::Received(envelope) => {
                let answer = self.client.handle_answer(*envelope);
                self.note_answer(answer)
            }
        }
    }

    /// Waits for the next step; `None` without a connection.
    async fn next_step(&mut self) -> Option<Step> {
        let connection = self.connection.as_mut()?;
        let request_at = self.client.lease.borrow().next_request_at();
        let lease_until = self.client.lease.borrow().expiry().quotas;
        let answer_by = self.search.answer_deadline();
        let step = tokio::select! {
            () = sleep(clock::duration_until(request_at)) => Step::SendRequest,
            () = self.client.renewal_due.notified() => Step::Replan,
            () = sleep(clock::duration_until(lease_until)), if self.had_lease => Step::Replan,
            () = sleep(clock::duration_until(answer_by.unwrap_or(0))), if answer_by.is_some() => Step::KeeperLost,
            received = connection.next() => match received {
                Some(Ok(envelope)) => Step::Received(Box::new(envelope)),
                Some(Err(_)) | None => Step::KeeperLost,
            },
        };
        Some(step)
    }

    async fn send_request(&mut self) -> Option<u64> {
        let client = &self.client;
        let quota = client.lease.borrow_mut().next_request(clock::now());
        self.search.request_sent(clock::now());
        let report = client.limits_disruptions().then(|| client.reporter.borrow_mut().next_report(quota.seq));
        let version = client.version.clone();
        let zone = client.operator.zone.clone();
        let request = LeaseRequest { quota, version, zone, report };
        let envelope = client.identity().envelope(0, Body::LeaseRequest(request));
        let limit = Duration::from_micros(self.search.answer_timeout());
        let connection = self.connection.as_mut()?;
        match timeout(limit, connection.send(envelope)).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) | Err(_) => Some(self.search.keeper_lost(fastrand::f64())),
        }
    }

    /// Notes an answer in the search; returns the pause, in microseconds, if another keeper is to be tried.
    fn note_answer(&mut self, answer: Answer) -> Option<u64> {
        match answer {
            Answer::Granted => {
                self.search.request_granted();
                None
            }
            Answer::NotLeader(place) => Some(self.search.redirected(place, fastrand::f64())),
            Answer::Ignored => None,
        }
    }
}
