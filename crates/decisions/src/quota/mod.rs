//! Budgets of the whole fleet, divided among its proxies and divided anew as they come and go.
//!
//! Two halves that never meet but through messages that may be late, lost, doubled or out of order: [`table`] is the
//! granters' half, the same at every keeper; [`holder`] is a proxy's. The sum never exceeds the whole, since
//!
//! - a holder counts a share from when it *asked*, the table from when the grant was agreed, which is later, and for the
//!   lease stretched by the bound on drift;
//! - the table counts for a holder the most of all grants that the holder may still go by: an older, larger one counts
//!   until the holder says that it goes by a newer one, or until it must have run out;
//! - what is in use counts beyond the lease, for as long as a unit can outlive it;
//! - a floor is set aside before it is told, and counts for as long as its own, longer lease.

pub mod leader_search;
pub mod lease_holder;
pub mod max_min_fair;
pub mod table;

use std::collections::BTreeMap;

/// Most budgets that can be declared.
pub const MAX_BUDGETS: usize = 64;
/// Most lines of the table: budgets, and those of which there is one for each of many things.
pub const MAX_BUDGET_ENTRIES: usize = 4_096;
/// Most that is kept of holders and lines together: what a snapshot must bear.
pub const MAX_ALLOCATIONS: usize = 131_072;
/// Most units that a holder can say it needs or uses: more is taken for this, so that sums stay sums.
pub const MAX_UNITS: u64 = 1 << 40;
/// Longest name of a line, in bytes.
pub const MAX_ENTRY_NAME_BYTES: usize = 160;

/// A budget: how much the whole fleet may use.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Budget {
    /// Units at once; for a rate thousandths of a unit a second.
    #[prost(uint64, tag = "1")]
    pub total: u64,
    /// What each proxy keeps without being granted it, out of the whole.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// A rate: units that may come at once, over the whole fleet. 0 for units that are held.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
    /// Held: how long a unit can outlive the lease under which it was begun, in microseconds.
    #[prost(uint64, tag = "4")]
    pub outlives_us: u64,
    /// There is one of it for each of many things, which holders name behind a slash: `links/m-1`.
    #[prost(bool, tag = "5")]
    pub per_key: bool,
}

impl Budget {
    /// Whether it is spent, and not held.
    pub fn is_rate(&self) -> bool {
        self.burst > 0
    }
}

/// Budgets by name.
pub type Budgets = BTreeMap<String, Budget>;

/// What a holder says of one budget.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct QuotaNeed {
    /// Units in use now; 0 for a rate.
    #[prost(uint64, tag = "1")]
    pub in_use: u64,
    /// Units it could use, in use or not.
    #[prost(uint64, tag = "2")]
    pub demand: u64,
}

/// A holder's request: renews its seat and its shares, and says what it needs.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaRequest {
    /// Its number, from 1 on.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The number of the grant that it goes by; it goes by no older one any more. 0 for none.
    #[prost(uint64, tag = "2")]
    pub acked: u64,
    /// Its needs by budget.
    #[prost(btree_map = "string, message", tag = "3")]
    pub needs: BTreeMap<String, QuotaNeed>,
    /// Another process had its name: it wants the seat only if whoever has it is silent.
    #[prost(bool, tag = "4")]
    pub yields_name: bool,
}

/// A share of one budget.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Quota {
    /// Units until the lease is over.
    #[prost(uint64, tag = "1")]
    pub units: u64,
    /// Units after that, until the membership is over.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// A rate's part of the burst, in thousandths of a unit.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
    /// The same of the floor.
    #[prost(uint64, tag = "4")]
    pub floor_burst: u64,
    /// Whether it is a rate.
    #[prost(bool, tag = "5")]
    pub is_rate: bool,
}

/// The answer to a request.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Grant {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The lease that counts from when the request was sent, in microseconds on the holder's clock.
    #[prost(uint64, tag = "2")]
    pub lease_us: u64,
    /// The membership that counts from then.
    #[prost(uint64, tag = "3")]
    pub membership_us: u64,
    /// The bound on drift.
    #[prost(uint64, tag = "4")]
    pub drift_ppm: u64,
    /// The shares by budget; of others it has none.
    #[prost(btree_map = "string, message", tag = "5")]
    pub quotas: BTreeMap<String, Quota>,
}
