//! Where sessions hand their requests in: the stages before the decisions, and the way back.

use crate::api::{ClassId, ReadLevel, RequestId, Span};
use crate::budget::{Budget, Place};
use crate::request::Incoming;
use crate::stages::admit::{Admit, Edge};
use crate::stages::book::Book;
use crate::stages::intake::{Intake, IntakeError, OpenId};
use crate::stages::{Answer, Input, Taken};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Advice to clients that are refused for want of memory or of room among the requests held.
pub const COME_BACK: Span = Span(250_000);

/// The desk.
pub struct Desk {
    intake: Intake,
    admit: Admit,
    book: Book,
    inbox: mpsc::UnboundedSender<Input>,
}

/// A request whose id is open, from its last byte to its answer.
pub struct Claim {
    incoming: Incoming,
    class: ClassId,
    writes: bool,
    id: OpenId,
}

impl Claim {
    /// Whether the request writes.
    pub fn writes(&self) -> bool {
        self.writes
    }
}

/// A request that was handed in. Dropped before its answer, it tells the decisions that the client has left.
pub struct Pending {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    inbox: mpsc::UnboundedSender<Input>,
    _place: Place,
    _open: OpenId,
}

impl Pending {
    /// The one final answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed);
        self.answered = true;
        answer
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.inbox.send(Input::Gone(self.id));
        }
    }
}

impl Desk {
    /// A desk before the decisions that read `inbox`; requests held and the memory of messages are admitted.
    pub fn new(intake: Intake, admit: Admit, book: Book, inbox: mpsc::UnboundedSender<Input>) -> Desk {
        Desk { intake, admit, book, inbox }
    }

    /// Refuses a request at the edge.
    pub fn refuse(&self, edge: Edge, after: Span) -> Answer {
        let answer = Answer::Refused { retry_after: Some(after) };
        self.book.taken();
        self.book.refused_at(edge);
        self.book.answered(&answer);
        answer
    }

    /// Books a statement that could not be read.
    pub fn malformed(&self) {
        self.book.malformed();
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.admit.held()
    }

    /// The memory that clients' messages share, in bytes.
    pub fn memory(&self) -> Budget {
        self.admit.memory()
    }

    /// Claims a request's id when it comes.
    pub fn claim(&self, incoming: Incoming) -> Result<Claim, IntakeError> {
        let (class, id) = (self.intake.class(&incoming)?, self.intake.open(&incoming)?);
        let writes = self.intake.level(class) == ReadLevel::Write;
        Ok(Claim { incoming, class, writes, id })
    }

    /// Hands a request in that has waited so long; the error is its final answer already.
    pub fn hand_in(&self, claim: Claim, waited: Duration) -> Result<Pending, Answer> {
        let Claim { mut incoming, class, id: open, .. } = claim;
        incoming.wait_ms = incoming.wait_ms.saturating_sub(waited.as_millis() as u64);
        let request = self.intake.take(&incoming, class);
        let place = self.admit.request().map_err(|edge| self.refuse(edge, COME_BACK))?;
        self.book.taken();
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_micros(request.left.0);
        let id = request.id;
        let taken = Taken { request, payload: incoming.payload, deadline, reply };
        // Without a driver the channel is closed, and the answer is that it failed.
        let _ = self.inbox.send(Input::Taken(Box::new(taken)));
        Ok(Pending { id, answer, answered: false, inbox: self.inbox.clone(), _place: place, _open: open })
    }
}
