//! What a router asks its driver to do.

use super::{LogPosition, MemberId, Micros, RequestId, Time};

/// What a router asks its driver to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        member: MemberId,
        /// The attempt's timeout; `None`: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Final answer: rejected, a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Wake the router.
    SetTimer {
        /// Comes back in [`Event::TimerDue`](super::Event::TimerDue).
        token: u64,
        /// When.
        at: Time,
    },
    /// Ask a member for its load report.
    CheckHealth {
        /// Which member.
        member: MemberId,
    },
    /// Subscribe to list changes.
    Subscribe,
    /// Send a member's position to all other instances; it may arrive late or never.
    GossipPosition {
        /// Which member.
        member: MemberId,
        /// A position that it has applied.
        position: LogPosition,
        /// It was primary then.
        is_primary: bool,
    },
    /// Close the idle connections to a member.
    CloseIdleConnections {
        /// Which member.
        member: MemberId,
    },
}
