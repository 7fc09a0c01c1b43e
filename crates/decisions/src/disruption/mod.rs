//! Voluntary disruption: who is unavailable, why, and by whose permit. Never may more subjects be unavailable by permit
//! than operators allow, over all instances together.
//!
//! Everything that is unavailable counts, whatever the cause. A permit is granted by the agreed log or not at all. Its
//! holder may die: the permit counts until the subject is back and seen in service, or until operators end it, since
//! absence is not release. A member that is out is quarantined at all proxies: before its permit is confirmed, each
//! proxy has reported that it sends nothing more there, or holds no session any more and so serves nobody.

mod liveness;
mod record;
pub mod reporter;
pub mod table;

use std::collections::BTreeMap;

/// Most subjects that are known: proxies and members.
pub const MAX_SUBJECTS: usize = 8_192;
/// Longest key of a subject, in bytes.
pub const MAX_TEXT_BYTES: usize = 160;

/// Prefix of the keys of proxies.
const PROXY_PREFIX: &str = "proxy/";
/// Prefix of the keys of members.
const MEMBER_PREFIX: &str = "member/";

/// The most subjects of a set that may be unavailable at once: the smaller bound where both are given, no bound where
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
    /// The most subjects that may be unavailable of a set of `total`.
    pub fn max_out_of(&self, total: u64) -> u64 {
        let by_percent =
            self.percent.map_or(u64::MAX, |percent| total.saturating_mul(percent.min(100)) / 100);
        self.count.unwrap_or(u64::MAX).min(by_percent)
    }
}

/// The limits that operators set.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct DisruptionPolicy {
    /// Proxies that may be unavailable at once in the whole fleet.
    #[prost(message, required, tag = "1")]
    pub fleet: DisruptionLimit,
    /// Proxies that may be unavailable at once in each zone.
    #[prost(message, required, tag = "2")]
    pub zone: DisruptionLimit,
    /// Fewest proxies that must stay in service.
    #[prost(uint64, tag = "3")]
    pub min_in_service: u64,
    /// Members that may be unavailable at once in each group.
    #[prost(message, required, tag = "4")]
    pub group: DisruptionLimit,
    /// Fewest members of a group that must stay in service.
    #[prost(uint64, tag = "5")]
    pub group_min_in_service: u64,
}

/// Whether a subject is in service, and why not. Stored and sent as its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ::prost::Enumeration)]
#[repr(i32)]
pub enum Availability {
    /// It is in service.
    InService = 0,
    /// A proxy drains or stands by.
    Standby = 1,
    /// A proxy is stopping.
    Stopping = 2,
    /// A proxy sends no requests to the keepers.
    NoHeartbeat = 3,
    /// Discovery lists a member as draining, or no longer.
    Delisted = 4,
    /// Operators took a member out.
    OperatorBan = 5,
    /// A member does not answer.
    Unresponsive = 6,
    /// A member was started recently.
    WarmingUp = 7,
    /// No endpoint list has named a member for so long that it no longer exists.
    Removed = 8,
}

impl Availability {
    /// The text that operators read.
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

    /// Whether the report of one proxy is enough. A member that few proxies find unresponsive is in service: the fault
    /// is between them and the member.
    fn is_fact(self) -> bool {
        matches!(
            self,
            Availability::Delisted
                | Availability::OperatorBan
                | Availability::WarmingUp
                | Availability::Removed
        )
    }
}

/// What can be taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A proxy, by its name.
    Proxy(String),
    /// A member, by its id in the endpoint list.
    Member(String),
}

impl Subject {
    /// The key under which the table stores the subject: `proxy/NAME` or `member/ID`.
    pub fn key(&self) -> String {
        match self {
            Subject::Proxy(name) => format!("{PROXY_PREFIX}{name}"),
            Subject::Member(id) => format!("{MEMBER_PREFIX}{id}"),
        }
    }

    /// The subject that a key stands for; `None` for text that is not a key.
    pub fn from_key(key: &str) -> Option<Subject> {
        if let Some(name) = proxy_name(key) {
            return Some(Subject::Proxy(name.to_string()));
        }
        member_id(key).map(|id| Subject::Member(id.to_string()))
    }
}

/// The proxy's name in a key, if it is the key of a proxy.
fn proxy_name(key: &str) -> Option<&str> {
    key.strip_prefix(PROXY_PREFIX)
}

/// The member's id in a key, if it is the key of a member.
fn member_id(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBER_PREFIX)
}

/// What a proxy observes of a member.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct HealthObservation {
    /// The member's group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// Number of an [`Availability`].
    #[prost(enumeration = "Availability", tag = "2")]
    pub availability: i32,
    /// The proxy takes the member for the primary of its group.
    #[prost(bool, tag = "3")]
    pub is_primary: bool,
}

/// What a proxy reports with each request to the keepers.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct HealthReport {
    /// Number of the proxy's own [`Availability`].
    #[prost(enumeration = "Availability", tag = "1")]
    pub own_availability: i32,
    /// Members whose observation changed since it was last acknowledged, by id.
    #[prost(btree_map = "string, message", tag = "2")]
    pub observations: BTreeMap<String, HealthObservation>,
    /// Edition of the quarantine that the proxy applies.
    #[prost(uint64, tag = "3")]
    pub quarantine_edition: u64,
}

/// The members to which no proxy may send anything new.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Quarantine {
    /// Edition: it rises with every change.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// Ids of the members.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}
