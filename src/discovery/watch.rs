//! One watch: a call over HTTP/1.1 whose answer is a list, then a line for each change, and an empty line every 2 s
//! where there is none. It must never let an older list replace a newer one, and never go on after a list that it
//! could not read, since later changes build on it.

use crate::api::Discovery;
use crate::close_reason::CloseReason;
use crate::discovery::http::{ResponsePart, WatchCodec};
use crate::discovery::list::{self, DecodedList, EndpointList, ListEvent};
use crate::discovery::status::DiscoveryStatus;
use crate::settings::JsonError;
use crate::stages::DriverInput;
use crate::timeouts::timeout_with_final_poll;
use futures_util::StreamExt;
use log::warn;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_util::codec::FramedRead;

/// The longest time in which a connection comes up and the call is written.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest silence of a watch: a living one sends at least an empty line every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time until the first message, where one service answers the calls of all proxies in turn. The watch may
/// have fallen silent right after the call, and what it misses then counts as notified 6 s later. A call that is given
/// up still costs its turn, so the limit is well above the 2 s after which services reject a call that waits; it ends
/// before the lease of a saved list does, so that a first call that hangs leaves no gap.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(2_750);
/// The longest time until the first message of an agent on this machine, which answers at once: three watches that
/// fall silent one after the other leave a part of the 6 s.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The status of an answer that is a watch.
const STATUS_OK: u16 = 200;

/// The longest time until the first message of a watch.
pub fn first_message_timeout(discovery: Discovery) -> Duration {
    match discovery {
        Discovery::OnRequest => SERVICE_TIMEOUT,
        Discovery::Pushed => AGENT_TIMEOUT,
    }
}

/// Calls discovery and reads the watch until it ends; returns why it did. The first message must arrive within
/// `first_message_timeout` of the start of the call.
pub(super) async fn open_watch(
    address: SocketAddr, status: &DiscoveryStatus, inbox: &mpsc::UnboundedSender<DriverInput>,
    first_message_timeout: Duration,
) -> CloseReason {
    let first_message_by = Instant::now() + first_message_timeout;
    let stream = match timeout(CONNECT_TIMEOUT, call(address, status.list_version())).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return CloseReason::Refused,
        Err(_) => return CloseReason::ConnectTimeout,
    };
    let time_left = first_message_by.saturating_duration_since(Instant::now());
    read_watch(stream, status, inbox, time_left).await
}

/// Connects and asks for the changes since a list version.
async fn call(address: SocketAddr, list_version: u64) -> io::Result<TcpStream> {
    let request =
        format!("GET /v1/endpoints?watch=1&from={list_version} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Reads a watch until it ends; returns why it did. Lists go to `inbox`, and `status` records each message. The
/// first message must arrive within `first_message_timeout`.
pub async fn read_watch(
    stream: impl AsyncRead + Unpin, status: &DiscoveryStatus, inbox: &mpsc::UnboundedSender<DriverInput>,
    first_message_timeout: Duration,
) -> CloseReason {
    let mut parts = FramedRead::new(stream, WatchCodec::default());
    let mut reader = WatchReader { status, inbox, has_received_line: false, has_accepted_list: false };
    let mut message_timeout = first_message_timeout;
    loop {
        let Ok(part) = timeout_with_final_poll(message_timeout, parts.next()).await else {
            return CloseReason::WatchTimeout;
        };
        message_timeout = SILENCE_TIMEOUT;
        let line = match part {
            // Where there is no change to report, an empty line follows.
            Some(Ok(ResponsePart::Status(STATUS_OK))) => continue,
            Some(Ok(ResponsePart::Status(code))) => {
                warn!("discovery answered {code}");
                return CloseReason::ErrorStatus;
            }
            Some(Ok(ResponsePart::Line(line))) => line,
            Some(Ok(ResponsePart::End)) | None => return CloseReason::WatchEnded,
            Some(Err(problem)) => {
                warn!("discovery: {problem}");
                return CloseReason::Protocol;
            }
        };
        if let Err(reason) = reader.handle_line(&line) {
            return reason;
        }
    }
}

/// What a watch has brought so far, and where it goes.
struct WatchReader<'a> {
    status: &'a DiscoveryStatus,
    inbox: &'a mpsc::UnboundedSender<DriverInput>,
    has_received_line: bool,
    has_accepted_list: bool,
}

impl WatchReader<'_> {
    /// Handles one line of the watch. An error ends the watch for that reason.
    fn handle_line(&mut self, line: &[u8]) -> Result<(), CloseReason> {
        self.status.record_message();
        let is_first_line = !std::mem::replace(&mut self.has_received_line, true);
        let is_blank = line.iter().all(u8::is_ascii_whitespace);
        if !is_blank {
            return self.handle_list(line);
        }
        self.status.record_confirmed();
        // The call has succeeded, also without a list.
        if is_first_line { self.send(ListEvent::Unchanged) } else { Ok(()) }
    }

    fn handle_list(&mut self, line: &[u8]) -> Result<(), CloseReason> {
        // The list in use is still the best there is. But this watch does not repeat what the line said, and its
        // later changes build on it: a new watch begins from the version in use.
        let DecodedList { list, skipped } = list::decode(line).map_err(|problem| {
            warn!("discovery: a list was not taken: {problem}");
            CloseReason::Protocol
        })?;
        self.status.record_confirmed();
        log_skipped(&skipped);
        if self.is_outdated(&list) {
            let version_in_use = self.status.list_version();
            warn!("discovery: version {} was not taken after version {version_in_use}", list.version);
            return Ok(());
        }
        self.has_accepted_list = true;
        self.status.record_list(list.version);
        self.send(ListEvent::Received(list))
    }

    /// Whether a list would undo newer changes, a drain among them. A full list at the beginning of a watch counts
    /// whatever its version: the service may have begun anew.
    fn is_outdated(&self, list: &EndpointList) -> bool {
        let may_restart = list.is_full && !self.has_accepted_list;
        list.version < self.status.list_version() && !may_restart
    }

    fn send(&self, event: ListEvent) -> Result<(), CloseReason> {
        self.inbox.send(DriverInput::List(event)).map_err(|_| CloseReason::Stopping)
    }
}

/// Logs one line for all entries of a list that can't be read: there may be thousands.
fn log_skipped(skipped: &[JsonError]) {
    if let Some(problem) = skipped.first() {
        warn!("discovery: {} entries were not taken, the first: {problem}", skipped.len());
    }
}
