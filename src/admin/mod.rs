//! The operators' API: HTTP/1.1 on an address of its own, one call per connection. It serves metrics and forwards
//! operators' orders; it makes no decisions and must hold no state of members.
//!
//! Operators are answered regardless of the load by clients: descriptors are reserved for them, and connections with an
//! incomplete call are limited in time. If all slots are in use, the oldest of them is closed for a new connection.

pub mod call;
pub mod operator_api;
mod response;

use crate::close_reason::{CloseReason, Side, log_close};
use call::{CallCodec, CallError};
use futures_util::StreamExt;
use log::warn;
use operator_api::OperatorApi;
use response::Response;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedRead;

/// The most operators' connections that are served at once. One more may be accepted and wait for a slot.
pub const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// Time limit for a complete call; longer than the 4 s for which the platform's slow callers keep a connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long input after the call is discarded: closing a connection with unread input may reset it before the caller
/// has read the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Initial capacity of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 1024;
/// Size of the buffer for discarded input.
const DISCARD_BUFFER_BYTES: usize = 256;

/// Serves operators; does not return while the process runs.
pub async fn run(listener: TcpListener, api: Rc<OperatorApi>) {
    let slots = Arc::new(Semaphore::new(MAX_OPERATOR_CONNECTIONS));
    let incomplete_calls = Rc::new(IncompleteCalls::default());
    for connection_number in 0.. {
        let (stream, peer) = accept(&listener).await;
        if slots.available_permits() == 0 {
            incomplete_calls.close_oldest();
        }
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let incomplete_call = incomplete_calls.begin(connection_number);
        let api = api.clone();
        spawn_local(async move {
            let reason = serve(stream, &api, incomplete_call).await;
            log_close(Side::Operator, peer, reason);
            drop(slot);
        });
    }
}

/// Accepts the next connection; retries after errors such as a lack of descriptors.
async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                warn!("operators: cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The close signals of connections whose call is incomplete, keyed by connection number and so ordered by age.
#[derive(Default)]
struct IncompleteCalls(RefCell<BTreeMap<u64, Rc<Notify>>>);

impl IncompleteCalls {
    fn begin(self: &Rc<IncompleteCalls>, connection_number: u64) -> IncompleteCall {
        let close_signal = Rc::new(Notify::new());
        self.0.borrow_mut().insert(connection_number, close_signal.clone());
        IncompleteCall { calls: self.clone(), connection_number, close_signal }
    }

    fn close_oldest(&self) {
        let oldest = self.0.borrow_mut().pop_first();
        if let Some((_, close_signal)) = oldest {
            close_signal.notify_one();
        }
    }
}

/// A connection whose call is incomplete, so that it may be closed for a new connection. Must be dropped when the call
/// is complete.
struct IncompleteCall {
    calls: Rc<IncompleteCalls>,
    connection_number: u64,
    close_signal: Rc<Notify>,
}

impl Drop for IncompleteCall {
    fn drop(&mut self) {
        self.calls.0.borrow_mut().remove(&self.connection_number);
    }
}

/// Serves one call. Returns the reason for which the connection closes.
async fn serve(mut stream: TcpStream, api: &OperatorApi, incomplete_call: IncompleteCall) -> CloseReason {
    let mut calls = FramedRead::with_capacity(&mut stream, CallCodec, READ_BUFFER_BYTES);
    let received = tokio::select! {
        biased;
        received = timeout(CALL_TIMEOUT, calls.next()) => received,
        () = incomplete_call.close_signal.notified() => return CloseReason::Evicted,
    };
    drop(incomplete_call);
    let (response, reason) = match received {
        Ok(Some(Ok(call))) => (api.respond(call).await, CloseReason::Answered),
        Ok(Some(Err(CallError::Io(_)))) => return CloseReason::Io,
        Ok(Some(Err(error))) => (Response::from(error), CloseReason::Protocol),
        Ok(None) => return CloseReason::PeerClosed,
        Err(_) => (Response::text(408, "the call did not come whole"), CloseReason::TimedOut),
    };
    match write_response(&mut stream, &response).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => return CloseReason::Io,
        Err(_) => return CloseReason::WriteTimeout,
    }
    discard_input(&mut stream).await;
    reason
}

async fn write_response(stream: &mut TcpStream, response: &Response) -> Result<io::Result<()>, Elapsed> {
    let bytes = response.encode();
    // Without the option, the response may only be delayed, so a failure to set it is ignored.
    let _ = stream.set_nodelay(true);
    let written = async {
        stream.write_all(bytes.as_bytes()).await?;
        stream.shutdown().await
    };
    timeout(WRITE_TIMEOUT, written).await
}

async fn discard_input(stream: &mut TcpStream) {
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
    let until_end = async { while stream.read(&mut discarded).await.is_ok_and(|length| length > 0) {} };
    let _ = timeout(LINGER_TIMEOUT, until_end).await;
}
