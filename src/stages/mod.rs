//! The processing stages of a request: intake, admission, routing, dispatch to a member, response and accounting. The
//! types here are independent of the client protocol, so that another protocol can use the same router.

pub mod accounting;
pub mod admission;
pub mod dispatch;
pub mod driver;
mod member_directory;
pub mod request_intake;
pub mod response_channel;
pub mod response_delivery;

use crate::api::{AttemptEnd, LoadReport, LongAnswerEnd, MemberId, Micros, Outcome, Request, RequestId};
use crate::discovery::list::ListEvent;
use crate::request::Payload;
use crate::upstream::response::{MemberResponse, STREAM_MEMORY_BYTES, StreamingResponse};
use bytes::Bytes;
use linenhill_decisions::disruption::HealthObservation;
use response_channel::ResponseSender;
use std::collections::BTreeMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final answer of a request; each request gets exactly one.
#[derive(Debug)]
pub enum FinalResponse {
    /// Served with a long answer that is still arriving and may be truncated.
    Streaming(StreamingResponse),
    /// Served: the member's answer in wire format.
    Served(Bytes),
    /// Rejected without any effect, so a retry is safe.
    Rejected {
        /// The time after which the client may retry; `None` to send no such time.
        retry_after: Option<Micros>,
    },
    /// Failed: the request may or may not have had an effect.
    Failed,
}

impl FinalResponse {
    /// The memory of a member's answer that the response holds, in bytes.
    pub fn held_bytes(&self) -> usize {
        match self {
            FinalResponse::Served(raw) => raw.len(),
            FinalResponse::Streaming(_) => STREAM_MEMORY_BYTES,
            FinalResponse::Rejected { .. } | FinalResponse::Failed => 0,
        }
    }
}

/// A request that was accepted from a client and admitted.
pub struct AcceptedRequest {
    /// The request in the form that the router takes.
    pub request: Request,
    /// The statement to send to members.
    pub payload: Payload,
    /// The time by which the client must have the final answer.
    pub deadline: Instant,
    /// Receives the final answer.
    pub reply: ResponseSender,
}

/// Numbers of members, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members in the endpoint list.
    pub listed: usize,
    /// Listed members that get no ordinary requests now: out of service, draining, or ejected by the router.
    pub avoided: usize,
}

/// An input of the [`driver`].
pub enum DriverInput {
    /// A client's request was accepted and admitted.
    RequestAccepted(Box<AcceptedRequest>),
    /// The client of a request has disconnected.
    ClientGone(RequestId),
    /// An attempt ended, with its response if it was served. The driver sets `is_request_over`.
    AttemptEnded(AttemptEnd, Option<MemberResponse>),
    /// A long answer ended, whose attempt ended when it began.
    LongAnswerEnded(LongAnswerEnd),
    /// A health check ended.
    HealthCheckEnded(MemberId, Outcome, LoadReport),
    /// A list was received or read from the configuration, a call reported no change, or a call or watch ended.
    List(ListEvent),
    /// Requests the counts of members, for the metrics.
    MemberCountsRequested(oneshot::Sender<MemberCounts>),
    /// The maintenance order on the member with this name changed.
    MaintenanceChanged(String),
    /// Requests this proxy's health observation of each member, by member name, for the fleet.
    HealthObservationsRequested(oneshot::Sender<BTreeMap<String, HealthObservation>>),
    /// The fleet takes exactly the members with these names out of service. The sender confirms that nothing new is
    /// sent to them.
    QuarantineChanged(Vec<String>, oneshot::Sender<()>),
}
