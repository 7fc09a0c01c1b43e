//! One connection to a member, which carries one statement at a time: opens the session, writes a statement, reads the
//! reply, and yields the rest of a long answer in chunks.
//!
//! Input that arrives before the statement, or belongs to an earlier one, must never be read as part of the reply, and a
//! connection with outstanding input must never be reported as reusable. However a connection ends while its statement
//! is in progress, also by the end of this process, the kernel must not deliver the rest of that statement afterwards.
//! The close is logged once, with the reason set last.

use crate::api::Outcome;
use crate::close_reason::{CloseReason, Side, log_close};
use crate::fleet::quota::QuotaUnit;
use crate::pg::PgError;
use crate::pg::backend::{BackendCodec, BackendMessage, Command, INITIAL_BUFFER_BYTES};
use crate::resource_limit::ResourcePermit;
use crate::response_memory::ResponseMemory;
use crate::socket_state::{PendingInput, pending_input};
use crate::upstream::reply::{ReplyAssembler, ReplyProgress, ReportedState, StatementReply, outcome_of};
use crate::upstream::response::STREAM_MEMORY_BYTES;
use crate::upstream::send_guard::SendPermit;
use crate::upstream::sync_check::{SyncCheck, SyncProgress, SyncState};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::Framed;

/// Once bytes of a reply with a short row have arrived, a period of this length without further bytes breaks the
/// connection.
const REPLY_GAP_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest reply, in bytes, that members write at once.
const MAX_SHORT_REPLY_BYTES: usize = 8 * 1024;
/// Timeout for the next bytes of a longer reply, since members may pause for seconds within it.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the kernel's send buffer, in bytes, of which the kernel uses up to twice as much. While more than that of a
/// statement is not delivered, its last byte is still in this process, and can be withheld. A buffer below two segments
/// of the loopback interface would wait for delayed acknowledgements.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// The longest statement, in bytes, after which a connection is reused. The receive buffer of the member's system grows
/// with longer ones, and would then take the whole of another one before the member reads it.
const MAX_REUSED_STATEMENT_BYTES: usize = 64 * 1024;

/// An open connection. Dropping it closes the socket, logs the close reason, and returns the descriptor and the quota.
pub struct MemberConnection {
    framed: Framed<TcpStream, BackendCodec>,
    address: SocketAddr,
    sync: SyncState,
    /// Whether a statement was begun whose reply is not complete, so that the member may not have received all of it.
    has_open_statement: bool,
    /// What the member has said of itself behind the beginning of a long answer.
    trailing_state: ReportedState,
    /// Whether a statement longer than [`MAX_REUSED_STATEMENT_BYTES`] was written.
    has_carried_long_statement: bool,
    close_reason: Rc<Cell<CloseReason>>,
    /// Held for its drop, which returns the descriptor.
    _descriptor: ResourcePermit,
    /// Held for its drop, which returns this connection's unit of the fleet's budgets.
    _quota: QuotaUnit,
}

impl Drop for MemberConnection {
    fn drop(&mut self) {
        if !self.has_open_statement {
            set_abort_on_close(self.framed.get_ref(), false);
        }
        log_close(Side::Member, self.address, self.close_reason.get());
    }
}

/// An event in the rest of a long answer.
pub enum StreamEvent {
    /// A chunk of the value.
    Chunk(Bytes),
    /// The completion message as received: the answer is complete.
    End(Bytes),
    /// The member is ready, and the connection can carry another statement.
    Ready,
    /// The connection failed or violated the protocol, and must be closed.
    Broken,
}

/// Why the session of a new connection could not be started.
struct SessionError {
    outcome: Outcome,
    close_reason: CloseReason,
}

impl SessionError {
    /// The connection failed, or its input could not be decoded.
    const BROKEN_CONNECTION: SessionError =
        SessionError { outcome: Outcome::ConnectError, close_reason: CloseReason::Reset };

