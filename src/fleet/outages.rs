//! What this process tells the fleet of itself and of members, and what the fleet tells it in turn: carried out between the
//! course of the process, the driver of the decisions, and the keepers. Decides nothing.

use crate::clients::lifecycle_driver::LifecycleDriver;
use crate::stages::DriverInput;
use linenhill_cluster::client::FleetClient;
use linenhill_cluster::log_entry::{DisruptionAction, DisruptionRequest};
use linenhill_cluster::protocol::OperatorReply;
use linenhill_decisions::disruption::{Availability, Subject};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// A wish that is granted but not confirmed by everybody is asked about again so often, and for so long.
const CONFIRM_EVERY: Duration = Duration::from_millis(100);
const CONFIRM_WITHIN: Duration = Duration::from_secs(4);
/// How often a permit is given back where no keeper answers.
const BACK_TRIES: usize = 100;

/// Tells the fleet for as long as the program runs, and carries out its fence.
pub async fn look_after(
    fleet: Rc<FleetClient>, lifecycle: Rc<LifecycleDriver>, inbox: mpsc::UnboundedSender<DriverInput>,
) {
    let (mut view, mut fences) = (lifecycle.subscribe(), fleet.subscribe_quarantine());
    let mut look = interval(fleet.renewal_interval());
    look.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        fleet.set_own_availability(lifecycle.cause());
        tokio::select! {
            changed = view.changed() => if changed.is_err() { return },
            _ = look.tick() => {
                let (ask, asked) = oneshot::channel();
                let _ = inbox.send(DriverInput::HealthObservationsRequested(ask));
                if let Ok(sights) = asked.await {
                    fleet.observe_members(sights);
                }
            }
            changed = fences.changed() => {
                if changed.is_err() {
                    return;
                }
                let fence = fences.borrow_and_update().clone();
                let (done, carried) = oneshot::channel();
                let _ = inbox.send(DriverInput::QuarantineChanged(fence.members, done));
                // It is confirmed once the decisions have taken it in: nothing new is sent there after that.
                if carried.await.is_ok() {
                    fleet.quarantine_applied(fence.edition);
                }
            }
        }
    }
}

/// Why something may not be out.
#[derive(Debug)]
pub enum No {
    /// The fleet says so.
    Denied(String),
    /// It is granted, but these have not confirmed it yet: whoever asks again hears how far it is.
    Unconfirmed(Vec<String>),
    /// No keeper could be asked.
    Unasked(String),
}

/// Asks for leave for a thing to be out, and for a member waits until no proxy sends to it any more.
pub async fn permit(fleet: &FleetClient, thing: &Subject, reason: &str, force: bool) -> Result<String, No> {
    let wish = DisruptionRequest {
        subject: thing.key(),
        action: DisruptionAction::Permit as i32,
        requested_by: fleet.name(),
        reason: reason.to_string(),
        force,
    };
    let mut left = Vec::new();
    let confirmed = async {
        loop {
            let OperatorReply { ok, text, unconfirmed, not_leader } = fleet
                .request_disruption(wish.clone())
                .await
                .map_err(|error| No::Unasked(error.to_string()))?;
            if not_leader {
                return Err(No::Unasked(text));
            }
            if !ok {
                return Err(No::Denied(text));
            }
            if unconfirmed.is_empty() {
                return Ok(text);
            }
            left = unconfirmed;
            sleep(CONFIRM_EVERY).await;
        }
    };
    timeout(CONFIRM_WITHIN, confirmed).await.unwrap_or(Err(No::Unconfirmed(left)))
}

/// This proxy is back: its permit is given back, whether or not anybody saw it out. Tried for a while; where no keeper
/// answers, the permit ends once the proxy was seen out and back, or operators say so.
pub async fn come_back(fleet: &FleetClient) {
    for _ in 0..BACK_TRIES {
        match back(fleet, &Subject::Proxy(fleet.name())).await {
            Err(No::Unasked(_)) => sleep(fleet.renewal_interval()).await,
            _ => return,
        }
    }
}

/// A thing is to come back.
pub async fn back(fleet: &FleetClient, thing: &Subject) -> Result<String, No> {
    let wish = DisruptionRequest {
        subject: thing.key(),
        action: DisruptionAction::Return as i32,
        ..DisruptionRequest::default()
    };
    let done = fleet.request_disruption(wish).await.map_err(|error| No::Unasked(error.to_string()))?;
    if done.ok { Ok(done.text) } else { Err(No::Denied(done.text)) }
}

impl LifecycleDriver {
    /// How this process is, in the fleet's words.
    pub fn cause(&self) -> Availability {
        match (self.is_serving(), self.is_stopping()) {
            (true, _) => Availability::InService,
            (false, false) => Availability::Standby,
            (false, true) => Availability::Stopping,
        }
    }
}
