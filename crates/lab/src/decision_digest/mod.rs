//! Digests of the policy's decisions in random histories.
//!
//! If two revisions print the same digest for a seed, they took the same decisions in the same order and at the same
//! times in that seed's histories. Changes that must preserve behaviour are checked this way (`make same-decisions`).
//! Histories and digests depend on the seed alone: not on names in the code, a clock, or the iteration order of a
//! hash map.

mod encoding;
mod history;
mod members;
mod site;

use encoding::DigestWriter;
use history::History;
use std::fmt;

/// Digest of the decisions in one seed's histories, one at each site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionDigest {
    /// The seed that the histories were drawn from.
    pub seed: u64,
    /// Number of encoded actions and observations.
    pub records: u64,
    /// Length of the encoding, in bytes.
    pub bytes: u64,
    /// CRC-32 of the encoding.
    pub checksum: u32,
}

impl fmt::Display for DecisionDigest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {} {} {:08x}", self.seed, self.records, self.bytes, self.checksum)
    }
}

/// Runs one history at each site and returns the digest of the policy's decisions.
pub fn digest(seed: u64) -> DecisionDigest {
    let mut writer = DigestWriter::default();
    for (index, site) in site::SITES.iter().enumerate() {
        let history_seed = seed.wrapping_mul(site::SITES.len() as u64).wrapping_add(index as u64);
        History::new(site, history_seed, &mut writer).run();
    }
    writer.finish(seed)
}
