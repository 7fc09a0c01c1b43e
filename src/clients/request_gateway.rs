//! The gateway through which sessions submit requests to the driver and receive their answers. Independent of the
//! client protocol. Each request that it opens must be counted with exactly one result.

use crate::api::{ClassId, Micros, ReadLevel, RequestId};
use crate::invariants::InvariantMonitor;
use crate::request::IncomingRequest;
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use crate::stages::accounting::{AccountingTicket, RequestAccounting};
use crate::stages::admission::{RejectionCause, RequestAdmission};
use crate::stages::request_intake::{IntakeError, OpenId, RequestIntake};
use crate::stages::response_channel::{ResponseReceiver, response_channel};
use crate::stages::{AcceptedRequest, DriverInput, FinalResponse};
use crate::upstream::send_guard::SendGuard;
use bytes::Bytes;
use log::debug;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

/// Time after which to retry, sent with a rejection for lack of memory, because too many requests are held, or because
/// the process is stopping.
pub const RETRY_AFTER: Micros = Micros(250_000);

/// Opens, rejects and submits the requests of all sessions.
pub struct RequestGateway {
    intake: RequestIntake,
    admission: RequestAdmission,
    accounting: RequestAccounting,
    inbox: mpsc::UnboundedSender<DriverInput>,
    guard: SendGuard,
}

/// A request that was received completely and not yet submitted. Dropping it releases its id and counts it as one whose
/// client disconnected.
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

/// A submitted request. Dropping it releases its id and its slot among the requests held; if it has not been answered,
/// the driver is notified that the client has disconnected.
pub struct PendingRequest {
    id: RequestId,
    answer: ResponseReceiver,
    ticket: Option<AccountingTicket>,
    inbox: mpsc::UnboundedSender<DriverInput>,
    _held_slot: ResourcePermit,
    _open_id: OpenId,
}

impl PendingRequest {
    /// Waits for the final answer, and records its result unless the answer is streamed. The answer is
    /// [`FinalResponse::Failed`] if the driver has ended.
    pub async fn answer(&mut self) -> FinalResponse {
        let answer = self.answer.recv().await.unwrap_or(FinalResponse::Failed);
        if !matches!(answer, FinalResponse::Streaming(_)) {
            self.record_result(&answer);
        }
        answer
    }

    /// Records the end of a streamed answer; `is_complete` is `false` if it was cut off.
    pub fn finish_streaming(&mut self, is_complete: bool) {
        let answer = if is_complete { FinalResponse::Served(Bytes::new()) } else { FinalResponse::Failed };
        self.record_result(&answer);
    }

