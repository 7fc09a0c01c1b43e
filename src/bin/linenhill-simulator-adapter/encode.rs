//! Encodes actions as messages of the simulator, one per line.

use crate::gossip::PositionGossip;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use linenhill::api::{Action, Micros, RequestId};
use std::fmt::Write;

/// Recipient of a message that goes to all other instances.
const ALL_INSTANCES: &str = "*";

/// Appends the line that names the instance of the following actions.
pub fn encode_instance(instance: u64, reply: &mut String) {
    push_line(reply, format_args!("BY\t{instance}"));
}

/// Appends the line that ends the reply to a batch.
pub fn encode_batch_end(batch: u64, reply: &mut String) {
    push_line(reply, format_args!("DONE\t{batch}"));
}

/// Appends the line of an action.
pub fn encode_action(action: &Action, reply: &mut String) {
    match action {
        Action::Send { id, member, timeout, .. } => {
            let timeout = micros_or_zero(*timeout);
            push_line(reply, format_args!("HAND_OFF\t{}\t{}\t{timeout}", id_text(id), member.0));
        }
        Action::Reject { id, retry_after } => {
            let retry_after = micros_or_zero(*retry_after);
            push_line(reply, format_args!("TURN_AWAY\t{}\t{retry_after}", id_text(id)));
        }
        Action::Fail { id } => push_line(reply, format_args!("END_FAILED\t{}", id_text(id))),
        Action::Cancel { id, attempt } => {
            push_line(reply, format_args!("RECALL\t{}\t{attempt}", id_text(id)));
        }
        // Only for long statements, which the simulator does not have.
        Action::CancelIfUnwritten { .. } => {}
        Action::SetTimer { token, at } => push_line(reply, format_args!("TIMER\t{token}\t{}", at.0)),
        Action::CheckHealth { member } => push_line(reply, format_args!("POLL\t{}", member.0)),
        Action::Subscribe => push_line(reply, format_args!("WATCH\t1")),
        Action::GossipPosition { member, position, is_primary } => {
            let gossip = PositionGossip { member: *member, position: *position, is_primary: *is_primary };
            let bytes = STANDARD.encode(gossip.encode());
            push_line(reply, format_args!("POST\t{ALL_INSTANCES}\t{bytes}"));
        }
        Action::CloseIdleConnections { member } => push_line(reply, format_args!("CLOSE\t{}", member.0)),
    }
}

fn push_line(reply: &mut String, line: std::fmt::Arguments) {
    // Writing to a `String` can't fail.
    let _ = writeln!(reply, "{line}");
}

/// A duration in microseconds; 0 if absent.
fn micros_or_zero(duration: Option<Micros>) -> u64 {
    duration.map_or(0, |duration| duration.0)
}

/// The id as the simulator sent it.
fn id_text(id: &RequestId) -> &str {
    std::str::from_utf8(&id.0).unwrap_or_default()
}
