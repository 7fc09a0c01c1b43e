//! The messages between the instances of one fleet: length-prefixed frames, each of which holds one [`Envelope`].
//!
//! This module defines the encoding and its bounds. It must never decide what an instance does with a message. Tags are
//! part of the wire format and never change; names of Rust fields are not.

use crate::log_entry::{Declaration, DisruptionRequest};
use bytes::{Buf, Bytes, BytesMut};
use linenhill_decisions::disruption::{HealthReport, Quarantine};
use linenhill_decisions::quota::{Grant, QuotaRequest};
use prost::Message;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The version of this protocol. Instances of different versions do not talk to each other.
pub const PROTOCOL_VERSION: u32 = 2;
/// Longest frame from a keeper, in bytes: it must fit a snapshot of the largest quota table.
pub const MAX_KEEPER_FRAME_BYTES: usize = 64 << 20;
/// Longest frame from any other instance, in bytes.
pub const MAX_FRAME_BYTES: usize = 512 << 10;

/// One message together with its sender.
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
    /// Identifier of the replicated log that the keeper belongs to; 0 from instances that are not keepers, and from a
    /// keeper that has not joined yet.
    #[prost(uint64, tag = "5")]
    pub log_id: u64,
    /// The message itself.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21")]
    pub body: Option<Body>,
}

/// The content of an [`Envelope`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A message of the Raft engine, between keepers.
    #[prost(bytes = "vec", tag = "10")]
    Raft(Vec<u8>),
    /// A proxy asks the leader for quota and renews its membership.
    #[prost(message, tag = "11")]
    LeaseRequest(LeaseRequest),
    /// The leader grants a [`LeaseRequest`].
    #[prost(message, tag = "12")]
    LeaseGranted(LeaseGranted),
    /// The leader rejects a [`LeaseRequest`].
    #[prost(message, tag = "13")]
    LeaseRejected(LeaseRejected),
    /// The keeper does not lead, or cannot take the request now.
    #[prost(message, tag = "14")]
    NotLeader(NotLeader),
    /// Asks an instance for its [`Status`].
    #[prost(message, tag = "15")]
    StatusRequest(Empty),
    /// Answer to [`Body::StatusRequest`].
    #[prost(message, tag = "16")]
    Status(Status),
    /// A new keeper asks to become a voter.
    #[prost(message, tag = "17")]
    Join(JoinRequest),
    /// Operators, or a proxy on their behalf, ask for a change.
    #[prost(message, tag = "18")]
    OperatorRequest(OperatorRequest),
    /// Answer to [`Body::OperatorRequest`] and [`Body::Join`].
    #[prost(message, tag = "19")]
    OperatorReply(OperatorReply),
    /// Checks that the connection is alive.
    #[prost(message, tag = "20")]
    Ping(Empty),
    /// Answer to [`Body::Ping`].
    #[prost(message, tag = "21")]
    Pong(Empty),
}

/// A message without content.
#[derive(Clone, PartialEq, Message)]
pub struct Empty {}

/// A proxy's request for quota, with its identity and its health report.
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
    /// Availability of the proxy and of the members that it observes; none where disruptions are not limited.
    #[prost(message, optional, tag = "4")]
    pub report: Option<HealthReport>,
}

/// Answer to a granted [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGranted {
    /// The proxy's allocations.
    #[prost(message, required, tag = "1")]
    pub grant: Grant,
    /// Members that must get no new requests; none if the proxy applies the current edition already.
    #[prost(message, optional, tag = "2")]
    pub quarantine: Option<Quarantine>,
}

/// Answer to a rejected [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRejected {
    /// Sequence number of the rejected request.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The rejection is final for this incarnation: a newer one has its name, or operators removed it.
    #[prost(bool, tag = "2")]
    pub superseded: bool,
    /// Reason for operators.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Incarnation that sent the rejected request.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// Redirects a request to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct NotLeader {
    /// Name of the leader; empty while it is unknown.
    #[prost(string, tag = "1")]
    pub leader: String,
}

