//! Discovery: one watch at a time over HTTP/1.1, and the lists it brings.

pub mod http;
pub mod list;

use crate::close_reason::{CloseReason, Side, log_close};
use crate::counters::Counters;
use crate::stages::Input;
use futures_util::StreamExt;
use http::{Piece, WatchCodec};
use list::News;
use log::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

/// A call that has not been answered by then has failed; discovery gives up on one sooner.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_500);
/// A watch says something every 2 s, if only an empty line: silent for this long, it is dead.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// Watches whenever it is asked to, until the watch fails; then says so and waits to be asked again. When
/// discovery moves, a new watch begins there at once, from the version known.
pub async fn run(
    mut at: watch::Receiver<SocketAddr>, mut version: u64, asked: Rc<Notify>,
    inbox: mpsc::UnboundedSender<Input>, counters: Rc<Counters>,
) {
    loop {
        tokio::select! {
            () = asked.notified() => {}
            () = moved(&mut at) => {}
        }
        loop {
            let addr = *at.borrow_and_update();
            counters.calls.add();
            let ended = tokio::select! {
                reason = watch(addr, &mut version, &inbox) => Some(reason),
                () = moved(&mut at) => None,
            };
            log_close(Side::Discovery, addr, ended.unwrap_or(CloseReason::Moved));
            if ended.is_some() {
                break;
            }
        }
        if inbox.send(Input::List(News::Failed)).is_err() {
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

async fn watch(addr: SocketAddr, version: &mut u64, inbox: &mpsc::UnboundedSender<Input>) -> CloseReason {
    let call = format!("GET /v1/endpoints?watch=1&from={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    let connect = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        stream.write_all(call.as_bytes()).await?;
        Ok::<TcpStream, std::io::Error>(stream)
    };
    let stream = match timeout(ANSWER_WITHIN, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return CloseReason::Refused,
        Err(_) => return CloseReason::ConnectTimeout,
    };
    follow(stream, version, inbox).await
}

/// Passes on what a watch brings until it ends; `version` is that of the last list taken.
pub async fn follow(
    stream: impl AsyncRead + Unpin, version: &mut u64, inbox: &mpsc::UnboundedSender<Input>,
) -> CloseReason {
    let mut pieces = FramedRead::new(stream, WatchCodec::default());
    let mut patience = ANSWER_WITHIN;
    loop {
        let line = match timeout(patience, pieces.next()).await {
            Err(_) => return CloseReason::Silent,
            Ok(None | Some(Ok(Piece::End))) => return CloseReason::WatchEnded,
            Ok(Some(Err(problem))) => {
                warn!("discovery: {problem}");
                return CloseReason::Protocol;
            }
            Ok(Some(Ok(Piece::Head(200)))) => {
                // With nothing to tell, the first line is an empty one.
                patience = SILENT_AFTER;
                continue;
            }
            Ok(Some(Ok(Piece::Head(status)))) => {
                warn!("discovery answered {status}");
                return CloseReason::Status;
            }
            Ok(Some(Ok(Piece::Line(line)))) => line,
        };
        patience = SILENT_AFTER;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match list::decode(&line) {
            Ok(listing) => {
                *version = listing.version;
                if inbox.send(Input::List(News::Told(listing))).is_err() {
                    return CloseReason::Stopping;
                }
            }
            // The old list is still the best there is.
            Err(problem) => warn!("discovery: a list was not taken: {problem}"),
        }
    }
}
