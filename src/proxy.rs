//! The top level of the proxy: builds the components, starts their tasks, waits for the stop signal, and then waits
//! until accepted requests are answered.
//!
//! Start reading here: `serve` starts every task, all of them on one thread. Only the driver
//! ([`crate::stages::driver`]) calls the router; all other tasks send it inputs or execute its actions.

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

/// Time beyond the longest client timeout for which a stopping process waits for outstanding answers. A deadline counts
/// from the last byte of its request, which a slow client may send late. The wait errs on the long side: the platform
/// counts an answer that an early exit interrupts as lost, but not one that its own SIGKILL interrupts.
const STOP_GRACE: Duration = Duration::from_secs(3);

/// The driver task ended, although it runs for the lifetime of the process and no request is answered without it.
#[derive(Debug)]
pub struct DriverEnded;

impl fmt::Display for DriverEnded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "the driver task ended unexpectedly; requests can no longer be answered")
    }
}

impl std::error::Error for DriverEnded {}

/// The listening sockets of the process, and its membership in a fleet.
pub struct Listeners {
    /// The socket for clients.
    pub clients: TcpListener,
    /// The socket for operators' calls, if `admin` is configured.
    pub operators: Option<TcpListener>,
    /// The membership in a fleet, if this process is part of one.
    pub fleet: Option<FleetMember>,
}

/// This process as a member of a fleet.
pub struct FleetMember {
    /// The quota of this process in the fleet's budgets.
    pub quota: FleetQuota,
    /// The client for the keepers.
    pub client: Rc<FleetClient>,
    /// The socket for other instances, if connections from them are enabled.
    pub listener: Option<TcpListener>,
}

/// Serves until `stop` completes, then waits for the accepted requests to be answered, for a limited time. `discovery`
/// holds the current address of discovery.
///
/// # Errors
/// The driver task ended.
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
    // Logged after the stop has taken effect, so that readers of the log can rely on it.
    info!("stopping, {} requests held", gateway.held_requests());
    wait_for_answers(serving, max_client_timeout).await;
    Ok(())
}

/// Starts the tasks that log discovery silence and close idle connections.
fn spawn_background_tasks(parts: &Parts) {
    let status = parts.discovery_status.clone();
    spawn_local(async move { status.log_silence().await });
    spawn_local(parts.pool.clone().run_quota_enforcement());
    spawn_local(parts.pool.clone().run_sweeper());
}

/// Ends the starting phase of the lifecycle once the list is confirmed or discovery is unreachable. The lifecycle's own
/// time limit ends it otherwise.
async fn announce_ready(guard: SendGuard, lifecycle: Rc<LifecycleDriver>) {
    guard.wait_until_ready().await;
    let _ = lifecycle.handle(Event::ListKnown);
}

/// Starts the tasks of a fleet member.
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

/// Waits until all sessions have ended, for at most [`STOP_GRACE`] beyond the longest client timeout.
async fn wait_for_answers(serving: JoinHandle<()>, max_client_timeout: Duration) {
    let is_over = timeout(max_client_timeout + STOP_GRACE, serving).await.is_ok();
    info!("stopped, {}", if is_over { "all answered" } else { "some still held" });
}
