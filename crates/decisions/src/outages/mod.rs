//! Who is out, why, and by whose permit: never more at once than the operators allow, over all instances together.
//!
//! Everything that is out counts, whatever the cause. A permit is given by the agreed log or not at all; whoever holds it
//! may die, and it counts until the thing is back and seen healthy, or operators say otherwise: absence is not release.
//! A member that is out is out for all proxies: each has confirmed that it sends nothing more there, or holds no seat any
//! more and so serves nothing, before whoever asked hears yes.

pub mod reporter;
pub mod table;

/// Most things that are known: proxies and members.
pub const THINGS_MOST: usize = 8_192;
/// Longest name of a thing and longest reason, in bytes.
pub const WORDS_MOST: usize = 160;

/// The most that may be out of something; the smaller one where both are told, and no bound where neither is.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct Cap {
    /// So many.
    #[prost(uint64, optional, tag = "1")]
    pub count: Option<u64>,
    /// So many of a hundred, rounded down.
    #[prost(uint64, optional, tag = "2")]
    pub percent: Option<u64>,
}

impl Cap {
    /// The most of `all`.
    pub fn of(&self, all: u64) -> u64 {
        let share = self.percent.map_or(u64::MAX, |p| all.saturating_mul(p.min(100)) / 100);
        self.count.unwrap_or(u64::MAX).min(share)
    }
}

/// What operators allow.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct Limits {
    /// Proxies out at once, of the whole fleet.
    #[prost(message, required, tag = "1")]
    pub fleet: Cap,
    /// Proxies out at once, in each zone.
    #[prost(message, required, tag = "2")]
    pub zone: Cap,
    /// Proxies that stay in service at least.
    #[prost(uint64, tag = "3")]
    pub least: u64,
    /// Members out at once, in each group.
    #[prost(message, required, tag = "4")]
    pub group: Cap,
    /// Members of a group that stay in service at least.
    #[prost(uint64, tag = "5")]
    pub group_least: u64,
}

/// Why something is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ::prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// It is not.
    InService = 0,
    /// A proxy drains or stands by.
    Standby = 1,
    /// A proxy stops.
    Stopping = 2,
    /// A proxy is not heard of.
    Silent = 3,
    /// Discovery says that a member drains or is gone.
    Listed = 4,
    /// Operators took a member out by hand.
    Banned = 5,
    /// A member does not answer.
    Ill = 6,
    /// A member was started lately.
    Cold = 7,
    /// No list has named a member for so long that it is no more.
    Gone = 8,
}

impl Cause {
    /// In the operators' words.
    pub fn word(self) -> &'static str {
        match self {
            Cause::InService => "in service",
            Cause::Standby => "standing by",
            Cause::Stopping => "stopping",
            Cause::Silent => "not heard of",
            Cause::Listed => "drained by discovery",
            Cause::Banned => "taken out by hand",
            Cause::Ill => "not answering",
            Cause::Cold => "cold",
            Cause::Gone => "gone",
        }
    }

    /// What one proxy says is so, whoever else sees it; an illness that only a few see is theirs.
    fn is_fact(self) -> bool {
        matches!(self, Cause::Listed | Cause::Banned | Cause::Cold | Cause::Gone)
    }
}

/// What can be out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Thing {
    /// A proxy by name.
    Proxy(String),
    /// A member by its id in the list.
    Member(String),
}

impl Thing {
    /// Its key in the table.
    pub fn key(&self) -> String {
        match self {
            Thing::Proxy(name) => format!("proxy/{name}"),
            Thing::Member(name) => format!("member/{name}"),
        }
    }

    /// The thing of a key.
    pub fn of(key: &str) -> Option<Thing> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "proxy" => Some(Thing::Proxy(name.to_string())),
            "member" => Some(Thing::Member(name.to_string())),
            _ => None,
        }
    }
}

/// How a proxy sees a member.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Sight {
    /// Its group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// [`Cause`].
    #[prost(enumeration = "Cause", tag = "2")]
    pub cause: i32,
    /// It is its group's primary, as far as is known.
    #[prost(bool, tag = "3")]
    pub primary: bool,
}

/// What a proxy says with each request to the keepers.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Report {
    /// How it is itself: [`Cause`].
    #[prost(enumeration = "Cause", tag = "1")]
    pub own: i32,
    /// Members that it sees otherwise than it said last, by id.
    #[prost(btree_map = "string, message", tag = "2")]
    pub sights: std::collections::BTreeMap<String, Sight>,
    /// The edition of what is fenced off that it goes by.
    #[prost(uint64, tag = "3")]
    pub fenced: u64,
}

/// Members to which nothing new may be sent, by any proxy.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
pub struct Fence {
    /// Its edition.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The members' ids.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
}
