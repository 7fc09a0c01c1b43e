//! Waits for the answers of requests and writes them. Meanwhile, messages are read ahead, or the connection is checked
//! for a close by the client: requests of a disconnected client must not be held or sent to members.

use super::input::{InputEvent, next_input};
use super::progress::{LONG_MESSAGE_TIMEOUT, MESSAGE_TIMEOUT};
use super::replies;
use super::stream::{closed_by_peer, discard_some, discard_to_end};
use super::{ClientStream, Session};
use crate::clients::pipeline::{PipelinedRequest, RequestState};
use crate::clients::request_gateway::PendingRequest;
use crate::close_reason::CloseReason;
use crate::pg::backend::INITIAL_BUFFER_BYTES;
use crate::pg::frontend::Reply;
use crate::stages::FinalResponse;
use crate::upstream::response::{ResponseChunk, StreamingResponse};
use bytes::BytesMut;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Encoder;

/// A client that takes nothing of its answers for this long is disconnected. Clients may take seconds to read.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// After a fatal error, input is discarded until none arrives for this long, so that the error reaches the client.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Total time limit for discarding input behind a rejected message.
const LINGER_TIMEOUT: Duration = Duration::from_secs(4);
impl<S: ClientStream> Session<S> {
    /// Waits for the answer of a request, submitting it first if it was blocked, and writes it.
    pub(super) async fn answer_request(&mut self, request: Box<PipelinedRequest>) -> Result<(), CloseReason> {
        // The memory of the message is held until the answer is written.
        let PipelinedRequest { order, state, memory: _memory } = *request;
        self.pipeline.begin_answer(order);
        let submitted = match state {
            RequestState::Submitted(submitted) => submitted,
            RequestState::Blocked(request, arrived_at) => {
                self.check_client_present()?;
                self.gateway.submit(request, arrived_at.elapsed(), None)
            }
        };
        self.check_client_present()?;
        self.submit_runnable();
        let answer = match submitted {
            Ok(mut pending) => match self.wait_for_answer(&mut pending).await? {
                FinalResponse::Streaming(response) => {
                    return self.stream_answer(response, &mut pending).await;
                }
                answer => answer,
            },
            Err(answer) => answer,
        };
        self.pipeline.finish_answer();
        self.send([replies::final_answer(answer, false), Reply::ReadyForQuery]).await
    }

    /// Checks that the client has not closed the connection, also behind input that is not read yet.
    ///
    /// # Errors
    /// [`CloseReason::ClientGone`].
    pub(super) fn check_client_present(&self) -> Result<(), CloseReason> {
        if self.framed.get_ref().is_closed_by_peer() { Err(CloseReason::ClientGone) } else { Ok(()) }
    }

    /// Submits requests that wait behind the current one, as far as there is memory for their answers now.
    fn submit_runnable(&mut self) {
        while let Some(index) = self.pipeline.next_runnable() {
            let Some(reserved) = self.gateway.reserve_read_ahead() else { return };
            let gateway = self.gateway.clone();
            self.pipeline.submit_runnable(index, |request, arrived_at| {
                gateway.submit(request, arrived_at.elapsed(), Some(reserved))
            });
        }
    }

    /// Waits for an answer and reads messages ahead while the pipeline has room.
    async fn wait_for_answer(&mut self, pending: &mut PendingRequest) -> Result<FinalResponse, CloseReason> {
        loop {
            if self.input_end.is_some() {
                // Further input is not decoded, but must be consumed to detect a close by the client.
                return tokio::select! {
                    biased;
                    answer = pending.answer() => Ok(answer),
                    () = discard_to_end(self.framed.get_mut()) => Err(CloseReason::ClientGone),
                };
            }
            let is_full = self.pipeline.is_full();
            if is_full {
                // Reading pauses here: input may arrive and stay unread.
                self.unread_since.get_or_insert_with(Instant::now);
            }
            if is_full || self.announced_length.is_some() {
                let answer = tokio::select! {
                    biased;
                    answer = pending.answer() => Ok(answer),
                    () = closed_by_peer(self.framed.get_ref()) => Err(CloseReason::ClientGone),
                };
                self.input_progress.restart_timeouts(Instant::now());
                return answer;
            }
            tokio::select! {
                biased;
                answer = pending.answer() => return Ok(answer),
                next = next_input(&mut self.framed, &mut self.unread_since, &mut self.input_progress) => {
                    if let InputEvent::Message(next) = next {
                        self.read_ahead(next)?;
                    }
                }
            }
        }
    }

