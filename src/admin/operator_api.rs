//! Carries out operators' calls by forwarding them to the responsible components. If the fleet limits disruptions, a
//! proxy or member must not be taken out of service before the fleet has granted a permit.

use super::call::Call;
use super::response::Response;
use crate::clients::lifecycle_driver::LifecycleDriver;
use crate::discovery::status::{DiscoveryStatus, seconds};
use crate::fleet::disruption;
use crate::hot_restart::maintenance_log::MaintenanceLog;
use crate::lifecycle::Event;
use crate::maintenance::OrderRejected;
use crate::metrics::Metrics;
use crate::stages::DriverInput;
use linenhill_cluster::client::FleetClient;
use linenhill_decisions::disruption::Subject;
use log::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long a call of the metrics waits for the member counts of the driver.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(300);

/// The components that operators' calls need.
pub struct OperatorApi {
    /// Drains this process and puts it back in service.
    pub lifecycle: Rc<LifecycleDriver>,
    /// Records maintenance orders on members.
    pub maintenance_log: Rc<MaintenanceLog>,
    /// The metrics that are served.
    pub metrics: Rc<Metrics>,
    /// The state of discovery, for the metrics.
    pub discovery_status: Rc<DiscoveryStatus>,
    /// The inbox of the driver, which counts the members.
    pub inbox: mpsc::UnboundedSender<DriverInput>,
    /// The client of the fleet, if this process is part of one.
    pub fleet: Option<Rc<FleetClient>>,
}

impl OperatorApi {
    pub(super) async fn respond(&self, call: Call) -> Response {
        match call {
            Call::Status if self.lifecycle.is_serving() => Response::text(200, "serving"),
            Call::Status => Response::text(503, "not serving"),
            Call::Metrics => self.metrics().await,
            Call::Standby { is_forced } => self.stand_by(is_forced).await,
            Call::Active => self.activate(),
            Call::EnterMaintenance { member, is_forced } => self.enter_maintenance(member, is_forced).await,
            Call::ExitMaintenance { member } => self.exit_maintenance(member).await,
        }
    }

    async fn metrics(&self) -> Response {
        let (reply, counts) = oneshot::channel();
        let _ = self.inbox.send(DriverInput::MemberCountsRequested(reply));
        // If the driver does not reply in time, the previous counts are served.
        if let Ok(Ok(counts)) = timeout(DRIVER_TIMEOUT, counts).await {
            self.metrics.record_members(counts.listed, counts.avoided);
        }
        let silence = seconds(self.discovery_status.silence());
        let list_age = self.discovery_status.list_age().map(seconds);
        self.metrics.record_discovery(silence, list_age, self.discovery_status.list_version());
        match self.metrics.text() {
            Ok(text) => Response::metrics(text),
            Err(_) => Response::text(500, "the figures can't be written"),
        }
    }

    async fn stand_by(&self, is_forced: bool) -> Response {
        let subject = |fleet: &FleetClient| Subject::Proxy(fleet.name());
        match self.request_permit(subject, is_forced).await {
            Ok(()) => self.lifecycle_event(Event::Standby, "draining"),
            Err(rejection) => rejection,
        }
    }

    fn activate(&self) -> Response {
        let response = self.lifecycle_event(Event::Active, "serving");
        // The keepers end a proxy's permit once they have observed the proxy out of service and then in service. If it
        // is in service again before they observed the outage, it must return the permit itself.
        if let Some(fleet) = self.limiting_fleet().cloned() {
            spawn_local(async move { disruption::return_own_permit(&fleet).await });
        }
        response
    }

    async fn enter_maintenance(&self, member: String, is_forced: bool) -> Response {
        let subject = |_: &FleetClient| Subject::Member(member.clone());
        match self.request_permit(subject, is_forced).await {
            // The fleet's quarantine takes the member out of service at all proxies, including this one.
            Ok(()) if self.limiting_fleet().is_some() => Response::text(200, format!("{member} is out")),
            Ok(()) => self.set_out_of_service(&member, true),
            Err(rejection) => rejection,
        }
    }

    async fn exit_maintenance(&self, member: String) -> Response {
        if let Some(fleet) = self.limiting_fleet()
            && let Err(error) = disruption::return_permit(fleet, &Subject::Member(member.clone())).await
        {
            return Response::from(error);
        }
        self.set_out_of_service(&member, false)
    }

    /// The fleet, if it limits disruptions.
    fn limiting_fleet(&self) -> Option<&Rc<FleetClient>> {
        self.fleet.as_ref().filter(|fleet| fleet.limits_disruptions())
    }

    /// Requests a permit to take a subject out of service, if the fleet limits disruptions. The error is the response to
    /// the operator.
    async fn request_permit(
        &self, subject: impl FnOnce(&FleetClient) -> Subject, is_forced: bool,
    ) -> Result<(), Response> {
        let Some(fleet) = self.limiting_fleet() else { return Ok(()) };
        let subject = subject(fleet);
        match disruption::request_permit(fleet, &subject, "operators' call", is_forced).await {
            Ok(text) => {
                let forced_suffix = if is_forced { ", forced" } else { "" };
                info!("operators: {text}{forced_suffix}");
                Ok(())
            }
            Err(error) => {
                info!("operators: no permit to take {} out of service: {error}", subject.key());
                Err(Response::from(error))
            }
        }
    }

    /// Records the order that a member is out of service, or in service again.
    fn set_out_of_service(&self, member: &str, is_out: bool) -> Response {
        let state = if is_out { "out" } else { "in use" };
        match self.maintenance_log.order(member, is_out) {
            Ok(has_changed) => {
                let unchanged = if has_changed { "" } else { ", as before" };
                info!("operators: {member} is {state}{unchanged}");
                Response::text(200, format!("{member} is {state}{unchanged}"))
            }
            Err(OrderRejected::UnknownMember) => {
                Response::text(404, format!("no list of late has named {member}"))
            }
            Err(OrderRejected::TooManyOrders) => Response::text(409, "too many members are out"),
        }
    }

    /// Passes an event to the lifecycle. `state` names the resulting state in the response and the log.
    fn lifecycle_event(&self, event: Event, state: &str) -> Response {
        match self.lifecycle.handle(event) {
            Ok(()) => {
                info!("operators: {state}");
                Response::text(200, state)
            }
            Err(_) => Response::text(409, "the process is stopping"),
        }
    }
}
