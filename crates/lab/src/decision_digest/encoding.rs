//! Encodes actions for the digest as fixed letters and numbers, so that renames in the code leave digests unchanged.

use super::DecisionDigest;
use linenhill_decisions::api::{Action, RequestId, Time};
use std::fmt::Write;

/// Encodes records as lines of text and computes their checksum.
#[derive(Default)]
pub(super) struct DigestWriter {
    hasher: crc32fast::Hasher,
    records: u64,
    bytes: u64,
    line: String,
}

impl DigestWriter {
    /// Adds an action taken at `now`, in microseconds.
    pub(super) fn add_action(&mut self, now: u64, action: &Action) {
        self.line.clear();
        let line = &mut self.line;
        let written = match action {
            Action::Send { id, member, timeout, .. } => {
                let timeout = timeout.map_or(-1, |timeout| timeout.0 as i64);
                write!(line, "{now} S {} {} {timeout}", request_number(id), member.0)
            }
            Action::Reject { id, retry_after } => {
                let retry_after = retry_after.map_or(-1, |duration| duration.0 as i64);
                write!(line, "{now} R {} {retry_after}", request_number(id))
            }
            Action::Fail { id } => write!(line, "{now} F {}", request_number(id)),
            Action::CancelIfUnwritten { id, attempt } => {
                write!(line, "{now} U {} {attempt}", request_number(id))
            }
            Action::Cancel { id, attempt } => write!(line, "{now} C {} {attempt}", request_number(id)),
            Action::SetTimer { token, at } => write!(line, "{now} T {token} {}", at.0),
            Action::CheckHealth { member } => write!(line, "{now} P {}", member.0),
            Action::Subscribe => write!(line, "{now} L"),
            Action::GossipPosition { member, position, is_primary } => {
                write!(line, "{now} G {} {} {}", member.0, position.0, u8::from(*is_primary))
            }
            Action::CloseIdleConnections { member } => write!(line, "{now} X {}", member.0),
        };
        debug_assert!(written.is_ok(), "writing to a String does not fail");
        self.add_line();
    }

    /// Adds values read from the router: a member's health, or the number of records.
    pub(super) fn add_observation(&mut self, now: Time, values: &[u64]) {
        self.line.clear();
        let written = write!(self.line, "{} O {values:?}", now.0);
        debug_assert!(written.is_ok(), "writing to a String does not fail");
        self.add_line();
    }

    fn add_line(&mut self) {
        self.line.push('\n');
        self.hasher.update(self.line.as_bytes());
        self.records += 1;
        self.bytes += self.line.len() as u64;
    }

    /// Returns the digest of all added records.
    pub(super) fn finish(self, seed: u64) -> DecisionDigest {
        DecisionDigest { seed, records: self.records, bytes: self.bytes, checksum: self.hasher.finalize() }
    }
}

/// Decodes the request number that [`request_id`] encoded.
pub(super) fn request_number(id: &RequestId) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&id.0[..8]);
    u64::from_be_bytes(bytes)
}

/// Builds a request id whose first 8 bytes are `number`, big-endian.
pub(super) fn request_id(number: u64) -> RequestId {
    let mut bytes = [0; 36];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestId(bytes)
}
