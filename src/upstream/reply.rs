//! Assembles the reply to a statement from the messages of a member: a row description, a row and a completion, or an
//! error; then `ReadyForQuery`.
//!
//! Parameters and notices are accepted at any point of a reply. A reply with its messages in any other order must never
//! count as served. Does no I/O.

use crate::api::{LoadReport, LogPosition, Outcome, Role};
use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::backend::BackendMessage;
use crate::response_memory::ResponsePermit;
use crate::upstream::report;
use bytes::{Bytes, BytesMut};

/// SQLSTATE `read_only_sql_transaction`: a write reached a replica.
const READ_ONLY: &[u8] = b"25006";
/// SQLSTATE `snapshot_too_old`: the member has not applied the position that the read requires.
const BEHIND_POSITION: &[u8] = b"72000";
/// SQLSTATE `too_many_connections`.
const TOO_MANY_CONNECTIONS: &[u8] = b"53300";
/// The longest value that is kept apart from its message: longer than any load report.
const MAX_COLUMN_BYTES: usize = 1024;
/// Memory for the completion behind a row.
const COMPLETION_BYTES: usize = 64;
/// SQLSTATE `cannot_connect_now`.
const CANNOT_CONNECT_NOW: &[u8] = b"57P03";

/// What a member says of itself with a reply, in parameters before or behind the row.
#[derive(Clone, Debug, Default)]
pub struct ReportedState {
    /// The member's replication position, or the commit position of a write.
    pub position: Option<LogPosition>,
    /// The role that the member reported.
    pub role: Option<Role>,
    /// The load report of the member; empty if it sent none.
    pub report: LoadReport,
}

impl ReportedState {
    /// Records a `ParameterStatus` message. A value that can't be parsed counts as absent.
    pub(super) fn record_parameter(&mut self, name: &[u8], value: &[u8]) {
        let text = std::str::from_utf8(value).unwrap_or("");
        match name {
            b"lsn_ms" => {
                let ms = text.parse::<u64>().ok().filter(|ms| *ms > 0);
                self.position = ms.map(|ms| LogPosition(ms.saturating_mul(1_000)));
            }
            b"recovery" if text == "off" => self.role = Some(Role::Primary),
            b"recovery" if text == "on" => self.role = Some(Role::Replica),
            b"health" => self.report = report::parse(text),
            _ => {}
        }
    }
}

/// The reply to one statement.
pub struct StatementReply {
    /// The outcome of the statement.
    pub outcome: Outcome,
    /// Description, row and completion as the member sent them; empty unless the outcome is [`Outcome::Ok`].
    pub raw: Bytes,
    /// The value of the single column, if it is at most 1 KiB long. A longer one is in `raw` only, so that
    /// it is not held twice.
    pub column: Option<Bytes>,
    /// What the member says of itself.
    pub state: ReportedState,
    /// Whether the connection can carry another statement.
    pub is_reusable: bool,
    /// Whether only the beginning of a long answer was read; the rest follows in chunks.
    pub is_streaming: bool,
    /// The memory of the chunks of a long answer. That of a complete answer is attached to `raw`.
    pub memory: Option<ResponsePermit>,
}

impl StatementReply {
    /// The reply before any message has arrived.
    fn empty() -> StatementReply {
        StatementReply::without_answer(Outcome::Reset)
    }

    /// A reply of which nothing can be used.
    pub(super) fn without_answer(outcome: Outcome) -> StatementReply {
        StatementReply {
            outcome,
            raw: Bytes::new(),
            column: None,
            state: ReportedState::default(),
            is_reusable: false,
            is_streaming: false,
            memory: None,
        }
    }
}

/// The message of a reply that is expected next.
#[derive(Clone, Copy)]
enum ExpectedMessage {
    Description,
    Row,
    Completion,
    /// `ReadyForQuery`, after a statement with this outcome.
    Readiness(Outcome),
}

/// The state of a reply after a message.
pub(super) enum ReplyProgress {
    /// More messages follow.
    Incomplete,
    /// A row follows that takes this many bytes of memory, together with the rest of the reply.
    RowFollows(usize),
    /// The row has a long value, which follows in chunks.
    Streaming,
    /// The reply is complete, and the member is ready.
    Complete(Outcome),
    /// The connection failed, or the message was malformed or unexpected.
    Broken(Outcome, CloseReason),
}

/// Assembles a reply from its messages.
pub(super) struct ReplyAssembler {
    memory: Option<ResponsePermit>,
    /// Size of the reply that `memory` is for.
    reply_bytes: usize,
    expected: ExpectedMessage,
    raw: BytesMut,
    reply: StatementReply,
}

