//! Voluntary disruption: which subjects are unavailable, for which cause and under which permit. Over all instances, no
//! permit may exceed the limits that operators set, unless it is forced.
//!
//! Every unavailable subject counts towards the limits, whatever the cause, and so does every subject with a permit.
//! Permits are granted only through the replicated log. A permit remains in force if its requester fails: it ends once
//! the subject has returned to service (a member's only after its return was requested), or when operators remove the
//! subject. A member with a permit is quarantined at all proxies: the permit is confirmed once each proxy has reported
//! that it sends nothing new to the member, has lost its session and therefore serves no clients, or can hold no grant
//! from before the permit.

mod liveness;
mod record;
pub mod reporter;
pub mod table;

use std::collections::BTreeMap;

/// Most proxies and members in the table.
pub const MAX_SUBJECTS: usize = 8_192;
/// Longest key of a subject, in bytes.
pub const MAX_TEXT_BYTES: usize = 160;

/// Prefix of the keys of proxies.
const PROXY_PREFIX: &str = "proxy/";
/// Prefix of the keys of members.
const MEMBER_PREFIX: &str = "member/";

/// The most subjects of a set that may be unavailable at once: the smaller of both bounds if both are set, unlimited if
/// neither is.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct DisruptionLimit {
    /// A number of subjects.
    #[prost(uint64, optional, tag = "1")]
    pub count: Option<u64>,
    /// A percentage of the set, rounded down.
    #[prost(uint64, optional, tag = "2")]
    pub percent: Option<u64>,
}

impl DisruptionLimit {
    /// The most subjects that may be unavailable in a set of `total`.
    pub fn max_unavailable(&self, total: u64) -> u64 {
        let by_percent =
            self.percent.map_or(u64::MAX, |percent| total.saturating_mul(percent.min(100)) / 100);
        self.count.unwrap_or(u64::MAX).min(by_percent)
    }
}

/// The limits that operators set.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct DisruptionPolicy {
    /// Limit on unavailable proxies in the whole fleet.
    #[prost(message, required, tag = "1")]
    pub fleet: DisruptionLimit,
    /// Limit on unavailable proxies in each zone.
    #[prost(message, required, tag = "2")]
    pub zone: DisruptionLimit,
    /// Fewest proxies of the fleet that must stay in service.
    #[prost(uint64, tag = "3")]
    pub min_in_service: u64,
    /// Limit on unavailable members in each group.
    #[prost(message, required, tag = "4")]
    pub group: DisruptionLimit,
    /// Fewest members of a group that must stay in service.
    #[prost(uint64, tag = "5")]
    pub group_min_in_service: u64,
}

/// Whether a subject is in service, or the cause of its unavailability. Stored and sent as the number of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ::prost::Enumeration)]
#[repr(i32)]
pub enum Availability {
    /// The subject is in service.
    InService = 0,
    /// The proxy is draining or standing by, or it is in service and has a permit.
    Standby = 1,
    /// The proxy is stopping.
    Stopping = 2,
    /// The keepers have accepted no request of the proxy for a lease.
    NoHeartbeat = 3,
    /// Discovery lists the member as draining, or no longer lists it.
    Delisted = 4,
    /// Operators took the member out of service, or it is in service and has a permit.
    OperatorBan = 5,
    /// The member does not answer.
    Unresponsive = 6,
    /// The member was started recently.
    WarmingUp = 7,
    /// No recent endpoint list has named the member.
    Removed = 8,
}

impl Availability {
    /// The text shown to operators.
    pub fn label(self) -> &'static str {
        match self {
            Availability::InService => "in service",
            Availability::Standby => "standing by",
            Availability::Stopping => "stopping",
            Availability::NoHeartbeat => "not heard of",
            Availability::Delisted => "drained by discovery",
            Availability::OperatorBan => "taken out by hand",
            Availability::Unresponsive => "not answering",
            Availability::WarmingUp => "cold",
            Availability::Removed => "gone",
        }
    }

    /// Whether the report of one proxy makes a member unavailable. [`Availability::Unresponsive`] requires the reports
    /// of at least half of the live proxies: if fewer cannot reach the member, the fault lies between them and the
    /// member.
    fn one_report_suffices(self) -> bool {
        matches!(
            self,
            Availability::Delisted
                | Availability::OperatorBan
                | Availability::WarmingUp
                | Availability::Removed
        )
    }
}

/// A proxy or member that can be taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A proxy, by its name.
    Proxy(String),
    /// A member, by its id in the endpoint list.
    Member(String),
}

impl Subject {
    /// The subject's key in the table: `proxy/NAME` or `member/ID`.
    pub fn key(&self) -> String {
        match self {
            Subject::Proxy(name) => format!("{PROXY_PREFIX}{name}"),
            Subject::Member(id) => format!("{MEMBER_PREFIX}{id}"),
        }
    }

    /// Parses a key; `None` if it is not of the form that [`Subject::key`] returns.
    pub fn from_key(key: &str) -> Option<Subject> {
        if let Some(name) = proxy_name(key) {
            return Some(Subject::Proxy(name.to_string()));
        }
        member_id(key).map(|id| Subject::Member(id.to_string()))
    }
}

/// The name in the key of a proxy; `None` for other keys.
fn proxy_name(key: &str) -> Option<&str> {
    key.strip_prefix(PROXY_PREFIX)
}

/// The id in the key of a member; `None` for other keys.
fn member_id(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBER_PREFIX)
}

/// A proxy's observation of a member.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct HealthObservation {
    /// The member's group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// The member's [`Availability`], as the number of the variant.
    #[prost(enumeration = "Availability", tag = "2")]
    pub availability: i32,
    /// The proxy considers the member the primary of its group.
    #[prost(bool, tag = "3")]
    pub is_primary: bool,
}

/// The report that a proxy sends with each request to the keepers.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct HealthReport {
    /// The proxy's own [`Availability`], as the number of the variant.
    #[prost(enumeration = "Availability", tag = "1")]
    pub own_availability: i32,
    /// Observations that differ from the last acknowledged ones, by the member's id; the first of them if there are
    /// many.
    #[prost(btree_map = "string, message", tag = "2")]
    pub observations: BTreeMap<String, HealthObservation>,
    /// Highest edition of the quarantine that the proxy has applied.
    #[prost(uint64, tag = "3")]
    pub quarantine_edition: u64,
}

/// The members to which no proxy may send new requests. The edition numbers the states of this set; it is independent
/// of the revision of the operators' declaration and of software versions.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Quarantine {
    /// Number that increases with every change of the set, starting from 0.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// Ids of the members.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}
