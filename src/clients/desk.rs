//! Where sessions hand their requests in: the stages before the decisions, and the way back.

use crate::api::{ClassId, ReadLevel, RequestId, Span};
use crate::budget::{Budget, Place};
use crate::request::Incoming;
use crate::stages::admit::{Admit, Edge};
use crate::stages::book::{Book, Ticket};
use crate::stages::intake::{Intake, IntakeError, OpenId};
use crate::stages::{Answer, Input, Taken};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
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
    ticket: Ticket,
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
    ticket: Option<Ticket>,
    inbox: mpsc::UnboundedSender<Input>,
    _place: Place,
    _open: OpenId,
}

impl Pending {
    /// The one final answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed);
        if !matches!(answer, Answer::Passing(_)) {
            self.end(&answer);
        }
        answer
    }

    /// The end of a long answer that was passed on, or cut off.
    pub fn passed(&mut self, whole: bool) {
        self.end(&if whole { Answer::Served(Bytes::new()) } else { Answer::Failed });
    }

    fn end(&mut self, answer: &Answer) {
        self.ticket.take().into_iter().for_each(|ticket| ticket.end(answer));
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.ticket.is_some() {
            let _ = self.inbox.send(Input::Gone(self.id));
        }
    }
}

impl Desk {
    /// A desk before the decisions that read `inbox`; requests held and the memory of messages are admitted.
    pub fn new(intake: Intake, admit: Admit, book: Book, inbox: mpsc::UnboundedSender<Input>) -> Desk {
        Desk { intake, admit, book, inbox }
    }

    /// Refuses a request at the edge; without its class it is in no figure.
    pub fn refuse(&self, edge: Edge, after: Span, class: Option<&str>) -> Answer {
        let answer = Answer::Refused { retry_after: Some(after) };
        self.book.refused_at(edge);
        match class.and_then(|class| self.intake.named(class)) {
            Some(class) => self.book.take(class).end(&answer),
            None => self.book.refused(),
        }
        answer
    }

    /// Books a statement that could not be read, or is answered as failed before it became a request.
    pub fn malformed(&self, class: Option<&str>) {
        self.book.malformed();
        if let Some(class) = class.and_then(|class| self.intake.named(class)) {
            self.book.take(class).end(&Answer::Failed);
        }
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.admit.held()
    }

    /// The memory that clients' messages share, in bytes.
    pub fn memory(&self) -> Budget {
        self.admit.memory()
    }

    /// The memory that long messages share, granted in the order of asking; none for what could never be granted.
    pub fn long_memory(&self, length: usize) -> Option<(Arc<Semaphore>, u32)> {
        self.admit.long(length)
    }

    /// Claims a request's id when it comes.
    pub fn claim(&self, incoming: Incoming) -> Result<Claim, IntakeError> {
        let (class, id) = (self.intake.class(&incoming)?, self.intake.open(&incoming)?);
        let writes = self.intake.level(class) == ReadLevel::Write;
        let ticket = self.book.take(class);
        Ok(Claim { incoming, class, writes, id, ticket })
    }

    /// Rejects a request before the decisions see it; the answer tells its client when to retry.
    pub fn reject(&self, claim: Claim, edge: Edge) -> Answer {
        self.reject_ticket(claim.ticket, edge)
    }

    fn reject_ticket(&self, ticket: Ticket, edge: Edge) -> Answer {
        let answer = Answer::Refused { retry_after: Some(COME_BACK) };
        self.book.refused_at(edge);
        ticket.end(&answer);
        answer
    }

    /// Hands a request in that has waited so long; the error is its final answer already.
    pub fn hand_in(&self, claim: Claim, waited: Duration) -> Result<Pending, Answer> {
        let Claim { mut incoming, class, id: open, ticket, .. } = claim;
        incoming.wait_ms = incoming.wait_ms.saturating_sub(waited.as_millis() as u64);
        let request = self.intake.take(&incoming, class);
        let place = match self.admit.request() {
            Ok(place) => place,
            Err(edge) => return Err(self.reject_ticket(ticket, edge)),
        };
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_micros(request.left.0);
        let id = request.id;
        let taken = Taken { request, payload: incoming.payload, deadline, reply };
        // Without a driver the channel is closed, and the answer is that it failed.
        let _ = self.inbox.send(Input::Taken(Box::new(taken)));
        let (ticket, inbox) = (Some(ticket), self.inbox.clone());
        Ok(Pending { id, answer, ticket, inbox, _place: place, _open: open })
    }
}
