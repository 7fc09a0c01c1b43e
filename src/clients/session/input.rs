//! Reads messages within limits of time and memory: a message must be complete in time after its first byte, and a long
//! one is read only once memory for it is reserved.

use super::progress::{InputProgress, MESSAGE_TIMEOUT};
use super::replies;
use super::{ClientStream, InputEnd, Session};
use crate::clients::request_gateway::RETRY_AFTER;
use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::{FrontendCodec, FrontendMessage, READ_BUFFER_BYTES};
use crate::pg::statement;
use crate::stages::admission::RejectionCause;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

/// Time from its accept within which a new client must send its first message during a drain or a stop. The last
/// connections are accepted 0.45 s after a stop began, and the platform does not guarantee time to answer requests that
/// arrive more than 0.7 s after it.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection that is asked to close in the middle of a message stays open for at most this long, so that the message
/// is not lost.
const CLOSE_GRACE: Duration = Duration::from_millis(250);
/// Time limit for reserving memory for a long message, during which nothing is read.
const MEMORY_TIMEOUT: Duration = MESSAGE_TIMEOUT;
/// Interval at which the arrival of a long message that waits for memory is observed.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of bytes of a rejected long message, including its header, that are searched for the statement's comment,
/// which contains the class.
const MAX_COMMENT_BYTES: usize = 1024;

/// The arrival of bytes that stay unread in the socket.
struct UnreadArrival {
    unread_bytes: u64,
    grew_at: Instant,
}

impl UnreadArrival {
    fn new(progress: &InputProgress, stream: &impl ClientStream) -> UnreadArrival {
        let grew_at = progress.grew_at().unwrap_or_else(Instant::now);
        UnreadArrival { unread_bytes: stream.unread_bytes(), grew_at }
    }

    fn observe(&mut self, stream: &impl ClientStream) {
        let unread_bytes = stream.unread_bytes();
        if unread_bytes > self.unread_bytes {
            self.grew_at = Instant::now();
        }
        self.unread_bytes = unread_bytes;
    }
}

/// The result of reading.
pub(super) enum InputEvent {
    /// A message, or the error of the input; `None` at the end of the input.
    Message(Option<Result<FrontendMessage, PgError>>),
    /// The first bytes of a message that is not complete.
    MessageStarted,
}

/// Why the wait for the next message ended.
enum Wakeup {
    /// Input was read.
    Input(InputEvent),
    /// The process closes idle connections, and the time for a new client's first message has passed.
    Drained,
    /// The connection was asked to close.
    CloseRequested,
    /// The time limit of the message that is being received has passed.
    Overdue,
}

