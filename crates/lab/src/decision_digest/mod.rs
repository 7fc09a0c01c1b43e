//! Digests of the decisions that the policy takes in random histories.
//!
//! Two revisions that print the same digest for a seed took the same decisions, in the same order and at the same
//! moments, in the histories of that seed. A change that is to keep behaviour is checked with it (`make
//! same-decisions`). Histories and digests depend on nothing but the seed: not on names in the code, on a clock, or on
//! the order of a hash map.

mod encoding;
mod history;
mod members;
mod site;

use encoding::DigestWriter;
use history::History;
use std::fmt;

/// What one seed's histories, one at each site, made the policy decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionDigest {
    /// The seed that drew the histories.
    pub seed: u64,
    /// Actions and observations that were encoded.
    pub records: u64,
    /// Bytes of their encoding.
    pub bytes: u64,
    /// CRC-32 of these bytes.
    pub checksum: u32,
}

impl fmt::Display for DecisionDigest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {} {} {:08x}", self.seed, self.records, self.bytes, self.checksum)
    }
}

/// Plays one history at each site and digests what the policy decided.
pub fn digest(seed: u64) -> DecisionDigest {
    let mut writer = DigestWriter::default();
    for (index, site) in site::SITES.iter().enumerate() {
        let history_seed = seed.wrapping_mul(site::SITES.len() as u64).wrapping_add(index as u64);
        History::new(site, history_seed, &mut writer).play();
    }
    writer.finish(seed)
}
