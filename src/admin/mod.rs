//! The operators' door: an address of its own, HTTP/1.1, one call a connection. It reads figures and tells the
//! decisions what operators want; it decides nothing, and holds no state of members.
//!
//! Operators are answered whatever clients do: their descriptors are set aside, and callers that don't come to the
//! point are bounded in time and number, the oldest of them making room for whoever comes.

pub mod call;

use crate::clients::lifecycle_driver::LifecycleDriver;
use crate::close_reason::{CloseReason, Side, log_close};
use crate::discovery::status::{DiscoveryStatus, seconds};
use crate::figures::Figures;
use crate::fleet::outages::{self, No};
use crate::lifecycle::Event;
use crate::maintenance::OrderRejected;
use crate::stages::DriverInput;
use crate::takeover::maintenance_log::MaintenanceLog;
use call::{Call, CallCodec, CallError};
use futures_util::StreamExt;
use linenhill_cluster::client::FleetClient;
use linenhill_decisions::disruption::Subject;
use log::{info, warn};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedRead;

/// Connections of operators at a time.
pub const OPERATORS: usize = 8;
/// A call is there whole by then; the platform's own slow callers keep a connection for 4 s.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// A caller that doesn't read its answer for so long is let go.
const WRITE_WITHIN: Duration = Duration::from_secs(1);
/// What the caller still sends is read away for so long, or the answer might be lost with the connection.
const LINGER: Duration = Duration::from_millis(200);
/// A pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long the driver of the decisions is waited for.
const ASK_WITHIN: Duration = Duration::from_millis(300);
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A read's size.
const READ_SIZE: usize = 1024;

/// What operators may read and tell.
pub struct Controls {
    /// How far a drain or a stop has come.
    pub lifecycle: Rc<LifecycleDriver>,
    /// What operators say of members.
    pub maintenance_log: Rc<MaintenanceLog>,
    /// What they may read.
    pub figures: Rc<Figures>,
    /// What discovery was last heard to say.
    pub status: Rc<DiscoveryStatus>,
    /// Where the driver of the decisions is asked of members.
    pub inbox: mpsc::UnboundedSender<DriverInput>,
    /// The fleet, if this process is part of one.
    pub fleet: Option<Rc<FleetClient>>,
}

/// An answer: status, type of the text, text.
struct Answer {
    status: u16,
    kind: &'static str,
    text: String,
}

fn said(status: u16, text: impl Into<String>) -> Answer {
    Answer { status, kind: "text/plain; charset=utf-8", text: text.into() + "\n" }
}

/// When to ask again, in words: permits end when something is back.
fn refused(no: No) -> Answer {
    match no {
        No::Denied(text) => said(409, format!("{text}; ask again in 1 s")),
        No::Unconfirmed(who) => {
            said(503, format!("not confirmed yet by {}; ask again in 1 s", who.join(", ")))
        }
        No::Unasked(problem) => said(503, format!("no keeper answers: {problem}; ask again in 1 s")),
    }
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

impl Controls {
    async fn answer(&self, call: Call) -> Answer {
        match call {
            Call::Status if self.lifecycle.is_serving() => said(200, "serving"),
            Call::Status => said(503, "not serving"),
            Call::Standby(force) => match self.permit(Subject::Proxy, force).await {
                Ok(()) => self.tell(Event::Standby, "draining"),
                Err(no) => no,
            },
            Call::Active => {
                let answer = self.tell(Event::Active, "serving");
                // Whoever came back before anybody saw it gone says so itself.
                if let Some(fleet) = self.fleet.clone().filter(|_| self.bounded()) {
                    spawn_local(async move { outages::come_back(&fleet).await });
                }
                answer
            }
            Call::Enter(id, force) => match self.permit(|_| Subject::Member(id.clone()), force).await {
                Ok(()) if self.bounded() => said(200, format!("{id} is out")),
                Ok(()) => self.say(&id, true),
                Err(no) => no,
            },
            Call::Exit(id) => match self.fleet.as_ref().filter(|_| self.bounded()) {
                Some(fleet) => match outages::back(fleet, &Subject::Member(id.clone())).await {
                    Ok(_) => self.say(&id, false),
                    Err(no) => refused(no),
                },
                None => self.say(&id, false),
            },
            Call::Metrics => self.metrics().await,
        }
    }

    fn bounded(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.limits_disruptions())
    }

    /// Leave of the fleet, where it bounds what is out; it must be had before anything is drained.
    async fn permit(&self, thing: impl FnOnce(String) -> Subject, force: bool) -> Result<(), Answer> {
        let Some(fleet) = self.fleet.as_ref().filter(|_| self.bounded()) else { return Ok(()) };
        let thing = thing(fleet.name());
        match outages::permit(fleet, &thing, "operators' call", force).await {
            Ok(text) => {
                let against = if force { ", against the limits" } else { "" };
                info!("operators: {text}{against}");
                Ok(())
            }
            Err(no) => {
                info!("operators: {} may not be out: {no:?}", thing.key());
                Err(refused(no))
            }
        }
    }

    fn say(&self, id: &str, out: bool) -> Answer {
        let state = if out { "out" } else { "in use" };
        match self.maintenance_log.order(id, out) {
            Ok(changed) => {
                let again = if changed { "" } else { ", as before" };
                info!("operators: {id} is {state}{again}");
                said(200, format!("{id} is {state}{again}"))
            }
            Err(OrderRejected::UnknownMember) => said(404, format!("no list of late has named {id}")),
            Err(OrderRejected::TooManyOrders) => said(409, "too many members are out"),
        }
    }

    async fn metrics(&self) -> Answer {
        let (ask, asked) = oneshot::channel();
        let _ = self.inbox.send(DriverInput::MemberCountsRequested(ask));
        // Figures that are a moment old are better than none.
        if let Ok(Ok(counts)) = timeout(ASK_WITHIN, asked).await {
            self.figures.members(counts.listed, counts.avoided);
        }
        let silence = seconds(self.status.silence());
        self.figures.news(silence, self.status.list_age().map(seconds), self.status.list_version());
        match self.figures.text() {
            Ok(text) => Answer { status: 200, kind: OPEN_METRICS, text },
            Err(_) => said(500, "the figures can't be written"),
        }
    }

    fn tell(&self, event: Event, done: &str) -> Answer {
        match self.lifecycle.handle(event) {
            Ok(()) => {
                info!("operators: {done}");
                said(200, done)
            }
            Err(_) => said(409, "the process is stopping"),
        }
    }
}

