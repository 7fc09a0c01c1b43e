//! Who is out, why, and by whose permit: never more at once than the operators allow, over all instances together.
//!
//! Everything that is out counts, whatever the cause. A permit is given by the agreed log or not at all; whoever holds it
//! may die, and it counts until the thing is back and seen healthy, or operators say otherwise: absence is not release.
//! A member that is out is out for all proxies: each has confirmed that it sends nothing more there, or holds no seat any
//! more and so serves nothing, before whoever asked hears yes.

pub mod reporter;
pub mod table;

/// Most things that are known: proxies and members.
pub const MAX_SUBJECTS: usize = 8_192;
/// Longest name of a thing and longest reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 160;

/// The most that may be out of something; the smaller one where both are told, and no bound where neither is.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct DisruptionLimit {
    /// So many.
    #[prost(uint64, optional, tag = "1")]
    pub count: Option<u64>,
    /// So many of a hundred, rounded down.
    #[prost(uint64, optional, tag = "2")]
    pub percent: Option<u64>,
}

impl DisruptionLimit {
    /// The most of `all`.
    pub fn max_out_of(&self, all: u64) -> u64 {
        let share = self.percent.map_or(u64::MAX, |p| all.saturating_mul(p.min(100)) / 100);
        self.count.unwrap_or(u64::MAX).min(share)
    }
}

/// What operators allow.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct DisruptionPolicy {
    /// Proxies out at once, of the whole fleet.
    #[prost(message, required, tag = "1")]
    pub fleet: DisruptionLimit,
    /// Proxies out at once, in each zone.
    #[prost(message, required, tag = "2")]
    pub zone: DisruptionLimit,
    /// Proxies that stay in service at least.
    #[prost(uint64, tag = "3")]
    pub min_in_service: u64,
    /// Members out at once, in each group.
    #[prost(message, required, tag = "4")]
    pub group: DisruptionLimit,
    /// Members of a group that stay in service at least.
    #[prost(uint64, tag = "5")]
    pub group_min_in_service: u64,
}

/// Why something is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ::prost::Enumeration)]
#[repr(i32)]
pub enum Availability {
    /// It is not.
    InService = 0,
    /// A proxy drains or stands by.
    Standby = 1,
    /// A proxy stops.
    Stopping = 2,
    /// A proxy is not heard of.
    NoHeartbeat = 3,
    /// Discovery says that a member drains or is gone.
    Delisted = 4,
    /// Operators took a member out by hand.
    OperatorBan = 5,
    /// A member does not answer.
    Unresponsive = 6,
    /// A member was started lately.
    WarmingUp = 7,
    /// No list has named a member for so long that it is no more.
    Removed = 8,
}

impl Availability {
    /// In the operators' words.
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

    /// What one proxy says is so, whoever else sees it; an illness that only a few see is theirs.
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

/// What can be out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A proxy by name.
    Proxy(String),
    /// A member by its id in the list.
    Member(String),
}

impl Subject {
    /// Its key in the table.
    pub fn key(&self) -> String {
        match self {
            Subject::Proxy(name) => format!("proxy/{name}"),
            Subject::Member(name) => format!("member/{name}"),
        }
    }

    /// The thing of a key.
    pub fn from_key(key: &str) -> Option<Subject> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "proxy" => Some(Subject::Proxy(name.to_string())),
            "member" => Some(Subject::Member(name.to_string())),
            _ => None,
        }
    }
}

/// How a proxy sees a member.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct HealthObservation {
    /// Its group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// [`Availability`].
    #[prost(enumeration = "Availability", tag = "2")]
    pub availability: i32,
    /// It is its group's primary, as far as is known.
    #[prost(bool, tag = "3")]
    pub is_primary: bool,
}

/// What a proxy says with each request to the keepers.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct HealthReport {
    /// How it is itself: [`Availability`].
    #[prost(enumeration = "Availability", tag = "1")]
    pub own_availability: i32,
    /// Members that it sees otherwise than it said last, by id.
    #[prost(btree_map = "string, message", tag = "2")]
    pub observations: std::collections::BTreeMap<String, HealthObservation>,
    /// The edition of what is fenced off that it goes by.
    #[prost(uint64, tag = "3")]
    pub quarantine_edition: u64,
}

/// Members to which nothing new may be sent, by any proxy.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Quarantine {
    /// Its edition.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The members' ids.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}
