//! Builds the components of the proxy from the configuration. Building starts no task; [`super`] does.

use super::capacity::Capacity;
use crate::admin::operator_api::OperatorApi;
use crate::api;
use crate::clients::connection_gate::ConnectionGate;
use crate::clients::lifecycle_driver::LifecycleDriver;
use crate::clients::request_gateway::RequestGateway;
use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::client::{DiscoveryClient, WatchTrigger};
use crate::discovery::list::ListEvent;
use crate::discovery::status::DiscoveryStatus;
use crate::discovery::watch::first_message_timeout;
use crate::fleet::quota::FleetQuota;
use crate::hot_restart::maintenance_log::{self, MaintenanceLog};
use crate::list_lease::ListLease;
use crate::maintenance::Maintenance;
use crate::metrics::Metrics;
use crate::policy::Router;
use crate::stages::DriverInput;
use crate::stages::accounting::RequestAccounting;
use crate::stages::dispatch::Dispatcher;
use crate::stages::driver::{Driver, DriverParts};
use crate::stages::request_intake::RequestIntake;
use crate::stages::response_delivery::ResponseDelivery;
use crate::upstream::pool::{Pool, PoolLimits};
use crate::upstream::send_guard::SendGuard;
use crate::watch_schedule::WatchSchedule;
use linenhill_cluster::client::FleetClient;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};

/// Smallest connect timeout used, even if the settings have a shorter one.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// The components that several tasks share.
pub(super) struct Parts {
    pub(super) clock: Clock,
    pub(super) counters: Rc<Counters>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) quota: FleetQuota,
    pub(super) guard: SendGuard,
    pub(super) pool: Pool,
    pub(super) discovery_status: Rc<DiscoveryStatus>,
    /// The sender of inputs to the driver.
    pub(super) inbox: mpsc::UnboundedSender<DriverInput>,
    accounting: RequestAccounting,
    maintenance: Rc<RefCell<Maintenance>>,
    /// Notified when the router requests a watch of the list. Not read where lists are pushed.
    subscribe: Rc<Notify>,
}

impl Parts {
    /// Builds the shared components. The cached list, if any, is moved out of `config` and sent to `inbox` as the first
    /// input of the driver.
    pub(super) fn new(
        config: &mut Config, capacity: &Capacity, quota: FleetQuota, counters: Rc<Counters>,
        inbox: mpsc::UnboundedSender<DriverInput>,
    ) -> Parts {
        let clock = Clock::start();
        let settings = &config.site.settings;
        let metrics = Rc::new(Metrics::new(config.site.class_names()));
        let known_version = config.known.as_ref().map_or(0, |known| known.version);
        let lease = ListLease::new(clock.now(), settings.discovery, settings.rules.drain_grace);
        let guard = SendGuard::new(lease, known_version, clock, metrics.invariants());
        let connect_timeout = Duration::from_micros(settings.limits.connect_timeout.0);
        let pool_limits = PoolLimits {
            max_connections: capacity.max_member_connections(),
            response_bytes: capacity.response_bytes(),
            idle_close: Duration::from_micros(settings.limits.idle_close.0),
            connect_timeout: connect_timeout.max(MIN_CONNECT_TIMEOUT),
        };
        let pool = Pool::with_quota(pool_limits, counters.clone(), quota.clone(), guard.clone());
        let accounting = RequestAccounting::new(counters.clone(), metrics.clone());
        let discovery_status = Rc::new(DiscoveryStatus::new(known_version, clock, guard.clone()));
        if let Some(known) = config.known.take() {
            let _ = inbox.send(DriverInput::List(ListEvent::Cached(known)));
        }
        Parts {
            clock,
            counters,
            metrics,
            quota,
            guard,
            pool,
            discovery_status,
            inbox,
            accounting,
            maintenance: Rc::default(),
            subscribe: Rc::new(Notify::new()),
        }
    }

    /// The gate that admits or rejects connections of clients.
    pub(super) fn connection_gate(&self, config: &Config, capacity: &Capacity) -> Rc<ConnectionGate> {
        let limits = &config.site.settings.limits;
        ConnectionGate::new(capacity.admission_limits(limits.max_retry_after), self.clock)
    }

    /// The gateway through which clients' sessions submit requests.
    pub(super) fn request_gateway(&self, config: &Config, capacity: &Capacity) -> Rc<RequestGateway> {
        let intake = RequestIntake::new(&config.site, self.clock);
        let admission = capacity.request_admission(config.site.max_open_requests);
        let accounting = self.accounting.clone();
        Rc::new(RequestGateway::new(intake, admission, accounting, self.inbox.clone(), self.guard.clone()))
    }

    /// The log of maintenance orders. If a shared directory is configured, the log uses a file there, which the old and
    /// the new process share during an upgrade.
    pub(super) fn maintenance_log(&self, config: &Config) -> Rc<MaintenanceLog> {
        let file = config.shared_directory.as_ref().map(|dir| dir.join(maintenance_log::FILE_NAME));
        MaintenanceLog::new(self.maintenance.clone(), file, self.clock, self.inbox.clone())
    }

    /// The client that watches the endpoint list at the current `address` of discovery.
    pub(super) fn discovery_client(
        &self, config: &Config, address: watch::Receiver<SocketAddr>,
    ) -> DiscoveryClient {
        let settings = &config.site.settings;
        let trigger = match settings.discovery {
            api::Discovery::OnRequest => WatchTrigger::OnRequest(self.subscribe.clone()),
            api::Discovery::Pushed => {
                WatchTrigger::Always(WatchSchedule::new(self.clock.now(), settings.rules.drain_grace))
            }
        };
        DiscoveryClient {
            address,
            trigger,
            status: self.discovery_status.clone(),
            inbox: self.inbox.clone(),
            counters: self.counters.clone(),
            metrics: self.metrics.clone(),
            first_message_timeout: first_message_timeout(settings.discovery),
            rng: fastrand::Rng::with_seed(config.seed),
        }
    }

    /// The driver of the router, which reads `inputs`.
    pub(super) fn driver(&self, config: Config, inputs: mpsc::UnboundedReceiver<DriverInput>) -> Driver {
        let settings = config.site.settings;
        let pool = self.pool.clone();
        let dispatcher =
            Dispatcher::new(pool.clone(), self.inbox.clone(), self.accounting.clone(), &settings.limits);
        Driver::new(DriverParts {
            router: Router::new(settings, config.seed, self.clock.now()),
            clock: self.clock,
            inputs,
            dispatcher,
            responses: ResponseDelivery::default(),
            pool,
            identifiers: config.names,
            subscribe: self.subscribe.clone(),
            maintenance: self.maintenance.clone(),
            quota: self.quota.clone(),
        })
    }

    /// The state that operators' calls read and change.
    pub(super) fn operator_api(
        &self, lifecycle: Rc<LifecycleDriver>, maintenance_log: Rc<MaintenanceLog>,
        fleet: Option<Rc<FleetClient>>,
    ) -> OperatorApi {
        OperatorApi {
            lifecycle,
            maintenance_log,
            metrics: self.metrics.clone(),
            discovery_status: self.discovery_status.clone(),
            inbox: self.inbox.clone(),
            fleet,
        }
    }
}
