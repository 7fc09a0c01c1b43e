//! Delivers the final response of a request to the client's session. Each request gets at most one response, and a
//! request is removed once its client has disconnected.

use super::FinalResponse;
use super::response_channel::ResponseSender;
use crate::api::RequestId;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// The recipient of a response, and the time by which it is due.
struct OpenRequest {
    reply: ResponseSender,
    due: Instant,
}

/// The requests that have no final response yet.
#[derive(Default)]
pub struct ResponseDelivery {
    open: BTreeMap<RequestId, OpenRequest>,
    /// The same requests, ordered by due time.
    due: BTreeSet<(Instant, RequestId)>,
}

impl ResponseDelivery {
    /// Registers a request whose response is due at `due`.
    pub fn register(&mut self, id: RequestId, reply: ResponseSender, due: Instant) {
        self.open.insert(id, OpenRequest { reply, due });
        self.due.insert((due, id));
    }

    /// The open request whose response is due first.
    pub fn next_due(&self) -> Option<(Instant, RequestId)> {
        self.due.first().copied()
    }

    /// Whether a request has no final response yet and its client has not disconnected.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    /// Delivers the final response. Returns false if the request was already over.
    pub fn deliver(&mut self, id: &RequestId, response: FinalResponse) -> bool {
        let Some(reply) = self.close(id) else { return false };
        // Fails only if the client has disconnected and the input for that is still queued.
        let _ = reply.send(response);
        true
    }

    /// Removes a request whose client has disconnected. Returns false if the request was already over.
    pub fn abandon(&mut self, id: &RequestId) -> bool {
        self.close(id).is_some()
    }

    fn close(&mut self, id: &RequestId) -> Option<ResponseSender> {
        let OpenRequest { reply, due } = self.open.remove(id)?;
        self.due.remove(&(due, *id));
        Some(reply)
    }
}
