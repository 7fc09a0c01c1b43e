//! Connections between instances: accepting them, calling an instance once, and one lasting connection to each other keeper.
//!
//! Carries messages and decides nothing by their content, except that it answers pings, and that it accepts long frames
//! from keepers only. Messages may be lost, late or duplicated; the layers above must cope.

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

/// Most messages that wait for one connection; further ones are dropped, as a network may drop them.
const QUEUE_LENGTH: usize = 1_024;
/// Limit on opening a connection, and on writing one message.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// First pause before a failed connection is opened again, and after a failed accept.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The identity that an instance puts on its messages, and the names that it trusts.
#[derive(Clone, Debug)]
pub struct InstanceIdentity {
    /// Name of the fleet.
    pub cluster: String,
    /// Name of this instance.
    pub name: String,
    /// Incarnation of this instance; for a keeper, its Raft identifier.
    pub incarnation: u64,
    /// Names of the keepers, which alone may send long frames.
    pub keepers: Vec<String>,
}

impl InstanceIdentity {
    /// A message from this instance. `log_id` is 0 except between keepers.
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
