//! Disruption limits in a proxy: reports the availability of the proxy and its observations of members to the keepers,
//! applies the quarantine, and requests permits. The leader decides on permits, by the rules in
//! `linenhill_decisions::disruption`. This module must not decide on permits, and must never confirm a quarantine that
//! the driver of the decisions has not applied.

use crate::clients::lifecycle_driver::LifecycleDriver;
use crate::stages::DriverInput;
use linenhill_cluster::client::FleetClient;
use linenhill_cluster::log_entry::{DisruptionAction, DisruptionRequest};
use linenhill_cluster::protocol::OperatorReply;
use linenhill_cluster::transport::OperatorCallError;
use linenhill_decisions::disruption::{Availability, Quarantine, Subject};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Interval at which a permit request is repeated until all proxies have confirmed the permit.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which all proxies must confirm a permit.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Limit of attempts to return this proxy's own permit while no leader decides.
const MAX_RETURN_ATTEMPTS: usize = 100;

/// Reports availability to the fleet and applies its quarantine. Returns only when the sender of the serving state or
/// of the quarantine is dropped.
pub async fn run(
    fleet: Rc<FleetClient>, lifecycle: Rc<LifecycleDriver>, inbox: mpsc::UnboundedSender<DriverInput>,
) {
    let mut serving_state = lifecycle.subscribe();
    let mut quarantine = fleet.subscribe_quarantine();
    let mut report_interval = interval(fleet.renewal_interval());
    report_interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        fleet.set_own_availability(lifecycle.availability());
        tokio::select! {
            changed = serving_state.changed() => if changed.is_err() { return },
            _ = report_interval.tick() => report_members(&fleet, &inbox).await,
            changed = quarantine.changed() => {
                if changed.is_err() {
                    return;
                }
                let quarantine = quarantine.borrow_and_update().clone();
                apply_quarantine(&fleet, &inbox, quarantine).await;
            }
        }
    }
}

/// Requests the driver's observations of the members, and records them for the next report.
async fn report_members(fleet: &FleetClient, inbox: &mpsc::UnboundedSender<DriverInput>) {
    let (reply, observations) = oneshot::channel();
    let _ = inbox.send(DriverInput::HealthObservationsRequested(reply));
    if let Ok(observations) = observations.await {
        fleet.observe_members(observations);
    }
}

/// Passes a quarantine to the driver, and confirms the quarantine once the driver has applied it and sends no new
/// requests to the quarantined members.
async fn apply_quarantine(
    fleet: &FleetClient, inbox: &mpsc::UnboundedSender<DriverInput>, quarantine: Quarantine,
) {
    let (reply, applied) = oneshot::channel();
    let _ = inbox.send(DriverInput::QuarantineChanged(quarantine.members, reply));
    if applied.await.is_ok() {
        fleet.quarantine_applied(quarantine.edition);
    }
}

/// Why a disruption request did not succeed.
#[derive(Debug)]
pub enum DisruptionError {
    /// The leader denied the request. Holds the text of the leader's reply.
    Denied(String),
    /// The permit is granted, but these proxies have not confirmed it before the timeout. A repeated request reports
    /// the proxies that remain. Empty if no reply arrived before the timeout.
    Unconfirmed(Vec<String>),
    /// No leader decided on the request.
    NoLeader(OperatorCallError),
}

impl fmt::Display for DisruptionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DisruptionError::Denied(text) => f.write_str(text),
            DisruptionError::Unconfirmed(proxies) => write!(f, "not confirmed yet by {}", proxies.join(", ")),
            DisruptionError::NoLeader(error) => write!(f, "no keeper answers: {error}"),
        }
    }
}

impl std::error::Error for DisruptionError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            DisruptionError::NoLeader(error) => Some(error),
            DisruptionError::Denied(_) | DisruptionError::Unconfirmed(_) => None,
        }
    }
}

impl From<OperatorCallError> for DisruptionError {
    fn from(error: OperatorCallError) -> DisruptionError {
        DisruptionError::NoLeader(error)
    }
}

/// Requests a permit for `subject` to be unavailable. For a member, also waits until all proxies have confirmed that
/// they send no new requests to the member. With `is_forced` the limits do not apply, and a permit that another
/// requester holds is accepted. Returns the text of the leader's reply.
///
/// # Errors
/// The permit is denied or not confirmed by all proxies within 4 s, or no leader decides.
pub async fn request_permit(
    fleet: &FleetClient, subject: &Subject, reason: &str, is_forced: bool,
) -> Result<String, DisruptionError> {
    let request = DisruptionRequest {
        subject: subject.key(),
        action: DisruptionAction::Permit as i32,
        requested_by: fleet.name(),
        reason: reason.to_string(),
        force: is_forced,
    };
    let mut last_unconfirmed = Vec::new();
    let confirmed = async {
        loop {
            let reply = fleet.request_disruption(request.clone()).await?;
            let unconfirmed = reply.unconfirmed.clone();
            let text = accepted_text(reply)?;
            if unconfirmed.is_empty() {
                return Ok(text);
            }
            last_unconfirmed = unconfirmed;
            sleep(CONFIRMATION_INTERVAL).await;
        }
    };
    match timeout(CONFIRMATION_TIMEOUT, confirmed).await {
        Ok(result) => result,
        Err(_) => Err(DisruptionError::Unconfirmed(last_unconfirmed)),
    }
}

/// Requests the return of `subject` to service: its permit ends once it is reported in service. Succeeds also if it has
/// no permit. Returns the text of the leader's reply.
///
/// # Errors
/// The leader rejects the request, for example without disruption limits, or no leader decides.
pub async fn return_permit(fleet: &FleetClient, subject: &Subject) -> Result<String, DisruptionError> {
    let request = DisruptionRequest {
        subject: subject.key(),
        action: DisruptionAction::Return as i32,
        ..DisruptionRequest::default()
    };
    accepted_text(fleet.request_disruption(request).await?)
}

/// Requests this proxy's own return to service, so that its permit ends even if the proxy was never reported
/// unavailable. Retries up to 100 times while no leader decides. After that, the permit ends once the proxy was
/// reported unavailable and in service again, or when operators request the return.
pub async fn return_own_permit(fleet: &FleetClient) {
    let subject = Subject::Proxy(fleet.name());
    for _ in 0..MAX_RETURN_ATTEMPTS {
        let Err(DisruptionError::NoLeader(_)) = return_permit(fleet, &subject).await else { return };
        sleep(fleet.renewal_interval()).await;
    }
}

/// Returns the text of the leader's reply if it accepted the request.
fn accepted_text(reply: OperatorReply) -> Result<String, DisruptionError> {
    if reply.ok { Ok(reply.text) } else { Err(DisruptionError::Denied(reply.text)) }
}

impl LifecycleDriver {
    /// The availability of this process, as reported to the fleet.
    pub fn availability(&self) -> Availability {
        if self.is_serving() {
            Availability::InService
        } else if self.is_stopping() {
            Availability::Stopping
        } else {
            Availability::Standby
        }
    }
}
