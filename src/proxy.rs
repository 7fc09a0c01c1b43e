//! The parts put together: one thread, one driver of the decisions, and tasks for everything that waits.

use crate::admin::operator_api::OperatorApi;
use crate::admin::{self, MAX_OPERATOR_CONNECTIONS};
use crate::api::{self, Micros};
use crate::clients::connection_gate::ConnectionGate;
use crate::clients::lifecycle_driver::LifecycleDriver;
use crate::clients::listener;
use crate::clients::request_gateway::RequestGateway;
use crate::clock::Clock;
use crate::config::Config;
use crate::connection_admission::AdmissionLimits;
use crate::counters::Counters;
use crate::discovery::client::{DiscoveryClient, WatchTrigger};
use crate::discovery::list::ListEvent;
use crate::discovery::status::DiscoveryStatus;
use crate::discovery::watch::first_message_timeout;
use crate::fleet::disruption;
use crate::fleet::quota::FleetQuota;
use crate::hot_restart::maintenance_log::{self, MaintenanceLog};
use crate::lifecycle::Event;
use crate::list_lease::ListLease;
use crate::metrics::Metrics;
use crate::policy::Router;
use crate::stages::Input;
use crate::stages::admit::Admit;
use crate::stages::book::Book;
use crate::stages::intake::Intake;
use crate::stages::relay::Relay;
use crate::stages::route::{Route, RouteParts};
use crate::stages::send::Sender;
use crate::upstream::pool::Pool;
use crate::upstream::send_guard::SendGuard;
use crate::watch_schedule::WatchSchedule;
use linenhill_cluster::client::FleetClient;
use log::info;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Descriptors kept for what is neither a client nor a member: the listener, discovery, the runtime, the log.
const OWN: usize = 20;
/// Of the others: places for clients that are served, for those refused at the edge, and for members. Requests
/// come over a third of the descriptors at most, so that as many attempts may be out at once.
const SERVED_PART: f64 = 0.60;
const REFUSED_PART: f64 = 0.05;
const MEMBERS_PART: f64 = 0.34;
/// Of all descriptors, the part that the platform's clients may hold for requests: one in so many.
const REQUESTS_PART: usize = 3;
/// Of the program's own descriptors, those that a newcomer may take before whoever makes room for it has left.
const LEAVING: usize = 6;
/// Of the memory, the part for what clients have sent and was not answered yet.
const MESSAGES_PART: usize = 4;
/// Of the memory, the part for long messages: at the least limit of 32 MB, one of the longest.
const LONG_PART: f64 = 0.4;
/// What was taken ends by its deadline, which counts from its last byte, and a newcomer's or a slow client's comes late.
/// The program ends once all is answered, and this long after the longest deadline at the latest: what the platform's
/// SIGKILL finds before is not lost, while what an early end breaks is.
const PAST_LONGEST: Duration = Duration::from_secs(3);

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
    /// For other instances, if this process is one of a fleet.
    pub fleet: Option<FleetMember>,
}

/// This process as one of a fleet.
pub struct FleetMember {
    /// What it may use of the fleet's budgets.
    pub quota: FleetQuota,
    /// Its side of the keepers.
    pub client: Rc<FleetClient>,
    /// Where other instances reach it, if they may.
    pub listener: Option<TcpListener>,
}

/// Serves until `stop` is ready and all that was taken is answered. `discovery` is where it is, and where it
/// moves to.
pub async fn run(
    config: Config, listeners: Listeners, counters: Rc<Counters>, discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), DriverEnded> {
    LocalSet::new().run_until(serve(config, listeners, counters, discovery, stop)).await
}

/// How many descriptors there are for clients and members, and how much memory for messages.
struct Capacity {
    sockets: usize,
    /// The descriptors that are not kept for the process itself.
    shared_sockets: usize,
    memory: usize,
}

impl Capacity {
    fn of(config: &Config, listeners: &Listeners) -> Capacity {
        // A connection of each operator, the listener, and one more that waits to be accepted.
        let operators = listeners.operators.as_ref().map_or(0, |_| MAX_OPERATOR_CONNECTIONS + 2);
        Capacity {
            sockets: config.sockets,
            shared_sockets: config.sockets.saturating_sub(OWN + operators),
            memory: config.memory,
        }
    }

    fn descriptors(&self, part: f64) -> usize {
        (self.shared_sockets as f64 * part) as usize
    }

    fn admission_limits(&self, max_retry_after: Micros) -> AdmissionLimits {
        AdmissionLimits {
            max_served: self.descriptors(SERVED_PART),
            max_rejected: self.descriptors(REFUSED_PART),
            max_closing: LEAVING,
            max_request_connections: self.sockets / REQUESTS_PART,
            max_retry_after,
        }
    }

    fn admit(&self, max_open: usize) -> Admit {
        let long_messages = (self.memory as f64 * LONG_PART) as usize;
        Admit::new(max_open, self.memory / MESSAGES_PART, long_messages)
    }
}

