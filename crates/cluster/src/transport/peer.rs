//! A persistent connection to another keeper, reopened whenever it fails.

use super::{
    Connection, IO_TIMEOUT, InstanceIdentity, MIN_RETRY_DELAY, QUEUE_LENGTH, TransportError, connect,
};
use crate::protocol::{Body, Empty, Envelope};
use futures_util::{SinkExt, StreamExt};
use log::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, timeout};

/// Longest delay before a failed connection is reopened. The delay doubles from [`MIN_RETRY_DELAY`] with each failure
/// in a row.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between pings. Without pings, a connection that the network has cut is not detected while it is idle.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a received message after which the connection is closed, checked when a ping is due.
pub(super) const PONG_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The sending side of a connection to another keeper. The connection is closed once all clones are dropped.
#[derive(Clone)]
pub struct PeerConnection {
    queue: mpsc::Sender<Envelope>,
    /// Address of the keeper.
    pub address: SocketAddr,
}

impl PeerConnection {
    /// Starts a local task that opens a connection to `address` and reopens it when it fails.
    pub fn start(address: SocketAddr, identity: Rc<InstanceIdentity>) -> PeerConnection {
        let (queue, outgoing) = mpsc::channel(QUEUE_LENGTH);
        spawn_local(maintain(address, identity, outgoing));
        PeerConnection { queue, address }
    }

    /// Queues a message. Returns false if the message is dropped because the queue is full.
    pub fn send(&self, envelope: Envelope) -> bool {
        self.queue.try_send(envelope).is_ok()
    }
}

/// Opens the connection and reopens it when it fails, until all [`PeerConnection`]s are dropped.
async fn maintain(
    address: SocketAddr, identity: Rc<InstanceIdentity>, mut outgoing: mpsc::Receiver<Envelope>,
) {
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        match connect(address).await {
            Ok(connection) => {
                info!("fleet: connected to {address}");
                retry_delay = MIN_RETRY_DELAY;
                match exchange(connection, &identity, &mut outgoing).await {
                    Err(error) => info!("fleet: connection to {address} failed: {error}"),
                    Ok(()) => return,
                }
            }
            Err(_) => {
                // Queued messages are discarded: they would be outdated once the keeper is reachable again.
                while outgoing.try_recv().is_ok() {}
                if outgoing.is_closed() {
                    return;
                }
            }
        }
        sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Sends messages and pings until the connection fails. Returns `Ok` once all [`PeerConnection`]s are dropped.
async fn exchange(
    mut connection: Connection, identity: &InstanceIdentity, outgoing: &mut mpsc::Receiver<Envelope>,
) -> Result<(), TransportError> {
    let mut ping = interval(PING_INTERVAL);
    let mut last_received_at = Instant::now();
    loop {
        let next = tokio::select! {
            // The first ping is due immediately and must be sent first: the peer accepts long frames only after it has
            // received a message from a keeper.
            biased;
            _ = ping.tick() => {
                if last_received_at.elapsed() > PONG_TIMEOUT {
                    return Err(TransportError::PeerUnresponsive);
                }
                identity.envelope(0, Body::Ping(Empty {}))
            }
            next = outgoing.recv() => match next {
                Some(next) => next,
                None => return Ok(()),
            },
            answer = connection.next() => {
                answer.ok_or(TransportError::ConnectionClosed)??;
                last_received_at = Instant::now();
                continue;
            }
        };
        timeout(IO_TIMEOUT, connection.send(next)).await.map_err(|_| TransportError::WriteBlocked)??;
    }
}
