//! The process of a proxy: sets up configuration, sockets and signals for [`crate::proxy`].

use super::signals::{ControlRequest, ControlSignals, Signals};
use super::{ProcessError, bind, bound_address, inject_fault, runtime};
use crate::config::{Config, LoadReason};
use crate::counters::Counters;
use crate::fleet::command_line::read_operator_file;
use crate::fleet::quota::FleetQuota;
use crate::hot_restart::inherit;
use crate::proxy::{self, FleetMember, Listeners};
use linenhill_cluster::client::FleetClient;
use linenhill_decisions::membership::MAX_NAME_BYTES;
use linenhill_settings::operator::Operator;
use log::{info, warn};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

const LISTEN_CLIENTS: &str = "clients";
const LISTEN_OPERATORS: &str = "operators";
const LISTEN_FLEET: &str = "instance.listen";

/// Serves with the configuration that `LB_CONFIG` names. After a stop signal, returns once all accepted requests are
/// answered or the time limit for stopping expires. With an operators' file the proxy joins a fleet.
///
/// # Errors
///
/// The configuration, the operators' file or a socket can't be used, a signal handler can't be installed, or the driver
/// of the decisions has ended.
pub fn serve(operator_file: Option<&Path>) -> Result<(), ProcessError> {
    runtime()?.block_on(async {
        // Installed first, so that a SIGHUP while the configuration is loaded neither ends the process nor is lost.
        let signals = Signals::receive()?;
        let config = Config::from_environment(LoadReason::Start)?;
        let operator = operator_file.map(read_operator_file).transpose()?;
        inject_fault()?;
        let listeners = open_listeners(&config, operator).await?;
        run(config, listeners, signals).await
    })
}

/// Binds all sockets, or takes over that of the clients if it is inherited, and creates the shared directory.
async fn open_listeners(config: &Config, operator: Option<Operator>) -> Result<Listeners, ProcessError> {
    let fleet = match operator {
        None => None,
        Some(operator) => Some(join_fleet(operator, config).await?),
    };
    let clients = match config.inherited_descriptor {
        Some(descriptor) => inherit::listener(descriptor)?,
        None => bind(LISTEN_CLIENTS, config.listen).await?,
    };
    let clients_address = bound_address(LISTEN_CLIENTS, config.listen, &clients)?;
    let operators = bind_if_given(LISTEN_OPERATORS, config.admin).await?;
    if let Some(address) = operators.as_ref().and_then(|listener| listener.local_addr().ok()) {
        info!("operators call at {address}");
    }
    info!("{} listens on {clients_address}", config.name);
    if let Some(directory) = &config.shared_directory {
        // Not fatal: without the directory, a new version starts without the old version's maintenance orders.
        std::fs::create_dir_all(directory)
            .unwrap_or_else(|error| warn!("{}: shared directory not created: {error}", directory.display()));
    }
    Ok(Listeners { clients, operators, fleet })
}

async fn bind_if_given(
    purpose: &'static str, address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, ProcessError> {
    match address {
        None => Ok(None),
        Some(address) => bind(purpose, address).await.map(Some),
    }
}

/// Creates this process's client and quotas for the fleet of the operators' file, and binds its socket for other
/// instances, if any. Does not contact the keepers.
async fn join_fleet(operator: Operator, config: &Config) -> Result<FleetMember, ProcessError> {
    if !(1..=MAX_NAME_BYTES).contains(&config.name.len()) {
        return Err(ProcessError::ProxyName(config.name.len()));
    }
    let client = FleetClient::new(operator, &config.name, env!("CARGO_PKG_VERSION"));
    let listener = bind_if_given(LISTEN_FLEET, client.operator().listen).await?;
    let quota = FleetQuota::new(client.clone(), &config.site.classes)?;
    Ok(FleetMember { quota, client, listener })
}

async fn run(config: Config, listeners: Listeners, signals: Signals) -> Result<(), ProcessError> {
    let Signals { mut stop, control } = signals;
    let counters = Rc::new(Counters::default());
    let (discovery_address, discovery) = watch::channel(config.discovery);
    // Control signals are handled during a stop as well, since accepted requests are still sent to members.
    let served = tokio::select! {
        served = proxy::run(config, listeners, counters.clone(), discovery, stop.received()) => served,
        never = follow_control_signals(control, &counters, &discovery_address) => match never {},
    };
    info!("counters {counters}");
    Ok(served?)
}

async fn follow_control_signals(
    mut signals: ControlSignals, counters: &Counters, discovery_address: &watch::Sender<SocketAddr>,
) -> Infallible {
    loop {
        match signals.next().await {
            ControlRequest::PrintCounters => info!("counters {counters}"),
            ControlRequest::Reload => reload(discovery_address),
        }
    }
}

/// Reloads the configuration and opens the watch again at its address of discovery, even if unchanged. Other fields take
/// effect only at a start. An invalid configuration changes nothing.
fn reload(discovery_address: &watch::Sender<SocketAddr>) {
    match Config::from_environment(LoadReason::Reload) {
        Ok(config) => {
            info!("reload: discovery is at {}", config.discovery);
            discovery_address.send_replace(config.discovery);
        }
        Err(error) => warn!("reload: the old configuration is kept: {error}"),
    }
}
