//! The proxy's client of the keepers: renews the proxy's lease at the leader, and decides whether a unit may be used
//! now.
//!
//! Client requests never wait for a keeper: each check reads the clock and the local [`LeaseHolder`], which
//! [`FleetClient::run`] renews concurrently. While no keeper answers, the proxy uses its granted quotas until the lease
//! expires, and after that its floors until the membership expires.

mod renewal;
mod status;

use crate::clock;
use crate::log_entry::DisruptionRequest;
use crate::protocol::{OperatorReply, OperatorRequest};
use crate::transport::{self, InstanceIdentity, OperatorCallError};
use linenhill_decisions::disruption::reporter::HealthReporter;
use linenhill_decisions::disruption::{Availability, HealthObservation, Quarantine};
use linenhill_decisions::quota::lease_holder::{AcquireDecision, LeaseHolder};
use linenhill_settings::operator::Operator;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Number of renewals within the duration of one lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// A proxy's membership, quotas and disruption state.
///
/// Methods must not hold a borrow of a cell across an await or after they return.
pub struct FleetClient {
    lease: RefCell<LeaseHolder>,
    identity: RefCell<Rc<InstanceIdentity>>,
    operator: Operator,
    /// Software version of the proxy.
    version: String,
    /// Name of the leader that sent the last grant; empty before the first grant.
    leader: RefCell<String>,
    /// Time of the last grant, or of the start before the first one, on [`clock`]. Microseconds.
    last_grant_at: Cell<u64>,
    /// Wakes the renewal when the next request may be due earlier than planned.
    renewal_due: Notify,
    quota_changed: Notify,
    reporter: RefCell<HealthReporter>,
    quarantine: watch::Sender<Quarantine>,
    /// End of the proxy's membership, in microseconds of [`clock`]. Extended only while the proxy applies the last
    /// received quarantine.
    member_until: Cell<u64>,
}

impl FleetClient {
    /// Creates the client of the proxy `name`, with a new incarnation. Enforces all budgets that are not per key.
    pub fn new(operator: Operator, name: &str, version: &str) -> Rc<FleetClient> {
        let mut lease = LeaseHolder::new(operator.terms.lease_us);
        for (budget, declared) in operator.budgets.iter().filter(|(_, declared)| !declared.per_key) {
            lease.enforce(budget, declared.is_rate());
        }
        let identity = InstanceIdentity {
            cluster: operator.cluster.clone(),
            name: name.to_string(),
            incarnation: random_incarnation(),
            keepers: operator.keepers.iter().map(|keeper| keeper.name.clone()).collect(),
        };
        Rc::new(FleetClient {
            lease: RefCell::new(lease),
            identity: RefCell::new(Rc::new(identity)),
            operator,
            version: version.to_string(),
            leader: RefCell::default(),
            last_grant_at: Cell::new(clock::now()),
            renewal_due: Notify::new(),
            quota_changed: Notify::new(),
            reporter: RefCell::default(),
            quarantine: watch::channel(Quarantine::default()).0,
            member_until: Cell::new(0),
        })
    }

    fn identity(&self) -> Rc<InstanceIdentity> {
        self.identity.borrow().clone()
    }

    /// Name of this proxy.
    pub fn name(&self) -> String {
        self.identity().name.clone()
    }

    /// The operators' file with which the proxy was started.
    pub fn operator(&self) -> &Operator {
        &self.operator
    }

    /// Interval between renewals of the lease, by the operators' file. The lease is renewed earlier if units are
    /// lacking.
    pub fn renewal_interval(&self) -> Duration {
        Duration::from_micros(self.operator.terms.lease_us / RENEWALS_PER_LEASE)
    }

    /// Starts enforcing an entry of a budget that has one entry per key, such as per member. No unit may be used until
    /// a grant contains the entry.
    pub fn enforce(&self, entry: &str) {
        self.lease.borrow_mut().enforce(entry, false);
    }

    /// Stops enforcing an entry whose key was removed. Units in use must still be released.
    pub fn stop_enforcing(&self, entry: &str) {
        self.lease.borrow_mut().stop_enforcing(entry);
    }

