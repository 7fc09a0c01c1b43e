//! Accepts clients, within the budget of descriptors.

use super::connection_gate::ConnectionGate;
use super::desk::Desk;
use super::session;
use crate::close_reason::{CloseReason, Side, log_close};
use crate::counters::Counters;
use crate::lifecycle::ServingState;
use log::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A pause after an accept that failed: descriptors come back as connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts and serves until newcomers are accepted no more, then waits for the sessions to end.
pub async fn run(
    listener: TcpListener, desk: Rc<Desk>, connection_gate: Rc<ConnectionGate>,
    mut serving_state: watch::Receiver<ServingState>, counters: Rc<Counters>,
) {
    let (mut sessions, mut looked) = (JoinSet::new(), false);
    loop {
        let accepted = tokio::select! {
            biased;
            // What the machine has accepted may hold requests: it comes before the end.
            accepted = listener.accept() => accepted,
            Some(_) = sessions.join_next() => continue,
            _ = serving_state.wait_for(|v| !v.accepts_connections) => {
                // Who has come since the runtime last waited is there, but not told of yet: one more look.
                if std::mem::replace(&mut looked, true) {
                    break;
                }
                tokio::task::yield_now().await;
                continue;
            }
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(problem) => {
                warn!("accept: {problem}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        counters.clients.add();
        let entered = connection_gate.admit();
        if connection_gate.has_closing() {
            // Whoever was told to leave gives its descriptor back when its task runs.
            tokio::task::yield_now().await;
        }
        let Some(seated) = entered else {
            // Nothing is written: a word whose end the client's unread request cuts off would make that request
            // lost, while a connection that ends in silence lets the client send it anew.
            ended(&counters, peer, CloseReason::EdgeFull);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (desk, serving_state, counters) = (desk.clone(), serving_state.clone(), counters.clone());
        sessions.spawn_local(async move {
            let reason = session::run(stream, desk, seated, serving_state).await;
            ended(&counters, peer, reason);
        });
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}

fn ended(counters: &Counters, peer: SocketAddr, reason: CloseReason) {
    counters.ended.add(reason);
    log_close(Side::Client, peer, reason);
}
