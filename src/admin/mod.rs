//! The operators' API: an address of its own, HTTP/1.1, one call a connection. It reads metrics and passes operators'
//! orders on; it decides nothing, and must hold no state of members.
//!
//! Operators are answered whatever clients do: their descriptors are set aside, and connections whose call does not
//! become complete are bounded in time and number, the oldest of them making room for a new one.

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

/// The most connections of operators at a time.
pub const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// The time in which a call must be complete; the platform's own slow callers keep a connection for 4 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The time in which a caller must read its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// For how long input behind the call is read and discarded: a connection closed with unread input may take the
/// response along.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Size of a read, in bytes.
const READ_SIZE: usize = 1024;
/// Size of a read of input that is discarded, in bytes.
const DISCARD_SIZE: usize = 256;

/// Serves operators for as long as the program runs.
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

/// The next connection. An accept that fails, as for want of descriptors, is tried again.
async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                warn!("accept of operators: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The connections whose call is not complete yet, by the order of their accept, each with the signal to close.
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

/// A connection whose call is not complete yet, and which may have to make room. It must be dropped once the call is
/// complete.
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

/// Serves one call. Returns why the connection closes.
async fn serve(mut stream: TcpStream, api: &OperatorApi, incomplete_call: IncompleteCall) -> CloseReason {
    let mut calls = FramedRead::with_capacity(&mut stream, CallCodec, READ_SIZE);
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
    // Without it the response would only be slower.
    let _ = stream.set_nodelay(true);
    let written = async {
        stream.write_all(bytes.as_bytes()).await?;
        stream.shutdown().await
    };
    timeout(WRITE_TIMEOUT, written).await
}

async fn discard_input(stream: &mut TcpStream) {
    let mut discarded = [0; DISCARD_SIZE];
    let until_end = async { while stream.read(&mut discarded).await.is_ok_and(|length| length > 0) {} };
    let _ = timeout(LINGER_TIMEOUT, until_end).await;
}
