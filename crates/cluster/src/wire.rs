//! What instances say to each other: frames of a length and an [`Envelope`], bounded.

use crate::state::{DeclareDoc, OutageDoc};
use bytes::{Buf, Bytes, BytesMut};
use linenhill_decisions::disruption::{HealthReport, Quarantine};
use linenhill_decisions::quota::{Grant, QuotaRequest};
use prost::Message;
use std::fmt;
use std::io;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The version of this protocol.
pub const VERSION: u32 = 2;
/// Longest frame of a keeper: a snapshot of the most holdings that a table keeps.
pub const FRAME_MOST: usize = 64 << 20;
/// Longest frame of anybody else.
pub const SMALL_FRAME_MOST: usize = 512 << 10;

/// One message with who sent it.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The fleet's name.
    #[prost(string, tag = "1")]
    pub cluster: String,
    /// [`VERSION`].
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// The sender's name.
    #[prost(string, tag = "3")]
    pub from: String,
    /// The sender's incarnation, or a keeper's number.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// What the keepers of one log have in common; 0 from others.
    #[prost(uint64, tag = "5")]
    pub founding: u64,
    /// The message.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21")]
    pub body: Option<Body>,
}

/// A message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Between keepers: the engine's own.
    #[prost(bytes = "vec", tag = "10")]
    Raft(Vec<u8>),
    /// A proxy asks.
    #[prost(message, tag = "11")]
    Ask(ProxyAsk),
    /// What it is granted.
    #[prost(message, tag = "12")]
    Granted(Granted),
    /// It is not let in.
    #[prost(message, tag = "13")]
    Refused(Refused),
    /// The leader is elsewhere.
    #[prost(message, tag = "14")]
    Elsewhere(Elsewhere),
    /// What is known here?
    #[prost(message, tag = "15")]
    StatusAsk(StatusAsk),
    /// What is known here.
    #[prost(message, tag = "16")]
    Status(Status),
    /// A keeper wants to be one of them.
    #[prost(message, tag = "17")]
    Join(Join),
    /// Operators want something.
    #[prost(message, tag = "18")]
    Operate(Operate),
    /// What came of it.
    #[prost(message, tag = "19")]
    Done(Done),
    /// Is anybody there?
    #[prost(message, tag = "20")]
    Ping(StatusAsk),
    /// Yes.
    #[prost(message, tag = "21")]
    Pong(StatusAsk),
}

/// A proxy's request with who it is.
#[derive(Clone, PartialEq, Message)]
pub struct ProxyAsk {
    /// The request.
    #[prost(message, required, tag = "1")]
    pub ask: QuotaRequest,
    /// Its version.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Its zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// How it is, and how it sees members.
    #[prost(message, optional, tag = "4")]
    pub report: Option<HealthReport>,
}

/// What a proxy is granted, and what binds all of them.
#[derive(Clone, PartialEq, Message)]
pub struct Granted {
    /// Its shares.
    #[prost(message, required, tag = "1")]
    pub grant: Grant,
    /// Members to which nothing new may be sent, if the proxy goes by an older edition.
    #[prost(message, optional, tag = "2")]
    pub fence: Option<Quarantine>,
}

/// Why an instance is not let in.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// The number of its request.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// For good: another start of its name holds the seat, or it was taken off.
    #[prost(bool, tag = "2")]
    pub superseded: bool,
    /// In words.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Who asked.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// Where the leader is.
#[derive(Clone, PartialEq, Message)]
pub struct Elsewhere {
    /// Its name; empty while there is none.
    #[prost(string, tag = "1")]
    pub leader: String,
}

/// Asks for the state.
#[derive(Clone, PartialEq, Message)]
pub struct StatusAsk {}

