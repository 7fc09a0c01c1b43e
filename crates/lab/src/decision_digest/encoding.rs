//! The encoding of actions for the digest: fixed letters and numbers, so that a rename in the code changes nothing.

use super::DecisionDigest;
use linenhill_decisions::api::{Action, RequestId, Time};
use std::fmt::Write;

/// Encodes records and keeps their checksum.
#[derive(Default)]
pub(super) struct DigestWriter {
    hasher: crc32fast::Hasher,
    records: u64,
    bytes: u64,
    line: String,
}

impl DigestWriter {
    /// Adds an action that was taken at `now`.
    pub(super) fn action(&mut self, now: u64, action: &Action) {
        self.line.clear();
        let line = &mut self.line;
        let written = match action {
            Action::Send { id, member, timeout } => {
                let timeout = timeout.map_or(-1, |timeout| timeout.0 as i64);
                write!(line, "{now} S {} {} {timeout}", number(id), member.0)
            }
            Action::Reject { id, retry_after } => {
                let retry_after = retry_after.map_or(-1, |wait| wait.0 as i64);
                write!(line, "{now} R {} {retry_after}", number(id))
            }
            Action::Fail { id } => write!(line, "{now} F {}", number(id)),
            Action::Cancel { id, attempt } => write!(line, "{now} C {} {attempt}", number(id)),
            Action::SetTimer { token, at } => write!(line, "{now} T {token} {}", at.0),
            Action::CheckHealth { member } => write!(line, "{now} P {}", member.0),
            Action::Subscribe => write!(line, "{now} L"),
            Action::GossipPosition { member, position, is_primary } => {
                write!(line, "{now} G {} {} {}", member.0, position.0, u8::from(*is_primary))
            }
            Action::CloseIdleConnections { member } => write!(line, "{now} X {}", member.0),
        };
        debug_assert!(written.is_ok(), "a String takes what is written");
        self.add_line();
    }

    /// Adds what the router answers to a question about a member, or on the size of its records.
    pub(super) fn observation(&mut self, now: Time, observed: &[u64]) {
        self.line.clear();
        let written = write!(self.line, "{} O {observed:?}", now.0);
        debug_assert!(written.is_ok(), "a String takes what is written");
        self.add_line();
    }

    fn add_line(&mut self) {
        self.line.push('\n');
        self.hasher.update(self.line.as_bytes());
        self.records += 1;
        self.bytes += self.line.len() as u64;
    }

    /// The digest of all that was added.
    pub(super) fn finish(self, seed: u64) -> DecisionDigest {
        DecisionDigest { seed, records: self.records, bytes: self.bytes, checksum: self.hasher.finalize() }
    }
}

/// The number that a history gave to a request.
pub(super) fn number(id: &RequestId) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&id.0[..8]);
    u64::from_be_bytes(bytes)
}

/// The id of a request by its number.
pub(super) fn request_id(number: u64) -> RequestId {
    let mut bytes = [0; 36];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestId(bytes)
}
