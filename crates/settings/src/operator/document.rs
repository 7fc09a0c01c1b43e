//! The operators' file in the form of `proto/operator.proto`, before validation.
//!
//! Field names and tags are those of the schema and must not change: existing operators' files rely on them.
//! [`super::check`] maps them to the names used in the rest of the program.

use prost::Message;

/// The top-level message.
#[derive(Clone, PartialEq, Message)]
pub struct FileDoc {
    #[prost(string, tag = "1")]
    pub cluster: String,
    #[prost(message, optional, tag = "2")]
    pub instance: Option<InstanceDoc>,
    #[prost(message, repeated, tag = "3")]
    pub keeper: Vec<KeeperDoc>,
    #[prost(message, optional, tag = "4")]
    pub terms: Option<TermsDoc>,
    #[prost(message, repeated, tag = "5")]
    pub budget: Vec<BudgetDoc>,
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    #[prost(message, optional, tag = "7")]
    pub outages: Option<OutagesDoc>,
}

/// Limits on simultaneous outages.
#[derive(Clone, PartialEq, Message)]
pub struct OutagesDoc {
    #[prost(message, optional, tag = "1")]
    pub proxies: Option<CapDoc>,
    #[prost(message, optional, tag = "2")]
    pub zone: Option<CapDoc>,
    #[prost(uint64, tag = "3")]
    pub least: u64,
    #[prost(message, optional, tag = "4")]
    pub members: Option<CapDoc>,
    #[prost(uint64, tag = "5")]
    pub members_least: u64,
}

/// A limit: the smaller of both bounds if both are set, unlimited if neither is.
#[derive(Clone, PartialEq, Message)]
pub struct CapDoc {
    #[prost(uint64, optional, tag = "1")]
    pub count: Option<u64>,
    #[prost(uint64, optional, tag = "2")]
    pub percent: Option<u64>,
}

/// The instance that reads the file.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceDoc {
    #[prost(string, tag = "1")]
    pub listen: String,
    #[prost(string, repeated, tag = "2")]
    pub allow: Vec<String>,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub store: String,
}

/// One keeper.
#[derive(Clone, PartialEq, Message)]
pub struct KeeperDoc {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Durations of leases and of membership, and the bound on clock drift.
#[derive(Clone, PartialEq, Message)]
pub struct TermsDoc {
    #[prost(uint64, tag = "1")]
    pub lease_ms: u64,
    #[prost(uint64, tag = "2")]
    pub membership_ms: u64,
    #[prost(uint64, tag = "3")]
    pub drift_ppm: u64,
}

/// One budget; `what` determines whether `held` or `rate` must be set.
#[derive(Clone, PartialEq, Message)]
pub struct BudgetDoc {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(int32, tag = "2")]
    pub what: i32,
    #[prost(string, tag = "3")]
    pub class: String,
    #[prost(message, optional, tag = "4")]
    pub held: Option<HeldDoc>,
    #[prost(message, optional, tag = "5")]
    pub rate: Option<RateDoc>,
    #[prost(uint64, tag = "6")]
    pub floor: u64,
}

/// Units that are acquired, held and released.
#[derive(Clone, PartialEq, Message)]
pub struct HeldDoc {
    #[prost(uint64, tag = "1")]
    pub units: u64,
    #[prost(uint64, tag = "2")]
    pub outlives_ms: u64,
}

/// Units that are spent at a rate.
#[derive(Clone, PartialEq, Message)]
pub struct RateDoc {
    #[prost(uint64, tag = "1")]
    pub per_second: u64,
    #[prost(uint64, tag = "2")]
    pub burst: u64,
}
