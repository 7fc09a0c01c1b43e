//! Hands the one final answer of a request to whoever waits for it.

use super::Answer;
use super::book::Book;
use crate::api::RequestId;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The stage.
pub struct Relay {
    open: BTreeMap<RequestId, oneshot::Sender<Answer>>,
    book: Book,
}

impl Relay {
    /// Nothing is owed yet.
    pub fn new(book: Book) -> Relay {
        Relay { open: BTreeMap::new(), book }
    }

    /// From now on an answer is owed.
    pub fn owe(&mut self, id: RequestId, reply: oneshot::Sender<Answer>) {
        self.open.insert(id, reply);
    }

    /// Whether an answer is still owed.
    pub fn owed(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    /// Gives the final answer; false when the request was over before.
    pub fn answer(&mut self, id: &RequestId, answer: Answer) -> bool {
        let Some(reply) = self.open.remove(id) else { return false };
        self.book.answered(&answer);
        // The client may have left a moment ago; its word is on the way.
        let _ = reply.send(answer);
        true
    }

    /// The client has left: nothing is owed any more.
    pub fn lapse(&mut self, id: &RequestId) -> bool {
        let open = self.open.remove(id).is_some();
        if open {
            self.book.lapsed();
        }
        open
    }
}
