//! One watch: an HTTP/1.1 call whose response is a list, then one line per change, and an empty line every 2 s
//! while nothing changes. An older list must never replace a newer one, except a full list at the start of a watch, and
//! a watch must end at a list that can't be decoded, since later changes build on that list.

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

/// Time limit for connecting and writing the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A watch that sends nothing for this long has failed: a working one sends at least an empty line every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the response head from a service that answers the calls of all proxies in turn. Bounded above by the
/// 6 s after which a change counts as notified, since a watch that hangs from the start may miss a change, and by the
/// lease of a saved list, so that the lease does not expire during a first call that hangs. Well above the 2 s after
/// which services reject a queued call, since an abandoned call still takes its turn at the service.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(2_750);
/// Time limit for the response head from the agent on this machine, which answers at once. Three consecutive watches
/// may time out within the 6 s after which a change counts as notified.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The only HTTP status of a response that is a watch.
const STATUS_OK: u16 = 200;

/// Time limit for the response head of a watch, from the start of the call.
pub fn first_message_timeout(discovery: Discovery) -> Duration {
    match discovery {
        Discovery::OnRequest => SERVICE_TIMEOUT,
        Discovery::Pushed => AGENT_TIMEOUT,
    }
}

/// Calls discovery and reads the watch to its end; returns why it ended. `first_message_timeout` limits the time from
/// the start of the call to the response head.
pub(super) async fn open_watch(
    address: SocketAddr, status: &DiscoveryStatus, inbox: &mpsc::UnboundedSender<DriverInput>,
    first_message_timeout: Duration,
) -> CloseReason {
    let first_message_deadline = Instant::now() + first_message_timeout;
    let stream = match timeout(CONNECT_TIMEOUT, send_request(address, status.list_version())).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return CloseReason::Refused,
        Err(_) => return CloseReason::ConnectTimeout,
    };
    let time_left = first_message_deadline.saturating_duration_since(Instant::now());
    read_watch(stream, status, inbox, time_left).await
}

/// Connects and requests the changes since `list_version`.
async fn send_request(address: SocketAddr, list_version: u64) -> io::Result<TcpStream> {
    let request =
        format!("GET /v1/endpoints?watch=1&from={list_version} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Reads a watch to its end; returns why it ended. Lists are sent to `inbox`, and `status` records each message. The
/// response head must arrive within `first_message_timeout`, and each line within `SILENCE_TIMEOUT` of what precedes
/// it.
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
            // The first line of the body follows: a list, or an empty line if nothing has changed.
            Some(Ok(ResponsePart::Status(STATUS_OK))) => continue,
            Some(Ok(ResponsePart::Status(code))) => {
                warn!("discovery: response has HTTP status {code}, expected {STATUS_OK}");
                return CloseReason::ErrorStatus;
            }
            Some(Ok(ResponsePart::Line(line))) => line,
            Some(Ok(ResponsePart::End)) | None => return CloseReason::WatchEnded,
            Some(Err(error)) => {
                warn!("discovery: watch failed, closing it: {error}");
                return CloseReason::Protocol;
            }
        };
        if let Err(reason) = reader.handle_line(&line) {
            return reason;
        }
    }
}

/// Handles the lines of one watch.
struct WatchReader<'a> {
    status: &'a DiscoveryStatus,
    inbox: &'a mpsc::UnboundedSender<DriverInput>,
    has_received_line: bool,
    has_accepted_list: bool,
}

impl WatchReader<'_> {
    /// Handles one line. An error is the reason for which the watch must end.
    fn handle_line(&mut self, line: &[u8]) -> Result<(), CloseReason> {
        self.status.record_message();
        let is_first_line = !std::mem::replace(&mut self.has_received_line, true);
        let is_blank = line.iter().all(u8::is_ascii_whitespace);
        if !is_blank {
            return self.handle_list(line);
        }
        self.status.record_list_confirmed();
        // A first line without a list still means that the call succeeded.
        if is_first_line { self.send(ListEvent::Unchanged) } else { Ok(()) }
    }

    fn handle_list(&mut self, line: &[u8]) -> Result<(), CloseReason> {
        // The list in use stays valid, but this watch does not resend the line, and later changes build on it. The
        // next watch starts from the version in use.
        let DecodedList { list, skipped } = list::decode(line).map_err(|error| {
            warn!("discovery: list can't be decoded, closing the watch: {error}");
            CloseReason::Protocol
        })?;
        self.status.record_list_confirmed();
        log_skipped(&skipped);
        if self.is_outdated(&list) {
            let version_in_use = self.status.list_version();
            warn!(
                "discovery: list version {} ignored, newer version {version_in_use} is in use",
                list.version
            );
            return Ok(());
        }
        self.has_accepted_list = true;
        self.status.record_list(list.version);
        self.send(ListEvent::Received(list))
    }

    /// Whether a list is older than the one in use and would undo newer changes, such as a drain. A full list at the
    /// start of a watch is accepted at any version, since the service may have restarted its version numbers.
    fn is_outdated(&self, list: &EndpointList) -> bool {
        let may_restart = list.is_full && !self.has_accepted_list;
        list.version < self.status.list_version() && !may_restart
    }

    fn send(&self, event: ListEvent) -> Result<(), CloseReason> {
        self.inbox.send(DriverInput::List(event)).map_err(|_| CloseReason::Stopping)
    }
}

/// Logs one line for all entries of a list that can't be decoded, since there may be thousands.
fn log_skipped(skipped: &[JsonError]) {
    if let Some(error) = skipped.first() {
        warn!("discovery: {} invalid list entries skipped, the first: {error}", skipped.len());
    }
}
