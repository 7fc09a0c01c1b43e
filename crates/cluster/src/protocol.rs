//! The messages between the instances of one fleet: length-prefixed frames, each of which holds one [`Envelope`].
//!
//! This module defines the encoding and its size limits, and must not define how an instance handles a message. Tags
//! are part of the wire format and must never change; names of Rust fields may.

use crate::log_entry::{Declaration, DisruptionRequest};
use bytes::{Buf, Bytes, BytesMut};
use linenhill_decisions::disruption::{HealthReport, Quarantine};
use linenhill_decisions::quota::{Grant, QuotaRequest};
use prost::Message;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Version of the protocol. Instances reject messages of other versions.
pub const PROTOCOL_VERSION: u32 = 2;
/// Maximum frame size from a keeper, in bytes. A snapshot with the largest quota table must fit.
pub const MAX_KEEPER_FRAME_BYTES: usize = 64 << 20;
/// Maximum frame size from any other instance, in bytes.
pub const MAX_FRAME_BYTES: usize = 512 << 10;

/// A message with its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sender's fleet.
    #[prost(string, tag = "1")]
    pub cluster: String,
    /// [`PROTOCOL_VERSION`] of the sender.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// Name of the sender.
    #[prost(string, tag = "3")]
    pub from: String,
    /// Incarnation of the sender; for a keeper, its Raft identifier.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Identifier of the sender's replicated log in Raft messages, join requests and replies to join requests; 0 in
    /// other messages, and from a keeper that has not joined yet.
    #[prost(uint64, tag = "5")]
    pub log_id: u64,
    /// The message; `None` if this version does not support it.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21")]
    pub body: Option<Body>,
}

/// The content of an [`Envelope`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A message of the Raft engine, between keepers.
    #[prost(bytes = "vec", tag = "10")]
    Raft(Vec<u8>),
    /// A proxy's request to the leader for quotas, which also renews its session and reports availability.
    #[prost(message, tag = "11")]
    LeaseRequest(LeaseRequest),
    /// Grant of a [`LeaseRequest`].
    #[prost(message, tag = "12")]
    LeaseGranted(LeaseGranted),
    /// Rejection of a [`LeaseRequest`].
    #[prost(message, tag = "13")]
    LeaseRejected(LeaseRejected),
    /// Answer to a [`LeaseRequest`] by a keeper that does not lead or has too many pending requests, and to all pending
    /// requests of a keeper that ceased to lead.
    #[prost(message, tag = "14")]
    NotLeader(NotLeader),
    /// Requests an instance's [`Status`].
    #[prost(message, tag = "15")]
    StatusRequest(Empty),
    /// Answer to [`Body::StatusRequest`].
    #[prost(message, tag = "16")]
    Status(Status),
    /// A new keeper's request to become a voter.
    #[prost(message, tag = "17")]
    Join(JoinRequest),
    /// A change requested by operators, or by a proxy on their behalf.
    #[prost(message, tag = "18")]
    OperatorRequest(OperatorRequest),
    /// Answer to [`Body::OperatorRequest`] and [`Body::Join`].
    #[prost(message, tag = "19")]
    OperatorReply(OperatorReply),
    /// Keep-alive check of a connection.
    #[prost(message, tag = "20")]
    Ping(Empty),
    /// Answer to [`Body::Ping`].
    #[prost(message, tag = "21")]
    Pong(Empty),
}

/// A message without content.
#[derive(Clone, PartialEq, Message)]
pub struct Empty {}

/// A proxy's request for quotas, with its version, its zone and its health report.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Units in use and in demand, by budget.
    #[prost(message, required, tag = "1")]
    pub quota: QuotaRequest,
    /// Software version of the proxy.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Zone of the proxy.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Availability of the proxy and of the members that it observes; `None` if disruptions are not limited.
    #[prost(message, optional, tag = "4")]
    pub report: Option<HealthReport>,
}

