//! Divides the descriptors and the memory of the process between clients, members and messages. Computes limits only;
//! usage is counted where a resource is acquired.

use crate::admin::MAX_OPERATOR_CONNECTIONS;
use crate::api::Micros;
use crate::config::Config;
use crate::connection_admission::AdmissionLimits;
use crate::pg::backend::INITIAL_BUFFER_BYTES;
use crate::pg::frontend::READ_BUFFER_BYTES;
use crate::stages::admission::{AdmissionCapacity, RequestAdmission};

/// Descriptors reserved for the listener, discovery, the runtime and the log.
const RESERVED_DESCRIPTORS: usize = 20;
/// Fraction of the shared descriptors for clients that are served.
const SERVED_FRACTION: f64 = 0.60;
/// Fraction of the shared descriptors for connections beyond the served ones, whose first request is rejected.
const REJECTED_FRACTION: f64 = 0.05;
/// Fraction of the shared descriptors for members. Clients may hold up to a third of the descriptors for requests, and
/// about as many attempts may be in flight at once.
const MEMBERS_FRACTION: f64 = 0.34;
/// The platform lets its clients hold this fraction (1/n) of all descriptors for requests.
const REQUEST_CONNECTIONS_DIVISOR: usize = 3;
/// Served connections allowed beyond the limit while others that were asked to close for them are still open. Their
/// descriptors are taken from [`RESERVED_DESCRIPTORS`].
const MAX_CLOSING_CONNECTIONS: usize = 6;
/// Memory of the process that no connection and no message takes: code and data that are loaded, the router's tables and
/// what the allocator does not reuse, in bytes.
const PROCESS_BYTES: usize = 4 << 20;
/// Memory of a client's connection besides its messages, in bytes: its task and a read buffer.
const CLIENT_CONNECTION_BYTES: usize = 2 * 1024 + READ_BUFFER_BYTES;
/// Memory of a connection to a member besides the replies, in bytes: a read buffer that is in use.
const MEMBER_CONNECTION_BYTES: usize = INITIAL_BUFFER_BYTES;
/// Of the memory that remains, the fraction that ordinary client messages share until they are answered.
const MESSAGES_FRACTION: f64 = 0.34;
/// Of the memory that remains, the fraction for long messages. At the smallest limits, 32 MB with 1,024 descriptors, it
/// holds one message of maximum length.
const LONG_MESSAGES_FRACTION: f64 = 0.38;
/// Of the memory that remains, the fraction for replies of members, from their arrival until their clients have them.
const RESPONSES_FRACTION: f64 = 0.23;
/// Of the memory that remains, the fraction for the part of these replies that may wait behind an unanswered request. The
/// rest is for requests whose turn it is, so that these never wait for one another's answers.
const READ_AHEAD_FRACTION: f64 = 0.09;

/// The descriptors and the memory of the process, from the configuration.
pub(super) struct Capacity {
    descriptors: usize,
    /// The descriptors that are not reserved for the process itself.
    shared_descriptors: usize,
    /// The memory of messages and replies, in bytes.
    shared_memory: usize,
}

fn share(whole: usize, fraction: f64) -> usize {
    (whole as f64 * fraction) as usize
}

impl Capacity {
    /// Reads the limits of the configuration. Operators' calls get descriptors of their own if they are enabled.
    pub(super) fn new(config: &Config, has_operators: bool) -> Capacity {
        // The connections of operators, the listener, and one connection in the accept queue.
        let operators = if has_operators { MAX_OPERATOR_CONNECTIONS + 2 } else { 0 };
        let shared_descriptors = config.sockets.saturating_sub(RESERVED_DESCRIPTORS + operators);
        let clients =
            share(shared_descriptors, SERVED_FRACTION) + share(shared_descriptors, REJECTED_FRACTION);
        let connections = clients.saturating_mul(CLIENT_CONNECTION_BYTES)
            + share(shared_descriptors, MEMBERS_FRACTION).saturating_mul(MEMBER_CONNECTION_BYTES);
        let shared_memory = config.memory.saturating_sub(PROCESS_BYTES + connections);
        Capacity {
            descriptors: config.sockets,
            shared_descriptors,
            // A limit that the connections alone would exceed is below what the platform sets.
            shared_memory: shared_memory.max(config.memory / 2),
        }
    }

    fn descriptor_share(&self, fraction: f64) -> usize {
        share(self.shared_descriptors, fraction)
    }

    /// The maximum number of connections to members.
    pub(super) fn max_member_connections(&self) -> usize {
        self.descriptor_share(MEMBERS_FRACTION)
    }

    /// The limits for admitting clients' connections.
    pub(super) fn admission_limits(&self, max_retry_after: Micros) -> AdmissionLimits {
        AdmissionLimits {
            max_served: self.descriptor_share(SERVED_FRACTION),
            max_rejected: self.descriptor_share(REJECTED_FRACTION),
            max_closing: MAX_CLOSING_CONNECTIONS,
            max_request_connections: self.descriptors / REQUEST_CONNECTIONS_DIVISOR,
            max_retry_after,
        }
    }

    fn memory_share(&self, fraction: f64) -> usize {
        share(self.shared_memory, fraction)
    }

    /// The memory for replies of members, in bytes.
    pub(super) fn response_bytes(&self) -> usize {
        self.memory_share(RESPONSES_FRACTION)
    }

    /// Creates the admission control for requests, which holds at most `max_open` requests at a time.
    pub(super) fn request_admission(&self, max_open: usize) -> RequestAdmission {
        RequestAdmission::new(AdmissionCapacity {
            max_requests: max_open,
            message_bytes: self.memory_share(MESSAGES_FRACTION),
            long_message_bytes: self.memory_share(LONG_MESSAGES_FRACTION),
            read_ahead_bytes: self.memory_share(READ_AHEAD_FRACTION),
        })
    }
}