/// A new keeper's request to become a voter.
#[derive(Clone, PartialEq, Message)]
pub struct JoinRequest {
    /// Address at which the other keepers reach it.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// A change that operators ask for. The first field that is set counts, in the order disruption, declare, remove, replace.
#[derive(Clone, PartialEq, Message)]
pub struct OperatorRequest {
    /// Name of a proxy that is gone for good.
    #[prost(string, tag = "1")]
    pub remove: String,
    /// Name of a keeper that lost its store: its old Raft identifier stops voting, and a new store may join.
    #[prost(string, tag = "2")]
    pub replace: String,
    /// Budgets and lease terms that replace the agreed ones.
    #[prost(message, optional, tag = "3")]
    pub declare: Option<Declaration>,
    /// A change to the disruption table.
    #[prost(message, optional, tag = "4")]
    pub disruption: Option<DisruptionRequest>,
}

/// Outcome of an [`OperatorRequest`] or a [`JoinRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct OperatorReply {
    /// The change was made, or is under way.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Outcome for operators.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Names of the proxies that have not confirmed the change yet.
    #[prost(string, repeated, tag = "3")]
    pub unconfirmed: Vec<String>,
    /// Nothing was decided, because the keeper that was asked does not lead.
    #[prost(bool, tag = "4")]
    pub not_leader: bool,
}

/// The state of an instance, as operators see it.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    /// `leader`, `follower`, `candidate` or `proxy`.
    #[prost(string, tag = "1")]
    pub role: String,
    /// Name of the leader; empty while it is unknown.
    #[prost(string, tag = "2")]
    pub leader: String,
    /// Raft term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Index of the last applied log entry.
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// Addresses of the keepers, by name.
    #[prost(btree_map = "string, string", tag = "5")]
    pub keepers: BTreeMap<String, String>,
    /// Proxies that are members of the fleet.
    #[prost(message, repeated, tag = "6")]
    pub sessions: Vec<SessionStatus>,
    /// Budgets of the fleet; at a proxy, those that it enforces.
    #[prost(message, repeated, tag = "7")]
    pub budgets: Vec<BudgetStatus>,
    /// Time since the instance last had news of the log, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub log_age_ms: u64,
    /// Subjects that are unavailable, or have a permit to be.
    #[prost(message, repeated, tag = "9")]
    pub unavailable: Vec<UnavailableStatus>,
}

/// An unavailable subject, as operators see it.
#[derive(Clone, PartialEq, Message)]
pub struct UnavailableStatus {
    /// Key of the subject: `proxy/NAME` or `member/ID`.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Label of its availability.
    #[prost(string, tag = "2")]
    pub cause: String,
    /// Number of its permit; 0 without one.
    #[prost(uint64, tag = "3")]
    pub permit: u64,
    /// Who asked for the permit.
    #[prost(string, tag = "4")]
    pub requested_by: String,
    /// Reason given for the permit.
    #[prost(string, tag = "5")]
    pub reason: String,
    /// The permit was forced beyond the limits.
    #[prost(bool, tag = "6")]
    pub forced: bool,
}

/// A proxy's session, as operators see it.
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
    /// Time since the proxy's last request, in milliseconds of log time.
    #[prost(uint64, tag = "5")]
    pub last_request_age_ms: u64,
    /// The proxy's lease has not expired.
    #[prost(bool, tag = "6")]
    pub has_lease: bool,
}

/// A budget, as operators see it.
#[derive(Clone, PartialEq, Message)]
pub struct BudgetStatus {
    /// Name of the budget.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Units of the whole fleet; 0 at a proxy, which does not know them.
    #[prost(uint64, tag = "2")]
    pub total: u64,
    /// Units that count as granted to any proxy; at a proxy, the units that it may use now.
    #[prost(uint64, tag = "3")]
    pub committed: u64,
    /// Units in use, as last reported.
    #[prost(uint64, tag = "4")]
    pub in_use: u64,
}

/// Why a frame cannot be read or written. The connection must be closed after it.
#[derive(Debug)]
pub enum ProtocolError {
    /// The connection failed, or a frame exceeds its length limit.
    Io(io::Error),
    /// The frame holds no valid [`Envelope`].
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
    /// Accepts frames of up to [`MAX_FRAME_BYTES`]: the codec allocates memory by the length that a frame declares, before
    /// the sender is known.
    pub fn for_untrusted() -> EnvelopeCodec {
        EnvelopeCodec(LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
    }

    /// Accepts frames of up to [`MAX_KEEPER_FRAME_BYTES`] from now on, because the sender is a keeper.
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
