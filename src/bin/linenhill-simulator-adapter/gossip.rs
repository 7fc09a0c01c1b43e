//! Encoding of the gossip that instances exchange. Its length is fixed, since the cost of a message depends on it.

use crate::MICROS_PER_MILLI;
use linenhill::api::{LogPosition, MemberId};
use linenhill::settings::GOSSIP_MESSAGE_BYTES;

/// Length of the member's id, which comes first, in bytes.
const MEMBER_BYTES: usize = 4;
/// Leading bytes of the packed value that are omitted. The 47 bits of milliseconds that remain last for over 4,000
/// years.
const OMITTED_BYTES: usize = 8 - (GOSSIP_MESSAGE_BYTES - MEMBER_BYTES);

/// A position that a member has applied, and whether the member was primary then.
pub struct PositionGossip {
    /// The member in question.
    pub member: MemberId,
    /// The position; encoded in whole milliseconds.
    pub position: LogPosition,
    /// Whether the member was primary.
    pub is_primary: bool,
}

impl PositionGossip {
    /// Encodes the member's id, and the position in milliseconds times two plus the primary flag; both big-endian.
    pub fn encode(&self) -> Vec<u8> {
        let packed = self.position.0 / MICROS_PER_MILLI * 2 + u64::from(self.is_primary);
        [&self.member.0.to_be_bytes()[..], &packed.to_be_bytes()[OMITTED_BYTES..]].concat()
    }

    /// Decodes the result of [`PositionGossip::encode`]; `None` for any other length.
    pub fn decode(bytes: &[u8]) -> Option<PositionGossip> {
        let bytes = <[u8; GOSSIP_MESSAGE_BYTES]>::try_from(bytes).ok()?;
        let (member, packed) = bytes.split_first_chunk::<MEMBER_BYTES>()?;
        let packed = packed.iter().fold(0, |packed, byte| packed << 8 | u64::from(*byte));
        Some(PositionGossip {
            member: MemberId(u32::from_be_bytes(*member)),
            position: LogPosition(packed / 2 * MICROS_PER_MILLI),
            is_primary: packed % 2 == 1,
        })
    }
}