/// A keeper wants to join.
#[derive(Clone, PartialEq, Message)]
pub struct Join {
    /// Where the others reach it.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// What operators want.
#[derive(Clone, PartialEq, Message)]
pub struct Operate {
    /// A proxy is gone for good.
    #[prost(string, tag = "1")]
    pub remove: String,
    /// A keeper has lost its disk: another store of its name may join.
    #[prost(string, tag = "2")]
    pub replace: String,
    /// These budgets, in the place of those agreed on.
    #[prost(message, optional, tag = "3")]
    pub declare: Option<DeclareDoc>,
    /// Something of a thing that may be out.
    #[prost(message, optional, tag = "4")]
    pub outage: Option<OutageDoc>,
}

/// What came of something.
#[derive(Clone, PartialEq, Message)]
pub struct Done {
    /// It was done, or is under way.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// In words.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Proxies that still have to confirm it.
    #[prost(string, repeated, tag = "3")]
    pub unconfirmed: Vec<String>,
    /// Nothing was decided: another keeper leads.
    #[prost(bool, tag = "4")]
    pub elsewhere: bool,
}

/// An instance's state.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    /// `leader`, `follower`, `candidate` or `proxy`.
    #[prost(string, tag = "1")]
    pub role: String,
    /// The leader's name, if it is known.
    #[prost(string, tag = "2")]
    pub leader: String,
    /// The term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The last entry applied.
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// The keepers: name and address.
    #[prost(btree_map = "string, string", tag = "5")]
    pub keepers: std::collections::BTreeMap<String, String>,
    /// The seats.
    #[prost(message, repeated, tag = "6")]
    pub seats: Vec<SeatStatus>,
    /// The budgets.
    #[prost(message, repeated, tag = "7")]
    pub budgets: Vec<BudgetStatus>,
    /// Since the last news of the log, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub news_ms: u64,
    /// What is out, or has leave to be.
    #[prost(message, repeated, tag = "9")]
    pub out: Vec<OutStatus>,
}

/// Something that is out, in words.
#[derive(Clone, PartialEq, Message)]
pub struct OutStatus {
    /// Its key.
    #[prost(string, tag = "1")]
    pub thing: String,
    /// Why.
    #[prost(string, tag = "2")]
    pub cause: String,
    /// The number of its permit; 0 without one.
    #[prost(uint64, tag = "3")]
    pub permit: u64,
    /// Who asked for it.
    #[prost(string, tag = "4")]
    pub by: String,
    /// What for.
    #[prost(string, tag = "5")]
    pub reason: String,
    /// Against the limits.
    #[prost(bool, tag = "6")]
    pub forced: bool,
}

/// A seat in words.
#[derive(Clone, PartialEq, Message)]
pub struct SeatStatus {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its version.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Since it asked last, in milliseconds of log time.
    #[prost(uint64, tag = "5")]
    pub heard_ms: u64,
    /// Its lease holds.
    #[prost(bool, tag = "6")]
    pub holds: bool,
}

/// A budget in words.
#[derive(Clone, PartialEq, Message)]
pub struct BudgetStatus {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The whole.
    #[prost(uint64, tag = "2")]
    pub whole: u64,
    /// What counts as held, by all; at a proxy: what may be used here.
    #[prost(uint64, tag = "3")]
    pub counted: u64,
    /// What is in use, as was last said.
    #[prost(uint64, tag = "4")]
    pub in_use: u64,
}

/// Why a frame can't be taken; the connection ends.
#[derive(Debug)]
pub enum WireError {
    /// The connection failed, or a frame is too long.
    Io(io::Error),
    /// What came is no message.
    Decode(prost::DecodeError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "{e}"),
            WireError::Decode(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> WireError {
        WireError::Io(e)
    }
}

/// Frames of envelopes.
pub struct EnvelopeCodec(LengthDelimitedCodec);

impl Default for EnvelopeCodec {
    fn default() -> EnvelopeCodec {
        EnvelopeCodec(LengthDelimitedCodec::builder().max_frame_length(FRAME_MOST).new_codec())
    }
}

impl EnvelopeCodec {
    /// Frames of strangers: memory is set aside by a frame's declared length.
    pub fn small() -> EnvelopeCodec {
        EnvelopeCodec(LengthDelimitedCodec::builder().max_frame_length(SMALL_FRAME_MOST).new_codec())
    }

    /// A keeper speaks.
    pub fn trust(&mut self) {
        self.0.set_max_frame_length(FRAME_MOST);
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = WireError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Envelope>, WireError> {
        let Some(frame) = self.0.decode(bytes)? else { return Ok(None) };
        Envelope::decode(frame.chunk()).map(Some).map_err(WireError::Decode)
    }
}

impl Encoder<Envelope> for EnvelopeCodec {
    type Error = WireError;

    fn encode(&mut self, envelope: Envelope, bytes: &mut BytesMut) -> Result<(), WireError> {
        Ok(self.0.encode(Bytes::from(envelope.encode_to_vec()), bytes)?)
    }
}