    /// The member answered the startup message with an error.
    fn rejected(sqlstate: &[u8]) -> SessionError {
        let outcome = match outcome_of(sqlstate) {
            Outcome::QueueFull => Outcome::QueueFull,
            _ => Outcome::ConnectError,
        };
        SessionError { outcome, close_reason: CloseReason::ConnectionRejected }
    }
}

impl MemberConnection {
    /// Opens a connection and waits until the member is ready for a statement, for at most `connect_timeout` in total.
    ///
    /// # Errors
    /// [`Outcome::QueueFull`] if the member rejects the session because it is overloaded, otherwise
    /// [`Outcome::ConnectError`].
    pub async fn open(
        address: SocketAddr, descriptor: ResourcePermit, connect_timeout: Duration,
    ) -> Result<MemberConnection, Outcome> {
        let deadline = Instant::now() + connect_timeout;
        let stream = connect(address, deadline).await?;
        // Without these options the socket works, only with higher latency and more memory.
        let _ = stream.set_nodelay(true);
        set_abort_on_close(&stream, true);
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let mut connection = MemberConnection {
            framed: Framed::new(stream, BackendCodec::default()),
            address,
            sync: SyncState::default(),
            has_open_statement: false,
            trailing_state: ReportedState::default(),
            has_carried_long_statement: false,
            close_reason: Rc::new(Cell::new(CloseReason::ConnectTimeout)),
            _descriptor: descriptor,
            _quota: QuotaUnit::default(),
        };
        match timeout_at(deadline, connection.start_session()).await {
            Ok(Ok(())) => {
                connection.close_reason.set(CloseReason::Cancelled);
                Ok(connection)
            }
            Ok(Err(error)) => {
                connection.close_reason.set(error.close_reason);
                Err(error.outcome)
            }
            Err(_) => Err(Outcome::ConnectError),
        }
    }

