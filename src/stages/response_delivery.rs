//! Delivers the one final response of a request to its client's session. Each request gets one at most, and none is kept
//! once its client has left.

use super::FinalResponse;
use crate::api::RequestId;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Where a response goes, and until when.
struct OpenRequest {
    reply: oneshot::Sender<FinalResponse>,
    due: Instant,
}

/// The requests that have no final response yet.
#[derive(Default)]
pub struct ResponseDelivery {
    open: BTreeMap<RequestId, OpenRequest>,
    /// The same requests by their time.
    due: BTreeSet<(Instant, RequestId)>,
}

impl ResponseDelivery {
    /// Registers a request, which is to have its response by `due`.
    pub fn register(&mut self, id: RequestId, reply: oneshot::Sender<FinalResponse>, due: Instant) {
        self.open.insert(id, OpenRequest { reply, due });
        self.due.insert((due, id));
    }

    /// The open request whose response is due first.
    pub fn next_due(&self) -> Option<(Instant, RequestId)> {
        self.due.first().copied()
    }

    /// Whether a request has no final response yet, and its client has not left.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    /// Delivers the final response; false if the request was over before.
    pub fn deliver(&mut self, id: &RequestId, response: FinalResponse) -> bool {
        let Some(reply) = self.close(id) else { return false };
        // The client may have left a moment ago; that event is on its way.
        let _ = reply.send(response);
        true
    }

    /// Removes a request whose client has left; false if it was over before.
    pub fn abandon(&mut self, id: &RequestId) -> bool {
        self.close(id).is_some()
    }

    fn close(&mut self, id: &RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let OpenRequest { reply, due } = self.open.remove(id)?;
        self.due.remove(&(due, *id));
        Some(reply)
    }
}
