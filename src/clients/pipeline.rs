//! What one client has sent ahead of the answer it is waiting for: requests that run side by side, and the order in
//! which they are answered. Bounded; reads and writes nothing itself.

use super::request_gateway::{OpenRequest, PendingRequest};
use crate::api::Micros;
use crate::pg::frontend::{MessageMemory, Reply};
use crate::stages::FinalResponse;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Messages of one connection that wait for their turn behind the request that is answered. Beyond this its input stays
/// unread until an answer has been written, so that one client takes neither the memory nor the members from others.
pub const MAX_MESSAGES: usize = 16;

/// A message from the client, decoded when it came.
pub enum ClientMessage {
    /// A request.
    Request(Box<PipelinedRequest>),
    /// A statement that is no request, with its error.
    Malformed(Reply),
    /// A request on a connection that is refused, with the time after which to retry, and its class.
    ConnectionRefused(Micros, Option<String>),
    /// An empty query.
    Empty,
    /// The extended protocol, which is not spoken here.
    Extended,
    /// The end of a batch of extended messages.
    Sync,
    /// The client ends the session.
    Terminate,
    /// A message without an answer of its own.
    Ignored,
}

/// A request: its id is open, and it holds the memory of its message.
pub struct PipelinedRequest {
    /// Which other requests it must not run beside.
    pub order: RequestOrder,
    /// Whether it runs already.
    pub state: RequestState,
    /// The memory of its message.
    pub memory: MessageMemory,
}

/// How far a request has come.
pub enum RequestState {
    /// Submitted, or answered at the edge.
    Submitted(Result<PendingRequest, FinalResponse>),
    /// It waits for the requests that it must not run beside, since the given moment.
    Blocked(OpenRequest, Instant),
}

/// What decides the order of a request on its connection: its key, and whether it writes.
#[derive(Default)]
pub struct RequestOrder {
    /// The key, if the request names one.
    pub key: Option<String>,
    /// Whether it writes.
    pub writes: bool,
}

impl RequestOrder {
    /// Whether this request must not run beside `earlier`: one of the two writes to the key of both.
    fn depends_on(&self, earlier: &RequestOrder) -> bool {
        self.key.is_some() && self.key == earlier.key && (self.writes || earlier.writes)
    }
}

/// The messages behind the request that is answered now.
#[derive(Default)]
pub struct Pipeline {
    messages: VecDeque<ClientMessage>,
    /// The request that is answered now.
    current: RequestOrder,
}

impl Pipeline {
    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether a request waits that was accepted.
    pub fn has_requests(&self) -> bool {
        self.messages.iter().any(|message| matches!(message, ClientMessage::Request(_)))
    }

    /// Whether no further message may be read now.
    pub fn is_full(&self) -> bool {
        self.messages.len() >= MAX_MESSAGES
    }

    /// Whether a request must wait for one that came before it.
    pub fn blocks(&self, order: &RequestOrder) -> bool {
        let depends = |message: &ClientMessage| match message {
            ClientMessage::Request(request) => order.depends_on(&request.order),
            _ => false,
        };
        order.depends_on(&self.current) || self.messages.iter().any(depends)
    }

    /// Adds the message that came last.
    pub fn push(&mut self, message: ClientMessage) {
        self.messages.push_back(message);
    }

    /// Takes the message that is next in turn.
    pub fn pop(&mut self) -> Option<ClientMessage> {
        self.messages.pop_front()
    }

    /// The request with this order is answered now.
    pub fn begin(&mut self, order: RequestOrder) {
        self.current = order;
    }

    /// No request is being answered any more.
    pub fn finish(&mut self) {
        self.current = RequestOrder::default();
    }
}
