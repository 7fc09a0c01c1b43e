//! Actions that a router requests from its driver.

use super::{LogPosition, MemberId, Micros, RequestId, Time};

/// An action for the driver. The actions of one event are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// Id of the request.
        id: RequestId,
        /// The member to send it to.
        member: MemberId,
        /// Limit on the duration of the attempt, besides the client's deadline; `None` for no further limit.
        timeout: Option<Micros>,
        /// The time by which the last byte of the statement must be written; `None` for no limit besides the deadline.
        /// Opening the connection or writing may take long, and what allowed the attempt may end meanwhile. A statement
        /// that is not written by then must not reach the member.
        written_by: Option<Time>,
    },
    /// Give the final answer: rejected. A retry by the client does no harm.
    Reject {
        /// Id of the request.
        id: RequestId,
        /// Advised minimum wait before the client's retry; `None` for no advice.
        retry_after: Option<Micros>,
    },
    /// Give the final answer: failed. The request may have run.
    Fail {
        /// Id of the request.
        id: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Cancel an attempt in flight if the last byte of its statement is not written, so that it never runs. It ends as
    /// [`Outcome::NotSent`](super::Outcome::NotSent) then, and continues otherwise.
    CancelIfUnwritten {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Set a timer that wakes the router.
    SetTimer {
        /// Token that [`Event::TimerDue`](super::Event::TimerDue) returns.
        token: u64,
        /// When the timer is due.
        at: Time,
    },
    /// Send a health check, which returns the member's load report.
    CheckHealth {
        /// The member to check.
        member: MemberId,
    },
    /// Poll discovery for the endpoint list and its changes.
    Subscribe,
    /// Send a member's position to all other instances. The message may arrive late or not at all.
    GossipPosition {
        /// Member that has applied the position.
        member: MemberId,
        /// A position that the member has applied.
        position: LogPosition,
        /// Whether the member was primary at that position.
        is_primary: bool,
    },
    /// Close the idle connections to a member.
    CloseIdleConnections {
        /// Member whose idle connections are closed.
        member: MemberId,
    },
}