    /// Writes a long answer as its parts arrive. If it breaks off, the connection ends, so that the client notices.
    async fn stream_answer(
        &mut self, mut response: StreamingResponse, pending: &mut PendingRequest,
    ) -> Result<(), CloseReason> {
        // No input is read until the answer ends.
        self.unread_since.get_or_insert_with(Instant::now);
        self.send([Reply::Raw(std::mem::take(&mut response.first))]).await?;
        loop {
            // A member may take long between two parts. Requests that wait behind must not be sent if the client
            // leaves.
            let chunk = tokio::select! {
                biased;
                chunk = response.rest.recv() => chunk,
                () = closed_by_peer(self.framed.get_ref()) => return Err(CloseReason::ClientGone),
            };
            match chunk {
                Some(ResponseChunk::More(bytes)) => {
                    self.write(&bytes).await.map_err(|reason| match reason {
                        CloseReason::Io => CloseReason::ClientGone,
                        reason => reason,
                    })?;
                }
                Some(ResponseChunk::Last(bytes)) => {
                    pending.finish_streaming(true);
                    self.clear_unread_since_if_read();
                    self.send([Reply::Raw(bytes), Reply::ReadyForQuery]).await?;
                    self.pipeline.finish_answer();
                    return Ok(());
                }
                None => {
                    pending.finish_streaming(false);
                    return Err(CloseReason::ResponseTruncated);
                }
            }
        }
    }

    /// Writes complete replies. An answer that is longer than the buffer is written directly: its memory is released once
    /// it is written, and a copy would not be counted.
    pub(super) async fn send<const N: usize>(&mut self, replies: [Reply; N]) -> Result<(), CloseReason> {
        let mut buffer = BytesMut::new();
        // The replies are kept until they are written, since the memory of an answer counts for its copy in the buffer.
        for reply in &replies {
            match reply {
                Reply::Raw(bytes) if bytes.len() > INITIAL_BUFFER_BYTES => {
                    self.write(&buffer).await?;
                    buffer.clear();
                    self.write(bytes).await?;
                }
                reply => {
                    let encoded = self.framed.codec_mut().encode(reply.clone(), &mut buffer);
                    encoded.map_err(|error| replies::close_reason(&error))?;
                }
            }
        }
        self.write(&buffer).await
    }

    /// Writes bytes for as long as the client takes some of them within [`WRITE_STALL_TIMEOUT`].
    async fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let written = timeout(WRITE_STALL_TIMEOUT, self.framed.get_mut().write(remaining)).await;
            match written.map_err(|_| CloseReason::WriteTimeout)? {
                Ok(length) if length > 0 => remaining = &remaining[length..],
                Ok(_) | Err(_) => return Err(CloseReason::Io),
            }
        }
        Ok(())
    }

    /// Shuts down the write side and discards input for a limited time, or until the connection is asked to close:
    /// closing with unread input would reset the connection, and the client might not receive the last reply. The rest
    /// of a message that was rejected while its client was writing it has the time limits of a message.
    pub(super) async fn linger(&mut self) {
        let mut unread_bytes = std::mem::take(&mut self.rejected_bytes);
        let total = if unread_bytes > 0 { LONG_MESSAGE_TIMEOUT } else { Duration::ZERO } + LINGER_TIMEOUT;
        let stream = self.framed.get_mut();
        let _ = stream.shutdown().await;
        let discard = async {
            loop {
                let idle_timeout = if unread_bytes > 0 { MESSAGE_TIMEOUT } else { LINGER_IDLE_TIMEOUT };
                match timeout(idle_timeout, discard_some(stream)).await {
                    Ok(0) | Err(_) => return,
                    Ok(discarded) => unread_bytes = unread_bytes.saturating_sub(discarded),
                }
            }
        };
        tokio::select! {
            _ = timeout(total, discard) => {}
            () = self.connection.close_requested() => {}
        }
    }
}
