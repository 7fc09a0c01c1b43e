//! Reads messages, within limits of time and memory: a message that has begun must end, and a long one is read only once
//! memory for it is reserved.

use super::replies;
use super::{ClientStream, InputEnd, Session};
use crate::clients::request_gateway::RETRY_AFTER;
use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::{Frontend, FrontendCodec};
use crate::pg::statement;
use crate::stages::admit::Edge;
use bytes::Bytes;
use futures_util::StreamExt;
use std::future::poll_fn;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

/// During a drain or a stop, a client that was just accepted is given so long for its first message: it connected to send
/// one. The last are accepted 0.45 s after a stop began, and what comes over 0.7 s after it may not be answered in time
/// (the platform's figure).
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Asked to close while a message comes in, a connection is kept so long: what is cut off in the middle is lost.
const CLOSE_GRACE: Duration = Duration::from_millis(250);
/// A message that has begun must be complete by then; a client may spend 2 s on a head.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// How often the progress of a message is checked.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A long message that makes progress may take so many checks: half a minute.
const MAX_LONG_MESSAGE_CHECKS: u32 = 60;
/// Memory for a long message is waited for so long; its deadline counts only from its last byte.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(5);
/// The comment of a statement is looked for in so many bytes.
const MAX_COMMENT: usize = 1024;

/// How far a message has come in.
#[derive(Default)]
struct MessageProgress {
    /// When it was first seen incomplete; for a long message, when it last stood still.
    incomplete_since: Option<Instant>,
    /// Bytes that were buffered at the last check.
    buffered: usize,
    checks: u32,
}

impl MessageProgress {
    /// Checks the input once, with so many bytes buffered, and returns whether a message takes too long. A long one may
    /// take its time while it makes progress.
    fn is_overdue(&mut self, buffered: usize, is_long: bool) -> bool {
        let has_grown = buffered > self.buffered;
        self.buffered = buffered;
        self.checks += 1;
        if is_long && has_grown && self.checks < MAX_LONG_MESSAGE_CHECKS {
            self.incomplete_since = None;
        }
        if buffered == 0 {
            self.incomplete_since = None;
            return false;
        }
        let since = self.incomplete_since.get_or_insert_with(Instant::now);
        since.elapsed() + PROGRESS_CHECK_INTERVAL >= MESSAGE_TIMEOUT
    }
}

/// The next message of the input. `unread_since` is cleared once everything that has arrived is read.
pub(super) async fn next_message<S: ClientStream>(
    framed: &mut Framed<S, FrontendCodec>, unread_since: &mut Option<Instant>,
) -> Option<Result<Frontend, PgError>> {
    poll_fn(|context| {
        let polled = framed.poll_next_unpin(context);
        if polled.is_pending() {
            *unread_since = None;
        }
        polled
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
        let mut progress = MessageProgress::default();
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
            let asked_to_close = async {
                match close_by.filter(|_| is_incomplete) {
                    Some(close_by) => sleep_until(close_by).await,
                    None if was_asked => {}
                    None => self.connection.close_requested().await,
                }
            };
            tokio::select! {
                biased;
                next = next_message(&mut self.framed, &mut self.unread_since) => match next {
                    Some(Ok(Frontend::Announced(length))) => self.reserve_memory(length).await?,
                    next => return self.checked(next).await,
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
                () = sleep(PROGRESS_CHECK_INTERVAL) => {
                    let is_long = self.framed.codec().reads_long();
                    if progress.is_overdue(self.framed.read_buffer().len(), is_long) {
                        return Err(self.reject_input(PgError::Body("it does not end")).await);
                    }
                }
            }
        }
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
        let has_unread_bytes = self.framed.get_ref().has_unread_bytes();
        if has_unread_bytes {
            // The runtime learns of them when it waits next.
            yield_now().await;
        }
        has_unread_bytes || !self.framed.read_buffer().is_empty()
    }

    /// Tells the client why its input is not read any further, and returns why the connection ends.
    async fn reject_input(&mut self, problem: PgError) -> CloseReason {
        let reason = replies::close_reason(&problem);
        let reply = match problem {
            PgError::Io(_) => return reason,
            PgError::Memory(_) => {
                replies::final_answer(self.gateway.reject_unopened(Edge::Memory, RETRY_AFTER, None), true)
            }
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
        let rejected = self.gateway.reject_unopened(Edge::Memory, RETRY_AFTER, class.as_deref());
        let _ = self.send([replies::final_answer(rejected, true)]).await;
        CloseReason::Protocol
    }
}
