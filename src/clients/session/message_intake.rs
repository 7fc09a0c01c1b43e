//! Decodes messages when they come, and submits the requests among them: also behind others, so that requests of one
//! connection run side by side.

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
use tokio::time::Instant;

/// So many malformed statements in a row end a connection.
const MAX_MALFORMED_IN_ROW: u32 = 8;

impl<S: super::ClientStream> Session<S> {
    /// Decodes a message, and submits it if it is a request that depends on no earlier one of its connection.
    pub(super) fn take_in_message(&mut self, message: FrontendMessage) -> ClientMessage {
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

    /// Decodes a statement. The memory of its message is held as long as the request is open.
    fn accept_statement(&mut self, statement: &Bytes, memory: MessageMemory) -> ClientMessage {
        if let AdmissionMode::Reject(retry_after) = self.connection.mode() {
            let class = statement::parse(statement).ok().map(|statement| statement.class);
            return ClientMessage::ConnectionRefused(retry_after, class);
        }
        let incoming = match statement::parse(statement) {
            Ok(incoming) => incoming,
            Err(problem) => {
                let is_wrong = matches!(problem, StatementError::Wrong(_));
                return self.malformed(if is_wrong { "22023" } else { "42601" }, problem, None);
            }
        };
        let key = incoming.session_key.clone();
        let class = incoming.class.clone();
        let request = match self.gateway.open(incoming) {
            Ok(request) => request,
            Err(problem) => {
                let is_in_use = problem == IntakeError::IdInUse;
                return self.malformed(if is_in_use { "42710" } else { "22023" }, problem, Some(&class));
            }
        };
        self.malformed_in_row = 0;
        let order = RequestOrder { key, writes: request.writes() };
        let state = self.submit(request, &order);
        ClientMessage::Request(Box::new(PipelinedRequest { order, state, memory }))
    }

    /// Submits a request, unless it depends on an earlier one of its connection.
    fn submit(&self, request: OpenRequest, order: &RequestOrder) -> RequestState {
        if self.serving_state.borrow().rejects_requests {
            return RequestState::Submitted(Err(self.gateway.reject(request, RejectionCause::Stopping)));
        }
        // What was read late may have come when reading ended, for want of room or because the process was stopped.
        let unread_since = self.unread_since.into_iter().chain(self.gateway.held_up_since()).min();
        let arrived_at = unread_since.unwrap_or_else(Instant::now);
        if self.pipeline.blocks(order) {
            return RequestState::Blocked(request, arrived_at);
        }
        RequestState::Submitted(self.gateway.submit(request, arrived_at.elapsed()))
    }

    /// Counts a statement that is no request. After too many in a row nothing more is read: what was accepted is
    /// answered, and the connection ends with the answer to the last one.
    fn malformed(
        &mut self, code: &'static str, problem: impl ToString, class: Option<&str>,
    ) -> ClientMessage {
        self.gateway.count_malformed(class);
        self.malformed_in_row += 1;
        if self.malformed_in_row >= MAX_MALFORMED_IN_ROW {
            self.input_end = Some(InputEnd::Malformed);
        }
        ClientMessage::Malformed(replies::error(code, problem))
    }

    /// Takes in what came behind the request that is being answered.
    pub(super) fn read_ahead(
        &mut self, next: Option<Result<FrontendMessage, PgError>>,
    ) -> Result<(), CloseReason> {
        match next {
            None | Some(Err(PgError::Io(_))) => return Err(CloseReason::ClientGone),
            Some(Ok(FrontendMessage::LongQueryAnnounced(length))) => self.announced_behind(length),
            Some(Ok(FrontendMessage::Terminate)) if self.pipeline.is_empty() => {
                return Err(CloseReason::ClientGone);
            }
            Some(Ok(message)) => {
                let message = self.take_in_message(message);
                self.pipeline.push(message);
            }
            Some(Err(problem)) => self.input_end = Some(InputEnd::Violation(problem)),
        }
        Ok(())
    }

    /// Reads on into a long message where memory is free, since the client's end shows behind it. Else it is read once
    /// the request before it is answered.
    fn announced_behind(&mut self, length: usize) {
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
