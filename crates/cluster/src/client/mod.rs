//! A proxy's side of the fleet: it renews the proxy's lease at the leader, and answers what the proxy may use now.
//!
//! No request of a client ever waits here. Quotas are looked up in [`LeaseHolder`] with the clock read at that moment, and
//! [`FleetClient::run`] renews them beside. While no keeper answers, the proxy uses what it was granted until that expires.

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

/// Renewals in the time of one lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// A proxy's membership, quotas and disruption state.
///
/// All borrows of its cells end before the method returns or awaits.
pub struct FleetClient {
    lease: RefCell<LeaseHolder>,
    identity: RefCell<Rc<InstanceIdentity>>,
    operator: Operator,
    /// Software version of the proxy.
    version: String,
    /// Name of the leader that granted last; empty before.
    leader: RefCell<String>,
    /// Time of the last grant, on [`clock`]. Microseconds.
    last_grant_at: Cell<u64>,
    /// Wakes the renewal, because a request became due earlier.
    renewal_due: Notify,
    quota_changed: Notify,
    reporter: RefCell<HealthReporter>,
    quarantine: watch::Sender<Quarantine>,
    /// The proxy counts as a member that applies the quarantine until then, on [`clock`]. Microseconds.
    member_until: Cell<u64>,
}

impl FleetClient {
    /// The client of the proxy `name`, as a new incarnation.
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

    /// The operators' file.
    pub fn operator(&self) -> &Operator {
        &self.operator
    }

    /// Interval at which the lease is renewed.
    pub fn renewal_interval(&self) -> Duration {
        Duration::from_micros(self.operator.terms.lease_us / RENEWALS_PER_LEASE)
    }

    /// Starts to enforce the entry of a budget that exists per key, such as per member.
    pub fn enforce(&self, entry: &str) {
        self.lease.borrow_mut().enforce(entry, false);
    }

    /// Stops to enforce an entry, because its key is gone. No unit of it may be in use.
    pub fn stop_enforcing(&self, entry: &str) {
        self.lease.borrow_mut().stop_enforcing(entry);
    }

    /// Acquires a unit of a budget of units in use. An acquired unit must be given back by [`FleetClient::release`].
    pub fn acquire(&self, entry: &str) -> AcquireDecision {
        let decision = self.lease.borrow_mut().acquire(clock::now(), entry);
        self.renew_if_exhausted(decision)
    }

    /// Gives an acquired unit back.
    pub fn release(&self, entry: &str) {
        self.lease.borrow_mut().release(entry);
    }

    /// Spends a token of a budget that is a rate.
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

    /// Units that may be used now; none where the budget is not enforced.
    pub fn limit(&self, entry: &str) -> Option<u64> {
        self.lease.borrow().limit(clock::now(), entry)
    }

    /// Records a demand for `units`, which the next request reports.
    pub fn request_units(&self, entry: &str, units: u64) {
        self.lease.borrow_mut().request_units(entry, units);
    }

    /// Units in use beyond the limit.
    pub fn excess(&self, entry: &str) -> u64 {
        self.lease.borrow().excess(clock::now(), entry)
    }

    /// Returns once limits changed: by a grant, or because one expired.
    pub async fn quota_changed(&self) {
        self.quota_changed.notified().await;
    }

    /// Whether the operators' file limits disruptions.
    pub fn limits_disruptions(&self) -> bool {
        self.operator.outages.is_some()
    }

    /// Whether clients may be served. Where disruptions are limited, a proxy that is no member any more must not serve: it
    /// knows neither the quarantine, nor whether it still counts.
    pub fn may_serve(&self) -> bool {
        !self.limits_disruptions() || clock::now() < self.member_until.get()
    }

    /// Records the availability of this proxy. A change is reported at once.
    pub fn set_own_availability(&self, availability: Availability) {
        if self.reporter.borrow_mut().set_own_availability(availability) {
            self.request_at_once();
        }
    }

    /// Records how this proxy observes the members, for the next report.
    pub fn observe_members(&self, observations: BTreeMap<String, HealthObservation>) {
        self.reporter.borrow_mut().observe(observations);
    }

    /// The quarantine in force, and its later editions. Members in it must get no new requests.
    pub fn subscribe_quarantine(&self) -> watch::Receiver<Quarantine> {
        self.quarantine.subscribe()
    }

    /// Confirms that this proxy applies that edition of the quarantine. Reported at once.
    pub fn quarantine_applied(&self, edition: u64) {
        self.reporter.borrow_mut().quarantine_applied(edition);
        self.extend_membership();
        self.request_at_once();
    }

    /// Extends the membership to that of the last grant, unless the grant named a quarantine that is not applied yet.
    fn extend_membership(&self) {
        if self.reporter.borrow().is_quarantine_applied() {
            self.member_until.set(self.lease.borrow().expiry().floors);
        }
    }

    fn request_at_once(&self) {
        self.lease.borrow_mut().request_at_once();
        self.renewal_due.notify_one();
    }

    /// Asks the leader to change the disruption table.
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
