//! Accepts clients, within the budget of descriptors.

use super::desk::Desk;
use super::roster::{Roster, Seated};
use super::session::{self, Manner};
use crate::close_reason::{CloseReason, Side, log_close};
use crate::counters::Counters;
use crate::stages::admit::{Admit, Place};
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
    served: Admit,
    seats: Rc<Roster>,
    refused: Admit,
    stands: Rc<Roster>,
}

impl Room {
    /// So many places, and so many to be refused at.
    pub fn new(served: usize, refused: usize) -> Room {
        let (seats, stands) = (Roster::new(served), Roster::new(refused));
        Room { served: Admit::new(served), seats, refused: Admit::new(refused), stands }
    }

    /// A place for a newcomer, made if need be by ending connections without an open request.
    async fn enter(&self) -> Option<(Place, Seated, Manner)> {
        if let Some(place) = enter(&self.served, &self.seats).await {
            return Some((place, self.seats.sit(), Manner::Serve));
        }
        let place = enter(&self.refused, &self.stands).await?;
        Some((place, self.stands.sit(), Manner::Refuse))
    }
}

async fn enter(places: &Admit, roster: &Roster) -> Option<Place> {
    if roster.make_room(places.is_full()) {
        // Whoever was told to leave gives its place back when its task runs.
        tokio::task::yield_now().await;
    }
    places.enter()
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
        let Some((place, seated, manner)) = room.enter().await else {
            // Not even a refusal has a place left: only an end of the connection says so.
            log_close(Side::Client, peer, CloseReason::EdgeFull);
            continue;
        };
        counters.clients.add();
        let _ = stream.set_nodelay(true);
        let (desk, phase) = (desk.clone(), phase.clone());
        sessions.spawn_local(async move {
            let reason = session::run(stream, desk, seated, manner, phase).await;
            log_close(Side::Client, peer, reason);
            drop(place);
        });
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}
