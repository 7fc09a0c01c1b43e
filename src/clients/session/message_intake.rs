//! Decodes messages as they arrive and submits the requests among them, also while earlier ones are open, so that
//! requests of one connection run concurrently.

use super::replies;
use super::{InputEnd, Session};
use crate::clients::connection_gate::AdmissionMode;
use crate::clients::pipeline::{ClientMessage, PipelinedRequest, RequestOrder, RequestState};
use crate::clients::request_gateway::OpenRequest;
use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::{FrontendMessage, MessageMemory};
use crate::pg::statement::{self, StatementError};
use crate::stages::admission::RejectionCause;
use crate::stages::request_intake::IntakeError;
use bytes::Bytes;
use bytestring::ByteString;
use tokio::time::Instant;

/// A connection ends after this many consecutive malformed statements.
const MAX_CONSECUTIVE_MALFORMED: u32 = 8;

impl<S: super::ClientStream> Session<S> {
    /// Decodes a message. A valid request is submitted, rejected or blocked; see [`Self::submit`].
    pub(super) fn accept_message(&mut self, message: FrontendMessage) -> ClientMessage {
        self.has_sent_message = true;
        let memory = self.framed.codec_mut().take_message_memory();
        match message {
            FrontendMessage::Sync => {
                self.skips_to_sync = false;
                ClientMessage::Sync
            }
            FrontendMessage::Terminate => ClientMessage::Terminate,
            _ if self.skips_to_sync => ClientMessage::Ignored,
            FrontendMessage::Extended(_) => {
                self.skips_to_sync = true;
                ClientMessage::Extended
            }
            FrontendMessage::Query(statement) if statement::is_empty(&statement) => ClientMessage::Empty,
            FrontendMessage::Query(statement) => self.accept_statement(&statement, memory),
            FrontendMessage::EncryptionRequest
            | FrontendMessage::CancelRequest
            | FrontendMessage::Startup
            | FrontendMessage::Copy
            | FrontendMessage::LongQueryAnnounced(_) => ClientMessage::Ignored,
        }
    }

    /// Decodes a statement and opens its request, which holds `memory` until it is answered. On a connection whose
    /// requests are rejected, only the class is decoded.
    fn accept_statement(&mut self, statement: &Bytes, memory: MessageMemory) -> ClientMessage {
        if let AdmissionMode::Reject(retry_after) = self.connection.mode() {
            let class = statement::parse(statement).ok().map(|statement| statement.class);
            // The class must not keep the statement alive, whose memory is released here.
            let class = class.filter(|class| self.gateway.is_known_class(class));
            let class = class.map(|class| ByteString::from(class.to_string()));
            return ClientMessage::ConnectionRefused(retry_after, class);
        }
        let incoming = match statement::parse(statement) {
            Ok(incoming) => incoming,
            Err(error) => {
                let is_invalid = matches!(error, StatementError::Wrong(_));
                return self.malformed(if is_invalid { "22023" } else { "42601" }, error, None);
            }
        };
        let key = incoming.session_key.clone();
        let class = incoming.class.clone();
        let request = match self.gateway.check_and_reserve_id(incoming) {
            Ok(request) => request,
            Err(error) => {
                let is_in_use = error == IntakeError::IdInUse;
                return self.malformed(if is_in_use { "42710" } else { "22023" }, error, Some(&class));
            }
        };
        self.consecutive_malformed = 0;
        let order = RequestOrder { key, writes: request.writes() };
        let state = self.submit(request, &order);
        ClientMessage::Request(Box::new(PipelinedRequest { order, state, memory }))
    }

    /// Submits a request, unless it depends on an earlier one of the same connection or its answer might have to wait
    /// for its turn without memory. Rejects it if the process no
    /// longer accepts requests.
    fn submit(&self, request: OpenRequest, order: &RequestOrder) -> RequestState {
        if self.serving_state.borrow().rejects_requests {
            return RequestState::Submitted(Err(self.gateway.reject(request, RejectionCause::Stopping)));
        }
        // The request may have arrived while reading was paused, for lack of room or during a hold-up of the process:
        // its wait counts from the start of the pause.
        let unread_since = self.unread_since.into_iter().chain(self.gateway.held_up_since()).min();
        let arrived_at = unread_since.unwrap_or_else(Instant::now);
        if self.pipeline.blocks(order) {
            return RequestState::Blocked(request, arrived_at);
        }
        if !self.pipeline.has_unanswered() {
            return RequestState::Submitted(self.gateway.submit(request, arrived_at.elapsed(), None));
        }
        // The answer may have to wait for its turn.
        match self.gateway.reserve_read_ahead() {
            Some(reserved) => {
                RequestState::Submitted(self.gateway.submit(request, arrived_at.elapsed(), Some(reserved)))
            }
            None => {
                self.gateway.count_read_ahead_wait();
                RequestState::Blocked(request, arrived_at)
            }
        }
    }

    /// Counts a statement that is not a valid request. After too many consecutive ones no more input is read: messages
    /// accepted so far are answered, then the connection ends.
    fn malformed(&mut self, code: &'static str, error: impl ToString, class: Option<&str>) -> ClientMessage {
        self.gateway.count_malformed(class);
        self.consecutive_malformed += 1;
        if self.consecutive_malformed >= MAX_CONSECUTIVE_MALFORMED {
            self.input_end = Some(InputEnd::Malformed);
        }
        ClientMessage::Malformed(replies::error(code, error))
    }

    /// Accepts a message that arrived while a request is being answered.
    pub(super) fn read_ahead(
        &mut self, next: Option<Result<FrontendMessage, PgError>>,
    ) -> Result<(), CloseReason> {
        match next {
            None | Some(Err(PgError::Io(_))) => return Err(CloseReason::ClientGone),
            Some(Ok(FrontendMessage::LongQueryAnnounced(length))) => self.handle_announced_message(length),
            Some(Ok(FrontendMessage::Terminate)) if self.pipeline.is_empty() => {
                return Err(CloseReason::ClientGone);
            }
            Some(Ok(message)) => {
                self.check_client_present()?;
                let message = self.accept_message(message);
                self.pipeline.push(message);
            }
            Some(Err(error)) => self.input_end = Some(InputEnd::Violation(error)),
        }
        Ok(())
    }

    /// Handles a long message announced while a request is being answered. The message is read at once if memory is
    /// available, since the end of the client's input can only be read after it, and otherwise after the answer.
    fn handle_announced_message(&mut self, length: usize) {
        let granted = self
            .gateway
            .long_message_memory(length)
            .and_then(|(memory, permits)| memory.try_acquire_many_owned(permits).ok());
        match granted {
            Some(granted) => self.framed.codec_mut().grant_long_message(granted),
            None => self.announced_length = Some(length),
        }
    }
}
