//! The sessions of the fleet's instances: a table that is replicated at every keeper and changed only by entries of the
//! replicated log.
//!
//! The table must be deterministic: it reads no clock and draws no random numbers. Log time advances with each entry,
//! by the time that the leader measured since its previous entry or since it became leader. Log time therefore never
//! runs ahead of any clock by more than the bound on drift, and does not advance while there is no leader.
//!
//! A session belongs to an incarnation (one start of a process), not to a name. A restarted process is a new
//! incarnation, and the grants of the previous one stay committed until they must have expired.

use crate::fault_injection::{Fault, is_injected};
use std::collections::BTreeMap;
use std::fmt;

/// Longest name of an instance, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most sessions at once, and most retired incarnations that are kept. Bounds the size of the log's snapshot.
pub const MAX_SESSIONS: usize = 4_096;

/// One million, the denominator of [`LeaseTerms::drift_ppm`].
pub(crate) const PARTS_PER_MILLION: u128 = 1_000_000;
/// Upper bound on the drift used for margins: towards 100 % a stretched span grows without limit.
const MAX_DRIFT_PPM: u64 = 500_000;

/// The duration of grants and sessions, and the bound on clock drift.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct LeaseTerms {
    /// A quota may be used for this long after its holder sent the request. Microseconds on the holder's clock.
    #[prost(uint64, tag = "1")]
    pub lease_us: u64,
    /// A floor may be used for this long after its holder sent the request. Microseconds on the holder's clock. A
    /// session is kept for at least this long after its last request.
    #[prost(uint64, tag = "2")]
    pub membership_us: u64,
    /// Largest deviation of any clock's rate from true time, in millionths.
    #[prost(uint64, tag = "3")]
    pub drift_ppm: u64,
}

impl LeaseTerms {
    /// The longest time in microseconds that another clock can measure while one clock measures `span`, if both keep
    /// the bound on drift. Rounded up; a bound above 50 % counts as 50 %.
    pub fn with_drift_margin(&self, span: u64) -> u64 {
        if is_injected(Fault::NoDriftMargin) {
            return span;
        }
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let stretched = u128::from(span) * (PARTS_PER_MILLION + drift);
        u64::try_from(stretched.div_ceil(PARTS_PER_MILLION - drift)).unwrap_or(u64::MAX)
    }
}

/// The session of one instance.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ProxySession {
    /// The incarnation that holds the session.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// When this incarnation joined. Microseconds of log time.
    #[prost(uint64, tag = "2")]
    pub joined_at: u64,
    /// When the last request was accepted. Microseconds of log time.
    #[prost(uint64, tag = "3")]
    pub last_request_at: u64,
    /// Sequence number of the last accepted request.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// Version reported by the incarnation when it joined.
    #[prost(string, tag = "5")]
    pub version: String,
    /// Zone reported by the incarnation when it joined.
    #[prost(string, tag = "6")]
    pub zone: String,
}

impl ProxySession {
    fn opened(incarnation: u64, seq: u64, now: u64) -> ProxySession {
        ProxySession { incarnation, joined_at: now, last_request_at: now, seq, ..ProxySession::default() }
    }
}

/// How an accepted request changed the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionUpdate {
    /// A new incarnation joined, under a new name or replacing the previous incarnation.
    Opened,
    /// The incarnation that holds the session renewed it.
    Renewed,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionRejected {
    /// The name is empty or longer than [`MAX_NAME_BYTES`].
    InvalidName,
    /// A later incarnation replaced this one, or operators removed it.
    Superseded,
    /// Another incarnation holds the name and has sent a request recently, and this request yields the name to it.
    NameInUse,
    /// The incarnation already holds a session under another name.
    DuplicateIncarnation,
    /// The sequence number is not higher than that of the last accepted request.
    StaleRequest,
    /// All [`MAX_SESSIONS`] sessions are in use.
    TableFull,
}

impl SessionRejected {
    /// The reason as keepers send it to proxies and log it. Proxies of other versions parse these texts, so they must
    /// not change with the names of the variants.
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

// Keepers send these texts to proxies, so they must not change (`docs/OUTER-NAMES.txt`).
impl fmt::Display for SessionRejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SessionRejected::InvalidName => "the name is empty or too long",
            SessionRejected::Superseded => "a later incarnation replaced this one, or operators removed it",
            SessionRejected::NameInUse => "another incarnation of this name is live",
            SessionRejected::DuplicateIncarnation => "the incarnation holds a session under another name",
            SessionRejected::StaleRequest => "a request of the same or a higher number was accepted before",
            SessionRejected::TableFull => "there are as many sessions as the keepers can hold",
        })
    }
}

