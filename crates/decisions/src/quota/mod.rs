//! Fleet-wide budgets that are divided among the proxies, and divided again when proxies join or leave.
//!
//! [`table`] is the granter's side, replicated at every keeper; [`lease_holder`] is the proxy's side. They communicate
//! only by messages, which may be delayed, lost, duplicated or reordered. The units in use over all proxies must never
//! exceed a budget's total, unless operators lower the total below the units already committed. This holds because
//!
//! - a holder counts its lease from when it *sent* the request; the table counts it from when the grant was committed,
//!   which is later, and extends it by the bound on clock drift;
//! - the table commits to a holder the largest of all grants that the holder may still use: an older, larger grant is
//!   committed until the holder reports that it applied a newer one, or until the older one must have expired;
//! - units in use stay committed beyond the lease, for as long as a unit can stay in use after the lease;
//! - a floor is committed before the holder receives it, and until the membership expires rather than the lease.

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
/// Most entries of the table: one per budget, or one per key of a budget that is per key.
pub const MAX_BUDGET_ENTRIES: usize = 4_096;
/// Most allocations over all entries. Bounds the size of the log's snapshot.
pub const MAX_ALLOCATIONS: usize = 131_072;
/// Most units that a holder can report as demand or in use. Larger values are clamped, so that sums do not overflow.
pub const MAX_UNITS: u64 = 1 << 40;
/// Longest name of an entry, in bytes.
pub const MAX_ENTRY_NAME_BYTES: usize = 160;

/// Microseconds in a second.
const MICROS_PER_SECOND: u128 = 1_000_000;

/// The units of one resource that the whole fleet may use.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Budget {
    /// Units that may be in use at once; for a rate, thousandths of a unit per second.
    #[prost(uint64, tag = "1")]
    pub total: u64,
    /// Units of the total that each proxy may still use after its lease has expired, until the membership expires;
    /// fewer if the total does not suffice for all proxies.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Rates only: units that the whole fleet may spend at once. 0 for held units.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
    /// Held units only: longest time that a unit stays in use after the lease under which it was acquired.
    /// Microseconds.
    #[prost(uint64, tag = "4")]
    pub outlives_us: u64,
    /// The budget applies to each key separately. Holders append the key after a slash, as in `links/m-1`.
    #[prost(bool, tag = "5")]
    pub per_key: bool,
}

impl Budget {
    /// Whether units are spent at a rate rather than held and released.
    pub fn is_rate(&self) -> bool {
        self.burst > 0
    }
}

/// Budgets by name.
pub type Budgets = BTreeMap<String, Budget>;

/// The need of a holder for one budget.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct QuotaNeed {
    /// Units in use now; 0 for a rate.
    #[prost(uint64, tag = "1")]
    pub in_use: u64,
    /// Units that the holder could use, including those in use; for a rate, thousandths of a unit per second.
    #[prost(uint64, tag = "2")]
    pub demand: u64,
}

/// A holder's request: renews its session and quotas, and reports its needs.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct QuotaRequest {
    /// Sequence number, starting at 1.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Sequence number of the last grant that the holder applied; 0 for none. The holder applies no older grant.
    #[prost(uint64, tag = "2")]
    pub acked: u64,
    /// Needs by budget.
    #[prost(btree_map = "string, message", tag = "3")]
    pub needs: BTreeMap<String, QuotaNeed>,
    /// The holder's session was taken over or removed: the request takes over the session of another process only if
    /// that process has sent no request for a lease.
    #[prost(bool, tag = "4")]
    pub yields_name: bool,
}

/// A proxy's share of one budget.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Quota {
    /// Units until the lease expires; for a rate, thousandths of a unit per second.
    #[prost(uint64, tag = "1")]
    pub units: u64,
    /// Units after the lease, until the membership expires; for a rate, thousandths of a unit per second.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Rates only: the share of the burst for `units`, in thousandths of a unit.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
    /// Rates only: the share of the burst for `floor`, in thousandths of a unit.
    #[prost(uint64, tag = "4")]
    pub floor_burst: u64,
    /// Whether the budget is a rate.
    #[prost(bool, tag = "5")]
    pub is_rate: bool,
}

/// The answer to an accepted request.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Grant {
    /// Sequence number of the answered request.
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
    /// Quotas by budget. The holder has no units of a budget that is absent.
    #[prost(btree_map = "string, message", tag = "5")]
    pub quotas: BTreeMap<String, Quota>,
}
