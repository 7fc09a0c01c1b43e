//! One connection to a member.

use crate::api::{LoadReport, Outcome, Role, Time};
use crate::budget::Place;
use crate::close_reason::{CloseReason, Side, log_close};
use crate::fleet::Unit;
use crate::peek::{Unread, unread};
use crate::pg::PgError;
use crate::pg::backend::{Backend, BackendCodec, Command};
use crate::upstream::report;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::Framed;

/// An answer that has begun says more within this long, or its rest will never come.
const ANSWER_GAP: Duration = Duration::from_millis(250);
/// Of a long answer that is passed on, more comes within this long, or nothing more will: peers take seconds.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);
/// A buffer that grew past this is given back after the answer.
const MAX_KEPT_BUFFER: usize = 32 * 1024;

/// An open connection; its end is logged when it is dropped.
pub struct MemberConnection {
    framed: Framed<TcpStream, BackendCodec>,
    addr: SocketAddr,
    reason: Rc<Cell<CloseReason>>,
    _descriptor: Place,
    _quota: Unit,
}

impl Drop for MemberConnection {
    fn drop(&mut self) {
        log_close(Side::Member, self.addr, self.reason.get());
    }
}

/// What came back for one statement.
pub struct StatementReply {
    /// How it ended.
    pub outcome: Outcome,
    /// Description, row and completion, as they came.
    pub raw: Bytes,
    /// The row's column.
    pub column: Option<Bytes>,
    /// The member's position, or a write's commit.
    pub position: Option<Time>,
    /// Its role.
    pub role: Option<Role>,
    /// Its report.
    pub report: LoadReport,
    /// The connection can carry the next statement.
    pub is_reusable: bool,
    /// Only the beginning is there: the rest is to be passed on.
    pub is_streaming: bool,
}

/// What comes of the rest of a long answer.
pub enum StreamEvent {
    /// More of it.
    Chunk(Bytes),
    /// Its end, as it came.
    End(Bytes),
    /// The connection can carry the next statement.
    Ready,
    /// Nothing more comes.
    Broken,
}

/// How far an answer has come.
#[derive(Clone, Copy)]
enum ReplyStage {
    AwaitingDescription,
    AwaitingRow,
    AwaitingCompletion,
    AwaitingReady(Outcome),
}

impl StatementReply {
    /// Notes what a parameter tells; one that can't be read tells nothing.
    fn record_parameter(&mut self, name: &[u8], value: &[u8]) {
        let text = std::str::from_utf8(value).unwrap_or("");
        match name {
            b"lsn_ms" => {
                let ms = text.parse::<u64>().ok().filter(|ms| *ms > 0);
                self.position = ms.map(|ms| Time(ms.saturating_mul(1_000)));
            }
            b"recovery" if text == "off" => self.role = Some(Role::Primary),
            b"recovery" if text == "on" => self.role = Some(Role::Replica),
            b"health" => self.report = report::parse(text),
            _ => {}
        }
    }
}

/// The outcome that an error's SQLSTATE stands for.
fn outcome(code: &[u8]) -> Outcome {
    match code {
        b"25006" | b"72000" => Outcome::Miss,
        b"53300" | b"57P03" => Outcome::QueueFull,
        _ => Outcome::Failed,
    }
}

impl MemberConnection {
    /// Opens a connection and waits until the member is ready on it, `within` so long in all.
    pub async fn open(addr: SocketAddr, place: Place, within: Duration) -> Result<MemberConnection, Outcome> {
        let by = Instant::now() + within;
        let stream = match timeout_at(by, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            failed => {
                let refused = failed.is_ok();
                let reason = if refused { CloseReason::Refused } else { CloseReason::ConnectTimeout };
                log_close(Side::Member, addr, reason);
                return Err(Outcome::ConnectError);
            }
        };
        let _ = stream.set_nodelay(true);
        let reason = Rc::new(Cell::new(CloseReason::ConnectTimeout));
        let mut link = MemberConnection {
            framed: Framed::new(stream, BackendCodec::default()),
            addr,
            reason,
            _descriptor: place,
            _quota: Unit::default(),
        };
        match timeout_at(by, link.start_session()).await {
            Ok(Ok(())) => {
                link.reason.set(CloseReason::Cancelled);
                Ok(link)
            }
            Ok(Err((outcome, reason))) => {
                link.reason.set(reason);
                Err(outcome)
            }
            Err(_) => Err(Outcome::ConnectError),
        }
    }

