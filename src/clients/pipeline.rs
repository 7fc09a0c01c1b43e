//! The messages that a client has sent while an earlier request is being answered. Their requests are answered in
//! order, and run concurrently unless [`RequestOrder`] forbids it. The pipeline is bounded and does no I/O.

use super::request_gateway::{OpenRequest, PendingRequest};
use crate::api::Micros;
use crate::pg::frontend::{MessageMemory, Reply};
use crate::stages::FinalResponse;
use bytestring::ByteString;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Largest number of messages of one connection that wait behind the request that is being answered. Further input
/// stays unread until an answer has been written, so that one client can't use up the memory or the members.
pub const MAX_MESSAGES: usize = 16;

/// A message from the client, decoded on arrival.
pub enum ClientMessage {
    /// A request.
    Request(Box<PipelinedRequest>),
    /// A statement that is not a valid request, with its error.
    Malformed(Reply),
    /// A statement on a connection whose requests are rejected: the time after which to retry, and the class if the
    /// statement can be decoded.
    ConnectionRefused(Micros, Option<ByteString>),
    /// An empty query.
    Empty,
    /// A message of the extended query protocol, which is not supported.
    Extended,
    /// The end of a batch of extended-protocol messages.
    Sync,
    /// The client ends the session.
    Terminate,
    /// A message that is not answered.
    Ignored,
}

impl ClientMessage {
    /// The message with its request submitted by `submit`, if it is a blocked one.
    fn submitted_by(
        self, submit: impl FnOnce(OpenRequest, Instant) -> Result<PendingRequest, FinalResponse>,
    ) -> ClientMessage {
        let ClientMessage::Request(request) = self else { return self };
        let PipelinedRequest { order, state, memory } = *request;
        let state = match state {
            RequestState::Blocked(request, arrived_at) => {
                RequestState::Submitted(submit(request, arrived_at))
            }
            submitted => submitted,
        };
        ClientMessage::Request(Box::new(PipelinedRequest { order, state, memory }))
    }
}

/// A request whose id is open, and which holds the memory of its message.
pub struct PipelinedRequest {
    /// Determines the requests that it must not run concurrently with.
    pub order: RequestOrder,
    /// Whether it was submitted.
    pub state: RequestState,
    /// The memory of its message.
    pub memory: MessageMemory,
}

/// The state of a request in the pipeline.
pub enum RequestState {
    /// Submitted, or rejected by the gateway with a final answer.
    Submitted(Result<PendingRequest, FinalResponse>),
    /// Waits for its turn, because it must not run concurrently with an earlier request or no memory was left for its
    /// answer; carries the time of its arrival.
    Blocked(OpenRequest, Instant),
}

/// Determines the order of requests on a connection: two requests with the same key must not run concurrently if at
/// least one of them writes.
#[derive(Default)]
pub struct RequestOrder {
    /// The key, if the request names one.
    pub key: Option<ByteString>,
    /// Whether it writes.
    pub writes: bool,
}

impl RequestOrder {
    /// Whether this request must not run concurrently with `earlier`.
    fn depends_on(&self, earlier: &RequestOrder) -> bool {
        self.key.is_some() && self.key == earlier.key && (self.writes || earlier.writes)
    }
}

/// The messages that wait for the request that is being answered.
#[derive(Default)]
pub struct Pipeline {
    messages: VecDeque<ClientMessage>,
    /// The order of the request that is being answered.
    current: RequestOrder,
    /// Whether a request is being answered.
    is_answering: bool,
}

impl Pipeline {
    /// Whether no message is waiting.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether an accepted request is waiting.
    pub fn has_requests(&self) -> bool {
        self.messages.iter().any(|message| matches!(message, ClientMessage::Request(_)))
    }

    /// Whether a message that arrives now has to wait for the answer of an earlier request.
    pub fn has_unanswered(&self) -> bool {
        self.is_answering || self.has_requests()
    }

    /// Whether no further message may be read.
    pub fn is_full(&self) -> bool {
        self.messages.len() >= MAX_MESSAGES
    }

    /// Whether a request with this order must wait for an earlier one.
    pub fn blocks(&self, order: &RequestOrder) -> bool {
        self.depends_on_earlier(order, self.messages.len())
    }

    /// The index of the first request that waits for its turn although it depends on no earlier one.
    pub fn next_runnable(&self) -> Option<usize> {
        (0..self.messages.len()).find(|index| self.is_runnable(*index))
    }

    /// Submits the request at an index that [`Self::next_runnable`] returned, by `submit`.
    pub fn submit_runnable(
        &mut self, index: usize,
        submit: impl FnOnce(OpenRequest, Instant) -> Result<PendingRequest, FinalResponse>,
    ) {
        let Some(message) = self.messages.remove(index) else { return };
        self.messages.insert(index, message.submitted_by(submit));
    }

    fn is_runnable(&self, index: usize) -> bool {
        let Some(ClientMessage::Request(request)) = self.messages.get(index) else { return false };
        let is_blocked = matches!(request.state, RequestState::Blocked(..));
        is_blocked && !self.depends_on_earlier(&request.order, index)
    }

    /// Whether a request with this order depends on the one that is being answered, or on one of the first `count`
    /// messages.
    fn depends_on_earlier(&self, order: &RequestOrder, count: usize) -> bool {
        let depends = |message: &ClientMessage| match message {
            ClientMessage::Request(request) => order.depends_on(&request.order),
            _ => false,
        };
        order.depends_on(&self.current) || self.messages.iter().take(count).any(depends)
    }

    /// Appends the latest message.
    pub fn push(&mut self, message: ClientMessage) {
        self.messages.push_back(message);
    }

    /// Removes the next message to answer.
    pub fn pop(&mut self) -> Option<ClientMessage> {
        self.messages.pop_front()
    }

    /// Records that the request with this order is being answered.
    pub fn begin_answer(&mut self, order: RequestOrder) {
        self.current = order;
        self.is_answering = true;
    }

    /// Records that no request is being answered.
    pub fn finish_answer(&mut self) {
        self.current = RequestOrder::default();
        self.is_answering = false;
    }
}
