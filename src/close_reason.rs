//! The reasons for which connections close, and the log line written for each. Operators' scripts parse the codes, so
//! they must not change.

use log::info;
use std::fmt;

/// The kind of peer of a connection, displayed as in the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A client.
    Client,
    /// A member.
    Member,
    /// The discovery service or its local agent.
    Discovery,
    /// An operator.
    Operator,
}

impl fmt::Display for Side {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Side::Client => "client",
            Side::Member => "member",
            Side::Discovery => "discovery",
            Side::Operator => "operator",
        })
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal),* $(,)?) => {
        /// The reason for which a connection closed, displayed as its code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum CloseReason {
            $($(#[$doc])* $name,)*
        }

        impl CloseReason {
            /// All reasons in the order of their declaration; [`CloseCounts`](crate::counters::CloseCounts) is indexed
            /// by it.
            pub const ALL: &[CloseReason] = &[$(CloseReason::$name),*];
        }

        impl fmt::Display for CloseReason {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(match self { $(CloseReason::$name => $code,)* })
            }
        }
    };
}

reasons! {
    /// The peer closed the connection between requests.
    PeerClosed = "peer-closed",
    /// The peer sent its terminate message.
    Terminated = "terminated",
    /// The client disconnected while one of its requests was open.
    ClientGone = "client-gone",
    /// The peer violated the protocol.
    Protocol = "protocol",
    /// No startup message arrived within the time limit.
    StartupTimeout = "startup-timeout",
    /// The client sent a cancel request, which this proxy does not support.
    CancelRequest = "cancel-request",
    /// The connection had no open request and was closed because a new connection needed its slot.
    Evicted = "made-room",
    /// All connection slots are in use.
    NoConnectionSlot = "edge-full",
    /// The connection failed with an I/O error.
    Io = "io",
    /// The peer did not read its response within the time limit.
    WriteTimeout = "write-timeout",
    /// The proxy is stopping.
    Stopping = "stopping",
    /// An idle connection was closed before the member's own idle limit.
    Retired = "retired",
    /// The connection is not needed for further attempts: its descriptor or its share of the quota is needed elsewhere,
    /// or the member left or moved.
    Released = "given-back",
    /// The attempt was cancelled by this proxy.
    Cancelled = "cancelled",
    /// The attempt, or the operator's call, was not complete within the time limit.
    TimedOut = "timed-out",
    /// The connection was not established within the time limit.
    ConnectTimeout = "connect-timeout",
    /// The connection was refused.
    Refused = "refused",
    /// The connection broke while an attempt was in flight.
    Reset = "reset",
    /// The member rejected the connection during its startup.
    ConnectionRejected = "turned-away",
    /// Discovery has another address.
    DiscoveryAddressChanged = "moved",
    /// Discovery responded with an error status.
    ErrorStatus = "status",
    /// No message arrived on the watch within its time limit.
    WatchTimeout = "silent",
    /// Discovery ended the watch.
    WatchEnded = "watch-ended",
    /// A streamed response could not be completed.
    ResponseTruncated = "cut-off",
    /// The operator's call was answered; a connection carries one call.
    Answered = "answered",
}

impl CloseReason {
    /// Whether a client's connection may close for this reason with requests still open: the client left or does not
    /// read, the connection failed, or a streamed response could not be completed.
    pub fn is_by_peer(self) -> bool {
        use CloseReason as Reason;
        matches!(
            self,
            Reason::PeerClosed
                | Reason::Terminated
                | Reason::ClientGone
                | Reason::Io
                | Reason::WriteTimeout
                | Reason::ResponseTruncated
        )
    }
}

/// Logs that the connection to `peer` closed.
pub fn log_close(side: Side, peer: impl fmt::Display, reason: CloseReason) {
    info!("closed {side} {peer} code={reason}");
}
