//! Reads messages, within limits of time and memory: a message that has begun must end, and a long one is read only once
//! memory for it is reserved.

use super::progress::{InputProgress, MESSAGE_TIMEOUT};
use super::replies;
use super::{ClientStream, InputEnd, Session};
use crate::clients::request_gateway::RETRY_AFTER;
use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::{FrontendCodec, FrontendMessage};
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
    Message(Option<Result<FrontendMessage, PgError>>),
    /// The first bytes of a message, which is not complete.
    Begun,
}

/// Why the wait for the next message is over.
enum Wakeup {
    /// Something was read.
    Input(InputEvent),
    /// The process closes idle connections, and a new client has had its time.
    Drained,
    /// The connection was asked to close.
    CloseRequested,
    /// The message that is coming in should be complete by now.
    Overdue,
}

/// Reads until a message is there, or one has begun. `unread_since` is cleared once everything that has arrived is read,
/// and `progress` observes each read.
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
            Poll::Ready(Some(Ok(message))) => !matches!(message, FrontendMessage::LongQueryAnnounced(_)),
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
    pub(super) async fn read_message(&mut self) -> Result<Option<FrontendMessage>, CloseReason> {
        match self.input_end.take() {
            Some(InputEnd::Violation(problem)) => return Err(self.reject_input(problem).await),
            Some(InputEnd::Malformed) => return Err(CloseReason::Protocol),
            None => {}
        }
        if let Some(length) = self.announced_length.take() {
            self.reserve_memory(length).await?;
        }
        let first_message_by = match self.has_sent_message {
            true => Instant::now(),
            false => self.accepted_at + FIRST_MESSAGE_TIMEOUT,
        };
        let mut close_by = None;
        loop {
            match self.wait_for_input(first_message_by, close_by).await {
                Wakeup::Input(InputEvent::Begun) => {}
                Wakeup::Input(InputEvent::Message(Some(Ok(FrontendMessage::LongQueryAnnounced(length))))) => {
                    self.reserve_memory(length).await?;
                }
                Wakeup::Input(InputEvent::Message(next)) => return self.checked(next).await,
                Wakeup::Drained => {
                    if !self.has_begun_message().await {
                        return Err(CloseReason::Stopping);
                    }
                }
                Wakeup::CloseRequested => {
                    self.close_requested = true;
                    let close_by = *close_by.get_or_insert_with(|| Instant::now() + CLOSE_GRACE);
                    self.close_for_room(close_by).await?;
                }
                Wakeup::Overdue => self.close_if_overdue().await?,
            }
        }
    }

    /// Waits until something is read, or until one of the reasons to end the connection has to be examined. New clients
    /// have until `first_message_by` in a drain; `close_by` is set once the connection was asked to close.
    async fn wait_for_input(&mut self, first_message_by: Instant, close_by: Option<Instant>) -> Wakeup {
        let is_incomplete = !self.framed.read_buffer().is_empty();
        let was_asked = self.close_requested;
        let mut serving_state = self.serving_state.clone();
        let drained = async {
            let _ = serving_state.wait_for(|state| state.closes_idle).await;
            sleep_until(first_message_by).await;
        };
        // A message may begin or grow during the wait, so the deadline is examined again when it fires.
        let overdue = sleep_until(self.overdue_at().unwrap_or_else(Instant::now));
        let asked_to_close = async {
            match close_by.filter(|_| is_incomplete) {
                Some(close_by) => sleep_until(close_by).await,
                None if was_asked => {}
                None => self.connection.close_requested().await,
            }
        };
        tokio::select! {
            biased;
            event = next_input(&mut self.framed, &mut self.unread_since, &mut self.input_progress) => {
                Wakeup::Input(event)
            }
            () = drained, if !is_incomplete => Wakeup::Drained,
            () = asked_to_close => Wakeup::CloseRequested,
            () = overdue, if is_incomplete => Wakeup::Overdue,
        }
    }

    /// Ends a connection that was asked to close, unless a message is coming in: that one has until `close_by`.
    async fn close_for_room(&mut self, close_by: Instant) -> Result<(), CloseReason> {
        let is_over = !self.is_started || Instant::now() >= close_by;
        if is_over || !self.has_begun_message().await {
            return Err(CloseReason::Evicted);
        }
        Ok(())
    }

    /// Ends the connection if the message that is coming in is overdue. After a hold-up the timer fires before what
    /// arrived meanwhile is read, so unread bytes are read first.
    async fn close_if_overdue(&mut self) -> Result<(), CloseReason> {
        if self.is_overdue() && !self.has_unread_bytes().await {
            return Err(self.reject_input(PgError::Body("it does not end")).await);
        }
        Ok(())
    }

    /// When the message that is coming in is overdue, if one is.
    fn overdue_at(&self) -> Option<Instant> {
        self.input_progress.overdue_at(self.framed.codec().is_reading_long_message())
    }

    fn is_overdue(&self) -> bool {
        self.overdue_at().is_some_and(|at| at <= Instant::now())
    }

    /// The message, or why the connection ends instead.
    async fn checked(
        &mut self, next: Option<Result<FrontendMessage, PgError>>,
    ) -> Result<Option<FrontendMessage>, CloseReason> {
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
            Ok(Ok(granted)) => self.framed.codec_mut().grant_long_message(granted),
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