    fn record_result(&mut self, answer: &FinalResponse) {
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
    /// Creates a gateway to the driver that receives from `inbox`. `admission` limits the requests held and the memory
    /// of messages; `guard` reports hold-ups of the process.
    pub fn new(
        intake: RequestIntake, admission: RequestAdmission, accounting: RequestAccounting,
        inbox: mpsc::UnboundedSender<DriverInput>, guard: SendGuard,
    ) -> RequestGateway {
        RequestGateway { intake, admission, accounting, inbox, guard }
    }

    /// Rejects and counts a request that was not opened. A request without a known class is missing in the metrics by
    /// class.
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

    /// Whether the settings have a class of this name.
    pub fn is_known_class(&self, class: &str) -> bool {
        self.intake.class_named(class).is_some()
    }

    /// Counts a statement that is not a valid request. If its class is known, also counts a failed request of the
    /// class.
    pub fn count_malformed(&self, class: Option<&str>) {
        self.accounting.record_malformed();
        if let Some(class) = class.and_then(|class| self.intake.class_named(class)) {
            self.accounting.begin_request(class).end(&FinalResponse::Failed);
        }
    }

    /// The start of the last hold-up of the process while it is catching up; `None` otherwise.
    pub fn held_up_since(&self) -> Option<Instant> {
        self.guard.held_up_since()
    }

    /// Whether the process may report that it is ready; see [`SendGuard::may_report_ready`].
    pub fn may_report_ready(&self) -> bool {
        self.guard.may_report_ready()
    }

    /// The monitor that counts violated invariants.
    pub fn invariants(&self) -> Rc<InvariantMonitor> {
        self.accounting.invariants()
    }

    /// Number of requests held.
    pub fn held_requests(&self) -> usize {
        self.admission.held_requests()
    }

    /// The limit on the memory of ordinary client messages, in bytes.
    pub fn message_memory(&self) -> ResourceLimit {
        self.admission.message_memory()
    }

    /// The semaphore for the memory of long messages, and the number of permits for a message of `length` bytes.
    /// Permits are granted in the order of the requests for them; `None` for a length beyond the total.
    pub fn long_message_memory(&self, length: usize) -> Option<(Arc<Semaphore>, u32)> {
        self.admission.long_message_memory(length)
    }

    /// Checks the class of a request on arrival, reserves its id and counts it as accepted. No other request may use
    /// the id until the returned value, or the [`PendingRequest`] made from it, is dropped.
    ///
    /// # Errors
    /// The class is unknown, or a request with this id is open.
    pub fn check_and_reserve_id(&self, incoming: IncomingRequest) -> Result<OpenRequest, IntakeError> {
        let class = self.intake.class_of(&incoming)?;
        let id = self.intake.claim_id(&incoming)?;
        let writes = self.intake.read_level(class) == ReadLevel::Write;
        let ticket = self.accounting.begin_request(class);
        Ok(OpenRequest { incoming, class, writes, id, ticket })
    }

    /// Rejects an open request before it is submitted. The answer carries the time after which to retry.
    pub fn reject(&self, request: OpenRequest, cause: RejectionCause) -> FinalResponse {
        self.reject_ticket(request.ticket, cause)
    }

    fn reject_ticket(&self, ticket: AccountingTicket, cause: RejectionCause) -> FinalResponse {
        let answer = FinalResponse::Rejected { retry_after: Some(RETRY_AFTER) };
        self.accounting.record_rejection_cause(cause);
        ticket.end(&answer);
        answer
    }

    /// Reserves memory for the answer of a request behind an unanswered one; `None` if too little is free, so that the
    /// request must wait for its turn.
    pub fn reserve_read_ahead(&self) -> Option<ResourcePermit> {
        self.admission.reserve_read_ahead()
    }

    /// Counts a request that waits for its turn, since there was no memory to answer it ahead.
    pub fn count_read_ahead_wait(&self) {
        self.accounting.record_read_ahead_wait();
    }

    /// Submits a request to the driver. `waited` is the time since its arrival, by which its timeout is reduced;
    /// `reserved` is memory for its answer if that may have to wait for its turn.
    ///
    /// # Errors
    /// The final answer, if the request is rejected without being submitted.
    pub fn submit(
        &self, request: OpenRequest, waited: Duration, reserved: Option<ResourcePermit>,
    ) -> Result<PendingRequest, FinalResponse> {
        let OpenRequest { mut incoming, class, id: open_id, ticket, .. } = request;
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        incoming.timeout_ms = incoming.timeout_ms.saturating_sub(waited_ms);
        let request = self.intake.build_request(&incoming, class);
        let held_slot = match self.admission.admit() {
            Ok(held_slot) => held_slot,
            Err(cause) => return Err(self.reject_ticket(ticket, cause)),
        };
        let (reply, answer) = response_channel(reserved);
        let deadline = Instant::now() + Duration::from_micros(request.time_left.0);
        let id = request.id;
        debug!(
            "request {id}: client id {}, class {}, timeout {} ms",
            incoming.id, class.0, incoming.timeout_ms
        );
        let accepted = AcceptedRequest { request, payload: incoming.payload, deadline, reply };
        // If the driver is gone, the reply channel is closed, and the request is answered as failed.
        let _ = self.inbox.send(DriverInput::RequestAccepted(Box::new(accepted)));
        Ok(PendingRequest {
            id,
            answer,
            ticket: Some(ticket),
            inbox: self.inbox.clone(),
            _held_slot: held_slot,
            _open_id: open_id,
        })
    }
}
