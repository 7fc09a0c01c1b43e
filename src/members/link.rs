//! One connection to a member.

use crate::api::{LoadReport, Outcome, Role, Time};
use crate::close_reason::{CloseReason, Side, log_close};
use crate::members::report;
use crate::pg::backend::{Backend, BackendCodec, Command};
use crate::stages::admit::Place;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Framed;

/// The largest answer relayed: a row of 64 KiB, and its description.
const ANSWER_MOST: usize = 96 * 1024;
/// A buffer that grew past this is given back after the answer.
const BUFFER_KEPT: usize = 32 * 1024;

/// An open connection; its end is logged when it is dropped.
pub struct Link {
    framed: Framed<TcpStream, BackendCodec>,
    addr: SocketAddr,
    reason: Rc<Cell<CloseReason>>,
    _place: Place,
}

impl Drop for Link {
    fn drop(&mut self) {
        log_close(Side::Member, self.addr, self.reason.get());
    }
}

/// What came back for one statement.
pub struct Reply {
    /// How it ended.
    pub outcome: Outcome,
    /// Description, row and completion, as they came.
    pub raw: Bytes,
    /// The row's first column.
    pub column: Option<Bytes>,
    /// The member's position, or a write's commit.
    pub position: Option<Time>,
    /// Its role.
    pub role: Option<Role>,
    /// Its report.
    pub report: LoadReport,
    /// The connection can carry the next statement.
    pub reusable: bool,
}

/// The outcome that an error's SQLSTATE stands for.
fn outcome(code: &[u8]) -> Outcome {
    match code {
        b"25006" | b"72000" => Outcome::Miss,
        b"53300" | b"57P03" => Outcome::QueueFull,
        _ => Outcome::Failed,
    }
}

impl Link {
    /// Opens a connection and waits until the member is ready on it, `within` so long in all.
    pub async fn open(addr: SocketAddr, place: Place, within: Duration) -> Result<Link, Outcome> {
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
        let mut link = Link { framed: Framed::new(stream, BackendCodec), addr, reason, _place: place };
        match timeout_at(by, link.greet()).await {
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

    async fn greet(&mut self) -> Result<(), (Outcome, CloseReason)> {
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

    /// Where it leads.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The reason that will be logged, for whoever ends the connection.
    pub fn reason(&self) -> Rc<Cell<CloseReason>> {
        self.reason.clone()
    }

    /// Whether it is still open and silent, as an idle connection must be.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0u8; 1];
        let waits = matches!(self.framed.get_ref().try_read(&mut byte),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        waits && self.framed.read_buffer().is_empty()
    }

    /// Writes a statement whole; it has not run if this fails.
    pub async fn write(&mut self, statement: Bytes) -> Result<(), Outcome> {
        let sent = self.framed.send(Command::Query(statement)).await;
        sent.map_err(|_| {
            self.reason.set(CloseReason::Reset);
            Outcome::ConnectError
        })
    }

    /// Reads the answer to the statement written.
    pub async fn read(&mut self) -> Reply {
        let mut raw = BytesMut::new();
        let mut reply = Reply {
            outcome: Outcome::Reset,
            raw: Bytes::new(),
            column: None,
            position: None,
            role: None,
            report: LoadReport::default(),
            reusable: false,
        };
        let (mut row, mut complete) = (false, false);
        loop {
            match self.framed.next().await {
                Some(Ok(Backend::Description(part))) if raw.is_empty() => raw.extend_from_slice(&part),
                Some(Ok(Backend::Row { raw: part, value })) if !row && part.len() <= ANSWER_MOST => {
                    row = true;
                    reply.column = value;
                    raw.extend_from_slice(&part);
                }
                Some(Ok(Backend::Complete(part))) if !complete => {
                    complete = true;
                    raw.extend_from_slice(&part);
                    // Without a row there is nothing to pass on.
                    reply.outcome = if row { Outcome::Ok } else { Outcome::Failed };
                }
                Some(Ok(Backend::Error(code))) => reply.outcome = outcome(&code),
                Some(Ok(Backend::Parameter { name, value })) => {
                    let text = std::str::from_utf8(&value).unwrap_or("");
                    match &name[..] {
                        b"lsn_ms" => {
                            let ms = text.parse::<u64>().ok().filter(|ms| *ms > 0);
                            reply.position = ms.map(|ms| Time(ms.saturating_mul(1_000)));
                        }
                        b"recovery" if text == "off" => reply.role = Some(Role::Primary),
                        b"recovery" if text == "on" => reply.role = Some(Role::Replica),
                        b"health" => reply.report = report::parse(text),
                        _ => {}
                    }
                }
                Some(Ok(Backend::Ready)) => {
                    reply.reusable = reply.outcome != Outcome::Reset;
                    break;
                }
                Some(Ok(Backend::Welcome | Backend::Other)) => {}
                Some(Ok(Backend::Description(_) | Backend::Row { .. } | Backend::Complete(_))) => {
                    self.reason.set(CloseReason::Protocol);
                    reply.outcome = Outcome::Failed;
                    break;
                }
                Some(Err(_)) | None => {
                    self.reason.set(CloseReason::Reset);
                    break;
                }
            }
        }
        if reply.outcome == Outcome::Ok {
            reply.raw = raw.freeze();
        }
        if self.framed.read_buffer().capacity() > BUFFER_KEPT && self.framed.read_buffer().is_empty() {
            *self.framed.read_buffer_mut() = BytesMut::with_capacity(8 * 1024);
        }
        if self.framed.write_buffer().capacity() > BUFFER_KEPT && self.framed.write_buffer().is_empty() {
            *self.framed.write_buffer_mut() = BytesMut::with_capacity(8 * 1024);
        }
        reply
    }
}