/// Reads until a message is complete or the first bytes of one have arrived. Clears `unread_since` once all input that
/// has arrived is read; `progress` observes each read.
pub(super) async fn next_input<S: ClientStream>(
    framed: &mut Framed<S, FrontendCodec>, unread_since: &mut Option<Instant>, progress: &mut InputProgress,
) -> InputEvent {
    poll_fn(|context| {
        let polled = poll_message(framed, context);
        if polled.is_pending() {
            *unread_since = None;
        }
        // A message that is only announced is still being received.
        let took_message = match &polled {
            Poll::Ready(Some(Ok(message))) => !matches!(message, FrontendMessage::LongQueryAnnounced(_)),
            _ => false,
        };
        let has_started = progress.observe(Instant::now(), framed.read_buffer().len(), took_message);
        match polled {
            Poll::Ready(message) => Poll::Ready(InputEvent::Message(message)),
            Poll::Pending if has_started => Poll::Ready(InputEvent::MessageStarted),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Polls for the next message. The connection has a read buffer only while input is being read or is incomplete, so that
/// idle clients take little memory.
fn poll_message<S: ClientStream>(
    framed: &mut Framed<S, FrontendCodec>, context: &mut Context,
) -> Poll<Option<Result<FrontendMessage, PgError>>> {
    if framed.read_buffer().is_empty() {
        if framed.get_ref().poll_readable(context).is_pending() {
            *framed.read_buffer_mut() = BytesMut::new();
            return Poll::Pending;
        }
        if framed.read_buffer().capacity() < READ_BUFFER_BYTES {
            *framed.read_buffer_mut() = BytesMut::with_capacity(READ_BUFFER_BYTES);
        }
    }
    let polled = framed.poll_next_unpin(context);
    if polled.is_pending() && framed.read_buffer().is_empty() {
        *framed.read_buffer_mut() = BytesMut::new();
    }
    polled
}

impl<S: ClientStream> Session<S> {
    /// Reads the next message while no request is open; `None` at the end of the input. A drain, a stop or a request to
    /// close ends the connection here. A partial message still has time to complete, and after a drain or stop a new
    /// client has time to send its first message.
    pub(super) async fn read_message(&mut self) -> Result<Option<FrontendMessage>, CloseReason> {
        match self.input_end.take() {
            Some(InputEnd::Violation(error)) => return Err(self.reject_input(error).await),
            Some(InputEnd::Malformed) => return Err(CloseReason::Protocol),
            None => {}
        }
        if let Some(length) = self.announced_length.take() {
            self.reserve_memory(length).await?;
        }
        let first_message_deadline = match self.has_sent_message {
            true => Instant::now(),
            false => self.accepted_at + FIRST_MESSAGE_TIMEOUT,
        };
        let mut close_deadline = None;
        loop {
            match self.wait_for_input(first_message_deadline, close_deadline).await {
                Wakeup::Input(InputEvent::MessageStarted) => {}
                Wakeup::Input(InputEvent::Message(Some(Ok(FrontendMessage::LongQueryAnnounced(length))))) => {
                    self.reserve_memory(length).await?;
                }
                Wakeup::Input(InputEvent::Message(next)) => return self.reject_on_error(next).await,
                Wakeup::Drained => {
                    if !self.has_partial_message().await {
                        return Err(CloseReason::Stopping);
                    }
                }
                Wakeup::CloseRequested => {
                    self.close_requested = true;
                    let close_deadline = *close_deadline.get_or_insert_with(|| Instant::now() + CLOSE_GRACE);
                    self.close_for_room(close_deadline).await?;
                }
                Wakeup::Overdue => self.close_if_overdue().await?,
            }
        }
    }

    /// Waits for input, or for one of the events that may end the connection. During a drain or stop, new clients have
    /// until `first_message_deadline`; `close_deadline` is set once the connection was asked to close.
    async fn wait_for_input(
        &mut self, first_message_deadline: Instant, close_deadline: Option<Instant>,
    ) -> Wakeup {
        let is_incomplete = !self.framed.read_buffer().is_empty();
        let was_close_requested = self.close_requested;
        let mut serving_state = self.serving_state.clone();
        let drained = async {
            let _ = serving_state.wait_for(|state| state.closes_idle).await;
            sleep_until(first_message_deadline).await;
        };
        // A message may start or grow during the wait, so the time limit is checked again when the timer fires.
        let overdue = sleep_until(self.overdue_at().unwrap_or_else(Instant::now));
        let close_due = async {
            match close_deadline.filter(|_| is_incomplete) {
                Some(close_deadline) => sleep_until(close_deadline).await,
                None if was_close_requested => {}
                None => self.connection.close_requested().await,
            }
        };
        tokio::select! {
            biased;
            event = next_input(&mut self.framed, &mut self.unread_since, &mut self.input_progress) => {
                Wakeup::Input(event)
            }
            () = drained, if !is_incomplete => Wakeup::Drained,
            () = close_due => Wakeup::CloseRequested,
            () = overdue, if is_incomplete => Wakeup::Overdue,
        }
    }

    /// Ends a connection that was asked to close. A message that is being received has until `close_deadline`, unless
    /// the startup message has not been received yet.
    async fn close_for_room(&mut self, close_deadline: Instant) -> Result<(), CloseReason> {
        let must_close = !self.is_started || Instant::now() >= close_deadline;
        if must_close || !self.has_partial_message().await {
            return Err(CloseReason::Evicted);
        }
        Ok(())
    }

    /// Ends the connection if the message that is being received is overdue. After a hold-up, timers fire before the
    /// input that arrived meanwhile is read, so unread bytes are read first.
    async fn close_if_overdue(&mut self) -> Result<(), CloseReason> {
        if self.is_overdue() && !self.has_unread_bytes().await {
            return Err(self.reject_input(PgError::Body("it does not end")).await);
        }
        Ok(())
    }

    /// When the time limit of the message that is being received passes; `None` between messages.
    fn overdue_at(&self) -> Option<Instant> {
        self.input_progress.overdue_at()
    }

    fn is_overdue(&self) -> bool {
        self.overdue_at().is_some_and(|at| at <= Instant::now())
    }

    /// Returns the message; on an error, replies to the client and returns why the connection ends.
    async fn reject_on_error(
        &mut self, next: Option<Result<FrontendMessage, PgError>>,
    ) -> Result<Option<FrontendMessage>, CloseReason> {
        match next {
            Some(Err(error)) => Err(self.reject_input(error).await),
            Some(Ok(message)) => Ok(Some(message)),
            None => Ok(None),
        }
    }

    /// Whether part of a message has arrived, even if the runtime has not been notified of it yet.
    async fn has_partial_message(&mut self) -> bool {
        self.has_unread_bytes().await || !self.framed.read_buffer().is_empty()
    }

    /// Whether the socket holds unread bytes, even if the runtime has not been notified of them yet. If so, yields, so
    /// that the runtime polls the socket before the next read.
    async fn has_unread_bytes(&mut self) -> bool {
        let has_unread_bytes = self.framed.get_ref().has_unread_bytes();
        if has_unread_bytes {
            yield_now().await;
        }
        has_unread_bytes
    }

    /// Clears `unread_since` if all input is read, since input that arrives from now on has not been waiting.
    pub(super) fn clear_unread_since_if_read(&mut self) {
        if !self.framed.get_ref().has_unread_bytes() && self.framed.read_buffer().is_empty() {
            self.unread_since = None;
        }
    }

    /// Sends the client the error of its input, or a rejection for lack of memory; nothing if the connection failed. No
    /// more input is read. Returns why the connection ends.
    async fn reject_input(&mut self, error: PgError) -> CloseReason {
        let reason = replies::close_reason(&error);
        let reply = match error {
            PgError::Io(_) => return reason,
            PgError::Memory(length) => {
                self.note_rejected_message(length);
                let rejected = self.gateway.reject_unopened(RejectionCause::Memory, RETRY_AFTER, None);
                replies::final_answer(rejected, true)
            }
            _ => replies::fatal("08P01", error),
        };
        let _ = self.send([reply]).await;
        reason
    }

    /// Waits until memory for a long message is reserved, and rejects the message after [`MEMORY_TIMEOUT`], if it
    /// exceeds the total, or if the client stops sending. Nothing is read during the wait.
    async fn reserve_memory(&mut self, length: usize) -> Result<(), CloseReason> {
        let Some((memory, permits)) = self.gateway.long_message_memory(length) else {
            return Err(self.reject_long_message(length).await);
        };
        let mut arrival = UnreadArrival::new(&self.input_progress, self.framed.get_ref());
        let observed = async {
            loop {
                sleep(ARRIVAL_CHECK_INTERVAL).await;
                arrival.observe(self.framed.get_ref());
            }
        };
        let granted = tokio::select! {
            biased;
            granted = timeout(MEMORY_TIMEOUT, memory.acquire_many_owned(permits)) => granted,
            () = observed => unreachable!("the observation does not end"),
        };
        let Ok(Ok(granted)) = granted else {
            return Err(self.reject_long_message(length).await);
        };
        self.framed.codec_mut().grant_long_message(granted);
        arrival.observe(self.framed.get_ref());
        self.input_progress.resume_after_pause(arrival.grew_at);
        Ok(())
    }

    /// Notes that the client may still be writing a message of this length that is rejected.
    fn note_rejected_message(&mut self, length: usize) {
        self.rejected_bytes = (1 + length).saturating_sub(self.framed.read_buffer().len());
    }

    /// Rejects the long message that is being received. The rejection counts for the class of the message if its
    /// complete comment has arrived within the first [`MAX_COMMENT_BYTES`].
    async fn reject_long_message(&mut self, length: usize) -> CloseReason {
        self.note_rejected_message(length);
        let buffered = self.framed.read_buffer();
        let prefix = buffered.get(5..buffered.len().min(MAX_COMMENT_BYTES)).unwrap_or_default();
        let prefix = Bytes::copy_from_slice(prefix);
        let class = statement::parse(&prefix).ok().map(|statement| statement.class);
        let rejected = self.gateway.reject_unopened(RejectionCause::Memory, RETRY_AFTER, class.as_deref());
        let _ = self.send([replies::final_answer(rejected, true)]).await;
        CloseReason::Protocol
    }
}
