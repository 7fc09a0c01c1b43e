//! One client connection: queries in, answers out in their order.

use super::desk::Desk;
use super::listener::Phase;
use super::roster::Seated;
use crate::close_reason::CloseReason;
use crate::pg::PgError;
use crate::pg::frontend::{Answer as Wire, Frontend, FrontendCodec};
use crate::pg::statement::{self, StatementError};
use crate::stages::{Answer, Incoming};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// A client that has not sent its startup message by then is let go.
const STARTUP_WITHIN: Duration = Duration::from_millis(2_500);
/// A client that doesn't read its answer for so long is let go.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
/// After a fatal error, what the client still sends is read away so long, so that the error reaches it.
const LINGER: Duration = Duration::from_millis(200);
/// Queries that one connection may have waiting; more stay unread.
const PIPELINE_MOST: usize = 16;
/// A buffer that grew past this is given back after the answer.
const BUFFER_KEPT: usize = 32 * 1024;

/// What a connection may expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Its queries are served.
    Serve,
    /// Its first query is refused, and it ends.
    Refuse,
}

struct Session<S> {
    framed: Framed<S, FrontendCodec>,
    desk: Rc<Desk>,
    seated: Seated,
    /// What came while an earlier query was being answered, and when.
    waiting: VecDeque<(Frontend, Instant)>,
    /// The input is broken: what was taken is answered, then the connection ends.
    broken: Option<PgError>,
    /// An extended message failed: all up to the next Sync is passed over.
    skipping: bool,
}

/// Serves a connection to its end, and says why it ended.
pub async fn run<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S, desk: Rc<Desk>, seated: Seated, manner: Manner, mut phase: watch::Receiver<Phase>,
) -> CloseReason {
    let framed = Framed::new(stream, FrontendCodec::default());
    let mut s = Session { framed, desk, seated, waiting: VecDeque::new(), broken: None, skipping: false };
    let reason = match s.serve(manner, &mut phase).await {
        Ok(()) => CloseReason::Terminated,
        Err(reason) => reason,
    };
    if matches!(reason, CloseReason::Protocol | CloseReason::EdgeFull) {
        s.linger().await;
    }
    reason
}

fn io_reason(problem: &PgError) -> CloseReason {
    match problem {
        PgError::Io(_) => CloseReason::Io,
        _ => CloseReason::Protocol,
    }
}

fn error(code: &'static str, message: impl ToString) -> Wire {
    Wire::Error { fatal: false, code, message: message.to_string(), detail: None }
}

