//! One client connection: queries in, answers out in their order.

use super::connection_gate::{AdmissionMode, AdmittedConnection};
use super::desk::{COME_BACK, Claim, Desk, Pending};
use super::pipeline::{ClientMessage, Pipeline, PipelinedRequest, RequestOrder, RequestState};
use crate::close_reason::CloseReason;
use crate::lifecycle::ServingState;
use crate::peek::{Unread, unread};
use crate::pg::PgError;
use crate::pg::frontend::{Answer as Wire, Frontend, FrontendCodec};
use crate::pg::statement::{self, Statement, StatementError};
use crate::request::{Incoming, Payload};
use crate::stages::admit::Edge;
use crate::stages::intake::IntakeError;
use crate::stages::{Answer, Flow, Passed};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, DuplexStream, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

/// A client that has not sent its startup message by then is let go.
const STARTUP_WITHIN: Duration = Duration::from_millis(3_500);
/// A client that doesn't read its answer for so long is let go.
const WRITE_WITHIN: Duration = Duration::from_secs(3);
/// After a fatal error, what the client still sends is read away so that the error reaches it: until it has
/// been silent for the first, for the second at most.
const LINGER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));
/// What is read away at a time.
const AWAY: usize = 32 * 1024;
/// Accepted amid a drain or a stop, a client is waited for so long: it connects in order to ask. The last are accepted
/// 0.45 s after a stop began, and what comes over 0.7 s after it may not be answered in time (the platform's figure).
const NEWCOMER_WITHIN: Duration = Duration::from_millis(250);
/// Told to leave while a message comes in, a client is waited for so long: what is cut off half way is lost to it.
const REST_WITHIN: Duration = Duration::from_millis(250);
/// A message that has begun is there whole by then; a client may spend 2 s on a head, and is looked at in steps.
const MESSAGE_WITHIN: Duration = Duration::from_millis(3_500);
/// How often a message that has begun is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// So many malformed statements in a row end a connection.
const MALFORMED_MOST: u32 = 8;
/// A client takes the next part of a long answer within this long, or is let go: peers take seconds.
const TAKE_WITHIN: Duration = Duration::from_secs(10);
/// Memory for a long message is waited for so long; its time begins only with its last byte.
const MEMORY_WITHIN: Duration = Duration::from_secs(5);
/// A long message may come in for so many looks: half a minute.
const LONG_LOOKS: u32 = 60;
/// The comment of a statement is looked for in so many bytes.
const COMMENT_MOST: usize = 1024;
/// While nothing of a client is read, its end is looked for this often.
const END_LOOK: Duration = Duration::from_millis(100);
/// A buffer that grew past this is given back after the answer.
const BUFFER_KEPT: usize = 32 * 1024;

/// Why no more of a client's input is decoded: what was accepted before is answered, then the connection ends.
enum InputEnd {
    /// The input breaks the protocol, or there was no memory for it.
    Violation(PgError),
    /// Too many malformed statements in a row.
    Malformed,
}

/// A client's connection.
pub trait Client: AsyncRead + AsyncWrite + Unpin {
    /// Whether the client has ended it, also where what it sent before that is not read yet.
    fn ended(&self) -> bool {
        false
    }

    /// Whether bytes of the client's are there that nobody has read.
    fn waits(&self) -> bool {
        false
    }
}

impl Client for TcpStream {
    fn waits(&self) -> bool {
        unread(self) == Unread::Bytes
    }

    fn ended(&self) -> bool {
        let ready = self.ready(Interest::READABLE).now_or_never();
        ready.and_then(Result::ok).is_some_and(|ready| ready.is_read_closed())
    }
}

/// Without a socket, an end shows once all before it is read.
impl Client for DuplexStream {}

struct Session<S> {
    framed: Framed<S, FrontendCodec>,
    desk: Rc<Desk>,
    seated: AdmittedConnection,
    /// What came while an earlier request was being answered; requests run meanwhile, answers keep the order.
    pipeline: Pipeline,
    /// Since when input may lie unread because the pipeline was full. What is read from there on may have come as
    /// early as that, and its client has waited since.
    unread_since: Option<Instant>,
    /// A long message has begun behind the request that is answered now: it is read after that.
    announced: Option<usize>,
    /// Set once no more input is decoded.
    input_end: Option<InputEnd>,
    /// An extended message came: all up to the next Sync is passed over.
    skipping: bool,
    /// How clients are treated now.
    view: watch::Receiver<ServingState>,
    /// Malformed statements since the last request.
    malformed_in_row: u32,
    /// When it was accepted, and whether it has asked anything since.
    since: Instant,
    heard: bool,
    /// Its startup message was answered, and it was told to make room since.
    started: bool,
    told: bool,
}

