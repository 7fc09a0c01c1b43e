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
            /// All reasons in the order of their declaration, the order in which
            /// [`CloseCounts`](crate::counters::CloseCounts) is indexed.
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
    /// The peer closed the connection while no request was open on it, or an idle member connection failed.
    PeerClosed = "peer-closed",
    /// The client sent its terminate message while it had no open request.
    Terminated = "terminated",
    /// The client disconnected, or sent its terminate message, while it waited for an answer.
    ClientGone = "client-gone",
    /// The peer violated the protocol or sent invalid input. For a client, also too many malformed statements in a row,
    /// or a message for which no memory was left.
    Protocol = "protocol",
    /// No startup message arrived within the time limit.
    StartupTimeout = "startup-timeout",
    /// The client sent a cancel request, which this proxy does not support.
    CancelRequest = "cancel-request",
    /// A new connection needed the slot of this one, which had no open request or an incomplete operator's call.
    Evicted = "made-room",
    /// All connection slots are in use.
    NoConnectionSlot = "edge-full",
    /// The connection failed with an I/O error.
    Io = "io",
    /// The peer did not read its response within the time limit.
    WriteTimeout = "write-timeout",
    /// The proxy is draining or stopping.
    Stopping = "stopping",
    /// A member connection was idle for almost as long as the member's own idle limit.
    Retired = "retired",
    /// A member connection without an attempt was closed because its descriptor was needed, the quota was exceeded, or
    /// the member was removed or has another address.
    Released = "given-back",
    /// This proxy cancelled the attempt, or stopped reading a streamed response whose client had left.
    Cancelled = "cancelled",
    /// The attempt, a streamed response or the operator's call was not complete within its time limit.
    TimedOut = "timed-out",
    /// The connection was not established within the time limit.
    ConnectTimeout = "connect-timeout",
    /// The connection could not be established, for example because it was refused.
    Refused = "refused",
    /// The member connection failed during its startup or while an attempt was in flight.
    Reset = "reset",
    /// The member answered the startup message with an error.
    ConnectionRejected = "turned-away",
    /// The configuration was reloaded; the watch is opened again at its address of discovery, even if unchanged.
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