/// Serves operators for as long as the program runs.
pub async fn run(listener: TcpListener, controls: Rc<Controls>) {
    let places = Arc::new(Semaphore::new(OPERATORS));
    // Calls that are not whole yet, by their order, with a bell that ends them.
    let waiting: Rc<RefCell<BTreeMap<u64, Rc<Notify>>>> = Rc::default();
    for number in 0.. {
        let (stream, peer) = loop {
            match listener.accept().await {
                Ok(accepted) => break accepted,
                Err(problem) => {
                    warn!("accept of operators: {problem}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        };
        if places.available_permits() == 0 {
            let oldest = waiting.borrow_mut().pop_first();
            oldest.into_iter().for_each(|(_, bell)| bell.notify_one());
        }
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let bell = Rc::new(Notify::new());
        waiting.borrow_mut().insert(number, bell.clone());
        let (controls, waiting) = (controls.clone(), waiting.clone());
        spawn_local(async move {
            let whole = || _ = waiting.borrow_mut().remove(&number);
            let reason = serve(stream, &controls, &bell, whole).await;
            waiting.borrow_mut().remove(&number);
            log_close(Side::Operator, peer, reason);
            drop(place);
        });
    }
}

/// One call; `whole` is told once it need not make room any more.
async fn serve(
    mut stream: TcpStream, controls: &Controls, make_room: &Notify, whole: impl FnOnce(),
) -> CloseReason {
    let mut calls = FramedRead::with_capacity(&mut stream, CallCodec, READ_SIZE);
    let came = tokio::select! {
        biased;
        came = timeout(CALL_WITHIN, calls.next()) => came,
        () = make_room.notified() => return CloseReason::MadeRoom,
    };
    whole();
    let mut allow = String::new();
    let (answer, reason) = match came {
        Ok(Some(Ok(call))) => (controls.answer(call).await, CloseReason::Answered),
        Ok(None) => return CloseReason::PeerClosed,
        Ok(Some(Err(CallError::Io(_)))) => return CloseReason::Io,
        Ok(Some(Err(problem))) => {
            if let CallError::Method(allowed) = problem {
                allow = format!("Allow: {allowed}\r\n");
            }
            (said(problem.status(), problem.to_string()), CloseReason::Protocol)
        }
        Err(_) => (said(408, "the call did not come whole"), CloseReason::TimedOut),
    };
    let Answer { status, kind, text } = answer;
    let (phrase, length) = (phrase(status), text.len());
    let whole = format!(
        "HTTP/1.1 {status} {phrase}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n{allow}\
         Connection: close\r\n\r\n{text}"
    );
    let _ = stream.set_nodelay(true);
    let written = async {
        stream.write_all(whole.as_bytes()).await?;
        stream.shutdown().await
    };
    match timeout(WRITE_WITHIN, written).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => return CloseReason::Io,
        Err(_) => return CloseReason::WriteTimeout,
    }
    let mut away = [0; 256];
    let _ = timeout(LINGER, async { while stream.read(&mut away).await.is_ok_and(|n| n > 0) {} }).await;
    reason
}
