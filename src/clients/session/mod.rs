//! One client connection: statements in, answers out in the order of the statements.
//!
//! - `stream`: what a session needs of its connection beyond reading and writing;
//! - `input`: reads messages, within limits of time and memory; `progress`: how far a message has come in;
//! - `accept`: decodes messages when they come, and submits their requests;
//! - `respond`: waits for answers and writes them.
//!
//! A session never drops a request that it has accepted: each gets its answer, unless its client has left.

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
use progress::InputProgress;
use std::rc::Rc;
use std::time::Duration;
use stream::closed_by_peer;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// A client that has not sent its startup message by then is disconnected.
const STARTUP_TIMEOUT: Duration = progress::MESSAGE_TIMEOUT;

/// Why no more of a client's input is decoded: what was accepted before is answered, then the connection ends.
enum InputEnd {
    /// The input breaks the protocol, or there was no memory for it.
    Violation(PgError),
    /// Too many malformed statements in a row.
    Malformed,
}

struct Session<S> {
    framed: Framed<S, FrontendCodec>,
    gateway: Rc<RequestGateway>,
    connection: AdmittedConnection,
    /// Whether the process serves, drains or stops.
    serving_state: watch::Receiver<ServingState>,
    /// What came while an earlier request was being answered; requests run meanwhile, answers keep the order.
    pipeline: Pipeline,
    /// Since when input may lie unread because the pipeline was full. What is read from there on may have come as
    /// early as that, and its client has waited since.
    unread_since: Option<Instant>,
    /// How far the message has come that is coming in.
    input_progress: InputProgress,
    /// Length of a long message that has begun behind the request that is being answered. It is read after that.
    announced_length: Option<usize>,
    /// Set once no more input is decoded.
    input_end: Option<InputEnd>,
    /// An extended message came: everything up to the next Sync is ignored.
    skips_to_sync: bool,
    /// Malformed statements since the last request.
    malformed_in_row: u32,
    accepted_at: Instant,
    /// Whether anything came after the startup message.
    has_sent_message: bool,
    /// Whether the startup message was answered.
    is_started: bool,
    /// Whether the connection was asked to close, to make room.
    close_requested: bool,
}

/// Serves a connection to its end, and returns why it ended.
pub async fn run<S: ClientStream>(
    stream: S, gateway: Rc<RequestGateway>, connection: AdmittedConnection,
    serving_state: watch::Receiver<ServingState>,
) -> CloseReason {
    let codec = FrontendCodec::new(gateway.message_memory());
    let mut session = Session {
        framed: Framed::new(stream, codec),
        gateway,
        connection,
        serving_state,
        pipeline: Pipeline::default(),
        unread_since: None,
        input_progress: InputProgress::default(),
        announced_length: None,
        input_end: None,
        skips_to_sync: false,
        malformed_in_row: 0,
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
        format_args!("a client's connection ended with requests open, code={reason}"),
    );
    if matches!(reason, CloseReason::Protocol | CloseReason::NoConnectionSlot) {
        // From now on it counts as a connection without requests: it only waits for its last answer to be read.
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
                    Some(message) => self.take_in_message(message),
                    None => return Err(CloseReason::PeerClosed),
                },
            };
            if let ClientMessage::Terminate = message {
                return Ok(());
            }
            self.respond(message).await?;
        }
    }

    /// Reads and answers everything up to the startup message.
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

    /// Returns once the process has a list of members, or no longer waits for one.
    async fn wait_until_started(&mut self) -> Result<(), CloseReason> {
        let mut serving_state = self.serving_state.clone();
        if !serving_state.borrow().is_starting {
            return Ok(());
        }
        // What comes behind the query is not read meanwhile, and its client waits all the same.
        self.unread_since.get_or_insert_with(Instant::now);
        tokio::select! {
            biased;
            _ = serving_state.wait_for(|state| !state.is_starting) => {}
            () = closed_by_peer(self.framed.get_ref()) => return Err(CloseReason::ClientGone),
        }
        self.note_nothing_unread();
        Ok(())
    }

    /// Answers the empty query, by which the platform's front asks whether to send clients.
    async fn answer_empty(&mut self) -> Result<(), CloseReason> {
        if self.serving_state.borrow().reports_ready {
            // A stop leaves the answer as it was; the front then sends here or to a successor.
            let holds = self.gateway.may_report_ready() || self.serving_state.borrow().is_stopping;
            let ids = format_args!("the front's empty query was answered");
            self.gateway.invariants().check(Invariant::ReadyWithList, holds, ids);
            self.send([Reply::EmptyQueryResponse, Reply::ReadyForQuery]).await
        } else {
            self.send([replies::error("57P03", "standing by"), Reply::ReadyForQuery]).await
        }
    }

    /// Answers the message whose turn it is.
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