async fn serve(
    config: Config, listeners: Listeners, counters: Rc<Counters>, discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), DriverEnded> {
    let capacity = Capacity::of(&config, &listeners);
    let Config { site, names, known, shared_directory, .. } = config;
    let clock = Clock::start();
    let limits = &site.settings.limits;
    let idle_close = Duration::from_micros(limits.idle_close.0);
    let connect = Duration::from_micros(limits.connect_timeout.0).max(Duration::from_millis(1));
    let quota = listeners.fleet.as_ref().map(|fleet| fleet.quota.clone()).unwrap_or_default();
    let max_connections = capacity.descriptors(MEMBERS_PART);
    let metrics = Rc::new(Metrics::new(site.class_names()));
    let version = known.as_ref().map_or(0, |k| k.version);
    let lease = ListLease::new(clock.now(), site.settings.discovery, site.settings.rules.drain_grace);
    let guard = SendGuard::new(lease, version, clock, metrics.invariants());
    let pool = Pool::with_quota(
        max_connections,
        idle_close,
        connect,
        counters.clone(),
        quota.clone(),
        guard.clone(),
    );
    let (inbox, events) = mpsc::unbounded_channel();
    let book = Book::new(counters.clone(), metrics.clone());
    let sender = Sender::new(pool.clone(), inbox.clone(), book.clone(), limits);
    let longest = Duration::from_micros(site.max_client_timeout.0);
    let connection_gate = ConnectionGate::new(capacity.admission_limits(limits.max_retry_after), clock);
    let intake = Intake::new(&site, clock);
    let admit = capacity.admit(site.max_open_requests);
    let gateway = Rc::new(RequestGateway::new(intake, admit, book.clone(), inbox.clone(), guard.clone()));
    let subscribe = Rc::new(Notify::new());
    let first_message_timeout = first_message_timeout(site.settings.discovery);
    let status = Rc::new(DiscoveryStatus::new(version, clock, guard.clone()));
    let trigger = match site.settings.discovery {
        api::Discovery::OnRequest => WatchTrigger::OnRequest(subscribe.clone()),
        api::Discovery::Pushed => {
            WatchTrigger::Always(WatchSchedule::new(clock.now(), site.settings.rules.drain_grace))
        }
    };
    let router = Router::new(site.settings, config.seed, clock.now());
    if let Some(known) = known {
        let _ = inbox.send(Input::List(ListEvent::Cached(known)));
    }
    let operators_inbox = inbox.clone();
    let maintenance = Rc::default();
    let maintenance_log = MaintenanceLog::new(
        Rc::clone(&maintenance),
        shared_directory.map(|dir| dir.join(maintenance_log::FILE_NAME)),
        clock,
        inbox.clone(),
    );
    let route = Route::new(RouteParts {
        router,
        clock,
        inbox: events,
        sender,
        relay: Relay::default(),
        pool: pool.clone(),
        names,
        subscribe,
        maintenance,
        quota,
    });
    let driver = spawn_local(route.run());
    let discovery_client = DiscoveryClient {
        address: discovery,
        trigger,
        status: status.clone(),
        inbox,
        counters: counters.clone(),
        metrics: metrics.clone(),
        first_message_timeout,
        rng: fastrand::Rng::with_seed(config.seed),
    };
    spawn_local(discovery_client.run());
    let silence_logger = status.clone();
    spawn_local(async move { silence_logger.log_silence().await });
    spawn_local(pool.clone().run_quota_enforcement());
    spawn_local(pool.run_sweeper());
    let lifecycle = LifecycleDriver::starting(clock);
    let (listed, known_list) = (guard.clone(), lifecycle.clone());
    spawn_local(async move {
        listed.ready().await;
        let _ = known_list.handle(Event::ListKnown);
    });
    let fleet_client = listeners.fleet.as_ref().map(|fleet| fleet.client.clone());
    if let Some(fleet) = listeners.fleet {
        spawn_fleet(fleet, &lifecycle, &operators_inbox);
    }
    spawn_local(connection_gate.clone().run());
    spawn_local(lifecycle.clone().run());
    let serving_state = lifecycle.subscribe();
    let accepting =
        listener::run(listeners.clients, gateway.clone(), connection_gate, serving_state, counters);
    let mut serving = spawn_local(accepting);
    spawn_local(maintenance_log.clone().follow_file());
    if let Some(operators) = listeners.operators {
        let operator_api = OperatorApi {
            lifecycle: lifecycle.clone(),
            maintenance_log: maintenance_log.clone(),
            metrics,
            discovery_status: status,
            inbox: operators_inbox,
            fleet: fleet_client,
        };
        spawn_local(admin::run(operators, Rc::new(operator_api)));
    }
    tokio::select! {
        () = stop => {}
        _ = driver => return Err(DriverEnded),
    }
    let _ = lifecycle.handle(Event::Stop { handed_over: false });
    // Said once it holds: whoever reads it may count on it.
    info!("stopping, {} requests held", gateway.held_requests());
    let over = timeout(longest + PAST_LONGEST, &mut serving).await.is_ok();
    info!("stopped, {}", if over { "all answered" } else { "some still held" });
    Ok(())
}

/// Starts what this process does as one of a fleet.
fn spawn_fleet(fleet: FleetMember, lifecycle: &Rc<LifecycleDriver>, inbox: &mpsc::UnboundedSender<Input>) {
    spawn_local(fleet.client.clone().run());
    if fleet.client.limits_disruptions() {
        spawn_local(disruption::run(fleet.client.clone(), lifecycle.clone(), inbox.clone()));
    }
    if let Some(listener) = fleet.listener {
        spawn_local(fleet.client.serve(listener));
    }
}
