//! Where sessions submit their requests: the stages before the decisions, and the way of the answer back. Knows no
//! protocol. Every request that it opens is counted with exactly one end.

use crate::api::{ClassId, Micros, ReadLevel, RequestId};
use crate::invariants::InvariantMonitor;
use crate::request::IncomingRequest;
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use crate::stages::admit::{Admit, Edge};
use crate::stages::book::{Book, Ticket};
use crate::stages::intake::{Intake, IntakeError, OpenId};
use crate::stages::{Answer, Input, Taken};
use crate::upstream::send_guard::SendGuard;
use bytes::Bytes;
use log::debug;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::Instant;

/// Time after which to retry, sent to clients that are rejected for want of memory or of room among the requests held.
pub const RETRY_AFTER: Micros = Micros(250_000);

/// The entry to the stages that all sessions share.
pub struct RequestGateway {
    intake: Intake,
    admit: Admit,
    book: Book,
    inbox: mpsc::UnboundedSender<Input>,
    guard: SendGuard,
}

/// A request whose id is open, from its last byte to its answer.
pub struct OpenRequest {
    incoming: IncomingRequest,
    class: ClassId,
    writes: bool,
    id: OpenId,
    ticket: Ticket,
}

impl OpenRequest {
    /// Whether the request writes.
    pub fn writes(&self) -> bool {
        self.writes
    }
}

/// A request that was submitted. Dropped before its answer, it tells the decisions that the client has left; its place
/// among the requests held and its id are free again then, too.
pub struct PendingRequest {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    ticket: Option<Ticket>,
    inbox: mpsc::UnboundedSender<Input>,
    _place: ResourcePermit,
    _open_id: OpenId,
}

impl PendingRequest {
    /// The one final answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed);
        if !matches!(answer, Answer::Passing(_)) {
            self.end(&answer);
        }
        answer
    }

    /// Notes the end of a long answer: it was written completely, or it was cut off.
    pub fn streamed(&mut self, is_complete: bool) {
        let answer = if is_complete { Answer::Served(Bytes::new()) } else { Answer::Failed };
        self.end(&answer);
    }

    fn end(&mut self, answer: &Answer) {
        if let Some(ticket) = self.ticket.take() {
            ticket.end(answer);
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.ticket.is_some() {
            let _ = self.inbox.send(Input::Gone(self.id));
        }
    }
}

impl RequestGateway {
    /// The entry before the decisions that read `inbox`; `admit` bounds requests held and the memory of messages, and
    /// `guard` knows when the process was held up.
    pub fn new(
        intake: Intake, admit: Admit, book: Book, inbox: mpsc::UnboundedSender<Input>, guard: SendGuard,
    ) -> RequestGateway {
        RequestGateway { intake, admit, book, inbox, guard }
    }

    /// Rejects a request that was not opened. Without its class it is in no metric of a class.
    pub fn reject_unopened(&self, edge: Edge, retry_after: Micros, class: Option<&str>) -> Answer {
        let answer = Answer::Refused { retry_after: Some(retry_after) };
        self.book.refused_at(edge);
        match class.and_then(|class| self.intake.named(class)) {
            Some(class) => self.book.take(class).end(&answer),
            None => self.book.refused(),
        }
        answer
    }

    /// Counts a statement that could not be read, or that is answered as failed before it became a request.
    pub fn count_malformed(&self, class: Option<&str>) {
        self.book.malformed();
        if let Some(class) = class.and_then(|class| self.intake.named(class)) {
            self.book.take(class).end(&Answer::Failed);
        }
    }

    /// Since when the process was held up, while it catches up.
    pub fn held_up_since(&self) -> Option<Instant> {
        self.guard.held_up_since()
    }

    /// Whether the process may report that it is ready.
    pub fn may_report_ready(&self) -> bool {
        self.guard.is_ready()
    }

    /// What counts violated invariants.
    pub fn invariants(&self) -> Rc<InvariantMonitor> {
        self.book.invariants()
    }

    /// Requests held now.
    pub fn held_requests(&self) -> usize {
        self.admit.held()
    }

    /// The memory that clients' messages share, in bytes.
    pub fn message_memory(&self) -> ResourceLimit {
        self.admit.memory()
    }

    /// The memory that long messages share, and the permits for one of `length` bytes. Granted in the order of asking;
    /// none for a length that could never be granted.
    pub fn long_message_memory(&self, length: usize) -> Option<(Arc<Semaphore>, u32)> {
        self.admit.long(length)
    }

    /// Opens a request when it comes: nothing else may run under its id until its end.
    ///
    /// # Errors
    /// The class is unknown, or a request with this id is open.
    pub fn open(&self, incoming: IncomingRequest) -> Result<OpenRequest, IntakeError> {
        let class = self.intake.class(&incoming)?;
        let id = self.intake.open(&incoming)?;
        let writes = self.intake.level(class) == ReadLevel::Write;
        let ticket = self.book.take(class);
        Ok(OpenRequest { incoming, class, writes, id, ticket })
    }

    /// Rejects a request before the decisions see it; the answer tells its client when to retry.
    pub fn reject(&self, request: OpenRequest, edge: Edge) -> Answer {
        self.reject_ticket(request.ticket, edge)
    }

    fn reject_ticket(&self, ticket: Ticket, edge: Edge) -> Answer {
        let answer = Answer::Refused { retry_after: Some(RETRY_AFTER) };
        self.book.refused_at(edge);
        ticket.end(&answer);
        answer
    }

    /// Submits a request whose client has waited so long already.
    ///
    /// # Errors
    /// The final answer, where the request is rejected before the decisions see it.
    pub fn submit(&self, request: OpenRequest, waited: Duration) -> Result<PendingRequest, Answer> {
        let OpenRequest { mut incoming, class, id: open_id, ticket, .. } = request;
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        incoming.timeout_ms = incoming.timeout_ms.saturating_sub(waited_ms);
        let request = self.intake.take(&incoming, class);
        let place = match self.admit.request() {
            Ok(place) => place,
            Err(edge) => return Err(self.reject_ticket(ticket, edge)),
        };
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_micros(request.time_left.0);
        let id = request.id;
        debug!(
            "request {id} is the client's {}, class {}, waits {} ms",
            incoming.id, class.0, incoming.timeout_ms
        );
        let taken = Taken { request, payload: incoming.payload, deadline, reply };
        // Without a driver the channel is closed, and the answer is that it failed.
        let _ = self.inbox.send(Input::Taken(Box::new(taken)));
        Ok(PendingRequest {
            id,
            answer,
            ticket: Some(ticket),
            inbox: self.inbox.clone(),
            _place: place,
            _open_id: open_id,
        })
    }
}
