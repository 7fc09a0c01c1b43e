//! Accepts connections of clients, within the limit on descriptors, and runs a session for each.

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

/// A pause after an accept that failed for want of something: descriptors come back as connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// So many failed accepts in a row, whatever their cause, are followed by a pause: the loop must not spin.
const MAX_ERRORS_IN_ROW: u32 = 64;
/// Failed accepts are logged at most this often.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts that failed. One client's broken connection must not keep the others waiting.
#[derive(Default)]
struct AcceptErrors {
    in_row: u32,
    logged_at: Option<Instant>,
    /// Errors since the last line.
    unlogged: u32,
}

impl AcceptErrors {
    /// Logs an error, and pauses where the next accept would fail as well.
    async fn handle(&mut self, problem: &io::Error) {
        self.in_row += 1;
        self.unlogged += 1;
        if self.logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_LOG_INTERVAL) {
            warn!("accept: {problem}, {} since the last line", self.unlogged);
            self.logged_at = Some(Instant::now());
            self.unlogged = 0;
        }
        if concerns_one_connection(problem) && self.in_row < MAX_ERRORS_IN_ROW {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

/// Whether an accept failed for the connection that it was to return, and not for want of descriptors or memory. Linux
/// hands such a connection's pending network errors to its accept.
fn concerns_one_connection(problem: &io::Error) -> bool {
    use io::ErrorKind as Kind;
    matches!(
        problem.kind(),
        Kind::ConnectionAborted
            | Kind::ConnectionReset
            | Kind::Interrupted
            | Kind::HostUnreachable
            | Kind::NetworkDown
            | Kind::NetworkUnreachable
            | Kind::TimedOut
    )
}

/// Accepts connections and serves each, until no more are accepted; then waits for the sessions to end.
pub async fn run(
    listener: TcpListener, gateway: Rc<RequestGateway>, connection_gate: Rc<ConnectionGate>,
    mut serving_state: watch::Receiver<ServingState>, counters: Rc<Counters>,
) {
    let mut sessions = JoinSet::new();
    let mut has_looked_again = false;
    let mut accept_errors = AcceptErrors::default();
    loop {
        let accepted = tokio::select! {
            biased;
            // Connections that wait to be accepted may hold requests: they come before the end.
            accepted = listener.accept() => accepted,
            Some(_) = sessions.join_next() => continue,
            _ = serving_state.wait_for(|state| !state.accepts_connections) => {
                if has_looked_again {
                    break;
                }
                // The runtime does not know yet of connections that arrived since it last waited: one more look.
                has_looked_again = true;
                tokio::task::yield_now().await;
                continue;
            }
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(problem) => {
                accept_errors.handle(&problem).await;
                continue;
            }
        };
        counters.clients.add();
        accept_errors.in_row = 0;
        let Some(connection) = admit(&connection_gate).await else {
            // Nothing is written: a reply that the client's unread request cuts off would make that request lost, while
            // a connection that ends in silence lets the client send it anew.
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

/// Admits a connection; `None` if it must end in silence.
async fn admit(connection_gate: &Rc<ConnectionGate>) -> Option<AdmittedConnection> {
    let admitted = connection_gate.admit();
    if connection_gate.has_closing() {
        // A connection that was asked to close gives its descriptor back when its task runs.
        tokio::task::yield_now().await;
    }
    admitted
}

/// Counts and logs the end of a connection.
fn record_end(counters: &Counters, peer: SocketAddr, reason: CloseReason) {
    counters.ended.add(reason);
    log_close(Side::Client, peer, reason);
}