/// Serves a connection to its end, and says why it ended.
pub async fn run<S: Client>(
    stream: S, desk: Rc<Desk>, seated: AdmittedConnection, mut view: watch::Receiver<ServingState>,
) -> CloseReason {
    let framed = Framed::new(stream, FrontendCodec::new(desk.memory()));
    let (since, heard, started, told) = (Instant::now(), false, false, false);
    let (skipping, announced) = (false, None);
    let mut s = Session {
        framed,
        desk,
        seated,
        pipeline: Pipeline::default(),
        unread_since: None,
        announced,
        input_end: None,
        skipping,
        malformed_in_row: 0,
        since,
        heard,
        started,
        told,
        view: view.clone(),
    };
    let reason = match s.serve(&mut view).await {
        Ok(()) => CloseReason::Terminated,
        Err(reason) => reason,
    };
    if matches!(reason, CloseReason::Protocol | CloseReason::EdgeFull) {
        // What lingers counts on nothing but its last answer being read.
        s.seated.mark_started();
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

fn fatal(code: &'static str, message: impl ToString) -> Wire {
    Wire::Error { fatal: true, code, message: message.to_string(), detail: None }
}

/// A statement as the desk takes it: only the time that is left is written anew for each attempt.
fn incoming(statement: Statement) -> Incoming {
    let Statement { id, class, wait_ms, group, key, after_ms, whole, wait_at } = statement;
    let payload = Payload::cut(&whole, wait_at);
    Incoming { id, class, wait_ms, group, key, after_ms, payload }
}

/// A final answer in the protocol's words. Only a refusal uses 53300.
fn wire(answer: Answer, fatal: bool) -> Wire {
    match answer {
        Answer::Served(raw) => Wire::Raw(raw),
        // Its rest is passed on by whoever holds it.
        Answer::Passing(flow) => Wire::Raw(flow.first),
        Answer::Refused { retry_after } => Wire::Error {
            fatal,
            code: "53300",
            message: "refused, try again".into(),
            detail: retry_after.map(|t| t.0.div_ceil(1_000).to_string()),
        },
        Answer::Failed => error("08007", "failed, the outcome is not known"),
    }
}

impl<S: Client> Session<S> {
    async fn serve(&mut self, view: &mut watch::Receiver<ServingState>) -> Result<(), CloseReason> {
        self.start(view).await?;
        loop {
            let message = match self.pipeline.pop() {
                Some(message) => message,
                None => match self.next(view).await? {
                    Some(message) => self.accept(message),
                    None => return Err(CloseReason::PeerClosed),
                },
            };
            match message {
                ClientMessage::Terminate => return Ok(()),
                ClientMessage::Ignored => {}
                ClientMessage::Sync => self.reply([Wire::Ready]).await?,
                ClientMessage::Empty if !view.borrow().reports_ready => {
                    self.reply([error("57P03", "standing by"), Wire::Ready]).await?;
                }
                ClientMessage::Empty => self.reply([Wire::Empty, Wire::Ready]).await?,
                ClientMessage::Extended => {
                    self.reply([error("0A000", "the extended query protocol is not supported")]).await?;
                }
                ClientMessage::ConnectionRefused(after, class) => {
                    let refused = self.desk.refuse(Edge::Door, after, class.as_deref());
                    self.reply([wire(refused, true)]).await?;
                    return Err(CloseReason::EdgeFull);
                }
                ClientMessage::Request(request) => {
                    self.seated.mark_busy();
                    let answered = self.query(request).await;
                    self.seated.mark_idle();
                    answered?;
                }
                ClientMessage::Malformed(error) => self.reply([error, Wire::Ready]).await?,
            }
        }
    }

    /// Decodes a message when it comes. A request is submitted at once, also behind others, unless it depends on one
    /// of them.
    fn accept(&mut self, message: Frontend) -> ClientMessage {
        let memory = self.framed.codec_mut().share();
        let long_memory = self.framed.codec_mut().share_long();
        self.heard = true;
        let statement = match message {
            Frontend::Sync => {
                self.skipping = false;
                return ClientMessage::Sync;
            }
            Frontend::Terminate => return ClientMessage::Terminate,
            _ if self.skipping => return ClientMessage::Ignored,
            Frontend::Extended(_) => {
                self.skipping = true;
                return ClientMessage::Extended;
            }
            Frontend::Encryption
            | Frontend::Cancel
            | Frontend::Startup
            | Frontend::Idle
            | Frontend::Announced(_) => {
                return ClientMessage::Ignored;
            }
            Frontend::Query(statement) if statement::is_empty(&statement) => return ClientMessage::Empty,
            Frontend::Query(statement) => statement,
        };
        if let AdmissionMode::Reject(after) = self.seated.mode() {
            let class = statement::parse(&statement).ok().map(|s| s.class);
            return ClientMessage::ConnectionRefused(after, class);
        }
        let incoming = match statement::parse(&statement) {
            Ok(statement) => incoming(statement),
            Err(problem) => {
                let wrong = matches!(problem, StatementError::Wrong(_));
                return self.malformed(if wrong { "22023" } else { "42601" }, problem, None);
            }
        };
        let key = incoming.key.clone();
        let class = incoming.class.clone();
        let claim = match self.desk.claim(incoming) {
            Ok(claim) => claim,
            Err(problem) => {
                let in_use = problem == IntakeError::IdInUse;
                return self.malformed(if in_use { "42710" } else { "22023" }, problem, Some(&class));
            }
        };
        self.malformed_in_row = 0;
        let order = RequestOrder { key, writes: claim.writes() };
        let state = self.submit(claim, &order);
        ClientMessage::Request(Box::new(PipelinedRequest { order, state, memory, long_memory }))
    }

    /// Submits a request, unless it depends on an earlier one of its connection.
    fn submit(&self, claim: Claim, order: &RequestOrder) -> RequestState {
        if self.view.borrow().rejects_requests {
            return RequestState::Submitted(Err(self.desk.reject(claim, Edge::Stopping)));
        }
        let arrived = self.unread_since.unwrap_or_else(Instant::now);
        if self.pipeline.blocks(order) {
            return RequestState::Blocked(claim, arrived);
        }
        RequestState::Submitted(self.desk.hand_in(claim, arrived.elapsed()))
    }

    /// Counts a statement that is no request. After too many in a row nothing more is read: what was accepted is
    /// answered, and the connection ends with the answer to the last one.
    fn malformed(
        &mut self, code: &'static str, problem: impl ToString, class: Option<&str>,
    ) -> ClientMessage {
        self.desk.malformed(class);
        self.malformed_in_row += 1;
        if self.malformed_in_row >= MALFORMED_MOST {
            self.input_end = Some(InputEnd::Malformed);
        }
        ClientMessage::Malformed(error(code, problem))
    }

    /// Everything up to the first query.
    async fn start(&mut self, view: &mut watch::Receiver<ServingState>) -> Result<(), CloseReason> {
        let by = Instant::now() + STARTUP_WITHIN;
        loop {
            let next = tokio::time::timeout_at(by, self.next(view)).await;
            match next.map_err(|_| CloseReason::StartupTimeout)?? {
                None => return Err(CloseReason::PeerClosed),
                Some(Frontend::Encryption) => self.reply([Wire::NoEncryption]).await?,
                Some(Frontend::Cancel) => return Err(CloseReason::CancelRequest),
                Some(_) => {
                    self.started = true;
                    self.seated.mark_started();
                    return self.reply([Wire::Welcome, Wire::Ready]).await;
                }
            }
        }
    }

    /// The next message between requests. A drain or a stop ends the connection here, but a newcomer is heard first:
    /// whoever has just connected has a request on the way.
    async fn next(
        &mut self, view: &mut watch::Receiver<ServingState>,
    ) -> Result<Option<Frontend>, CloseReason> {
        match self.input_end.take() {
            Some(InputEnd::Violation(problem)) => return Err(self.violation(problem).await),
            Some(InputEnd::Malformed) => return Err(CloseReason::Protocol),
            None => {}
        }
        if let Some(length) = self.announced.take() {
            self.reserve(length).await?;
        }
        let (mut begun, mut there, mut looks, mut rest_by) = (None, 0, 0, None);
        let heard_by = if self.heard { Instant::now() } else { self.since + NEWCOMER_WITHIN };
        loop {
            let ends = async {
                let _ = view.wait_for(|v| v.closes_idle).await;
                sleep_until(heard_by).await;
            };
            let (comes, told) = (!self.framed.read_buffer().is_empty(), self.told);
            let leaves = async {
                match rest_by.filter(|_| comes) {
                    Some(by) => sleep_until(by).await,
                    None if told => {}
                    None => self.seated.close_requested().await,
                }
            };
            tokio::select! {
                biased;
                next = next_message(&mut self.framed, &mut self.unread_since) => return match next {
                    None => Ok(None),
                    Some(Ok(Frontend::Announced(length))) => {
                        self.reserve(length).await?;
                        continue;
                    }
                    Some(Ok(message)) => Ok(Some(message)),
                    Some(Err(problem)) => Err(self.violation(problem).await),
                },
                // What has begun to come is waited for.
                () = ends, if self.framed.read_buffer().is_empty() => {
                    // It may have begun only just now, also where the runtime was not told of it yet.
                    if !self.begun().await {
                        return Err(CloseReason::Stopping);
                    }
                    continue;
                }
                () = leaves => {
                    self.told = true;
                    let by = *rest_by.get_or_insert_with(|| Instant::now() + REST_WITHIN);
                    // A request whose first bytes are read is cut off only if the rest doesn't come soon.
                    if !self.started || Instant::now() >= by || !self.begun().await {
                        return Err(CloseReason::MadeRoom);
                    }
                    continue;
                }
                () = sleep(LOOK_EVERY) => {}
            }
            // A long message takes its time, but goes on.
            let had = std::mem::replace(&mut there, self.framed.read_buffer().len());
            looks += 1;
            if self.framed.codec().reads_long() && there > had && looks < LONG_LOOKS {
                begun = None;
            }
            if self.framed.read_buffer().is_empty() {
                begun = None;
            } else if begun.get_or_insert_with(Instant::now).elapsed() + LOOK_EVERY >= MESSAGE_WITHIN {
                return Err(self.violation(PgError::Body("it does not end")).await);
            }
        }
    }

    /// Whether a message has begun to come; what the machine holds of it is read next.
    async fn begun(&mut self) -> bool {
        let waits = self.framed.get_ref().waits();
        if waits {
            // The runtime hears of it when it waits next.
            yield_now().await;
        }
        waits || !self.framed.read_buffer().is_empty()
    }

    async fn violation(&mut self, problem: PgError) -> CloseReason {
        let reason = io_reason(&problem);
        let answer = match problem {
            PgError::Io(_) => return reason,
            PgError::Memory(_) => wire(self.desk.refuse(Edge::Memory, COME_BACK, None), true),
            _ => fatal("08P01", problem),
        };
        let _ = self.reply([answer]).await;
        reason
    }

    /// One request, to its answer. Meanwhile the client may send more, or leave.
    async fn query(&mut self, request: Box<PipelinedRequest>) -> Result<(), CloseReason> {
        // The memory of its message is held up to the end of its answer.
        let PipelinedRequest { order, state, memory: _memory, long_memory: _long_memory } = *request;
        self.pipeline.begin(order);
        let submitted = match state {
            RequestState::Submitted(submitted) => submitted,
            RequestState::Blocked(claim, since) => self.desk.hand_in(claim, since.elapsed()),
        };
        let answer = match submitted {
            Ok(mut pending) => match self.answer(&mut pending).await? {
                Answer::Passing(flow) => {
                    self.pass(flow, &mut pending).await?;
                    self.pipeline.finish();
                    return Ok(());
                }
                answer => answer,
            },
            Err(answer) => answer,
        };
        self.pipeline.finish();
        self.reply([wire(answer, false), Wire::Ready]).await?;
        self.slim();
        Ok(())
    }

    /// Passes a long answer on as it comes. One that is cut off ends the connection, so that its client sees it.
    async fn pass(&mut self, mut flow: Flow, pending: &mut Pending) -> Result<(), CloseReason> {
        self.reply([Wire::Raw(std::mem::take(&mut flow.first))]).await?;
        loop {
            // A member may take its time between two parts: what waits behind is not sent for a client that has left.
            let passed = tokio::select! {
                biased;
                passed = flow.rest.recv() => passed,
                () = left(self.framed.get_ref()) => return Err(CloseReason::ClientGone),
            };
            match passed {
                Some(Passed::Part(part)) => {
                    let written = timeout(TAKE_WITHIN, self.framed.get_mut().write_all(&part)).await;
                    written.map_err(|_| CloseReason::WriteTimeout)?.map_err(|_| CloseReason::ClientGone)?;
                }
                Some(Passed::Whole(end)) => {
                    pending.passed(true);
                    return self.reply([Wire::Raw(end), Wire::Ready]).await;
                }
                None => {
                    pending.passed(false);
                    return Err(CloseReason::CutOff);
                }
            }
        }
    }

    /// Waits for the memory of a long message; nothing is read meanwhile.
    async fn reserve(&mut self, length: usize) -> Result<(), CloseReason> {
        let granted = match self.desk.long_memory(length) {
            Some((memory, bytes)) => timeout(MEMORY_WITHIN, memory.acquire_many_owned(bytes)).await,
            None => return Err(self.no_memory().await),
        };
        match granted {
            Ok(Ok(granted)) => self.framed.codec_mut().grant(granted),
            _ => return Err(self.no_memory().await),
        }
        Ok(())
    }

    /// Refuses the message that has begun; its class is known if its comment is there.
    async fn no_memory(&mut self) -> CloseReason {
        let begun = self.framed.read_buffer();
        let begun = Bytes::copy_from_slice(begun.get(5..begun.len().min(COMMENT_MOST)).unwrap_or_default());
        let class = statement::parse(&begun).ok().map(|s| s.class);
        let refused = self.desk.refuse(Edge::Memory, COME_BACK, class.as_deref());
        let _ = self.reply([wire(refused, true)]).await;
        CloseReason::Protocol
    }

    /// Waits for an answer. Meanwhile messages are read ahead, or the client's end is looked for.
    async fn answer(&mut self, pending: &mut Pending) -> Result<Answer, CloseReason> {
        loop {
            if self.input_end.is_some() {
                // What follows is of no use, but for the end behind it.
                let stream = self.framed.get_mut();
                return tokio::select! {
                    biased;
                    answer = pending.answer() => Ok(answer),
                    () = async { while away(stream).await {} } => Err(CloseReason::ClientGone),
                };
            }
            let full = self.pipeline.is_full();
            if full {
                // What has come may lie unread from here on.
                self.unread_since.get_or_insert_with(Instant::now);
            }
            if full || self.announced.is_some() {
                return tokio::select! {
                    biased;
                    answer = pending.answer() => Ok(answer),
                    () = left(self.framed.get_ref()) => Err(CloseReason::ClientGone),
                };
            }
            tokio::select! {
                biased;
                answer = pending.answer() => return Ok(answer),
                next = next_message(&mut self.framed, &mut self.unread_since) => self.read_ahead(next)?,
            }
        }
    }

    /// Takes in what came behind the request that is being answered.
    fn read_ahead(&mut self, next: Option<Result<Frontend, PgError>>) -> Result<(), CloseReason> {
        match next {
            None | Some(Err(PgError::Io(_))) => return Err(CloseReason::ClientGone),
            // Read on where memory is free: a client's end shows behind what it sent. Else only where that fits into
            // the machine's buffers.
            Some(Ok(Frontend::Announced(length))) => match self.desk.long_memory(length) {
                Some((memory, bytes)) if let Ok(granted) = memory.clone().try_acquire_many_owned(bytes) => {
                    self.framed.codec_mut().grant(granted);
                }
                _ => self.announced = Some(length),
            },
            Some(Ok(Frontend::Terminate)) if self.pipeline.is_empty() => return Err(CloseReason::ClientGone),
            Some(Ok(message)) => {
                let message = self.accept(message);
                self.pipeline.push(message);
            }
            Some(Err(problem)) => self.input_end = Some(InputEnd::Violation(problem)),
        }
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
        let _ = self.framed.get_mut().shutdown().await;
        let (silent, most) = LINGER;
        let (seated, stream) = (&self.seated, self.framed.get_mut());
        let drain = async { while timeout(silent, away(stream)).await.is_ok_and(|more| more) {} };
        tokio::select! {
            _ = timeout(most, drain) => {}
            () = seated.close_requested() => {}
        }
    }
}

/// The next message of the input. `unread_since` is cleared once all that has come is read.
async fn next_message<S: Client>(
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

/// Returns once the client has left a connection of which nothing is read.
async fn left(stream: &impl Client) {
    while !stream.ended() {
        sleep(END_LOOK).await;
    }
}

/// Reads some input away, keeping no buffer while it waits; false at its end.
async fn away<S: AsyncRead + Unpin>(stream: &mut S) -> bool {
    poll_fn(|cx| {
        let mut bytes = [0; AWAY];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = Pin::new(&mut *stream).poll_read(cx, &mut buffer);
        read.map(|done| done.is_ok() && !buffer.filled().is_empty())
    })
    .await
}
