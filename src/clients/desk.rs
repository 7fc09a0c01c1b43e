//! Where sessions hand their requests in: the stages before the decisions, and the way back.

use crate::api::{RequestId, Span};
use crate::stages::admit::{Admit, Place};
use crate::stages::book::Book;
use crate::stages::intake::{Intake, IntakeError};
use crate::stages::{Answer, Incoming, Input, Taken};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Advice to clients that are refused at the edge.
const COME_BACK: Span = Span(250_000);

/// The desk.
pub struct Desk {
    intake: Intake,
    admit: Admit,
    book: Book,
    inbox: mpsc::UnboundedSender<Input>,
}

/// A request that was handed in. Dropped before its answer, it tells the decisions that the client has left.
pub struct Pending {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    inbox: mpsc::UnboundedSender<Input>,
    _place: Place,
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
    /// A desk before the decisions that read `inbox`.
    pub fn new(intake: Intake, admit: Admit, book: Book, inbox: mpsc::UnboundedSender<Input>) -> Desk {
        Desk { intake, admit, book, inbox }
    }

    /// Refuses a request at the edge.
    pub fn refuse(&self) -> Answer {
        let answer = Answer::Refused { retry_after: Some(COME_BACK) };
        self.book.taken();
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

    /// Hands a request in; `Ok(Err(_))` is its final answer already.
    pub fn hand_in(&self, incoming: Incoming) -> Result<Result<Pending, Answer>, IntakeError> {
        let request = self.intake.take(&incoming).inspect_err(|_| self.malformed())?;
        let Some(place) = self.admit.enter() else { return Ok(Err(self.refuse())) };
        self.book.taken();
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_micros(request.left.0);
        let id = request.id;
        let taken = Taken { request, payload: incoming.payload, deadline, reply };
        // Without a driver the channel is closed, and the answer is that it failed.
        let _ = self.inbox.send(Input::Taken(Box::new(taken)));
        Ok(Ok(Pending { id, answer, answered: false, inbox: self.inbox.clone(), _place: place }))
    }
}
