//! Renewal of a proxy's lease: finds the leader, sends lease requests when they are due, and applies the answers.

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
    /// Connection to [`LeaderSearch::current_keeper`]; `None` until it is opened.
    connection: Option<Connection>,
    /// Whether the proxy held a lease at the last check.
    had_lease: bool,
}

/// The next step of the renewal.
enum Step {
    SendRequest,
    /// The next request may be due earlier than planned, or the lease expired: the deadlines must be computed again.
    RecomputeDeadlines,
    /// The keeper did not answer before its deadline, or the connection failed.
    KeeperLost,
    Received(Box<Envelope>),
}

/// The result of an answer for the search for the leader.
enum Answer {
    Granted,
    /// The keeper does not lead. Holds the leader's position in the list of keepers, if it is known and listed.
    NotLeader(Option<usize>),
    /// The answer does not affect the search.
    Ignored,
}

impl FleetClient {
    /// Renews this proxy's lease. Returns only if no keeper is configured.
    pub async fn run(self: Rc<Self>) {
        let search = LeaderSearch::new(self.operator.keepers.len(), self.operator.terms.lease_us);
        let mut renewal = Renewal { client: self, search, connection: None, had_lease: false };
        loop {
            renewal.handle_lease_change();
            let delay_us = if renewal.connection.is_some() {
                renewal.exchange().await
            } else {
                let Some(connecting) = renewal.connect().await else { return };
                connecting.err()
            };
            if let Some(delay_us) = delay_us {
                renewal.connection = None;
                sleep(Duration::from_micros(delay_us)).await;
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

    /// Starts a new incarnation without quotas if a newer incarnation holds this proxy's name, or operators removed the
    /// proxy. Ignores all other rejections: the next request follows as planned.
    fn handle_rejection(&self, rejected: &LeaseRejected) {
        let identity = self.identity();
        // A late rejection of an earlier incarnation must not affect the current one.
        if !rejected.superseded || rejected.incarnation != identity.incarnation {
            return;
        }
        warn!("fleet: another process is {} now; this one has no quotas", identity.name);
        let incarnation = random_incarnation();
        let next = InstanceIdentity { incarnation, ..InstanceIdentity::clone(&identity) };
        self.identity.replace(Rc::new(next));
        self.lease.borrow_mut().handle_superseded(clock::now());
        self.reporter.borrow_mut().reset();
        self.quota_changed.notify_one();
    }
}

impl Renewal {
    fn handle_lease_change(&mut self) {
        let has_lease = self.client.lease.borrow().has_lease(clock::now());
        if self.had_lease == has_lease {
            return;
        }
        self.had_lease = has_lease;
        self.client.quota_changed.notify_one();
        let text = if has_lease { "holds a lease" } else { "has no lease and lives on its floors" };
        info!("fleet: {} {text}", self.client.identity().name);
    }

    /// Connects to the current keeper of the search and makes a request due. The error is the delay before the next
    /// keeper is tried, in microseconds; `None` if no keeper is configured.
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

    /// Sends a due request, or handles an answer. If the connection must be closed, returns the delay before the next
    /// keeper is tried, in microseconds.
    async fn exchange(&mut self) -> Option<u64> {
        match self.next_step().await? {
            Step::SendRequest => self.send_request().await,
            Step::RecomputeDeadlines => None,
            Step::KeeperLost => Some(self.search.keeper_lost(fastrand::f64())),
            Step::Received(envelope) => {
                let answer = self.client.handle_answer(*envelope);
                self.record_answer(answer)
            }
        }
    }

    /// Waits for the next step. Returns `None` without a connection.
    async fn next_step(&mut self) -> Option<Step> {
        let connection = self.connection.as_mut()?;
        let request_at = self.client.lease.borrow().next_request_at();
        let lease_until = self.client.lease.borrow().expiry().quotas;
        let deadline = self.search.answer_deadline();
        let step = tokio::select! {
            () = sleep(clock::duration_until(request_at)) => Step::SendRequest,
            () = self.client.renewal_due.notified() => Step::RecomputeDeadlines,
            () = sleep(clock::duration_until(lease_until)), if self.had_lease => Step::RecomputeDeadlines,
            () = sleep(clock::duration_until(deadline.unwrap_or(0))), if deadline.is_some() => Step::KeeperLost,
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
        let send_timeout = Duration::from_micros(self.search.answer_timeout());
        let connection = self.connection.as_mut()?;
        match timeout(send_timeout, connection.send(envelope)).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) | Err(_) => Some(self.search.keeper_lost(fastrand::f64())),
        }
    }

    /// Records an answer in the search. If another keeper must be tried, returns the delay before it, in microseconds.
    fn record_answer(&mut self, answer: Answer) -> Option<u64> {
        match answer {
            Answer::Granted => {
                self.search.request_granted();
                None
            }
            Answer::NotLeader(position) => Some(self.search.redirected(position, fastrand::f64())),
            Answer::Ignored => None,
        }
    }
}
