//! Opens connections, and makes one-shot calls: one request and its answer on a connection of their own.

use super::{Connection, IO_TIMEOUT, InstanceIdentity, OperatorCallError, TransportError};
use crate::protocol::{Body, Envelope, EnvelopeCodec, OperatorReply, OperatorRequest};
use futures_util::{SinkExt, StreamExt};
use linenhill_settings::operator::Keeper;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Timeout for the answer to a call, counted from the end of the write.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a connection; times out after 1 s.
///
/// # Errors
/// [`TransportError::Timeout`] or [`TransportError::Connect`].
pub async fn connect(address: SocketAddr) -> Result<Connection, TransportError> {
    let stream = timeout(IO_TIMEOUT, TcpStream::connect(address)).await?.map_err(TransportError::Connect)?;
    // A failure is ignored: TCP_NODELAY only reduces latency.
    let _ = stream.set_nodelay(true);
    Ok(Framed::new(stream, EnvelopeCodec::default()))
}

/// Sends one message on a new connection and waits for the answer.
///
/// # Errors
/// Connecting, writing or reading failed or timed out, or the connection was closed without an answer.
pub async fn call(address: SocketAddr, envelope: Envelope) -> Result<Envelope, TransportError> {
    let mut connection = connect(address).await?;
    timeout(IO_TIMEOUT, connection.send(envelope)).await??;
    match timeout(ANSWER_TIMEOUT, connection.next()).await {
        Ok(Some(answer)) => Ok(answer?),
        Ok(None) => Err(TransportError::ClosedWithoutAnswer),
        Err(_) => Err(TransportError::AnswerTimeout),
    }
}

/// Sends a request to the keepers in turn until one accepts it, and returns the reply of that keeper. If none accepts
/// the request, returns the last rejection by a leader.
///
/// # Errors
/// The last failure if no leader replied to the request, or [`OperatorCallError::NoKeepers`] without keepers.
pub async fn send_to_leader(
    keepers: &[Keeper], identity: &InstanceIdentity, request: OperatorRequest,
) -> Result<OperatorReply, OperatorCallError> {
    let mut last = Err(OperatorCallError::NoKeepers);
    for keeper in keepers {
        match send_to_keeper(keeper, identity, request.clone()).await {
            Ok(reply) if reply.ok => return Ok(reply),
            Ok(rejection) => last = Ok(rejection),
            Err(error) => last = last.or(Err(error)),
        }
    }
    last
}

async fn send_to_keeper(
    keeper: &Keeper, identity: &InstanceIdentity, request: OperatorRequest,
) -> Result<OperatorReply, OperatorCallError> {
    let name = || keeper.name.clone();
    let envelope = identity.envelope(0, Body::OperatorRequest(request));
    let answer = call(keeper.address, envelope)
        .await
        .map_err(|source| OperatorCallError::Transport { keeper: name(), source })?;
    match answer.body {
        Some(Body::OperatorReply(reply)) if reply.not_leader && !reply.ok => {
            Err(OperatorCallError::NotLeader { keeper: name(), text: reply.text })
        }
        Some(Body::OperatorReply(reply)) => Ok(reply),
        _ => Err(OperatorCallError::UnexpectedAnswer { keeper: name() }),
    }
}
