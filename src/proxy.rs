//! The parts put together: one thread, one driver of the decisions, and tasks for everything that waits.

use crate::admin::{self, Controls, OPERATORS};
use crate::api;
use crate::clients::desk::Desk;
use crate::clients::doorway::Doorway;
use crate::clients::listener;
use crate::clients::phase::Course;
use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::heard::Heard;
use crate::discovery::list::News;
use crate::discovery::{self, Keeping};
use crate::door::Bounds;
use crate::figures::Figures;
use crate::fleet::Shares;
use crate::fleet::outages;
use crate::lifecycle::Event;
use crate::members::pool::Pool;
use crate::policy::Router;
use crate::stages::Input;
use crate::stages::admit::Admit;
use crate::stages::book::Book;
use crate::stages::intake::Intake;
use crate::stages::relay::Relay;
use crate::stages::route::Route;
use crate::stages::send::Sender;
use crate::takeover::words::Words;
use crate::watching::Watching;
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
    /// For operators, if there is a door for them.
    pub operators: Option<TcpListener>,
    /// For other instances of a fleet, with what this one may use of its budgets.
    pub together: Option<(Shares, Rc<FleetClient>, Option<TcpListener>)>,
}

/// Serves until `stop` is ready and all that was taken is answered. `discovery` is where it is, and where it
/// moves to.
pub async fn run(
    config: Config, listeners: Listeners, counters: Rc<Counters>, discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), DriverEnded> {
    LocalSet::new().run_until(serve(config, listeners, counters, discovery, stop)).await
}

async fn serve(
    config: Config, listeners: Listeners, counters: Rc<Counters>, discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), DriverEnded> {
    let Config { site, names, known, shared, .. } = config;
    // A connection of each operator, the listener, and one more that waits to be let in.
    let own = OWN + listeners.operators.as_ref().map_or(0, |_| OPERATORS + 2);
    let share = |part: f64| (config.sockets.saturating_sub(own) as f64 * part) as usize;
    let clock = Clock::start();
    let limits = &site.settings.limits;
    let idle_close = Duration::from_micros(limits.idle_close.0);
    let connect = Duration::from_micros(limits.connect_timeout.0).max(Duration::from_millis(1));
    let shares = listeners.together.as_ref().map(|(shares, ..)| shares.clone()).unwrap_or_default();
    let pool = Pool::bound(share(MEMBERS_PART), idle_close, connect, counters.clone(), shares.clone());
    let (inbox, events) = mpsc::unbounded_channel();
    let figures = Rc::new(Figures::new(site.class_names()));
    let book = Book::new(counters.clone(), figures.clone());
    let sender = Sender::new(pool.clone(), inbox.clone(), book.clone(), limits.max_attempts);
    let longest = Duration::from_micros(site.longest.0);
    let bounds = Bounds {
        places: share(SERVED_PART),
        stands: share(REFUSED_PART),
        leaving: LEAVING,
        requests: config.sockets / REQUESTS_PART,
        longest: limits.max_retry_after,
    };
    let doorway = Doorway::new(bounds, clock);
    let intake = Intake::new(&site, clock);
    let admit =
        Admit::new(site.max_open, config.memory / MESSAGES_PART, (config.memory as f64 * LONG_PART) as usize);
    let desk = Rc::new(Desk::new(intake, admit, book.clone(), inbox.clone()));
    let subscribe = Rc::new(Notify::new());
    let version = known.as_ref().map_or(0, |k| k.version);
    let within = discovery::answer_within(site.settings.discovery);
    let heard = Rc::new(Heard::new(version, clock));
    let keeping = match site.settings.discovery {
        api::Discovery::OnRequest => Keeping::Asked(subscribe.clone()),
        api::Discovery::Pushed => {
            Keeping::Kept(Watching::new(clock.now().0, site.settings.rules.drain_grace.0))
        }
    };
    let router = Router::new(site.settings, config.seed, clock.now());
    let relay = Relay::default();
    if let Some(known) = known {
        let _ = inbox.send(Input::List(News::Known(known)));
    }
    let (asked, maintenance) = (inbox.clone(), Rc::default());
    let words =
        Words::new(Rc::clone(&maintenance), shared.map(|dir| dir.join("words")), clock, inbox.clone());
    let route = Route::new(router, clock, events, sender, relay, pool.clone(), names, subscribe, maintenance)
        .bound(shares);
    let driver = spawn_local(route.run());
    let chance = fastrand::Rng::with_seed(config.seed);
    let (kept, calls) = (heard.clone(), counters.clone());
    spawn_local(discovery::run(discovery, keeping, kept, inbox, calls, within, chance));
    let kept = heard.clone();
    spawn_local(async move { kept.look_after().await });
    spawn_local(pool.clone().follow_shares());
    spawn_local(pool.look_after());
    let course = Course::new(clock);
    let together = listeners.together.as_ref().map(|(_, fleet, _)| fleet.clone());
    if let Some((_, fleet, reached)) = listeners.together {
        spawn_local(fleet.clone().run());
        if fleet.limits_disruptions() {
            spawn_local(outages::look_after(fleet.clone(), course.clone(), asked.clone()));
        }
        if let Some(reached) = reached {
            spawn_local(fleet.serve(reached));
        }
    }
    spawn_local(doorway.clone().look_after());
    spawn_local(course.clone().look_after());
    let view = course.watch();
    let mut serving = spawn_local(listener::run(listeners.clients, desk.clone(), doorway, view, counters));
    spawn_local(words.clone().look_after());
    if let Some(operators) = listeners.operators {
        spawn_local(admin::run(
            operators,
            Rc::new(Controls {
                course: course.clone(),
                words: words.clone(),
                figures,
                heard,
                inbox: asked,
                fleet: together,
            }),
        ));
    }
    tokio::select! {
        () = stop => {}
        _ = driver => return Err(DriverEnded),
    }
    let _ = course.tell(Event::Stop { handed_over: false });
    // Said once it holds: whoever reads it may count on it.
    info!("stopping, {} requests held", desk.held());
    let over = timeout(longest + PAST_LONGEST, &mut serving).await.is_ok();
    info!("stopped, {}", if over { "all answered" } else { "some still held" });
    Ok(())
}