impl std::error::Error for SessionRejected {}

/// All sessions of the fleet, and log time.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Membership {
    /// Log time, in microseconds.
    #[prost(uint64, tag = "1")]
    pub now: u64,
    /// Sessions by the name of the instance.
    #[prost(btree_map = "string, message", tag = "2")]
    pub sessions: BTreeMap<String, ProxySession>,
    /// Incarnations that were replaced or removed, with the number of the retirement. Their requests are rejected,
    /// since a process may resume as one of them after hours of suspension. Only the newest [`MAX_SESSIONS`] are kept;
    /// an evicted incarnation counts as new.
    #[prost(btree_map = "uint64, uint64", tag = "3")]
    pub retired: BTreeMap<u64, u64>,
    /// Number of the next retirement.
    #[prost(uint64, tag = "4")]
    pub next_retirement: u64,
}

impl Membership {
    /// Advances log time by `elapsed` microseconds of the leader's clock.
    pub fn advance(&mut self, elapsed: u64) {
        self.now = self.now.saturating_add(elapsed);
    }

    /// Retires an incarnation: its requests are rejected while it is among the newest [`MAX_SESSIONS`] retired ones.
    pub fn retire(&mut self, incarnation: u64) {
        self.retired.insert(incarnation, self.next_retirement);
        self.next_retirement += 1;
        while self.retired.len() > MAX_SESSIONS {
            let oldest = self.retired.iter().min_by_key(|(_, order)| **order).map(|(i, _)| *i);
            let Some(oldest) = oldest else { return };
            self.retired.remove(&oldest);
        }
    }

    /// Opens or renews the session of `name` for a request with the sequence number `seq`.
    ///
    /// With `takeover_after`, a new incarnation replaces the one that holds the name only if the holder's last request
    /// is older than this many microseconds of log time. With `None`, a new incarnation replaces the holder at once.
    ///
    /// # Errors
    ///
    /// [`SessionRejected`] if the request is not accepted; the table is unchanged.
    pub fn open_or_renew(
        &mut self, name: &str, incarnation: u64, seq: u64, takeover_after: Option<u64>,
    ) -> Result<SessionUpdate, SessionRejected> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(SessionRejected::InvalidName);
        }
        if self.retired.contains_key(&incarnation) {
            return Err(SessionRejected::Superseded);
        }
        if self.sessions.iter().any(|(other, s)| s.incarnation == incarnation && other != name) {
            return Err(SessionRejected::DuplicateIncarnation);
        }
        let now = self.now;
        let is_full = self.sessions.len() >= MAX_SESSIONS;
        let Some(session) = self.sessions.get_mut(name) else {
            if is_full {
                return Err(SessionRejected::TableFull);
            }
            self.sessions.insert(name.to_string(), ProxySession::opened(incarnation, seq, now));
            return Ok(SessionUpdate::Opened);
        };
        if session.incarnation == incarnation {
            if seq <= session.seq {
                return Err(SessionRejected::StaleRequest);
            }
            session.seq = seq;
            session.last_request_at = now;
            return Ok(SessionUpdate::Renewed);
        }
        if takeover_after.is_some_and(|span| now <= session.last_request_at.saturating_add(span)) {
            return Err(SessionRejected::NameInUse);
        }
        let predecessor = session.incarnation;
        *session = ProxySession::opened(incarnation, seq, now);
        self.retire(predecessor);
        Ok(SessionUpdate::Opened)
    }

    /// Whether the instance `name` has a session whose last request is at most `span` microseconds old.
    pub fn is_live_within(&self, name: &str, span: u64) -> bool {
        self.sessions.get(name).is_some_and(|s| self.now <= s.last_request_at.saturating_add(span))
    }

    /// The incarnations that hold a session, ordered by the names of their instances.
    pub fn incarnations(&self) -> impl Iterator<Item = u64> {
        self.sessions.values().map(|session| session.incarnation)
    }

    /// Whether `incarnation` holds the session of `name`.
    pub fn is_held_by(&self, name: &str, incarnation: u64) -> bool {
        self.sessions.get(name).is_some_and(|session| session.incarnation == incarnation)
    }
}
