//! A proxy's process: configuration, sockets and signals around [`crate::proxy`].

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

const LISTEN_CLIENTS: &str = "listen on";
const LISTEN_OPERATORS: &str = "operators at";
const LISTEN_FLEET: &str = "instance.listen";

/// Serves by the configuration that `LB_CONFIG` names, until a signal to stop comes and all that was accepted is answered.
/// With an operators' file the proxy is one of a fleet.
///
/// # Errors
///
/// The configuration or the operators' file can't be used, a socket can't be bound, or the driver of the decisions ended.
pub fn serve(operator_file: Option<&Path>) -> Result<(), ProcessError> {
    runtime()?.block_on(async {
        // First of all: a reload that comes while the configuration is read must neither end the process nor get lost.
        let signals = Signals::receive()?;
        let config = Config::from_environment(LoadReason::Start)?;
        let operator = operator_file.map(read_operator_file).transpose()?;
        inject_fault()?;
        let listeners = open_listeners(&config, operator).await?;
        run(config, listeners, signals).await
    })
}

/// Binds all sockets, and makes the directory that versions share.
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
        // It serves without the directory as well; an upgrade then starts without the old version's maintenance orders.
        std::fs::create_dir_all(directory).unwrap_or_else(|error| warn!("{}: {error}", directory.display()));
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

/// Makes this process one of the fleet of the operators' file.
async fn join_fleet(operator: Operator, config: &Config) -> Result<FleetMember, ProcessError> {
    if !(1..=MAX_NAME_BYTES).contains(&config.name.len()) {
        return Err(ProcessError::ProxyName);
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
    // Control signals are followed while a stop is under way as well: accepted requests are still being sent to members.
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

/// Reads the configuration once more and moves to the discovery that it names; a wrong file changes nothing.
fn reload(discovery_address: &watch::Sender<SocketAddr>) {
    match Config::from_environment(LoadReason::Reload) {
        Ok(config) => {
            info!("reload: discovery is at {}", config.discovery);
            discovery_address.send_replace(config.discovery);
        }
        Err(error) => warn!("reload: the old configuration is kept: {error}"),
    }
}
