//! How the process divides its descriptors and its memory between clients, members and messages. It only computes limits;
//! what is in use is counted where it is acquired.

use crate::admin::MAX_OPERATOR_CONNECTIONS;
use crate::api::Micros;
use crate::config::Config;
use crate::connection_admission::AdmissionLimits;
use crate::stages::admission::RequestAdmission;

/// Descriptors kept for what is neither a client nor a member: the listener, discovery, the runtime, the log.
const RESERVED_DESCRIPTORS: usize = 20;
/// Of the other descriptors, the part for clients that are served.
const SERVED_FRACTION: f64 = 0.60;
/// Of the other descriptors, the part for clients that are rejected at the edge.
const REJECTED_FRACTION: f64 = 0.05;
/// Of the other descriptors, the part for members. Requests come over a third of the descriptors at most, so that as many
/// attempts may be in flight at once.
const MEMBERS_FRACTION: f64 = 0.34;
/// The platform's clients may hold one in so many of all descriptors for requests.
const REQUEST_CONNECTIONS_DIVISOR: usize = 3;
/// Of the program's own descriptors, those that new clients may take before the ones that make room for them have left.
const MAX_CLOSING_CONNECTIONS: usize = 6;
/// One in so many bytes of the memory is for what clients have sent and was not answered yet.
const MESSAGES_DIVISOR: usize = 4;
/// Of the memory, the part for long messages: at the least limit of 32 MB, one of the longest.
const LONG_MESSAGES_FRACTION: f64 = 0.4;

/// The descriptors and the memory that the configuration grants.
pub(super) struct Capacity {
    descriptors: usize,
    /// The descriptors that are not kept for the process itself.
    shared_descriptors: usize,
    /// In bytes.
    memory: usize,
}

impl Capacity {
    /// What the configuration grants. Operators' calls need descriptors of their own, where they are configured.
    pub(super) fn new(config: &Config, has_operators: bool) -> Capacity {
        // A connection of each operator, the listener, and one more that waits to be accepted.
        let operators = if has_operators { MAX_OPERATOR_CONNECTIONS + 2 } else { 0 };
        Capacity {
            descriptors: config.sockets,
            shared_descriptors: config.sockets.saturating_sub(RESERVED_DESCRIPTORS + operators),
            memory: config.memory,
        }
    }

    fn descriptor_share(&self, part: f64) -> usize {
        (self.shared_descriptors as f64 * part) as usize
    }

    /// The most connections to members.
    pub(super) fn max_member_connections(&self) -> usize {
        self.descriptor_share(MEMBERS_FRACTION)
    }

    /// The limits of the admission of clients' connections.
    pub(super) fn admission_limits(&self, max_retry_after: Micros) -> AdmissionLimits {
        AdmissionLimits {
            max_served: self.descriptor_share(SERVED_FRACTION),
            max_rejected: self.descriptor_share(REJECTED_FRACTION),
            max_closing: MAX_CLOSING_CONNECTIONS,
            max_request_connections: self.descriptors / REQUEST_CONNECTIONS_DIVISOR,
            max_retry_after,
        }
    }

    /// The admission of requests, of which `max_open` may be held at a time.
    pub(super) fn request_admission(&self, max_open: usize) -> RequestAdmission {
        let long_messages = (self.memory as f64 * LONG_MESSAGES_FRACTION) as usize;
        RequestAdmission::new(max_open, self.memory / MESSAGES_DIVISOR, long_messages)
    }
}