    /// Sends the startup message and waits until the member is ready.
    async fn start_session(&mut self) -> Result<(), SessionError> {
        self.framed.send(Command::Startup).await.map_err(|_| SessionError::BROKEN_CONNECTION)?;
        loop {
            match self.framed.next().await {
                Some(Ok(BackendMessage::ReadyForQuery)) => return Ok(()),
                Some(Ok(BackendMessage::ErrorResponse(sqlstate))) => {
                    return Err(SessionError::rejected(&sqlstate));
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return Err(SessionError::BROKEN_CONNECTION),
            }
        }
    }

    /// Holds `quota` until the connection is closed.
    pub fn hold_quota(&mut self, quota: QuotaUnit) {
        self._quota = quota;
    }

    /// The member's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The reason that will be logged when the connection closes. Code that closes the connection sets it first.
    pub fn close_reason(&self) -> Rc<Cell<CloseReason>> {
        self.close_reason.clone()
    }

    /// Writes the empty query whose answer shows that nothing else is outstanding, unless no statement was written since
    /// the last one. Returns whether the connection can be kept.
    pub fn begin_sync_check(&mut self) -> bool {
        self.release_buffers();
        if self.has_carried_long_statement {
            return false;
        }
        if matches!(self.sync, SyncState::Unknown) {
            let Some(check) = SyncCheck::begin(self.framed.get_ref()) else { return false };
            self.sync = SyncState::Checking(check);
        }
        true
    }

    /// Looks for the answer to the empty query in the input that has arrived. No statement may be written before the
    /// connection is synchronized.
    pub fn sync_progress(&mut self) -> SyncProgress {
        let progress = match &mut self.sync {
            SyncState::Synchronized => SyncProgress::Synchronized,
            SyncState::Unknown => SyncProgress::Failed(CloseReason::Protocol),
            SyncState::Checking(check) => check.progress(self.framed.get_ref()),
        };
        if progress == SyncProgress::Synchronized {
            self.sync = SyncState::Synchronized;
        }
        progress
    }

    /// The reason why the connection can't carry a statement; `None` if it is open without unread input. May consume a
    /// byte of unexpected input, so a connection with a reason must be closed.
    pub fn unusable_reason(&self) -> Option<CloseReason> {
        let mut byte = [0u8; 1];
        match self.framed.get_ref().try_read(&mut byte) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                let has_unread_bytes = !self.framed.read_buffer().is_empty();
                has_unread_bytes.then_some(CloseReason::Protocol)
            }
            Ok(0) | Err(_) => Some(CloseReason::PeerClosed),
            Ok(_) => Some(CloseReason::Protocol),
        }
    }

    /// Like [`Self::unusable_reason`], but also peeks at the socket, since the runtime does not see input that arrived
    /// after its last poll. Must be checked right before a statement is written.
    pub fn unusable_reason_with_peek(&self) -> Option<CloseReason> {
        self.unusable_reason().or_else(|| match pending_input(self.framed.get_ref()) {
            PendingInput::Empty => None,
            PendingInput::Bytes => Some(CloseReason::Protocol),
            PendingInput::Closed => Some(CloseReason::PeerClosed),
        })
    }

    /// Writes a complete statement, given in two parts, as allowed by `permit`.
    ///
    /// # Errors
    /// The outcome of a statement that has not run: the connection failed before its last byte was written.
    pub async fn write_statement(
        &mut self, permit: SendPermit, head: Bytes, tail: Bytes,
    ) -> Result<(), Outcome> {
        permit.check_at_write();
        self.sync = SyncState::Unknown;
        self.has_open_statement = true;
        self.has_carried_long_statement |= head.len() + tail.len() > MAX_REUSED_STATEMENT_BYTES;
        let result = if tail.is_empty() {
            self.framed.send(Command::Query(head)).await
        } else {
            self.write_unbuffered(&head, &tail).await
        };
        result.map_err(|_| {
            self.close_reason.set(CloseReason::Reset);
            Outcome::ConnectError
        })
    }

    /// Writes a long statement directly to the socket, to avoid copying it into the codec's buffer.
    async fn write_unbuffered(&mut self, head: &[u8], tail: &[u8]) -> Result<(), PgError> {
        let length = (4 + head.len() + tail.len() + 1) as u32;
        let stream = self.framed.get_mut();
        stream.write_all(&[b"Q", &length.to_be_bytes()[..], head].concat()).await?;
        stream.write_all(tail).await?;
        Ok(stream.write_all(&[0]).await?)
    }

    /// Reads the reply to the written statement, up to `ReadyForQuery` or to the head of a row with a long value, whose
    /// rest [`Self::next_chunk`] reads. A row is read once `memory` has room for it. After an unexpected message the outcome is [`Outcome::MalformedReply`], and
    /// [`Outcome::Reset`] after a failure of the connection: the statement may have run, and the connection must be
    /// closed.
    pub async fn read_reply(&mut self, memory: &ResponseMemory) -> StatementReply {
        // All of the statement is written.
        *self.framed.write_buffer_mut() = BytesMut::new();
        self.framed.read_buffer_mut().reserve(INITIAL_BUFFER_BYTES);
        let mut assembler = ReplyAssembler::new();
        let mut is_reusable = false;
        let outcome = loop {
            let is_long = assembler.reply_bytes() > MAX_SHORT_REPLY_BYTES;
            let gap_timeout = if is_long { CHUNK_TIMEOUT } else { REPLY_GAP_TIMEOUT };
            let message = self.next_message(assembler.has_begun(), gap_timeout).await;
            match assembler.push(message) {
                ReplyProgress::Incomplete => {}
                ReplyProgress::RowFollows(bytes) => {
                    assembler.hold_memory(memory.acquire(bytes).await, bytes);
                }
                ReplyProgress::Streaming => {
                    return assembler.finish_streaming(memory.acquire(STREAM_MEMORY_BYTES).await);
                }
                ReplyProgress::Complete(outcome) => {
                    self.has_open_statement = false;
                    // The reply is valid even if further input follows it, but the connection is not reused then.
                    is_reusable = self.check_usable();
                    break outcome;
                }
                ReplyProgress::Broken(outcome, reason) => {
                    self.close_reason.set(reason);
                    break outcome;
                }
            }
        };
        StatementReply { is_reusable, ..assembler.finish(outcome) }
    }

    /// Checks whether the connection can carry another statement; if not, sets the close reason.
    fn check_usable(&self) -> bool {
        let unusable_reason = self.unusable_reason();
        if let Some(reason) = unusable_reason {
            self.close_reason.set(reason);
        }
        unusable_reason.is_none()
    }

    /// The next message of a reply. There is no timeout for the first byte of a reply. Afterwards the buffer is
    /// compared every `gap_timeout`, and a period without further bytes is an error.
    async fn next_message(
        &mut self, has_begun: bool, gap_timeout: Duration,
    ) -> Option<Result<BackendMessage, PgError>> {
        let mut buffered = self.framed.read_buffer().len();
        loop {
            if let Ok(message) = timeout(gap_timeout, self.framed.next()).await {
                return message;
            }
            let buffered_before = buffered;
            buffered = self.framed.read_buffer().len();
            if (has_begun || buffered_before > 0) && buffered == buffered_before {
                return Some(Err(PgError::Body("reply incomplete, no further bytes within the time limit")));
            }
        }
    }

    /// Reads the next event of a long answer, after [`Self::read_reply`] has returned the beginning of that answer.
    pub async fn next_chunk(&mut self) -> StreamEvent {
        loop {
            let Ok(next) = timeout(CHUNK_TIMEOUT, self.framed.next()).await else {
                return self.break_stream(CloseReason::TimedOut);
            };
            let message = match next {
                Some(Ok(message)) => message,
                Some(Err(
                    PgError::Length(_)
                    | PgError::MessageType(_)
                    | PgError::Body(_)
                    | PgError::TransactionStatus(_),
                )) => return self.break_stream(CloseReason::Protocol),
                Some(Err(_)) | None => return self.break_stream(CloseReason::Reset),
            };
            match message {
                BackendMessage::ValueChunk(bytes) => return StreamEvent::Chunk(bytes),
                BackendMessage::CommandComplete(bytes) => {
                    self.has_open_statement = false;
                    return StreamEvent::End(bytes);
                }
                BackendMessage::ReadyForQuery if self.check_usable() => return StreamEvent::Ready,
                // Input follows the end of the reply; `check_usable` has set the close reason.
                BackendMessage::ReadyForQuery => return StreamEvent::Broken,
                BackendMessage::ParameterStatus { name, value } => {
                    self.trailing_state.record_parameter(&name, &value);
                }
                BackendMessage::Ignored => {}
                _ => return self.break_stream(CloseReason::Protocol),
            }
        }
    }

    /// Takes what the member has said of itself since the beginning of the long answer.
    pub fn take_trailing_state(&mut self) -> ReportedState {
        std::mem::take(&mut self.trailing_state)
    }

    fn break_stream(&self, reason: CloseReason) -> StreamEvent {
        self.close_reason.set(reason);
        StreamEvent::Broken
    }

    /// Frees the buffers, which are empty between statements, so that an idle connection takes little memory.
    fn release_buffers(&mut self) {
        if self.framed.read_buffer().is_empty() {
            *self.framed.read_buffer_mut() = BytesMut::new();
        }
        if self.framed.write_buffer().is_empty() {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
    }
}

/// Sets whether closing a connection discards what the kernel has not delivered to the member, and resets the
/// connection. An orderly close goes on delivering, also after the end of this process.
fn set_abort_on_close(stream: &TcpStream, aborts: bool) {
    // Fails only if the socket has failed, and then nothing more is delivered.
    let _ = SockRef::from(stream).set_linger(aborts.then_some(Duration::ZERO));
}

/// Connects to a member. A failed connection is logged here, since it never becomes a [`MemberConnection`].
async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, Outcome> {
    let reason = match timeout_at(deadline, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => return Ok(stream),
        Ok(Err(_)) => CloseReason::Refused,
        Err(_) => CloseReason::ConnectTimeout,
    };
    log_close(Side::Member, address, reason);
    Err(Outcome::ConnectError)
}
