//! Budgets of the whole fleet, divided among its proxies and divided anew as they come and go.
//!
//! [`table`] is the granter's half, the same at every keeper; [`lease_holder`] is a proxy's half. They share nothing but
//! messages, which may be late, lost, duplicated or out of order. The units in use over all proxies must never exceed a
//! budget's total. That holds because
//!
//! - a holder counts its lease from when it *sent* the request, and the table from when the grant was agreed, which is
//!   later, stretched by the bound on clock drift;
//! - the table commits to a holder the largest of all grants that the holder may still use: an older, larger grant counts
//!   until the holder reports that it applied a newer one, or until the older one must have expired;
//! - units in use count beyond the lease, for as long as a unit can outlive it;
//! - a floor is committed before the holder learns of it, and for its own, longer lease.

pub mod allocation;
mod division;
pub mod expiry;
pub mod leader_search;
pub mod lease_holder;
mod local_budget;
pub mod max_min_fair;
pub mod table;
mod token_bucket;

use std::collections::BTreeMap;

/// Most budgets that can be declared.
pub const MAX_BUDGETS: usize = 64;
/// Most entries of the table: budgets, and the entries of budgets that exist per key.
pub const MAX_BUDGET_ENTRIES: usize = 4_096;
/// Most allocations over all entries. It bounds the snapshot of the log.
pub const MAX_ALLOCATIONS: usize = 131_072;
/// Most units that a holder can report as need or use. Larger reports are cut to it, so that sums do not overflow.
pub const MAX_UNITS: u64 = 1 << 40;
/// Longest name of an entry, in bytes.
pub const MAX_ENTRY_NAME_BYTES: usize = 160;

/// Microseconds in a second.
const MICROS_PER_SECOND: u128 = 1_000_000;

/// How much of something the whole fleet may use.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Budget {
    /// Units that may be in use at once; for a rate, thousandths of a unit a second.
    #[prost(uint64, tag = "1")]
    pub total: u64,
    /// Units of the total that each proxy keeps for the whole membership, after its lease is over.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Rates only: units that may be spent at once, over the whole fleet. 0 for units that are held.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
    /// Held units only: how long a unit can outlive the lease under which it was acquired. Microseconds.
    #[prost(uint64, tag = "4")]
    pub outlives_us: u64,
    /// The budget exists once per key. Holders name the key after a slash, as in `links/m-1`.
    #[prost(bool, tag = "5")]
    pub per_key: bool,
}

impl Budget {
    /// Whether units are spent at a rate; otherwise they are held and released.
    pub fn is_rate(&self) -> bool {
        self.burst > 0
    }
}

/// Budgets by name.
pub type Budgets = BTreeMap<String, Budget>;

/// What a holder reports of one budget.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct QuotaNeed {
    /// Units in use now; 0 for a rate.
    #[prost(uint64, tag = "1")]
    pub in_use: u64,
    /// Units that it could use, including those in use.
    #[prost(uint64, tag = "2")]
    pub demand: u64,
}

/// A holder's request. It renews the session and the quotas, and reports what the holder needs.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaRequest {
    /// Number of the request, from 1 on.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Number of the grant that the holder applied last, 0 for none. It will never again apply an older one.
    #[prost(uint64, tag = "2")]
    pub acked: u64,
    /// Needs by budget.
    #[prost(btree_map = "string, message", tag = "3")]
    pub needs: BTreeMap<String, QuotaNeed>,
    /// Another process had the name: the request takes the session over only if that one is silent.
    #[prost(bool, tag = "4")]
    pub yields_name: bool,
}

/// A proxy's part of one budget.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Quota {
    /// Units until the lease is over; for a rate, thousandths of a unit a second.
    #[prost(uint64, tag = "1")]
    pub units: u64,
    /// Units after that, until the membership is over.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Rates only: the part of the burst that goes with `units`, in thousandths of a unit.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
    /// Rates only: the part of the burst that goes with `floor`, in thousandths of a unit.
    #[prost(uint64, tag = "4")]
    pub floor_burst: u64,
    /// Whether the budget is a rate.
    #[prost(bool, tag = "5")]
    pub is_rate: bool,
}

/// The answer to a request that was accepted.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Grant {
    /// Number of the request that it answers.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Length of the lease, from when the request was sent. Microseconds on the holder's clock.
    #[prost(uint64, tag = "2")]
    pub lease_us: u64,
    /// Length of the membership, from when the request was sent. Microseconds on the holder's clock.
    #[prost(uint64, tag = "3")]
    pub membership_us: u64,
    /// The bound on clock drift, in millionths.
    #[prost(uint64, tag = "4")]
    pub drift_ppm: u64,
    /// Quotas by budget. The holder has nothing of a budget that is missing here.
    #[prost(btree_map = "string, message", tag = "5")]
    pub quotas: BTreeMap<String, Quota>,
}
