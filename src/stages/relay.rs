//! Hands the one final answer of a request to whoever waits for it.

use super::FinalResponse;
use crate::api::RequestId;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The stage.
#[derive(Default)]
pub struct Relay {
    open: BTreeMap<RequestId, (oneshot::Sender<FinalResponse>, Instant)>,
    due: BTreeSet<(Instant, RequestId)>,
}

impl Relay {
    /// From now on an answer is owed, until `due`.
    pub fn owe(&mut self, id: RequestId, reply: oneshot::Sender<FinalResponse>, due: Instant) {
        self.open.insert(id, (reply, due));
        self.due.insert((due, id));
    }

    /// The answer that is due first.
    pub fn first_due(&self) -> Option<(Instant, RequestId)> {
        self.due.first().copied()
    }

    fn close(&mut self, id: &RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let (reply, due) = self.open.remove(id)?;
        self.due.remove(&(due, *id));
        Some(reply)
    }

    /// Whether an answer is still owed.
    pub fn owed(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    /// Gives the final answer; false when the request was over before.
    pub fn answer(&mut self, id: &RequestId, answer: FinalResponse) -> bool {
        let Some(reply) = self.close(id) else { return false };
        // The client may have left a moment ago; its word is on the way.
        let _ = reply.send(answer);
        true
    }

    /// The client has left: nothing is owed any more.
    pub fn lapse(&mut self, id: &RequestId) -> bool {
        self.close(id).is_some()
    }
}
