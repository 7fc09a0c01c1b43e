//! Discovery: one watch at a time over HTTP/1.1, and the lists it brings.

pub mod http;
pub mod list;
pub mod status;

use crate::api::{Discovery, Span, Time};
use crate::clock::Clock;
use crate::close_reason::{CloseReason, Side, log_close};
use crate::counters::Counters;
use crate::stages::Input;
use crate::watch_schedule::WatchSchedule;
use futures_util::StreamExt;
use http::{ResponsePart, WatchCodec};
use list::ListEvent;
use log::warn;
use status::DiscoveryStatus;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::FramedRead;

/// A connection that is not up by then has failed.
const CONNECT_WITHIN: Duration = Duration::from_millis(1_500);
/// A watch says something every 2 s, if only an empty line: silent for this long, it is dead. So is one whose first
/// word doesn't come: it may have fallen silent right after the call, and what it misses counts as told 6 s after that.
/// A call that waits in turn behind those of all other proxies has 3 s for the same reason, though given up it still
/// costs its turn.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// An agent on this machine answers at once: its first word comes within this, so that three watches that fall silent
/// one after the other leave a part of the 6 s.
const AGENT_WITHIN: Duration = Duration::from_millis(1_500);

/// What opens the next watch.
pub enum WatchTrigger {
    /// A request of the decisions: one service answers the calls of all proxies in turn.
    OnRequest(Rc<Notify>),
    /// The schedule of a watch that is always open, at an agent on this machine to which lists are pushed.
    Always(WatchSchedule),
}

impl WatchTrigger {
    async fn due(&self, clock: Clock) {
        match self {
            WatchTrigger::OnRequest(request) => request.notified().await,
            WatchTrigger::Always(schedule) => match schedule.next_watch() {
                Some(at) => sleep_until(clock.instant(at)).await,
                None => std::future::pending().await,
            },
        }
    }

    fn opening(&mut self, now: Time) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.opening(now);
        }
    }

    fn ended(&mut self, now: Time, chance: f64) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.ended(now, chance);
        }
    }

    fn moved(&mut self, now: Time) {
        if let WatchTrigger::Always(schedule) = self {
            schedule.agent_moved(now);
        }
    }
}

/// Keeps one watch at a time, and says when one has failed. When discovery moves, a new watch begins there at once,
/// from the version known.
pub async fn run(
    mut at: watch::Receiver<SocketAddr>, mut trigger: WatchTrigger, status: Rc<DiscoveryStatus>,
    inbox: mpsc::UnboundedSender<Input>, counters: Rc<Counters>, within: Duration, mut rng: fastrand::Rng,
) {
    let (clock, mut last) = (status.clock(), None);
    let mut opened;
    loop {
        tokio::select! {
            () = trigger.due(clock) => {}
            () = moved(&mut at) => {}
        }
        loop {
            let addr = *at.borrow_and_update();
            counters.calls.add();
            opened = clock.now();
            trigger.opening(opened);
            let ended = tokio::select! {
                reason = watch(addr, &status, &inbox, within) => Some(reason),
                () = moved(&mut at) => None,
            };
            // An agent that is away is tried many times a second: its first refusal tells as much as all of them.
            let reason = ended.unwrap_or(CloseReason::Moved);
            let again = reason == CloseReason::Refused && last == Some(reason);
            if !again || matches!(trigger, WatchTrigger::OnRequest(_)) {
                log_close(Side::Discovery, addr, reason);
            }
            last = Some(reason);
            if ended.is_some() {
                break;
            }
            trigger.moved(clock.now());
        }
        let now = clock.now();
        trigger.ended(now, rng.f64());
        // It may have fallen silent right after its last word, or after the call if it never said any.
        let quiet = Span(status.silence().0.min(now.0.saturating_sub(opened.0)));
        let quiet = (last == Some(CloseReason::Silent)).then_some(quiet);
        if inbox.send(Input::List(ListEvent::Failed { silence: quiet })).is_err() {
            return;
        }
    }
}

