//! Accepts clients, within the budget of descriptors.

use super::desk::Desk;
use super::session::{self, Manner};
use crate::close_reason::{Side, log_close};
use crate::counters::Counters;
use crate::stages::admit::Admit;
use log::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A pause after an accept that failed: descriptors come back as connections end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop.
    Serving,
    /// No new connections; those between requests are closed.
    Closing,
}

/// Places for clients: served, and beyond those only refused.
pub struct Room {
    /// Served.
    pub served: Admit,
    /// Refused at the edge.
    pub refused: Admit,
}

/// Accepts and serves until the phase says to close, then waits for the sessions to end.
pub async fn run(
    listener: TcpListener, desk: Rc<Desk>, room: Room, mut phase: watch::Receiver<Phase>,
    counters: Rc<Counters>,
) {
    let mut sessions = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            // What the machine has accepted may hold requests: it comes before the end.
            accepted = listener.accept() => accepted,
            Some(_) = sessions.join_next() => continue,
            _ = phase.wait_for(|p| *p >= Phase::Closing) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(problem) => {
                warn!("accept: {problem}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (place, manner) = match (room.served.enter(), room.refused.enter()) {
            (Some(place), _) => (place, Manner::Serve),
            (None, Some(place)) => (place, Manner::Refuse),
            // Not even a refusal has a place left: only an end of the connection says so.
            (None, None) => {
                log_close(Side::Client, peer, crate::close_reason::CloseReason::EdgeFull);
                continue;
            }
        };
        counters.clients.add();
        let _ = stream.set_nodelay(true);
        let (desk, phase) = (desk.clone(), phase.clone());
        sessions.spawn_local(async move {
            let reason = session::run(stream, desk, manner, phase).await;
            log_close(Side::Client, peer, reason);
            drop(place);
        });
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}
