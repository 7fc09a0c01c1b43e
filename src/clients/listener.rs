//! Accepts client connections within the limit on descriptors, and runs a session for each.

use super::connection_gate::{AdmittedConnection, ConnectionGate};
use super::request_gateway::RequestGateway;
use super::session;
use crate::close_reason::{CloseReason, Side, log_close};
use crate::counters::Counters;
use crate::lifecycle::ServingState;
use log::warn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Pause after an accept that failed for lack of a resource: descriptors are freed as connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// From this many consecutive failed accepts on, the listener pauses after each, whatever its cause, so that the loop
/// does not spin.
const MAX_CONSECUTIVE_ERRORS: u32 = 64;
/// Shortest interval between log lines about failed accepts.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks failed accepts. A broken connection of one client must not delay the others.
#[derive(Default)]
struct AcceptErrors {
    consecutive: u32,
    logged_at: Option<Instant>,
    /// Errors since the last log line.
    unlogged: u32,
}

impl AcceptErrors {
    /// Logs an error, at most once per [`ACCEPT_LOG_INTERVAL`], and pauses if the next accept would probably fail too.
    async fn handle(&mut self, error: &io::Error) {
        self.consecutive += 1;
        self.unlogged += 1;
        if self.logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_LOG_INTERVAL) {
            warn!(
                "accept of a client connection failed: {error}; {} failed accepts since the last log line",
                self.unlogged
            );
            self.logged_at = Some(Instant::now());
            self.unlogged = 0;
        }
        if is_connection_error(error) && self.consecutive < MAX_CONSECUTIVE_ERRORS {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

/// Whether an accept failed because of the connection that it would have returned, and not for lack of descriptors or
/// memory. Linux reports pending network errors of a new connection as errors of the accept.
fn is_connection_error(error: &io::Error) -> bool {
    use io::ErrorKind as Kind;
    matches!(
        error.kind(),
        Kind::ConnectionAborted
            | Kind::ConnectionReset
            | Kind::Interrupted
            | Kind::HostUnreachable
            | Kind::NetworkDown
            | Kind::NetworkUnreachable
            | Kind::TimedOut
    )
}

/// Accepts and serves connections until the process no longer accepts any, then waits for the sessions to end.
pub async fn run(
    listener: TcpListener, gateway: Rc<RequestGateway>, connection_gate: Rc<ConnectionGate>,
    mut serving_state: watch::Receiver<ServingState>, counters: Rc<Counters>,
) {
    let mut sessions = JoinSet::new();
    let mut has_polled_again = false;
    let mut accept_errors = AcceptErrors::default();
    loop {
        let accepted = tokio::select! {
            biased;
            // Pending connections may hold requests, so they are accepted before the listener closes.
            accepted = listener.accept() => accepted,
            Some(_) = sessions.join_next() => continue,
            _ = serving_state.wait_for(|state| !state.accepts_connections) => {
                if has_polled_again {
                    break;
                }
                // The runtime may not have been notified yet of connections that arrived: accept once more.
                has_polled_again = true;
                tokio::task::yield_now().await;
                continue;
            }
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                accept_errors.handle(&error).await;
                continue;
            }
        };
        counters.clients.add();
        accept_errors.consecutive = 0;
        let Some(connection) = admit(&connection_gate).await else {
            // The connection is closed without a reply: unread input would reset it and could cut the reply off, and
            // the client's request would count as lost. A client whose connection closes without a reply can send it
            // again.
            record_end(&counters, peer, CloseReason::NoConnectionSlot);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let gateway = gateway.clone();
        let serving_state = serving_state.clone();
        let counters = counters.clone();
        sessions.spawn_local(async move {
            let reason = session::run(stream, gateway, connection, serving_state).await;
            record_end(&counters, peer, reason);
        });
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}

/// Admits a connection; `None` if it must be closed without a reply.
async fn admit(connection_gate: &Rc<ConnectionGate>) -> Option<AdmittedConnection> {
    let admitted = connection_gate.admit();
    if connection_gate.has_closing() {
        // A connection that was asked to close releases its descriptor when its task runs.
        tokio::task::yield_now().await;
    }
    admitted
}

/// Counts and logs the end of a connection.
fn record_end(counters: &Counters, peer: SocketAddr, reason: CloseReason) {
    counters.ended.add(reason);
    log_close(Side::Client, peer, reason);
}