    /// Acquires a unit of a budget that limits units in use, to be returned by [`FleetClient::release`]. If the quota
    /// is exhausted, wakes the renewal.
    pub fn acquire(&self, entry: &str) -> AcquireDecision {
        let decision = self.lease.borrow_mut().acquire(clock::now(), entry);
        self.renew_if_exhausted(decision)
    }

    /// Returns an acquired unit.
    pub fn release(&self, entry: &str) {
        self.lease.borrow_mut().release(entry);
    }

    /// Spends a token of a budget that limits a rate. If the quota is exhausted, wakes the renewal.
    pub fn spend_token(&self, entry: &str) -> AcquireDecision {
        let decision = self.lease.borrow_mut().spend_token(clock::now(), entry);
        self.renew_if_exhausted(decision)
    }

    fn renew_if_exhausted(&self, decision: AcquireDecision) -> AcquireDecision {
        if decision == AcquireDecision::Exhausted {
            self.renewal_due.notify_one();
        }
        decision
    }

    /// Units that may be in use now, or thousandths of a unit per second for a rate; `None` if the budget is not
    /// enforced.
    pub fn limit(&self, entry: &str) -> Option<u64> {
        self.lease.borrow().limit(clock::now(), entry)
    }

    /// Raises the demand that the next lease request reports to at least `units`.
    pub fn request_units(&self, entry: &str, units: u64) {
        self.lease.borrow_mut().request_units(entry, units);
    }

    /// Units in use beyond the limit; 0 for a rate.
    pub fn excess(&self, entry: &str) -> u64 {
        self.lease.borrow().excess(clock::now(), entry)
    }

    /// Waits until limits may have changed, by a grant, by expiry or by a new incarnation. Wakes one waiter.
    pub async fn quota_changed(&self) {
        self.quota_changed.notified().await;
    }

    /// Whether the operators' file limits disruptions of proxies and members.
    pub fn limits_disruptions(&self) -> bool {
        self.operator.outages.is_some()
    }

    /// Whether clients may be served. Where disruptions are limited, a proxy whose membership expired must not serve:
    /// it may miss changes of the quarantine, and may no longer be counted as in service.
    pub fn may_serve(&self) -> bool {
        !self.limits_disruptions() || clock::now() < self.member_until.get()
    }

    /// Records the availability of this proxy. A change is reported immediately.
    pub fn set_own_availability(&self, availability: Availability) {
        if self.reporter.borrow_mut().set_own_availability(availability) {
            self.request_at_once();
        }
    }

    /// Records this proxy's observations of the members, for the next report.
    pub fn observe_members(&self, observations: BTreeMap<String, HealthObservation>) {
        self.reporter.borrow_mut().observe(observations);
    }

    /// Subscribes to the quarantine and its later editions. No new requests may be sent to quarantined members.
    pub fn subscribe_quarantine(&self) -> watch::Receiver<Quarantine> {
        self.quarantine.subscribe()
    }

    /// Records that this proxy applies this edition of the quarantine, which may extend its membership, and reports it
    /// immediately.
    pub fn quarantine_applied(&self, edition: u64) {
        self.reporter.borrow_mut().quarantine_applied(edition);
        self.extend_membership();
        self.request_at_once();
    }

    /// Extends the membership to the end that the last grant set, unless a received quarantine is not applied yet.
    fn extend_membership(&self) {
        if self.reporter.borrow().is_quarantine_applied() {
            self.member_until.set(self.lease.borrow().expiry().floors);
        }
    }

    fn request_at_once(&self) {
        self.lease.borrow_mut().request_at_once();
        self.renewal_due.notify_one();
    }

    /// Sends the leader a request to change the disruption table.
    ///
    /// # Errors
    /// No leader decided on the request.
    pub async fn request_disruption(
        &self, request: DisruptionRequest,
    ) -> Result<OperatorReply, OperatorCallError> {
        let request = OperatorRequest { disruption: Some(request), ..OperatorRequest::default() };
        transport::send_to_leader(&self.operator.keepers, &self.identity(), request).await
    }
}

fn random_incarnation() -> u64 {
    fastrand::Rng::new().u64(1..u64::MAX)
}
