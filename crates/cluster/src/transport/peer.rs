//! A lasting connection to another keeper, opened again whenever it fails.

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

/// Longest pause before a failed connection is opened again; the pause doubles from [`MIN_RETRY_DELAY`].
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between pings. A connection that the network cut shows no other sign.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which the connection counts as cut.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The sending side of a connection to another keeper. The connection ends once all clones are dropped.
#[derive(Clone)]
pub struct PeerConnection {
    queue: mpsc::Sender<Envelope>,
    /// Address of the keeper.
    pub address: SocketAddr,
}

impl PeerConnection {
    /// Starts a local task that keeps a connection to `address` open.
    pub fn start(address: SocketAddr, identity: Rc<InstanceIdentity>) -> PeerConnection {
        let (queue, outgoing) = mpsc::channel(QUEUE_LENGTH);
        spawn_local(maintain(address, identity, outgoing));
        PeerConnection { queue, address }
    }

    /// Queues a message; false if it is dropped, because the queue is full.
    pub fn send(&self, envelope: Envelope) -> bool {
        self.queue.try_send(envelope).is_ok()
    }
}

/// Opens the connection again and again, until no [`PeerConnection`] is left.
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
                    Err(error) => info!("fleet: connection to {address} ended: {error}"),
                    Ok(()) => return,
                }
            }
            Err(_) => {
                // What is queued now would be outdated by the time the keeper is back.
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

/// Sends messages and pings until the connection fails; `Ok` once no [`PeerConnection`] is left.
async fn exchange(
    mut connection: Connection, identity: &InstanceIdentity, outgoing: &mut mpsc::Receiver<Envelope>,
) -> Result<(), TransportError> {
    let mut ping = interval(PING_INTERVAL);
    let mut last_answer = Instant::now();
    loop {
        let next = tokio::select! {
            // The first ping is due at once and must go first: by it the other side knows that a keeper sends.
            biased;
            _ = ping.tick() => {
                if last_answer.elapsed() > SILENCE_TIMEOUT {
                    return Err(TransportError::Silent);
                }
                identity.envelope(0, Body::Ping(Empty {}))
            }
            next = outgoing.recv() => match next {
                Some(next) => next,
                None => return Ok(()),
            },
            answer = connection.next() => {
                answer.ok_or(TransportError::Closed)??;
                last_answer = Instant::now();
                continue;
            }
        };
        timeout(IO_TIMEOUT, connection.send(next)).await.map_err(|_| TransportError::WriteBlocked)??;
    }
}
