//! The server side: accepts connections, checks the sender of each message, and passes messages to the instance.

use super::{Connection, IO_TIMEOUT, InstanceIdentity, MIN_RETRY_DELAY, QUEUE_LENGTH, TransportError};
use crate::protocol::{Body, Empty, Envelope, EnvelopeCodec, PROTOCOL_VERSION};
use futures_util::{SinkExt, StreamExt};
use ipnet::IpNet;
use log::warn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Limit of concurrent accepted connections.
const MAX_CONNECTIONS: usize = 4_096;
/// Time without a message in either direction after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A received message, and the queue for answers to its sender.
pub struct IncomingMessage {
    /// The message. Its fleet and protocol version have been checked to be those of this instance.
    pub envelope: Envelope,
    /// Queue of answers on the same connection. Callers should drop an answer when the queue is full.
    pub reply: mpsc::Sender<Envelope>,
}

/// Accepts connections from the allowed prefixes, at most 4096 at once, and passes their messages to `inbox`. Never
/// returns.
pub async fn serve(
    listener: TcpListener, allowed: Vec<IpNet>, identity: Rc<InstanceIdentity>,
    inbox: mpsc::Sender<IncomingMessage>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("fleet: cannot accept a connection: {error}");
                sleep(MIN_RETRY_DELAY).await;
                continue;
            }
        };
        if !allowed.iter().any(|prefix| prefix.contains(&peer.ip())) {
            warn!("fleet: {peer} is outside the allowed prefixes");
            continue;
        }
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            warn!("fleet: connection from {peer} rejected: limit of {MAX_CONNECTIONS} connections reached");
            continue;
        };
        let (identity, inbox) = (identity.clone(), inbox.clone());
        spawn_local(async move {
            if let Err(error) = serve_connection(stream, &identity, inbox).await {
                warn!("fleet: connection from {peer} closed: {error}");
            }
            drop(permit);
        });
    }
}

/// Serves one connection until it is closed, fails, or is idle for [`IDLE_TIMEOUT`].
async fn serve_connection(
    stream: TcpStream, identity: &InstanceIdentity, inbox: mpsc::Sender<IncomingMessage>,
) -> Result<(), TransportError> {
    // A failure is ignored: TCP_NODELAY only reduces latency.
    let _ = stream.set_nodelay(true);
    let mut connection = Framed::new(stream, EnvelopeCodec::for_untrusted());
    let (reply, mut answers) = mpsc::channel::<Envelope>(QUEUE_LENGTH);
    loop {
        let outgoing = tokio::select! {
            received = timeout(IDLE_TIMEOUT, connection.next()) => {
                let Ok(Some(envelope)) = received else { return Ok(()) };
                let envelope = envelope?;
                check_sender(&envelope, identity, &mut connection)?;
                if !matches!(envelope.body, Some(Body::Ping(_))) {
                    let reply = reply.clone();
                    if inbox.send(IncomingMessage { envelope, reply }).await.is_err() {
                        return Ok(());
                    }
                    continue;
                }
                identity.envelope(0, Body::Pong(Empty {}))
            }
            Some(answer) = answers.recv() => answer,
        };
        timeout(IO_TIMEOUT, connection.send(outgoing)).await.map_err(|_| TransportError::WriteBlocked)??;
    }
}

/// Rejects messages of other fleets and protocol versions. Once a message names a keeper as its sender, the connection
/// accepts long frames.
fn check_sender(
    envelope: &Envelope, identity: &InstanceIdentity, connection: &mut Connection,
) -> Result<(), TransportError> {
    if envelope.cluster != identity.cluster {
        return Err(TransportError::ClusterMismatch(envelope.cluster.clone()));
    }
    if envelope.version != PROTOCOL_VERSION {
        return Err(TransportError::VersionMismatch(envelope.version));
    }
    if identity.keepers.contains(&envelope.from) {
        connection.codec_mut().allow_keeper_frames();
    }
    Ok(())
}
