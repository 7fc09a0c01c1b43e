//! Waits for the answers of requests and writes them. Meanwhile messages are read ahead, or the client's end is looked
//! for: nothing is held or sent on for a client that has left.

use super::input::{InputEvent, next_input};
use super::replies;
use super::stream::{closed_by_peer, discard_some, discard_to_end};
use super::{ClientStream, Session};
use crate::clients::pipeline::{PipelinedRequest, RequestState};
use crate::clients::request_gateway::PendingRequest;
use crate::close_reason::CloseReason;
use crate::pg::frontend::Reply;
use crate::stages::FinalResponse;
use crate::upstream::response::{ResponseChunk, StreamingResponse};
use bytes::BytesMut;
use futures_util::SinkExt;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout};

/// A client that does not read its answer for so long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for each part of a long answer: peers may take seconds.
const STREAM_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// After a fatal error, input is discarded until the client has been silent for so long, so that the error reaches it.
const LINGER_SILENCE: Duration = Duration::from_millis(200);
/// Input is discarded for so long at most.
const MAX_LINGER: Duration = Duration::from_secs(4);
/// A buffer that has grown past this, in bytes, is given back after the answer.
const MAX_KEPT_BUFFER: usize = 32 * 1024;

fn is_wasteful(buffer: &BytesMut) -> bool {
    buffer.is_empty() && buffer.capacity() > MAX_KEPT_BUFFER
}

impl<S: ClientStream> Session<S> {
    /// One request, to its answer.
    pub(super) async fn answer_request(&mut self, request: Box<PipelinedRequest>) -> Result<(), CloseReason> {
        // The memory of its message is held up to the end of its answer.
        let PipelinedRequest { order, state, memory: _memory } = *request;
        self.pipeline.begin(order);
        let submitted = match state {
            RequestState::Submitted(submitted) => submitted,
            RequestState::Blocked(request, since) => self.gateway.submit(request, since.elapsed()),
        };
        let answer = match submitted {
            Ok(mut pending) => match self.wait_for_answer(&mut pending).await? {
                FinalResponse::Streaming(response) => {
                    return self.stream_answer(response, &mut pending).await;
                }
                answer => answer,
            },
            Err(answer) => answer,
        };
        self.pipeline.finish();
        self.send([replies::final_answer(answer, false), Reply::ReadyForQuery]).await?;
        self.shrink_buffers();
        Ok(())
    }

    /// Waits for an answer. Meanwhile messages are read ahead, as long as the pipeline has room.
    async fn wait_for_answer(&mut self, pending: &mut PendingRequest) -> Result<FinalResponse, CloseReason> {
        loop {
            if self.input_end.is_some() {
                // What follows is of no use, but the client's end shows behind it.
                return tokio::select! {
                    biased;
                    answer = pending.answer() => Ok(answer),
                    () = discard_to_end(self.framed.get_mut()) => Err(CloseReason::ClientGone),
                };
            }
            let is_full = self.pipeline.is_full();
            if is_full {
                // What has arrived may lie unread from here on.
                self.unread_since.get_or_insert_with(Instant::now);
            }
            if is_full || self.announced_length.is_some() {
                let answer = tokio::select! {
                    biased;
                    answer = pending.answer() => Ok(answer),
                    () = closed_by_peer(self.framed.get_ref()) => Err(CloseReason::ClientGone),
                };
                self.input_progress.resume(Instant::now());
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

    /// Writes a long answer as it comes. One that is cut off ends the connection, so that its client sees it.
    async fn stream_answer(
        &mut self, mut response: StreamingResponse, pending: &mut PendingRequest,
    ) -> Result<(), CloseReason> {
        // What comes behind the request is not read before the end of its answer.
        self.unread_since.get_or_insert_with(Instant::now);
        self.send([Reply::Raw(std::mem::take(&mut response.first))]).await?;
        loop {
            // A member may take its time between two parts: what waits behind is not sent for a client that has left.
            let chunk = tokio::select! {
                biased;
                chunk = response.rest.recv() => chunk,
                () = closed_by_peer(self.framed.get_ref()) => return Err(CloseReason::ClientGone),
            };
            match chunk {
                Some(ResponseChunk::More(bytes)) => {
                    let written =
                        timeout(STREAM_WRITE_TIMEOUT, self.framed.get_mut().write_all(&bytes)).await;
                    written.map_err(|_| CloseReason::WriteTimeout)?.map_err(|_| CloseReason::ClientGone)?;
                }
                Some(ResponseChunk::Last(bytes)) => {
                    pending.streamed(true);
                    self.note_nothing_unread();
                    self.send([Reply::Raw(bytes), Reply::ReadyForQuery]).await?;
                    self.pipeline.finish();
                    return Ok(());
                }
                None => {
                    pending.streamed(false);
                    return Err(CloseReason::ResponseTruncated);
                }
            }
        }
    }

    /// Writes complete replies.
    pub(super) async fn send<const N: usize>(&mut self, replies: [Reply; N]) -> Result<(), CloseReason> {
        let all = async {
            for reply in replies {
                self.framed.feed(reply).await?;
            }
            self.framed.flush().await
        };
        match timeout(WRITE_TIMEOUT, all).await {
            Ok(written) => written.map_err(|problem| replies::close_reason(&problem)),
            Err(_) => Err(CloseReason::WriteTimeout),
        }
    }

    /// Gives large buffers back once they are empty.
    fn shrink_buffers(&mut self) {
        if is_wasteful(self.framed.read_buffer()) {
            *self.framed.read_buffer_mut() = BytesMut::new();
        }
        if is_wasteful(self.framed.write_buffer()) {
            *self.framed.write_buffer_mut() = BytesMut::new();
        }
    }

    /// Closing with input unread would reset the connection and take the last reply along.
    pub(super) async fn linger(&mut self) {
        let stream = self.framed.get_mut();
        let _ = stream.shutdown().await;
        let discard =
            async { while timeout(LINGER_SILENCE, discard_some(stream)).await.is_ok_and(|more| more) {} };
        tokio::select! {
            _ = timeout(MAX_LINGER, discard) => {}
            () = self.connection.close_requested() => {}
        }
    }
}