/// Answer to a granted [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGranted {
    /// The proxy's allocations.
    #[prost(message, required, tag = "1")]
    pub grant: Grant,
    /// Members to which no new requests may be sent; `None` if the request reported that the proxy applies the current
    /// edition.
    #[prost(message, optional, tag = "2")]
    pub quarantine: Option<Quarantine>,
}

/// Answer to a rejected [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRejected {
    /// Sequence number of the rejected request.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The rejection is final for this incarnation: a later incarnation replaced it, or operators removed it.
    #[prost(bool, tag = "2")]
    pub superseded: bool,
    /// Reason, for operators.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Incarnation of the rejected request's sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// Redirects a request to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct NotLeader {
    /// Name of the leader; empty if it is unknown, or if the sender leads and has too many pending requests.
    #[prost(string, tag = "1")]
    pub leader: String,
}

/// A new keeper's request to become a voter.
#[derive(Clone, PartialEq, Message)]
pub struct JoinRequest {
    /// Address at which the other keepers connect to the new one.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// A change requested by operators. Only the first field that is set applies, in the order disruption, declare, remove,
/// replace.
#[derive(Clone, PartialEq, Message)]
pub struct OperatorRequest {
    /// Name of a decommissioned proxy, whose session is removed before it expires.
    #[prost(string, tag = "1")]
    pub remove: String,
    /// Name of a keeper that lost its store. Its old Raft identifier is removed from the voters, so that the keeper can
    /// join with a new store.
    #[prost(string, tag = "2")]
    pub replace: String,
    /// Budgets, lease terms and disruption limits that replace the committed ones.
    #[prost(message, optional, tag = "3")]
    pub declare: Option<Declaration>,
    /// A change to the disruption table.
    #[prost(message, optional, tag = "4")]
    pub disruption: Option<DisruptionRequest>,
}

/// Outcome of an [`OperatorRequest`] or a [`JoinRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct OperatorReply {
    /// The request was accepted: the change is committed or proposed, or was not necessary.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Description of the outcome, for operators.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Names of the proxies that have not confirmed a member's permit yet: they may still send new requests to the
    /// member.
    #[prost(string, repeated, tag = "3")]
    pub unconfirmed: Vec<String>,
    /// The request was not decided, because the keeper does not lead.
    #[prost(bool, tag = "4")]
    pub not_leader: bool,
}

/// The state of an instance, for operators.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    /// `leader`, `follower`, `candidate` or `proxy`.
    #[prost(string, tag = "1")]
    pub role: String,
    /// Name of the leader; empty while it is unknown.
    #[prost(string, tag = "2")]
    pub leader: String,
    /// Raft term; 0 at a proxy.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Index of the last applied log entry; 0 at a proxy.
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// Addresses of the keepers by name: the voters in the applied state, or at a proxy those in its operators' file.
    #[prost(btree_map = "string, string", tag = "5")]
    pub keepers: BTreeMap<String, String>,
    /// Sessions of the proxies; empty at a proxy.
    #[prost(message, repeated, tag = "6")]
    pub sessions: Vec<SessionStatus>,
    /// Budgets of the fleet; at a proxy, those that it enforces.
    #[prost(message, repeated, tag = "7")]
    pub budgets: Vec<BudgetStatus>,
    /// Time since a keeper last applied an entry, or since a proxy's last grant; since the start if there was none.
    /// Milliseconds.
    #[prost(uint64, tag = "8")]
    pub log_age_ms: u64,
    /// Subjects that are unavailable, or have a permit to be unavailable; empty at a proxy.
    #[prost(message, repeated, tag = "9")]
    pub unavailable: Vec<UnavailableStatus>,
}

