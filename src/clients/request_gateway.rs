//! Where sessions submit their requests: the stages before the decisions, and the way of the answer back. Knows no
//! protocol. Every request that it opens is counted with exactly one end.

use crate::api::{ClassId, Micros, ReadLevel, RequestId};
use crate::invariants::InvariantMonitor;
use crate::request::IncomingRequest;
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use crate::stages::accounting::{AccountingTicket, RequestAccounting};
use crate::stages::admission::{RejectionCause, RequestAdmission};
use crate::stages::request_intake::{IntakeError, OpenId, RequestIntake};
use crate::stages::{AcceptedRequest, DriverInput, FinalResponse};
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
    intake: RequestIntake,
    admission: RequestAdmission,
    accounting: RequestAccounting,
    inbox: mpsc::UnboundedSender<DriverInput>,
    guard: SendGuard,
}

/// A request whose id is open, from its last byte to its answer.
pub struct OpenRequest {
    incoming: IncomingRequest,
    class: ClassId,
    writes: bool,
    id: OpenId,
    ticket: AccountingTicket,
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
    answer: oneshot::Receiver<FinalResponse>,
    ticket: Option<AccountingTicket>,
    inbox: mpsc::UnboundedSender<DriverInput>,
    _place: ResourcePermit,
    _open_id: OpenId,
}

impl PendingRequest {
    /// The one final answer.
    pub async fn answer(&mut self) -> FinalResponse {
        let answer = (&mut self.answer).await.unwrap_or(FinalResponse::Failed);
        if !matches!(answer, FinalResponse::Streaming(_)) {
            self.end(&answer);
        }
        answer
    }

    /// Notes the end of a long answer: it was written completely, or it was cut off.
    pub fn streamed(&mut self, is_complete: bool) {
        let answer = if is_complete { FinalResponse::Served(Bytes::new()) } else { FinalResponse::Failed };
        self.end(&answer);
    }

    fn end(&mut self, answer: &FinalResponse) {
        if let Some(ticket) = self.ticket.take() {
            ticket.end(answer);
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.ticket.is_some() {
            let _ = self.inbox.send(DriverInput::ClientGone(self.id));
        }
    }
}

impl RequestGateway {
    /// The entry before the decisions that read `inbox`; `admission` bounds requests held and the memory of messages, and
    /// `guard` knows when the process was held up.
    pub fn new(
        intake: RequestIntake, admission: RequestAdmission, accounting: RequestAccounting,
        inbox: mpsc::UnboundedSender<DriverInput>, guard: SendGuard,
    ) -> RequestGateway {
        RequestGateway { intake, admission, accounting, inbox, guard }
    }

    /// Rejects a request that was not opened. Without its class it is in no metric of a class.
    pub fn reject_unopened(
        &self, cause: RejectionCause, retry_after: Micros, class: Option<&str>,
    ) -> FinalResponse {
        let answer = FinalResponse::Rejected { retry_after: Some(retry_after) };
        self.accounting.record_rejection_cause(cause);
        match class.and_then(|class| self.intake.class_named(class)) {
            Some(class) => self.accounting.begin_request(class).end(&answer),
            None => self.accounting.record_rejection_without_class(),
        }
        answer
    }

    /// Counts a statement that could not be read, or that is answered as failed before it became a request.
    pub fn count_malformed(&self, class: Option<&str>) {
        self.accounting.record_malformed();
        if let Some(class) = class.and_then(|class| self.intake.class_named(class)) {
            self.accounting.begin_request(class).end(&FinalResponse::Failed);
        }
    }

    /// Since when the process was held up, while it catches up.
    pub fn held_up_since(&self) -> Option<Instant> {
        self.guard.held_up_since()
    }

    /// Whether the process may report that it is ready.
    pub fn may_report_ready(&self) -> bool {
        self.guard.may_report_ready()
    }

    /// What counts violated invariants.
    pub fn invariants(&self) -> Rc<InvariantMonitor> {
        self.accounting.invariants()
    }

    /// Requests held now.
    pub fn held_requests(&self) -> usize {
        self.admission.held_requests()
    }

    /// The memory that clients' messages share, in bytes.
    pub fn message_memory(&self) -> ResourceLimit {
        self.admission.message_memory()
    }

    /// The memory that long messages share, and the permits for one of `length` bytes. Granted in the order of asking;
    /// none for a length that could never be granted.
    pub fn long_message_memory(&self, length: usize) -> Option<(Arc<Semaphore>, u32)> {
        self.admission.long_message_memory(length)
    }

    /// Opens a request when it comes: nothing else may run under its id until its end.
    ///
    /// # Errors
    /// The class is unknown, or a request with this id is open.
    pub fn open(&self, incoming: IncomingRequest) -> Result<OpenRequest, IntakeError> {
        let class = self.intake.class_of(&incoming)?;
        let id = self.intake.claim_id(&incoming)?;
        let writes = self.intake.read_level(class) == ReadLevel::Write;
        let ticket = self.accounting.begin_request(class);
        Ok(OpenRequest { incoming, class, writes, id, ticket })
    }

    /// Rejects a request before the decisions see it; the answer tells its client when to retry.
    pub fn reject(&self, request: OpenRequest, cause: RejectionCause) -> FinalResponse {
        self.reject_ticket(request.ticket, cause)
    }

    fn reject_ticket(&self, ticket: AccountingTicket, cause: RejectionCause) -> FinalResponse {
        let answer = FinalResponse::Rejected { retry_after: Some(RETRY_AFTER) };
        self.accounting.record_rejection_cause(cause);
        ticket.end(&answer);
        answer
    }

    /// Submits a request whose client has waited so long already.
    ///
    /// # Errors
    /// The final answer, where the request is rejected before the decisions see it.
    pub fn submit(&self, request: OpenRequest, waited: Duration) -> Result<PendingRequest, FinalResponse> {
        let OpenRequest { mut incoming, class, id: open_id, ticket, .. } = request;
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        incoming.timeout_ms = incoming.timeout_ms.saturating_sub(waited_ms);
        let request = self.intake.build_request(&incoming, class);
        let place = match self.admission.admit() {
            Ok(place) => place,
            Err(cause) => return Err(self.reject_ticket(ticket, cause)),
        };
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_micros(request.time_left.0);
        let id = request.id;
        debug!(
            "request {id} is the client's {}, class {}, waits {} ms",
            incoming.id, class.0, incoming.timeout_ms
        );
        let accepted = AcceptedRequest { request, payload: incoming.payload, deadline, reply };
        // Without a driver the channel is closed, and the answer is that it failed.
        let _ = self.inbox.send(DriverInput::RequestAccepted(Box::new(accepted)));
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
