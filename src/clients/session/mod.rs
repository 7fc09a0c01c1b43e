//! One client connection: reads statements and writes answers in the order of the statements.
//!
//! - `stream`: detects a close by the client without reading;
//! - `input`: reads messages, within limits of time and memory; `progress`: times the message that is being received;
//! - `message_intake`: decodes messages as they arrive, and submits their requests;
//! - `respond`: waits for answers and writes them; `replies`: converts answers and errors to the protocol.
//!
//! A session must answer every request that it has accepted, unless the connection fails or the client has
//! disconnected.

mod input;
mod message_intake;
mod progress;
mod replies;
mod respond;
mod stream;

pub use stream::ClientStream;

use super::connection_gate::AdmittedConnection;
use super::pipeline::{ClientMessage, Pipeline};
use super::request_gateway::RequestGateway;
use crate::close_reason::CloseReason;
use crate::invariants::Invariant;
use crate::lifecycle::ServingState;
use crate::pg::PgError;
use crate::pg::frontend::{FrontendCodec, FrontendMessage, Reply};
use crate::stages::admission::RejectionCause;
use crate::timeouts::timeout_with_final_poll;
use bytes::BytesMut;
use progress::InputProgress;
use std::rc::Rc;
use std::time::Duration;
use stream::closed_by_peer;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Time limit for the startup message, after which the client is disconnected.
const STARTUP_TIMEOUT: Duration = progress::MESSAGE_TIMEOUT;

/// Why no more of a client's input is decoded. Messages accepted before are answered, then the connection ends.
enum InputEnd {
    /// The input violates the protocol, or no memory was available for it.
    Violation(PgError),
    /// Too many consecutive malformed statements.
    Malformed,
}

struct Session<S> {
    framed: Framed<S, FrontendCodec>,
    gateway: Rc<RequestGateway>,
    connection: AdmittedConnection,
    /// Whether the process serves, drains or stops.
    serving_state: watch::Receiver<ServingState>,
    /// Messages that arrived while an earlier request was being answered.
    pipeline: Pipeline,
    /// When reading paused; `None` once all input is read. Input that is read after a pause may have arrived at its
    /// start, so the client's waiting time counts from there.
    unread_since: Option<Instant>,
    /// The progress of the message that is being received.
    input_progress: InputProgress,
    /// Length in bytes of a long message announced while a request is being answered; it is read after the answer.
    announced_length: Option<usize>,
    /// Number of bytes that the client may still write of a message that was rejected.
    rejected_bytes: usize,
    /// Set once no more input is decoded.
    input_end: Option<InputEnd>,
    /// Set by an extended-protocol message: messages are ignored up to the next Sync.
    skips_to_sync: bool,
    /// Malformed statements since the last valid request.
    consecutive_malformed: u32,
    accepted_at: Instant,
    /// Whether a message was received after the startup message.
    has_sent_message: bool,
    /// Whether the startup message was received.
    is_started: bool,
    /// Whether the connection was asked to close, to free its slot for another one.
    close_requested: bool,
}

/// Serves a connection until it ends; returns the reason.
pub async fn run<S: ClientStream>(
    stream: S, gateway: Rc<RequestGateway>, connection: AdmittedConnection,
    serving_state: watch::Receiver<ServingState>,
) -> CloseReason {
    let codec = FrontendCodec::new(gateway.message_memory());
    let mut framed = Framed::new(stream, codec);
    *framed.read_buffer_mut() = BytesMut::new();
    *framed.write_buffer_mut() = BytesMut::new();
    let mut session = Session {
        framed,
        gateway,
        connection,
        serving_state,
        pipeline: Pipeline::default(),
        unread_since: None,
        input_progress: InputProgress::default(),
        announced_length: None,
        rejected_bytes: 0,
        input_end: None,
        skips_to_sync: false,
        consecutive_malformed: 0,
        accepted_at: Instant::now(),
        has_sent_message: false,
        is_started: false,
        close_requested: false,
    };
    let reason = match session.serve().await {
        Ok(()) => CloseReason::Terminated,
        Err(reason) => reason,
    };
    session.gateway.invariants().check(
        Invariant::AnsweredBeforeClose,
        !session.pipeline.has_requests() || reason.is_by_peer(),
        format_args!("client connection closed with open requests, code={reason}"),
    );
    if matches!(reason, CloseReason::Protocol | CloseReason::NoConnectionSlot) {
        // Without an open request the connection may be asked to close while it waits for the client to read the error.
        session.connection.mark_started();
        session.linger().await;
    }
    reason
}