/// Returns once a reload has told where discovery is, be it the same address.
async fn moved(at: &mut watch::Receiver<SocketAddr>) {
    // Without a sender nothing moves any more.
    if at.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// How long the first word of a watch may take.
pub fn answer_within(discovery: Discovery) -> Duration {
    match discovery {
        Discovery::OnRequest => SILENT_AFTER,
        Discovery::Pushed => AGENT_WITHIN,
    }
}

async fn watch(
    addr: SocketAddr, status: &DiscoveryStatus, inbox: &mpsc::UnboundedSender<Input>, within: Duration,
) -> CloseReason {
    let (version, by) = (status.list_version(), Instant::now() + within);
    let call = format!("GET /v1/endpoints?watch=1&from={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    let connect = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        stream.write_all(call.as_bytes()).await?;
        Ok::<TcpStream, std::io::Error>(stream)
    };
    let stream = match timeout(CONNECT_WITHIN, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return CloseReason::Refused,
        Err(_) => return CloseReason::ConnectTimeout,
    };
    follow(stream, status, inbox, by.saturating_duration_since(Instant::now())).await
}

/// Passes on what a watch brings until it ends, and notes what was heard. Its first word may take `within`.
pub async fn follow(
    stream: impl AsyncRead + Unpin, status: &DiscoveryStatus, inbox: &mpsc::UnboundedSender<Input>,
    within: Duration,
) -> CloseReason {
    let mut pieces = FramedRead::new(stream, WatchCodec::default());
    let (mut patience, mut first, mut up) = (within, true, true);
    loop {
        let line = match timeout(patience, pieces.next()).await {
            Err(_) => return CloseReason::Silent,
            Ok(None | Some(Ok(ResponsePart::End))) => return CloseReason::WatchEnded,
            Ok(Some(Err(problem))) => {
                warn!("discovery: {problem}");
                return CloseReason::Protocol;
            }
            // With nothing to tell, the first line is an empty one.
            Ok(Some(Ok(ResponsePart::Status(200)))) => {
                patience = SILENT_AFTER;
                continue;
            }
            Ok(Some(Ok(ResponsePart::Status(status)))) => {
                warn!("discovery answered {status}");
                return CloseReason::Status;
            }
            Ok(Some(Ok(ResponsePart::Line(line)))) => line,
        };
        patience = SILENT_AFTER;
        status.record_message();
        let blank = line.iter().all(u8::is_ascii_whitespace);
        // Also without a list the call has succeeded.
        if std::mem::take(&mut up) && blank && inbox.send(Input::List(ListEvent::Unchanged)).is_err() {
            return CloseReason::Stopping;
        }
        if blank {
            continue;
        }
        let decoded = list::decode(&line).map(|(listing, skipped)| {
            // One line, however many: a list may hold thousands.
            if let Some(problem) = skipped.first() {
                warn!("discovery: {} entries were not taken, the first: {problem}", skipped.len());
            }
            listing
        });
        match decoded {
            // An old change would undo newer ones, a drain among them. A whole list that a new watch begins with counts
            // whatever its number: the service may have begun anew.
            Ok(listing) if listing.version < status.list_version() && !(listing.is_full && first) => {
                warn!(
                    "discovery: version {} was not taken after version {}",
                    listing.version,
                    status.list_version()
                );
            }
            Ok(listing) => {
                first = false;
                status.record_list(listing.version);
                if inbox.send(Input::List(ListEvent::Received(listing))).is_err() {
                    return CloseReason::Stopping;
                }
            }
            // The old list is still the best there is, but what this line said is not said again on this watch, and
            // later changes stand on it: a new watch begins from the version that is held.
            Err(problem) => {
                warn!("discovery: a list was not taken: {problem}");
                return CloseReason::Protocol;
            }
        }
    }
}
