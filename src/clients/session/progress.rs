//! How far a message has come in, and until when it must be complete: a client that stops in the middle of one and stays
//! is owed its end in time, whatever else the session waits for meanwhile.

use crate::platform_bounds::{MAX_HOLD_UP, STALLED_CLIENT_TIMEOUT};
use std::time::Duration;
use tokio::time::Instant;

/// What a session may take, once it knows that a client has stopped, to answer with an error and to close.
const ENDING_TAKES: Duration = Duration::from_millis(250);
/// A message that has begun must be complete, and a long one must have grown, within this time. A client may spend 2 s
/// on a message.
pub(super) const MESSAGE_TIMEOUT: Duration =
    Duration::from_micros(STALLED_CLIENT_TIMEOUT.0 - MAX_HOLD_UP.0).saturating_sub(ENDING_TAKES);
/// A long message that grows may take so long in all.
const LONG_MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// The progress of the message that is coming in.
#[derive(Debug, Default)]
pub(super) struct InputProgress {
    /// When its first bytes were read; none between messages.
    began_at: Option<Instant>,
    /// When it last grew.
    grew_at: Option<Instant>,
    buffered: usize,
}

impl InputProgress {
    /// The input was read, and so many bytes of a message that is not complete are buffered. `is_next` tells that a
    /// message was taken from the buffer, so that what is left belongs to another one. Returns whether a message has
    /// begun with this read.
    pub(super) fn observe(&mut self, now: Instant, buffered: usize, is_next: bool) -> bool {
        if buffered == 0 {
            *self = InputProgress::default();
            return false;
        }
        let has_begun = is_next || self.began_at.is_none();
        if has_begun {
            self.began_at = Some(now);
        }
        if has_begun || buffered > self.buffered {
            self.grew_at = Some(now);
        }
        self.buffered = buffered;
        has_begun
    }

    /// Nothing was read for a while, since there was no room. What is there was not late before.
    pub(super) fn resume(&mut self, now: Instant) {
        self.began_at = self.began_at.map(|_| now);
        self.grew_at = self.grew_at.map(|_| now);
    }

    /// When the message that is coming in is overdue, if one is. `is_long` tells that it may take its time while it
    /// grows.
    pub(super) fn overdue_at(&self, is_long: bool) -> Option<Instant> {
        let began_at = self.began_at?;
        if !is_long {
            return Some(began_at + MESSAGE_TIMEOUT);
        }
        let grew_at = self.grew_at.unwrap_or(began_at);
        Some((grew_at + MESSAGE_TIMEOUT).min(began_at + LONG_MESSAGE_TIMEOUT))
    }
}
