//! What instances send each other about a member, as the bytes that a message between them carries. Its length is what
//! such a message costs, so it is fixed.

use crate::MICROS_PER_MILLI;
use linenhill::api::{LogPosition, MemberId};
use linenhill::settings::GOSSIP_MESSAGE_BYTES;

/// Bytes of the member's number, which come first.
const MEMBER_BYTES: usize = 4;
/// Of the state as a number of 8 bytes, so many at the front are not sent: they are 0 for as long as positions matter.
const UNSENT_STATE_BYTES: usize = 8 - (GOSSIP_MESSAGE_BYTES - MEMBER_BYTES);

/// A position that a member has applied, and whether it was the primary then.
pub struct PositionGossip {
    /// The member.
    pub member: MemberId,
    /// The position; its part below a millisecond is not sent.
    pub position: LogPosition,
    /// Whether the member was the primary.
    pub is_primary: bool,
}

impl PositionGossip {
    /// The member's number, then the position in milliseconds, doubled to make room for the flag; both big-endian.
    pub fn encode(&self) -> Vec<u8> {
        let state = self.position.0 / MICROS_PER_MILLI * 2 + u64::from(self.is_primary);
        [&self.member.0.to_be_bytes()[..], &state.to_be_bytes()[UNSENT_STATE_BYTES..]].concat()
    }

    /// Decodes what [`PositionGossip::encode`] makes; `None` for bytes of any other length.
    pub fn decode(bytes: &[u8]) -> Option<PositionGossip> {
        let bytes = <[u8; GOSSIP_MESSAGE_BYTES]>::try_from(bytes).ok()?;
        let (member, state) = bytes.split_first_chunk::<MEMBER_BYTES>()?;
        let state = state.iter().fold(0, |state, byte| state << 8 | u64::from(*byte));
        Some(PositionGossip {
            member: MemberId(u32::from_be_bytes(*member)),
            position: LogPosition(state / 2 * MICROS_PER_MILLI),
            is_primary: state % 2 == 1,
        })
    }
}