impl ReplyAssembler {
    pub(super) fn new() -> ReplyAssembler {
        let expected = ExpectedMessage::Description;
        ReplyAssembler {
            expected,
            raw: BytesMut::new(),
            reply: StatementReply::empty(),
            memory: None,
            reply_bytes: 0,
        }
    }

    /// Whether a message of the reply itself, other than a parameter or a notice, has arrived.
    pub(super) fn has_begun(&self) -> bool {
        !matches!(self.expected, ExpectedMessage::Description)
    }

    /// Size of the reply as announced by its row, in bytes; 0 before the row.
    pub(super) fn reply_bytes(&self) -> usize {
        self.reply_bytes
    }

    /// Adds the next message of the connection; `None` is the end of the connection.
    pub(super) fn push(&mut self, message: Option<Result<BackendMessage, PgError>>) -> ReplyProgress {
        match message {
            Some(Ok(message)) => self.push_message(message),
            None | Some(Err(PgError::Io(_))) => ReplyProgress::Broken(Outcome::Reset, CloseReason::Reset),
            Some(Err(_)) => ReplyProgress::Broken(Outcome::MalformedReply, CloseReason::Protocol),
        }
    }

    fn push_message(&mut self, message: BackendMessage) -> ReplyProgress {
        match (self.expected, message) {
            (ExpectedMessage::Description, BackendMessage::RowDescription(bytes)) => {
                self.expected = ExpectedMessage::Row;
                self.raw.extend_from_slice(&bytes);
            }
            (ExpectedMessage::Row, BackendMessage::RowAnnounced(length)) => {
                return ReplyProgress::RowFollows(self.raw.len() + 1 + length + COMPLETION_BYTES);
            }
            (ExpectedMessage::Row, BackendMessage::DataRow { raw: bytes, value }) => {
                self.expected = ExpectedMessage::Completion;
                // Not earlier: the row is held twice only while it is copied.
                self.raw.reserve(self.reply_bytes.saturating_sub(self.raw.len()));
                self.reply.column = Some(value).filter(|value| value.len() <= MAX_COLUMN_BYTES);
                self.raw.extend_from_slice(&bytes);
            }
            (ExpectedMessage::Row, BackendMessage::LongRowHead(bytes)) => {
                self.raw.extend_from_slice(&bytes);
                self.reply.is_streaming = true;
                return ReplyProgress::Streaming;
            }
            (ExpectedMessage::Completion, BackendMessage::CommandComplete(bytes)) => {
                self.expected = ExpectedMessage::Readiness(Outcome::Ok);
                self.raw.extend_from_slice(&bytes);
            }
            // The statement has run without returning a row, so there is no answer to relay.
            (ExpectedMessage::Description, BackendMessage::CommandComplete(_)) => {
                self.expected = ExpectedMessage::Readiness(Outcome::Failed);
            }
            (ExpectedMessage::Description, BackendMessage::ErrorResponse(sqlstate)) => {
                self.expected = ExpectedMessage::Readiness(outcome_of(&sqlstate));
            }
            (ExpectedMessage::Readiness(outcome), BackendMessage::ReadyForQuery) => {
                return ReplyProgress::Complete(outcome);
            }
            (_, BackendMessage::ParameterStatus { name, value }) => {
                self.reply.state.record_parameter(&name, &value);
            }
            (_, BackendMessage::Ignored) => {}
            _ => return ReplyProgress::Broken(Outcome::MalformedReply, CloseReason::Protocol),
        }
        ReplyProgress::Incomplete
    }

    /// Holds the memory of the reply, which is about to be read.
    pub(super) fn hold_memory(&mut self, memory: ResponsePermit, bytes: usize) {
        self.memory = Some(memory);
        self.reply_bytes = bytes;
    }

    /// Finishes the reply with its outcome. `raw` is filled only if the outcome is [`Outcome::Ok`].
    pub(super) fn finish(mut self, outcome: Outcome) -> StatementReply {
        self.reply.outcome = outcome;
        if outcome == Outcome::Ok {
            self.reply.raw = match self.memory {
                Some(memory) => memory.attach_to(self.raw),
                None => self.raw.freeze(),
            };
        }
        self.reply
    }

    /// Finishes a reply whose long value follows in chunks, which share `memory`.
    pub(super) fn finish_streaming(self, memory: ResponsePermit) -> StatementReply {
        StatementReply { memory: Some(memory), ..self.finish(Outcome::Ok) }
    }
}

/// Maps the SQLSTATE of an error to an outcome.
pub(super) fn outcome_of(sqlstate: &[u8]) -> Outcome {
    match sqlstate {
        READ_ONLY | BEHIND_POSITION => Outcome::NotApplicable,
        TOO_MANY_CONNECTIONS | CANNOT_CONNECT_NOW => Outcome::QueueFull,
        _ => Outcome::Failed,
    }
}
