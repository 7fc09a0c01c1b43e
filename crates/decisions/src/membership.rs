//! Who belongs to the fleet: the same table at every keeper, changed only by the entries of the agreed log.
//!
//! Deterministic: no clock, no chance. Time comes in with each entry as what the leader's own clock counted since the
//! entry before, or since it became leader, so that log time never runs ahead of any clock by more than the bound on
//! drift, and stands still while nobody leads. A seat is held by an incarnation, not by a name: whoever starts again is
//! somebody else, and what the one before held counts as held until it must have ended.

use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;

/// Longest name of an instance, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most seats: what the log and its snapshot must bear.
pub const MAX_SESSIONS: usize = 4_096;

/// How long what was agreed holds, all in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct LeaseTerms {
    /// A share may be used for so long after its holder asked for it, by the holder's clock.
    #[prost(uint64, tag = "1")]
    pub lease_us: u64,
    /// A floor may be used, and a seat is kept, for so long after its holder last asked.
    #[prost(uint64, tag = "2")]
    pub membership_us: u64,
    /// Any two clocks run at rates that differ from the true one by at most this, in millionths.
    #[prost(uint64, tag = "3")]
    pub drift_ppm: u64,
}

impl LeaseTerms {
    /// What a span on one clock may take at most on another, both within the bound on drift: rounded up.
    pub fn with_drift_margin(&self, span: u64) -> u64 {
        if is_injected(Fault::NoDriftMargin) {
            return span;
        }
        let drift = u128::from(self.drift_ppm.min(500_000));
        let (num, den) = (1_000_000 + drift, 1_000_000 - drift);
        u64::try_from((u128::from(span) * num).div_ceil(den)).unwrap_or(u64::MAX)
    }
}

/// One instance in the table.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Session {
    /// Which start of the instance holds it.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Since when, in log time.
    #[prost(uint64, tag = "2")]
    pub joined_at: u64,
    /// When it last asked, in log time.
    #[prost(uint64, tag = "3")]
    pub last_request_at: u64,
    /// The number of its last request that was taken.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// Its version, as it says.
    #[prost(string, tag = "5")]
    pub version: String,
    /// Its zone, as it says.
    #[prost(string, tag = "6")]
    pub zone: String,
}

/// Why an instance was not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionRejected {
    /// The name is empty or too long.
    InvalidName,
    /// A later start of the same name holds the seat.
    Superseded,
    /// Somebody of the same name holds the seat, and whoever asks gives way to it.
    NameInUse,
    /// Another name has this incarnation.
    DuplicateIncarnation,
    /// The request is not newer than one already taken.
    StaleRequest,
    /// There are as many seats as may be.
    TableFull,
}

impl SessionRejected {
    /// The reason as keepers write it to proxies and into their log. Proxies of other versions read these words, so they
    /// keep their form whatever the variants are called.
    pub fn wire_reason(self) -> &'static str {
        match self {
            SessionRejected::InvalidName => "Name",
            SessionRejected::Superseded => "Superseded",
            SessionRejected::NameInUse => "Taken",
            SessionRejected::DuplicateIncarnation => "Twice",
            SessionRejected::StaleRequest => "Old",
            SessionRejected::TableFull => "Full",
        }
    }
}

/// The table.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Membership {
    /// Log time, in microseconds.
    #[prost(uint64, tag = "1")]
    pub now: u64,
    /// The seats by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub sessions: BTreeMap<String, Session>,
    /// Incarnations that were followed by another of their name or taken off, with their order. A process that was
    /// stopped and goes on after hours still speaks for one of them.
    #[prost(btree_map = "uint64, uint64", tag = "3")]
    pub retired: BTreeMap<u64, u64>,
    /// The order of the next one.
    #[prost(uint64, tag = "4")]
    pub next_retirement: u64,
}

impl Membership {
    /// Time went on by `elapsed` on the leader's clock.
    pub fn advance(&mut self, elapsed: u64) {
        self.now = self.now.saturating_add(elapsed);
    }

    /// This incarnation holds a seat no more, and never will again.
    pub fn retire(&mut self, incarnation: u64) {
        self.retired.insert(incarnation, self.next_retirement);
        self.next_retirement += 1;
        while self.retired.len() > MAX_SESSIONS {
            let Some(first) = self.retired.iter().min_by_key(|(_, order)| **order).map(|(i, _)| *i) else {
                return;
            };
            self.retired.remove(&first);
        }
    }

    /// An instance asks for the `seq`-th time. True if it is a new incarnation; one that gives way takes a seat only from
    /// whoever was silent for that span.
    pub fn open_or_renew(
        &mut self, name: &str, incarnation: u64, seq: u64, silent: Option<u64>,
    ) -> Result<bool, SessionRejected> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(SessionRejected::InvalidName);
        }
        if self.retired.contains_key(&incarnation) {
            return Err(SessionRejected::Superseded);
        }
        let (now, room) = (self.now, self.sessions.len() < MAX_SESSIONS);
        let held = self.sessions.iter().find(|(other, s)| s.incarnation == incarnation && *other != name);
        if held.is_some() {
            return Err(SessionRejected::DuplicateIncarnation);
        }
        match self.sessions.get_mut(name) {
            Some(seat) if seat.incarnation == incarnation => {
                if seq <= seat.seq {
                    return Err(SessionRejected::StaleRequest);
                }
                (seat.seq, seat.last_request_at) = (seq, now);
                Ok(false)
            }
            Some(seat) if silent.is_some_and(|span| now <= seat.last_request_at.saturating_add(span)) => {
                Err(SessionRejected::NameInUse)
            }
            Some(seat) => {
                let before = seat.incarnation;
                *seat =
                    Session { incarnation, joined_at: now, last_request_at: now, seq, ..Session::default() };
                self.retire(before);
                Ok(true)
            }
            None if room => {
                let seat =
                    Session { incarnation, joined_at: now, last_request_at: now, seq, ..Session::default() };
                self.sessions.insert(name.to_string(), seat);
                Ok(true)
            }
            None => Err(SessionRejected::TableFull),
        }
    }

    /// Whether an instance was heard of within `span`.
    pub fn is_live_within(&self, name: &str, span: u64) -> bool {
        self.sessions.get(name).is_some_and(|s| self.now <= s.last_request_at.saturating_add(span))
    }
}
