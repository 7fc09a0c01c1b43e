//! The chain that a request passes: read, admitted, decided on, sent to a member, answered and counted. The types here know
//! no protocol, so that another one can stand before the same decisions.

pub mod accounting;
pub mod admission;
pub mod dispatch;
pub mod driver;
mod member_directory;
pub mod request_intake;
pub mod response_delivery;

use crate::api::{AttemptEnd, LoadReport, MemberId, Micros, Outcome, Request, RequestId};
use crate::discovery::list::ListEvent;
use crate::request::Payload;
use crate::upstream::response::{MemberResponse, StreamingResponse};
use bytes::Bytes;
use linenhill_decisions::disruption::HealthObservation;
use std::collections::BTreeMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The one final answer of a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// Served with a long answer, which is on its way: it may yet be cut off.
    Streaming(StreamingResponse),
    /// Served: the answer as a member gave it, in the protocol's own form.
    Served(Bytes),
    /// Rejected: a retry does no harm.
    Rejected {
        /// The time after which the client may retry.
        retry_after: Option<Micros>,
    },
    /// Failed: whether the request had an effect is not known.
    Failed,
}

/// A request that was accepted from a client and admitted.
pub struct AcceptedRequest {
    /// The request as the decisions know it.
    pub request: Request,
    /// The statement to forward.
    pub payload: Payload,
    /// When the client gives up.
    pub deadline: Instant,
    /// Where its final answer goes.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// Members by what the driver does with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members that the endpoint list names.
    pub listed: usize,
    /// Of those, the ones that get nothing now: out of service, draining, or avoided by the decisions.
    pub avoided: usize,
}

/// An event for the driver of the decisions.
pub enum DriverInput {
    /// A client's request was accepted and admitted.
    RequestAccepted(Box<AcceptedRequest>),
    /// The client of a request has left.
    ClientGone(RequestId),
    /// An attempt ended; `is_request_over` is filled in by the driver.
    AttemptEnded(AttemptEnd, Option<MemberResponse>),
    /// A health check ended.
    HealthCheckEnded(MemberId, Outcome, LoadReport),
    /// An event of the endpoint list.
    List(ListEvent),
    /// The metrics ask for the counts of members.
    MemberCountsRequested(oneshot::Sender<MemberCounts>),
    /// Operators have given a new maintenance order on the member with this name.
    MaintenanceChanged(String),
    /// The fleet asks for this proxy's observation of each member, by its name.
    HealthObservationsRequested(oneshot::Sender<BTreeMap<String, HealthObservation>>),
    /// The fleet names the members to which nothing new may be sent; answered once that holds.
    QuarantineChanged(Vec<String>, oneshot::Sender<()>),
}
