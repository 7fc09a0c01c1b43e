//! Why a connection closed: one log line for each, with a code. The codes are read by operators' scripts and must keep
//! their form.

use log::info;
use std::fmt;

/// The kind of peer at the other end of a connection, printed as in the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A client.
    Client,
    /// A member.
    Member,
    /// The discovery service or agent.
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
        /// Why a connection closed, printed as its code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum CloseReason {
            $($(#[$doc])* $name,)*
        }

        impl CloseReason {
            /// All of them, in the order of their declaration.
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
    /// The peer closed between requests.
    PeerClosed = "peer-closed",
    /// The peer sent its terminate message.
    Terminated = "terminated",
    /// The client left while a request of it was open.
    ClientGone = "client-gone",
    /// The peer broke the protocol.
    Protocol = "protocol",
    /// No startup message came in time.
    StartupTimeout = "startup-timeout",
    /// A cancel request, which this proxy does not support.
    CancelRequest = "cancel-request",
    /// It had no open request, and a new connection needed its slot.
    Evicted = "made-room",
    /// All connection slots are taken.
    NoConnectionSlot = "edge-full",
    /// The connection failed.
    Io = "io",
    /// The peer did not read its answer.
    WriteTimeout = "write-timeout",
    /// The proxy is stopping.
    Stopping = "stopping",
    /// An idle connection was retired before the member would close it.
    Retired = "retired",
    /// An idle connection was closed because its descriptor or its part of the quota is needed, or its member left.
    Released = "given-back",
    /// The attempt was cancelled by this proxy.
    Cancelled = "cancelled",
    /// The attempt was not answered in time.
    TimedOut = "timed-out",
    /// The connection did not come up in time.
    ConnectTimeout = "connect-timeout",
    /// The connection was refused.
    Refused = "refused",
    /// The connection broke while an attempt was in flight.
    Reset = "reset",
    /// The member turned the connection away.
    ConnectionRejected = "turned-away",
    /// The discovery address has changed.
    DiscoveryAddressChanged = "moved",
    /// Discovery answered with an error.
    ErrorStatus = "status",
    /// The watch sent nothing within its time limit.
    WatchTimeout = "silent",
    /// The watch ended.
    WatchEnded = "watch-ended",
    /// A streamed response broke off.
    ResponseTruncated = "cut-off",
    /// The operator's call was answered, and one call is all that a connection carries.
    Answered = "answered",
}

impl CloseReason {
    /// Whether a client's connection closed because its client closed it, broke it, or does not read.
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
