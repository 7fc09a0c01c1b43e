//! The proxy as a whole: builds the parts, starts their tasks, waits for the stop, and lets what was accepted be answered.
//!
//! This is the place to begin reading: `serve` names every task. All of them run on one thread. Only the driver
//! ([`crate::stages::driver`]) talks to the decisions; everything else sends it events or carries out what it asks for. Nothing
//! here decides anything.

mod capacity;
mod parts;

use self::capacity::Capacity;
use self::parts::Parts;
use crate::admin;
use crate::clients::lifecycle_driver::LifecycleDriver;
use crate::clients::listener;
use crate::config::Config;
use crate::counters::Counters;
use crate::fleet::disruption;
use crate::fleet::quota::FleetQuota;
use crate::lifecycle::Event;
use crate::stages::DriverInput;
use crate::upstream::send_guard::SendGuard;
use linenhill_cluster::client::FleetClient;
use log::info;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;

/// How long after the longest deadline a stopping process waits for answers. A request that was accepted ends by its
/// deadline, which counts from its last byte, and a slow client's last byte comes late. An answer that the platform's SIGKILL
/// finds under way is not lost, while one that an early exit breaks is; so the process rather waits.
const STOP_GRACE: Duration = Duration::from_secs(3);

/// The driver of the decisions has ended, which it never should: without it nothing is answered.
#[derive(Debug)]
pub struct DriverEnded;

impl fmt::Display for DriverEnded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "the driver of the decisions has ended")
    }
}

impl std::error::Error for DriverEnded {}

/// The sockets that the proxy serves at.
pub struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// For operators' calls, if `admin` is configured.
    pub operators: Option<TcpListener>,
    /// For other instances, if this process is a member of a fleet.
    pub fleet: Option<FleetMember>,
}

/// This process as a member of a fleet.
pub struct FleetMember {
    /// What it may use of the fleet's budgets.
    pub quota: FleetQuota,
    /// Its client of the keepers.
    pub client: Rc<FleetClient>,
    /// Where other instances reach it, if they may.
    pub listener: Option<TcpListener>,
}

/// Serves until `stop` is ready and all that was accepted is answered. `discovery` is the address of discovery, and each
/// address that it moves to.
///
/// # Errors
/// The driver has ended.
pub async fn run(
    config: Config, listeners: Listeners, counters: Rc<Counters>, discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), DriverEnded> {
    LocalSet::new().run_until(serve(config, listeners, counters, discovery, stop)).await
}

async fn serve(
    mut config: Config, listeners: Listeners, counters: Rc<Counters>, discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), DriverEnded> {
    // Build.
    let capacity = Capacity::new(&config, listeners.operators.is_some());
    let max_client_timeout = Duration::from_micros(config.site.max_client_timeout.0);
    let fleet_client = listeners.fleet.as_ref().map(|fleet| fleet.client.clone());
    let quota = listeners.fleet.as_ref().map(|fleet| fleet.quota.clone()).unwrap_or_default();
    let (inbox, inputs) = mpsc::unbounded_channel();
    let parts = Parts::new(&mut config, &capacity, quota, counters, inbox);
    let connection_gate = parts.connection_gate(&config, &capacity);
    let gateway = parts.request_gateway(&config, &capacity);
    let maintenance_log = parts.maintenance_log(&config);
    let discovery_client = parts.discovery_client(&config, discovery);
    let driver = parts.driver(config, inputs);

    // Run.
    let driver = spawn_local(driver.run());
    spawn_local(discovery_client.run());
    spawn_background_tasks(&parts);
    let lifecycle = LifecycleDriver::starting(parts.clock);
    spawn_local(announce_ready(parts.guard.clone(), lifecycle.clone()));
    if let Some(fleet) = listeners.fleet {
        spawn_fleet(fleet, &lifecycle, &parts.inbox);
    }
    spawn_local(connection_gate.clone().run());
    spawn_local(lifecycle.clone().run());
    let serving_state = lifecycle.subscribe();
    let counters = parts.counters.clone();
    let serving = listener::run(listeners.clients, gateway.clone(), connection_gate, serving_state, counters);
    let serving = spawn_local(serving);
    spawn_local(maintenance_log.clone().follow_file());
    if let Some(operators) = listeners.operators {
        let operator_api = parts.operator_api(lifecycle.clone(), maintenance_log, fleet_client);
        spawn_local(admin::run(operators, Rc::new(operator_api)));
    }

    // Stop.
    tokio::select! {
        () = stop => {}
        _ = driver => return Err(DriverEnded),
    }
    let _ = lifecycle.handle(Event::Stop { handed_over: false });
    // Logged once the stop has taken effect: a reader of the line may rely on it.
    info!("stopping, {} requests held", gateway.held_requests());
    wait_for_answers(serving, max_client_timeout).await;
    Ok(())
}

/// Starts what logs and tidies at intervals.
fn spawn_background_tasks(parts: &Parts) {
    let status = parts.discovery_status.clone();
    spawn_local(async move { status.log_silence().await });
    spawn_local(parts.pool.clone().run_quota_enforcement());
    spawn_local(parts.pool.clone().run_sweeper());
}

/// Lets the process report that it is ready once the list is confirmed, or the time for that is over.
async fn announce_ready(guard: SendGuard, lifecycle: Rc<LifecycleDriver>) {
    guard.wait_until_ready().await;
    let _ = lifecycle.handle(Event::ListKnown);
}

/// Starts what this process does as a member of a fleet.
fn spawn_fleet(
    fleet: FleetMember, lifecycle: &Rc<LifecycleDriver>, inbox: &mpsc::UnboundedSender<DriverInput>,
) {
    spawn_local(fleet.client.clone().run());
    if fleet.client.limits_disruptions() {
        spawn_local(disruption::run(fleet.client.clone(), lifecycle.clone(), inbox.clone()));
    }
    if let Some(listener) = fleet.listener {
        spawn_local(fleet.client.serve(listener));
    }
}

/// Waits until all sessions have ended, for [`STOP_GRACE`] past the longest deadline at most.
async fn wait_for_answers(serving: JoinHandle<()>, max_client_timeout: Duration) {
    let is_over = timeout(max_client_timeout + STOP_GRACE, serving).await.is_ok();
    info!("stopped, {}", if is_over { "all answered" } else { "some still held" });
}
