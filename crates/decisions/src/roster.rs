//! Who belongs to the fleet: the same table at every keeper, changed only by the entries of the agreed log.
//!
//! Deterministic: no clock, no chance. Time comes in with each entry as what the leader's own clock counted since the
//! entry before, or since it became leader, so that log time never runs ahead of any clock by more than the bound on
//! drift, and stands still while nobody leads. A seat is held by an incarnation, not by a name: whoever starts again is
//! somebody else, and what the one before held counts as held until it must have ended.

use crate::planted::{Fault, planted};
use std::collections::BTreeMap;

/// Longest name of an instance, in bytes.
pub const NAME_MOST: usize = 64;
/// Most seats: what the log and its snapshot must bear.
pub const SEATS_MOST: usize = 4_096;

/// How long what was agreed holds, all in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct Terms {
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

impl Terms {
    /// What a span on one clock may take at most on another, both within the bound on drift: rounded up.
    pub fn stretched(&self, span: u64) -> u64 {
        if planted(Fault::NoDriftMargin) {
            return span;
        }
        let drift = u128::from(self.drift_ppm.min(500_000));
        let (num, den) = (1_000_000 + drift, 1_000_000 - drift);
        u64::try_from((u128::from(span) * num).div_ceil(den)).unwrap_or(u64::MAX)
    }
}

/// One instance in the table.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Seat {
    /// Which start of the instance holds it.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Since when, in log time.
    #[prost(uint64, tag = "2")]
    pub joined: u64,
    /// When it last asked, in log time.
    #[prost(uint64, tag = "3")]
    pub heard: u64,
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
pub enum Unseated {
    /// The name is empty or too long.
    Name,
    /// A later start of the same name holds the seat.
    Superseded,
    /// Somebody of the same name holds the seat, and whoever asks gives way to it.
    Taken,
    /// Another name has this incarnation.
    Twice,
    /// The request is not newer than one already taken.
    Old,
    /// There are as many seats as may be.
    Full,
}

/// The table.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Roster {
    /// Log time, in microseconds.
    #[prost(uint64, tag = "1")]
    pub now: u64,
    /// The seats by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub seats: BTreeMap<String, Seat>,
    /// Incarnations that were followed by another of their name or taken off, with their order. A process that was
    /// stopped and goes on after hours still speaks for one of them.
    #[prost(btree_map = "uint64, uint64", tag = "3")]
    pub past: BTreeMap<u64, u64>,
    /// The order of the next one.
    #[prost(uint64, tag = "4")]
    pub next_past: u64,
}

impl Roster {
    /// Time went on by `elapsed` on the leader's clock.
    pub fn pass(&mut self, elapsed: u64) {
        self.now = self.now.saturating_add(elapsed);
    }

    /// This incarnation holds a seat no more, and never will again.
    pub fn retire(&mut self, incarnation: u64) {
        self.past.insert(incarnation, self.next_past);
        self.next_past += 1;
        while self.past.len() > SEATS_MOST {
            let Some(first) = self.past.iter().min_by_key(|(_, order)| **order).map(|(i, _)| *i) else {
                return;
            };
            self.past.remove(&first);
        }
    }

    /// An instance asks for the `seq`-th time. True if it is a new incarnation; one that gives way takes a seat only from
    /// whoever was silent for that span.
    pub fn ask(
        &mut self, name: &str, incarnation: u64, seq: u64, silent: Option<u64>,
    ) -> Result<bool, Unseated> {
        if name.is_empty() || name.len() > NAME_MOST {
            return Err(Unseated::Name);
        }
        if self.past.contains_key(&incarnation) {
            return Err(Unseated::Superseded);
        }
        let (now, room) = (self.now, self.seats.len() < SEATS_MOST);
        let held = self.seats.iter().find(|(other, s)| s.incarnation == incarnation && *other != name);
        if held.is_some() {
            return Err(Unseated::Twice);
        }
        match self.seats.get_mut(name) {
            Some(seat) if seat.incarnation == incarnation => {
                if seq <= seat.seq {
                    return Err(Unseated::Old);
                }
                (seat.seq, seat.heard) = (seq, now);
                Ok(false)
            }
            Some(seat) if silent.is_some_and(|span| now <= seat.heard.saturating_add(span)) => {
                Err(Unseated::Taken)
            }
            Some(seat) => {
                let before = seat.incarnation;
                *seat = Seat { incarnation, joined: now, heard: now, seq, ..Seat::default() };
                self.retire(before);
                Ok(true)
            }
            None if room => {
                let seat = Seat { incarnation, joined: now, heard: now, seq, ..Seat::default() };
                self.seats.insert(name.to_string(), seat);
                Ok(true)
            }
            None => Err(Unseated::Full),
        }
    }

    /// Whether an instance was heard of within `span`.
    pub fn heard_within(&self, name: &str, span: u64) -> bool {
        self.seats.get(name).is_some_and(|s| self.now <= s.heard.saturating_add(span))
    }
}
