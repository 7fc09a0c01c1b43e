//! Connections between instances: a server that accepts them, one-shot calls, and one persistent connection to each
//! other keeper.
//!
//! Forwards messages without interpreting their content. The server rejects messages of other fleets and protocol
//! versions, answers pings, and accepts long frames from keepers only. Messages may be lost, delayed or duplicated,
//! which the layers above must tolerate.

mod call;
mod error;
mod peer;
mod server;

pub use call::{call, connect, send_to_leader};
pub use error::{OperatorCallError, TransportError};
pub use peer::PeerConnection;
pub use server::{IncomingMessage, serve};

use crate::protocol::{Body, Envelope, EnvelopeCodec, PROTOCOL_VERSION};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A connection to another instance.
pub type Connection = Framed<TcpStream, EnvelopeCodec>;

/// Capacity of a connection's queue of outgoing messages; further messages are dropped.
const QUEUE_LENGTH: usize = 1_024;
/// Timeout for opening a connection, and for writing one message.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial delay before a failed connection is reopened; also the delay after a failed accept.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The sender fields of an instance's messages, and the keepers from which the instance accepts long frames.
#[derive(Clone, Debug)]
pub struct InstanceIdentity {
    /// Name of the fleet.
    pub cluster: String,
    /// Name of this instance.
    pub name: String,
    /// Incarnation of this instance; for a keeper, its Raft identifier.
    pub incarnation: u64,
    /// Names of the keepers; only they may send long frames.
    pub keepers: Vec<String>,
}

impl InstanceIdentity {
    /// Creates a message from this instance. For `log_id`, see [`Envelope::log_id`].
    pub fn envelope(&self, log_id: u64, body: Body) -> Envelope {
        Envelope {
            cluster: self.cluster.clone(),
            version: PROTOCOL_VERSION,
            from: self.name.clone(),
            incarnation: self.incarnation,
            log_id,
            body: Some(body),
        }
    }
}