    async fn start_session(&mut self) -> Result<(), (Outcome, CloseReason)> {
        let broken = (Outcome::ConnectError, CloseReason::Reset);
        self.framed.send(Command::Startup).await.map_err(|_| broken)?;
        loop {
            match self.framed.next().await {
                Some(Ok(Backend::Ready)) => return Ok(()),
                Some(Ok(Backend::Error(code))) => {
                    let full = outcome(&code) == Outcome::QueueFull;
                    let outcome = if full { Outcome::QueueFull } else { Outcome::ConnectError };
                    return Err((outcome, CloseReason::TurnedAway));
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return Err(broken),
            }
        }
    }

    /// It counts as a unit of a budget until it is closed.
    pub fn hold_permit(&mut self, unit: Unit) {
        self._quota = unit;
    }

    /// Where it leads.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The reason that will be logged, for whoever ends the connection.
    pub fn close_reason(&self) -> Rc<Cell<CloseReason>> {
        self.reason.clone()
    }

    /// Why it can't carry a statement, if so: an idle connection is open and silent.
    pub fn unusable(&self) -> Option<CloseReason> {
        let mut byte = [0u8; 1];
        match self.framed.get_ref().try_read(&mut byte) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                (!self.framed.read_buffer().is_empty()).then_some(CloseReason::Protocol)
            }
            Ok(0) | Err(_) => Some(CloseReason::PeerClosed),
            Ok(_) => Some(CloseReason::Protocol),
        }
    }

    /// The same by the machine's word, not the runtime's: what came since the runtime last looked counts. Asked right
    /// before a statement is written.
    pub fn unusable_now(&self) -> Option<CloseReason> {
        self.unusable().or_else(|| match unread(self.framed.get_ref()) {
            Unread::Nothing => None,
            Unread::Bytes => Some(CloseReason::Protocol),
            Unread::End => Some(CloseReason::PeerClosed),
        })
    }

    /// Writes a statement whole; it has not run if this fails.
    pub async fn write_statement(&mut self, head: Bytes, tail: Bytes) -> Result<(), Outcome> {
        let sent = if tail.is_empty() {
            self.framed.send(Command::Query(head)).await
        } else {
            self.write_long(&head, &tail).await
        };
        sent.map_err(|_| {
            self.reason.set(CloseReason::Reset);
            Outcome::ConnectError
        })
    }

    /// A long statement goes past the codec's buffer, which would copy it.
    async fn write_long(&mut self, head: &[u8], tail: &[u8]) -> Result<(), PgError> {
        let length = (4 + head.len() + tail.len() + 1) as u32;
        let stream = self.framed.get_mut();
        stream.write_all(&[b"Q", &length.to_be_bytes()[..], head].concat()).await?;
        stream.write_all(tail).await?;
        Ok(stream.write_all(&[0]).await?)
    }

    /// The rest of a long answer, as it comes.
    pub async fn next_chunk(&mut self) -> StreamEvent {
        loop {
            let problem = match timeout(CHUNK_TIMEOUT, self.framed.next()).await {
                Ok(Some(Ok(Backend::Part(part)))) => return StreamEvent::Chunk(part),
                Ok(Some(Ok(Backend::Complete(end)))) => return StreamEvent::End(end),
                Ok(Some(Ok(Backend::Ready))) => match self.unusable() {
                    None => return StreamEvent::Ready,
                    Some(reason) => reason,
                },
                Ok(Some(Ok(Backend::Parameter { .. } | Backend::Other))) => continue,
                Ok(Some(Ok(_)) | Some(Err(PgError::Length(_) | PgError::Kind(_) | PgError::Body(_)))) => {
                    CloseReason::Protocol
                }
                Ok(_) => CloseReason::Reset,
                Err(_) => CloseReason::TimedOut,
            };
            self.reason.set(problem);
            return StreamEvent::Broken;
        }
    }

    /// The next message of an answer. It may take any time to begin, but not to go on once it has begun.
    async fn next_message(&mut self, begun: bool) -> Option<Result<Backend, PgError>> {
        let mut there = self.framed.read_buffer().len();
        loop {
            if let Ok(next) = timeout(ANSWER_GAP, self.framed.next()).await {
                return next;
            }
            let had = std::mem::replace(&mut there, self.framed.read_buffer().len());
            if (begun || had > 0) && there == had {
                return Some(Err(PgError::Body("an answer without its end")));
            }
        }
    }

    /// Reads the answer to the statement written: a description, a row and a completion, or an error, and
    /// then ready. Anything else is garbled: it may have run, and the connection is of no further use.
    pub async fn read_reply(&mut self) -> StatementReply {
        let mut raw = BytesMut::new();
        let mut reply = StatementReply {
            outcome: Outcome::Reset,
            raw: Bytes::new(),
            column: None,
            position: None,
            role: None,
            report: LoadReport::default(),
            is_reusable: false,
            is_streaming: false,
        };
        let mut stage = ReplyStage::AwaitingDescription;
        let broken = loop {
            let begun = !matches!(stage, ReplyStage::AwaitingDescription);
            match (stage, self.next_message(begun).await) {
                (ReplyStage::AwaitingDescription, Some(Ok(Backend::Description(part)))) => {
                    stage = ReplyStage::AwaitingRow;
                    raw.extend_from_slice(&part);
                }
                (ReplyStage::AwaitingRow, Some(Ok(Backend::Row { raw: part, value }))) => {
                    stage = ReplyStage::AwaitingCompletion;
                    reply.column = Some(value);
                    raw.extend_from_slice(&part);
                }
                (ReplyStage::AwaitingRow, Some(Ok(Backend::RowBegins(part)))) => {
                    raw.extend_from_slice(&part);
                    (reply.outcome, reply.raw, reply.is_streaming) = (Outcome::Ok, raw.freeze(), true);
                    return reply;
                }
                (ReplyStage::AwaitingCompletion, Some(Ok(Backend::Complete(part)))) => {
                    stage = ReplyStage::AwaitingReady(Outcome::Ok);
                    raw.extend_from_slice(&part);
                }
                // A command that returns nothing has run, but leaves nothing to pass on.
                (ReplyStage::AwaitingDescription, Some(Ok(Backend::Complete(_)))) => {
                    stage = ReplyStage::AwaitingReady(Outcome::Failed)
                }
                (ReplyStage::AwaitingDescription, Some(Ok(Backend::Error(code)))) => {
                    stage = ReplyStage::AwaitingReady(outcome(&code))
                }
                (ReplyStage::AwaitingReady(outcome), Some(Ok(Backend::Ready))) => {
                    reply.outcome = outcome;
                    break None;
                }
                (_, Some(Ok(Backend::Parameter { name, value }))) => reply.record_parameter(&name, &value),
                (_, Some(Ok(Backend::Other))) => {}
                (_, None | Some(Err(PgError::Io(_)))) => break Some((Outcome::Reset, CloseReason::Reset)),
                _ => break Some((Outcome::Garbled, CloseReason::Protocol)),
            }
        };
        match broken {
            Some((outcome, reason)) => {
                self.reason.set(reason);
                reply.outcome = outcome;
            }
            // More than the answer is served, but what comes next on this connection is not to be trusted.
            None => match self.unusable() {
                Some(reason) => self.reason.set(reason),
                None => reply.is_reusable = true,
            },
        }
        if reply.outcome == Outcome::Ok {
            reply.raw = raw.freeze();
        }
        if self.framed.read_buffer().capacity() > MAX_KEPT_BUFFER && self.framed.read_buffer().is_empty() {
            *self.framed.read_buffer_mut() = BytesMut::with_capacity(8 * 1024);
        }
        if self.framed.write_buffer().capacity() > MAX_KEPT_BUFFER && self.framed.write_buffer().is_empty() {
            *self.framed.write_buffer_mut() = BytesMut::with_capacity(8 * 1024);
        }
        reply
    }
}
