//! The channel that carries the final response of one request from the driver to the client's session, with the memory
//! that is reserved for an answer that may have to wait for its turn.

use super::FinalResponse;
use crate::resource_limit::ResourcePermit;
use tokio::sync::oneshot;

/// Sends the final response.
#[derive(Debug)]
pub struct ResponseSender {
    sender: oneshot::Sender<ReservedResponse>,
    reserved: Option<ResourcePermit>,
}

/// Receives the final response.
pub struct ResponseReceiver {
    receiver: oneshot::Receiver<ReservedResponse>,
    /// Set once the response has arrived.
    reserved: Option<ResourcePermit>,
}

/// A response with the memory that remains reserved for it.
#[derive(Debug)]
struct ReservedResponse {
    response: FinalResponse,
    reserved: Option<ResourcePermit>,
}

/// Creates a channel. `reserved` is memory for the largest answer; it is `None` for a request whose answer need not wait
/// for its turn.
pub fn response_channel(reserved: Option<ResourcePermit>) -> (ResponseSender, ResponseReceiver) {
    let (sender, receiver) = oneshot::channel();
    (ResponseSender { sender, reserved }, ResponseReceiver { receiver, reserved: None })
}

impl ResponseSender {
    /// Sends the response, and releases the reserved memory that it does not take. Returns whether the session still
    /// waits for it.
    pub fn send(self, response: FinalResponse) -> bool {
        let mut reserved = self.reserved;
        if let Some(reserved) = &mut reserved {
            reserved.shrink_to(response.held_bytes());
        }
        self.sender.send(ReservedResponse { response, reserved }).is_ok()
    }
}

impl ResponseReceiver {
    /// Waits for the response; `None` if the sender was dropped without one. The memory reserved for the response is
    /// released with the receiver.
    pub async fn recv(&mut self) -> Option<FinalResponse> {
        let ReservedResponse { response, reserved } = (&mut self.receiver).await.ok()?;
        self.reserved = reserved;
        Some(response)
    }
}
