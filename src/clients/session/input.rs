//! Reads messages, within limits of time and memory: a message that has begun must end, and a long one is read only once
//! memory for it is reserved.

use super::progress::{InputProgress, MESSAGE_TIMEOUT};
use super::replies;
use super::{ClientStream, InputEnd, Session};
use crate::clients::request_gateway::RETRY_AFTER;
use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::{Frontend, FrontendCodec};
use crate::pg::statement;
use crate::stages::admission::RejectionCause;
use bytes::Bytes;
use futures_util::StreamExt;
use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::Framed;

/// During a drain or a stop, a client that was just accepted is given so long for its first message: it connected to send
/// one. The last are accepted 0.45 s after a stop began, and what comes over 0.7 s after it may not be answered in time
/// (the platform's figure).
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Asked to close while a message comes in, a connection is kept so long: what is cut off in the middle is lost.
const CLOSE_GRACE: Duration = Duration::from_millis(250);
/// Memory for a long message is waited for so long: its client may have stopped, which shows only in what is read.
const MEMORY_TIMEOUT: Duration = MESSAGE_TIMEOUT;
/// The comment of a statement is looked for in so many bytes.
const MAX_COMMENT: usize = 1024;

/// What reading brought.
pub(super) enum InputEvent {
    /// A message, or why there is none; nothing at the end of the input.
    Message(Option<Result<Frontend, PgError>>),
    /// The first bytes of a message, which is not complete.
    Begun,
}