/// A subject that is unavailable or has a permit, for operators.
#[derive(Clone, PartialEq, Message)]
pub struct UnavailableStatus {
    /// Key of the subject: `proxy/NAME` or `member/ID`.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Label of the cause, see `linenhill_decisions::disruption::Availability::label`.
    #[prost(string, tag = "2")]
    pub cause: String,
    /// Number of the permit; 0 without a permit.
    #[prost(uint64, tag = "3")]
    pub permit: u64,
    /// Name of the permit's requester; empty without a permit.
    #[prost(string, tag = "4")]
    pub requested_by: String,
    /// Reason of the permit; empty without a permit.
    #[prost(string, tag = "5")]
    pub reason: String,
    /// The permit was granted by force, without a check of the limits.
    #[prost(bool, tag = "6")]
    pub forced: bool,
}

/// A proxy's session, for operators.
#[derive(Clone, PartialEq, Message)]
pub struct SessionStatus {
    /// Name of the proxy.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the proxy.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Software version of the proxy.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Zone of the proxy.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Time since the proxy's last lease request, in milliseconds of log time.
    #[prost(uint64, tag = "5")]
    pub last_request_age_ms: u64,
    /// The proxy may still use leased quotas: its last request is at most a lease old, plus the margin for clock drift.
    #[prost(bool, tag = "6")]
    pub has_lease: bool,
}

/// An entry of a budget, for operators. Amounts are in units, or in thousandths of a unit per second for a rate.
#[derive(Clone, PartialEq, Message)]
pub struct BudgetStatus {
    /// Name of the budget; for a budget per key, `BUDGET/KEY`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Total of the fleet; 0 if the budget is no longer declared, and at a proxy.
    #[prost(uint64, tag = "2")]
    pub total: u64,
    /// The most that all proxies together can have in use; at a proxy, its current limit.
    #[prost(uint64, tag = "3")]
    pub committed: u64,
    /// Units in use, as last reported by the proxies; at a proxy, its own units in use.
    #[prost(uint64, tag = "4")]
    pub in_use: u64,
}

/// A failure to read or write a frame, after which the connection must be closed.
#[derive(Debug)]
pub enum ProtocolError {
    /// The connection failed, or a frame exceeds its length limit.
    Io(io::Error),
    /// The frame does not hold a valid [`Envelope`].
    Decode(prost::DecodeError),
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProtocolError::Io(error) => write!(f, "{error}"),
            ProtocolError::Decode(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ProtocolError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ProtocolError::Io(error) => Some(error),
            ProtocolError::Decode(error) => Some(error),
        }
    }
}

impl From<io::Error> for ProtocolError {
    fn from(error: io::Error) -> ProtocolError {
        ProtocolError::Io(error)
    }
}

/// Encodes and decodes envelopes as frames with a length prefix.
pub struct EnvelopeCodec(LengthDelimitedCodec);

impl Default for EnvelopeCodec {
    /// Accepts frames of up to [`MAX_KEEPER_FRAME_BYTES`].
    fn default() -> EnvelopeCodec {
        EnvelopeCodec(LengthDelimitedCodec::builder().max_frame_length(MAX_KEEPER_FRAME_BYTES).new_codec())
    }
}

impl EnvelopeCodec {
    /// Accepts frames of up to [`MAX_FRAME_BYTES`]. The codec allocates the declared length of a frame before the
    /// sender is known.
    pub fn for_untrusted() -> EnvelopeCodec {
        EnvelopeCodec(LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
    }

    /// Raises the limit to [`MAX_KEEPER_FRAME_BYTES`], for a connection from a keeper.
    pub fn allow_keeper_frames(&mut self) {
        self.0.set_max_frame_length(MAX_KEEPER_FRAME_BYTES);
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = ProtocolError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Envelope>, ProtocolError> {
        let Some(frame) = self.0.decode(bytes)? else { return Ok(None) };
        Envelope::decode(frame.chunk()).map(Some).map_err(ProtocolError::Decode)
    }
}

impl Encoder<Envelope> for EnvelopeCodec {
    type Error = ProtocolError;

    fn encode(&mut self, envelope: Envelope, bytes: &mut BytesMut) -> Result<(), ProtocolError> {
        Ok(self.0.encode(Bytes::from(envelope.encode_to_vec()), bytes)?)
    }
}