/// A final answer in the protocol's words. Only a refusal uses 53300.
fn wire(answer: Answer, fatal: bool) -> Wire {
    match answer {
        Answer::Served(raw) => Wire::Raw(raw),
        Answer::Refused { retry_after } => Wire::Error {
            fatal,
            code: "53300",
            message: "refused, try again".into(),
            detail: retry_after.map(|t| t.0.div_ceil(1_000).to_string()),
        },
        Answer::Failed => error("08007", "failed, the outcome is not known"),
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Session<S> {
    async fn serve(&mut self, manner: Manner, phase: &mut watch::Receiver<Phase>) -> Result<(), CloseReason> {
        self.start(phase).await?;
        loop {
            let (message, came) = match self.waiting.pop_front() {
                Some(next) => next,
                None => match self.next(phase).await? {
                    Some(message) => (message, Instant::now()),
                    None => return Err(CloseReason::PeerClosed),
                },
            };
            let statement = match message {
                Frontend::Terminate => return Ok(()),
                Frontend::Sync => {
                    self.skipping = false;
                    self.reply([Wire::Ready]).await?;
                    continue;
                }
                _ if self.skipping => continue,
                Frontend::Extended(_) => {
                    self.skipping = true;
                    self.reply([error("0A000", "the extended query protocol is not supported")]).await?;
                    continue;
                }
                Frontend::Query(statement) => statement,
                Frontend::Encryption | Frontend::Cancel | Frontend::Startup | Frontend::Idle => continue,
            };
            if statement::is_empty(&statement) {
                self.reply([Wire::Empty, Wire::Ready]).await?;
                continue;
            }
            if manner == Manner::Refuse {
                let refused = self.desk.refuse();
                self.reply([wire(refused, true)]).await?;
                return Err(CloseReason::EdgeFull);
            }
            match statement::parse(&statement) {
                Ok(incoming) => self.query(incoming, came).await?,
                Err(problem) => {
                    self.desk.malformed();
                    let code = match problem {
                        StatementError::Wrong(_) => "22023",
                        StatementError::NoComment | StatementError::Missing(_) => "42601",
                    };
                    self.reply([error(code, problem), Wire::Ready]).await?;
                }
            }
        }
    }

    /// Everything up to the first query.
    async fn start(&mut self, phase: &mut watch::Receiver<Phase>) -> Result<(), CloseReason> {
        let by = Instant::now() + STARTUP_WITHIN;
        loop {
            let next = tokio::time::timeout_at(by, self.next(phase)).await;
            match next.map_err(|_| CloseReason::StartupTimeout)?? {
                None => return Err(CloseReason::PeerClosed),
                Some(Frontend::Encryption) => self.reply([Wire::NoEncryption]).await?,
                Some(Frontend::Cancel) => return Err(CloseReason::CancelRequest),
                Some(_) => {
                    self.seated.idle();
                    return self.reply([Wire::Welcome, Wire::Ready]).await;
                }
            }
        }
    }

    /// The next message between requests; a stop ends the connection here.
    async fn next(&mut self, phase: &mut watch::Receiver<Phase>) -> Result<Option<Frontend>, CloseReason> {
        if let Some(problem) = self.broken.take() {
            return Err(self.violation(problem).await);
        }
        tokio::select! {
            biased;
            next = self.framed.next() => match next {
                None => Ok(None),
                Some(Ok(message)) => Ok(Some(message)),
                Some(Err(problem)) => Err(self.violation(problem).await),
            },
            _ = phase.wait_for(|p| *p >= Phase::Closing) => Err(CloseReason::Stopping),
            () = self.seated.told_to_leave() => Err(CloseReason::MadeRoom),
        }
    }

    async fn violation(&mut self, problem: PgError) -> CloseReason {
        let reason = io_reason(&problem);
        if reason == CloseReason::Protocol {
            let (message, detail) = (problem.to_string(), None);
            let _ = self.reply([Wire::Error { fatal: true, code: "08P01", message, detail }]).await;
        }
        reason
    }

    /// One request, from its statement to its answer. Meanwhile the client may send more, or leave.
    async fn query(&mut self, mut incoming: Incoming, came: Instant) -> Result<(), CloseReason> {
        // It has waited behind the ones before it.
        incoming.wait_ms = incoming.wait_ms.saturating_sub(came.elapsed().as_millis() as u64);
        self.seated.busy();
        let answered = self.answer(incoming).await;
        self.seated.idle();
        answered
    }

    async fn answer(&mut self, incoming: Incoming) -> Result<(), CloseReason> {
        let mut pending = match self.desk.hand_in(incoming) {
            Ok(Ok(pending)) => pending,
            Ok(Err(answer)) => return self.reply([wire(answer, false), Wire::Ready]).await,
            Err(problem) => return self.reply([error("22023", problem), Wire::Ready]).await,
        };
        let answer = loop {
            let reads = self.broken.is_none() && self.waiting.len() < PIPELINE_MOST;
            tokio::select! {
                biased;
                answer = pending.answer() => break answer,
                next = self.framed.next(), if reads => match next {
                    None | Some(Err(PgError::Io(_))) => return Err(CloseReason::ClientGone),
                    Some(Ok(Frontend::Terminate)) if self.waiting.is_empty() => {
                        return Err(CloseReason::ClientGone);
                    }
                    Some(Ok(message)) => self.waiting.push_back((message, Instant::now())),
                    Some(Err(problem)) => self.broken = Some(problem),
                },
            }
        };
        self.reply([wire(answer, false), Wire::Ready]).await?;
        self.slim();
        Ok(())
    }

    /// Writes whole answers.
    async fn reply<const N: usize>(&mut self, answers: [Wire; N]) -> Result<(), CloseReason> {
        let all = async {
            for answer in answers {
                self.framed.feed(answer).await?;
            }
            self.framed.flush().await
        };
        match timeout(WRITE_WITHIN, all).await {
            Ok(done) => done.map_err(|problem| io_reason(&problem)),
            Err(_) => Err(CloseReason::WriteTimeout),
        }
    }

    fn slim(&mut self) {
        if self.framed.read_buffer().is_empty() && self.framed.read_buffer().capacity() > BUFFER_KEPT {
            *self.framed.read_buffer_mut() = BytesMut::new();
        }
        if self.framed.write_buffer().is_empty() && self.framed.write_buffer().capacity() > BUFFER_KEPT {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
    }

    /// Closing with input unread would reset the connection and take the last answer along.
    async fn linger(&mut self) {
        let stream = self.framed.get_mut();
        let _ = stream.shutdown().await;
        let mut away = [0u8; 1024];
        let drain = async { while stream.read(&mut away).await.is_ok_and(|n| n > 0) {} };
        let _ = timeout(LINGER, drain).await;
    }
}