/// Reads until a message is there, or one has begun. `unread_since` is cleared once everything that has arrived is read,
/// and `progress` is told of each read.
pub(super) async fn next_input<S: ClientStream>(
    framed: &mut Framed<S, FrontendCodec>, unread_since: &mut Option<Instant>, progress: &mut InputProgress,
) -> InputEvent {
    poll_fn(|context| {
        let polled = framed.poll_next_unpin(context);
        if polled.is_pending() {
            *unread_since = None;
        }
        // An announced message is still the one that is coming in.
        let is_next = match &polled {
            Poll::Ready(Some(Ok(message))) => !matches!(message, Frontend::Announced(_)),
            _ => false,
        };
        let has_begun = progress.observe(Instant::now(), framed.read_buffer().len(), is_next);
        match polled {
            Poll::Ready(message) => Poll::Ready(InputEvent::Message(message)),
            Poll::Pending if has_begun => Poll::Ready(InputEvent::Begun),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

impl<S: ClientStream> Session<S> {
    /// The next message between requests; none at the end of the input. A drain, a stop or a request to make room ends
    /// the connection here, but not in the middle of a message, and not before a new client could send its first one.
    pub(super) async fn read_message(&mut self) -> Result<Option<Frontend>, CloseReason> {
        match self.input_end.take() {
            Some(InputEnd::Violation(problem)) => return Err(self.reject_input(problem).await),
            Some(InputEnd::Malformed) => return Err(CloseReason::Protocol),
            None => {}
        }
        if let Some(length) = self.announced_length.take() {
            self.reserve_memory(length).await?;
        }
        let mut serving_state = self.serving_state.clone();
        let mut close_by = None;
        let first_message_by = match self.has_sent_message {
            true => Instant::now(),
            false => self.accepted_at + FIRST_MESSAGE_TIMEOUT,
        };
        loop {
            let is_incomplete = !self.framed.read_buffer().is_empty();
            let was_asked = self.close_requested;
            let drained = async {
                let _ = serving_state.wait_for(|state| state.closes_idle).await;
                sleep_until(first_message_by).await;
            };
            // A message may begin or grow while this waits: looked at again then.
            let overdue_at = self.overdue_at().unwrap_or_else(Instant::now);
            let overdue = sleep_until(overdue_at);
            let asked_to_close = async {
                match close_by.filter(|_| is_incomplete) {
                    Some(close_by) => sleep_until(close_by).await,
                    None if was_asked => {}
                    None => self.connection.close_requested().await,
                }
            };
            tokio::select! {
                biased;
                next = next_input(&mut self.framed, &mut self.unread_since, &mut self.input_progress) => match next {
                    InputEvent::Begun => {}
                    InputEvent::Message(Some(Ok(Frontend::Announced(length)))) => {
                        self.reserve_memory(length).await?;
                    }
                    InputEvent::Message(next) => return self.checked(next).await,
                },
                () = drained, if !is_incomplete => {
                    if !self.has_begun_message().await {
                        return Err(CloseReason::Stopping);
                    }
                }
                () = asked_to_close => {
                    self.close_requested = true;
                    let close_by = *close_by.get_or_insert_with(|| Instant::now() + CLOSE_GRACE);
                    let is_over = !self.is_started || Instant::now() >= close_by;
                    if is_over || !self.has_begun_message().await {
                        return Err(CloseReason::MadeRoom);
                    }
                }
                () = overdue, if is_incomplete => {
                    // After a hold-up the timer fires before what arrived meanwhile is read.
                    if self.is_overdue() && !self.has_unread_bytes().await {
                        return Err(self.reject_input(PgError::Body("it does not end")).await);
                    }
                }
            }
        }
    }

    /// When the message that is coming in is overdue, if one is.
    fn overdue_at(&self) -> Option<Instant> {
        self.input_progress.overdue_at(self.framed.codec().reads_long())
    }

    fn is_overdue(&self) -> bool {
        self.overdue_at().is_some_and(|at| at <= Instant::now())
    }

    /// The message, or why the connection ends instead.
    async fn checked(
        &mut self, next: Option<Result<Frontend, PgError>>,
    ) -> Result<Option<Frontend>, CloseReason> {
        match next {
            Some(Err(problem)) => Err(self.reject_input(problem).await),
            Some(Ok(message)) => Ok(Some(message)),
            None => Ok(None),
        }
    }

    /// Whether a message has begun to arrive, also where the runtime does not know of it yet; it is read next then.
    async fn has_begun_message(&mut self) -> bool {
        self.has_unread_bytes().await || !self.framed.read_buffer().is_empty()
    }

    /// Whether bytes have arrived that are not read, also where the runtime does not know of them yet.
    async fn has_unread_bytes(&mut self) -> bool {
        let has_unread_bytes = self.framed.get_ref().has_unread_bytes();
        if has_unread_bytes {
            // The runtime learns of them when it waits next.
            yield_now().await;
        }
        has_unread_bytes
    }

    /// If nothing has arrived that is not read, what comes next has not waited.
    pub(super) fn note_nothing_unread(&mut self) {
        if !self.framed.get_ref().has_unread_bytes() && self.framed.read_buffer().is_empty() {
            self.unread_since = None;
        }
    }

    /// Tells the client why its input is not read any further, and returns why the connection ends.
    async fn reject_input(&mut self, problem: PgError) -> CloseReason {
        let reason = replies::close_reason(&problem);
        let reply = match problem {
            PgError::Io(_) => return reason,
            PgError::Memory(_) => replies::final_answer(
                self.gateway.reject_unopened(RejectionCause::Memory, RETRY_AFTER, None),
                true,
            ),
            _ => replies::fatal("08P01", problem),
        };
        let _ = self.send([reply]).await;
        reason
    }

    /// Waits for the memory of a long message; nothing is read meanwhile.
    async fn reserve_memory(&mut self, length: usize) -> Result<(), CloseReason> {
        let Some((memory, permits)) = self.gateway.long_message_memory(length) else {
            return Err(self.reject_long_message().await);
        };
        match timeout(MEMORY_TIMEOUT, memory.acquire_many_owned(permits)).await {
            Ok(Ok(granted)) => self.framed.codec_mut().grant(granted),
            _ => return Err(self.reject_long_message().await),
        }
        Ok(())
    }

    /// Rejects the message that has begun; its class is known if its comment has arrived.
    async fn reject_long_message(&mut self) -> CloseReason {
        let buffered = self.framed.read_buffer();
        let beginning = buffered.get(5..buffered.len().min(MAX_COMMENT)).unwrap_or_default();
        let beginning = Bytes::copy_from_slice(beginning);
        let class = statement::parse(&beginning).ok().map(|statement| statement.class);
        let rejected = self.gateway.reject_unopened(RejectionCause::Memory, RETRY_AFTER, class.as_deref());
        let _ = self.send([replies::final_answer(rejected, true)]).await;
        CloseReason::Protocol
    }
}
