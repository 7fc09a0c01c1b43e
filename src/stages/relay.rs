//! Hands the one final answer of a request to whoever waits for it.

use super::Answer;
use super::book::Book;
use crate::api::RequestId;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The stage.
pub struct Relay {
    open: BTreeMap<RequestId, (oneshot::Sender<Answer>, Instant)>,
    due: BTreeSet<(Instant, RequestId)>,
    book: Book,
}

impl Relay {
    /// Nothing is owed yet.
    pub fn new(book: Book) -> Relay {
        Relay { open: BTreeMap::new(), due: BTreeSet::new(), book }
    }

    /// From now on an answer is owed, until `due`.
    pub fn owe(&mut self, id: RequestId, reply: oneshot::Sender<Answer>, due: Instant) {
        self.open.insert(id, (reply, due));
        self.due.insert((due, id));
    }

    /// The answer that is due first.
    pub fn first_due(&self) -> Option<(Instant, RequestId)> {
        self.due.first().copied()
    }

    fn close(&mut self, id: &RequestId) -> Option<oneshot::Sender<Answer>> {
        let (reply, due) = self.open.remove(id)?;
        self.due.remove(&(due, *id));
        Some(reply)
    }

    /// Whether an answer is still owed.
    pub fn owed(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    /// Gives the final answer; false when the request was over before.
    pub fn answer(&mut self, id: &RequestId, answer: Answer) -> bool {
        let Some(reply) = self.close(id) else { return false };
        self.book.answered(&answer);
        // The client may have left a moment ago; its word is on the way.
        let _ = reply.send(answer);
        true
    }

    /// The client has left: nothing is owed any more.
    pub fn lapse(&mut self, id: &RequestId) -> bool {
        let open = self.close(id).is_some();
        if open {
            self.book.lapsed();
        }
        open
    }
}
