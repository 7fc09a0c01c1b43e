//! Disruption of this process and of members, between the lifecycle, the driver of the decisions, and the keepers:
//! reports what is in service, applies the quarantine, and asks for permits. What may be out is decided by
//! `linenhill_decisions::disruption` at the leader; this module must not decide it, and must never confirm a
//! quarantine that the driver has not applied.

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

/// How often a permit that some proxies have not confirmed is asked for again.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(100);
/// For how long a permit is asked for until all proxies have confirmed it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(4);
/// How often a permit is given back where no leader answers.
const RETURN_ATTEMPTS: usize = 100;

/// Reports availability to the fleet and applies its quarantine, for as long as the program runs.
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

/// Passes on how the driver observes the members.
async fn report_members(fleet: &FleetClient, inbox: &mpsc::UnboundedSender<DriverInput>) {
    let (reply, observations) = oneshot::channel();
    let _ = inbox.send(DriverInput::HealthObservationsRequested(reply));
    if let Ok(observations) = observations.await {
        fleet.observe_members(observations);
    }
}

/// Confirms a quarantine once the driver has applied it: nothing new is sent to those members after that.
async fn apply_quarantine(
    fleet: &FleetClient, inbox: &mpsc::UnboundedSender<DriverInput>, quarantine: Quarantine,
) {
    let (reply, applied) = oneshot::channel();
    let _ = inbox.send(DriverInput::QuarantineChanged(quarantine.members, reply));
    if applied.await.is_ok() {
        fleet.quarantine_applied(quarantine.edition);
    }
}

/// Why the fleet did not change what is out of service.
#[derive(Debug)]
pub enum DisruptionError {
    /// The leader denied it; the text is its own.
    Denied(String),
    /// It is granted, but these proxies have not confirmed it yet. Asking again reports how far it is.
    Unconfirmed(Vec<String>),
    /// No leader decided on it.
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

/// Requests a permit for `subject` to be out. For a member this waits until no proxy sends to it any more. Returns the
/// leader's text. `is_forced` asks for it against the limits.
///
/// # Errors
/// The permit is denied, or not confirmed by all proxies within 4 s, or no leader decides.
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

/// Returns the permit of `subject`: it is to be in service again. Returns the leader's text.
///
/// # Errors
/// The return is denied, or no leader decides.
pub async fn return_permit(fleet: &FleetClient, subject: &Subject) -> Result<String, DisruptionError> {
    let request = DisruptionRequest {
        subject: subject.key(),
        action: DisruptionAction::Return as i32,
        ..DisruptionRequest::default()
    };
    accepted_text(fleet.request_disruption(request).await?)
}

/// Returns this proxy's own permit, whether or not anybody saw the proxy out of service. While no leader decides it is
/// retried for a bounded time; after that the permit ends once the proxy was seen out and back, or by an operator.
pub async fn return_own_permit(fleet: &FleetClient) {
    let subject = Subject::Proxy(fleet.name());
    for _ in 0..RETURN_ATTEMPTS {
        let Err(DisruptionError::NoLeader(_)) = return_permit(fleet, &subject).await else { return };
        sleep(fleet.renewal_interval()).await;
    }
}

/// The leader's text if it accepted the request.
fn accepted_text(reply: OperatorReply) -> Result<String, DisruptionError> {
    if reply.ok { Ok(reply.text) } else { Err(DisruptionError::Denied(reply.text)) }
}

impl LifecycleDriver {
    /// The availability of this process, as it is reported to the fleet.
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
