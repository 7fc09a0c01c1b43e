//! Stand-ins that the cases under `review/` share. They speak the published protocol over blocking sockets, use the
//! standard library alone, and bind loopback addresses only.

pub mod client;
pub mod discovery;
pub mod member;
pub mod process;
pub mod record;
pub mod wire;

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Whether the disruption is on; `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudo-random numbers (xorshift), so that a seed repeats a choice.
pub struct Random(u64);

impl Random {
    /// A generator for a seed.
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// The next number.
    pub fn next_number(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next_number() >> 11) % bound.max(1)
    }
}