impl<S: ClientStream> Session<S> {
    async fn serve(&mut self) -> Result<(), CloseReason> {
        self.start().await?;
        loop {
            let message = match self.pipeline.pop() {
                Some(message) => message,
                None => match self.read_message().await? {
                    Some(message) => self.accept_message(message),
                    None => return Err(CloseReason::PeerClosed),
                },
            };
            if let ClientMessage::Terminate = message {
                return Ok(());
            }
            self.respond(message).await?;
        }
    }

    /// Reads and answers messages up to and including the startup message.
    async fn start(&mut self) -> Result<(), CloseReason> {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let message = timeout_with_final_poll(time_left, self.read_message()).await;
            match message.map_err(|_| CloseReason::StartupTimeout)?? {
                None => return Err(CloseReason::PeerClosed),
                Some(FrontendMessage::EncryptionRequest) => self.send([Reply::NoEncryption]).await?,
                Some(FrontendMessage::CancelRequest) => return Err(CloseReason::CancelRequest),
                Some(_) => {
                    self.is_started = true;
                    self.connection.mark_started();
                    return self.send([Reply::SessionOpened, Reply::ReadyForQuery]).await;
                }
            }
        }
    }

    /// Waits until the process has left its starting phase: discovery has confirmed the list or is unreachable, the
    /// time limit has passed, or a drain or stop has begun. Fails if the client closes the connection meanwhile.
    async fn wait_until_started(&mut self) -> Result<(), CloseReason> {
        let mut serving_state = self.serving_state.clone();
        if !serving_state.borrow().is_starting {
            return Ok(());
        }
        // Input after the query is not read during the wait, but its waiting time counts.
        self.unread_since.get_or_insert_with(Instant::now);
        tokio::select! {
            biased;
            _ = serving_state.wait_for(|state| !state.is_starting) => {}
            () = closed_by_peer(self.framed.get_ref()) => return Err(CloseReason::ClientGone),
        }
        self.clear_unread_since_if_read();
        Ok(())
    }

    /// Answers an empty query, which the platform's front end uses as a readiness check before it sends clients: with
    /// an error during a drain or on standby, otherwise with success.
    async fn answer_empty(&mut self) -> Result<(), CloseReason> {
        if self.serving_state.borrow().reports_ready {
            // A stopping process answers with success even after a drain, since it or its successor serves the clients
            // that the front end still sends. The invariant does not apply then.
            let holds = self.gateway.may_report_ready() || self.serving_state.borrow().is_stopping;
            let context = format_args!("empty query answered with success while the process is starting");
            self.gateway.invariants().check(Invariant::ReadyWithList, holds, context);
            self.send([Reply::EmptyQueryResponse, Reply::ReadyForQuery]).await
        } else {
            self.send([replies::error("57P03", "standing by"), Reply::ReadyForQuery]).await
        }
    }

    /// Answers the next message in order.
    async fn respond(&mut self, message: ClientMessage) -> Result<(), CloseReason> {
        match message {
            ClientMessage::Terminate | ClientMessage::Ignored => Ok(()),
            ClientMessage::Sync => self.send([Reply::ReadyForQuery]).await,
            ClientMessage::Empty => {
                self.wait_until_started().await?;
                self.answer_empty().await
            }
            ClientMessage::Extended => {
                self.send([replies::error("0A000", "the extended query protocol is not supported")]).await
            }
            ClientMessage::ConnectionRefused(retry_after, class) => {
                let rejected = self.gateway.reject_unopened(
                    RejectionCause::ConnectionSlots,
                    retry_after,
                    class.as_deref(),
                );
                self.send([replies::final_answer(rejected, true)]).await?;
                Err(CloseReason::NoConnectionSlot)
            }
            ClientMessage::Request(request) => {
                self.connection.mark_busy();
                let answered = self.answer_request(request).await;
                self.connection.mark_idle();
                answered
            }
            ClientMessage::Malformed(error) => self.send([error, Reply::ReadyForQuery]).await,
        }
    }
}
