//! Progress of the message that is being received, and its time limit. A client that stops in the middle of a message
//! but stays connected must get an error or a close in time, whatever else the session waits for meanwhile.

use crate::platform_bounds::{MAX_HOLD_UP, STALLED_CLIENT_TIMEOUT};
use std::time::Duration;
use tokio::time::Instant;

/// Time reserved for sending the error and closing the connection after the time limit of a message has passed.
const CLOSE_TIME_RESERVE: Duration = Duration::from_millis(250);
/// Time limit for the next bytes of a message. Longer than the 2 s that a client may take to send a message.
pub(super) const MESSAGE_TIMEOUT: Duration =
    Duration::from_micros(STALLED_CLIENT_TIMEOUT.0 - MAX_HOLD_UP.0).saturating_sub(CLOSE_TIME_RESERVE);
/// Time limit from the first byte of a message to its end, however steadily its bytes arrive.
pub(super) const LONG_MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// The progress of the message that is being received.
#[derive(Debug, Default)]
pub(super) struct InputProgress {
    /// When its first bytes were read; `None` between messages.
    started_at: Option<Instant>,
    /// When its latest bytes were read.
    grew_at: Option<Instant>,
    buffered: usize,
    /// When the client's latest bytes arrived before a pause in reading. The bytes that are read first after the pause
    /// are no newer.
    grew_before_pause_at: Option<Instant>,
}

impl InputProgress {
    /// Records a read, after which `buffered` bytes of an incomplete message remain. `took_message` is set if a message
    /// was taken from the buffer, so that these bytes belong to the next one. Returns whether a message has started
    /// with this read.
    pub(super) fn observe(&mut self, now: Instant, buffered: usize, took_message: bool) -> bool {
        if buffered == 0 {
            *self = InputProgress::default();
            return false;
        }
        let has_started = took_message || self.started_at.is_none();
        if has_started {
            self.started_at = Some(now);
        }
        if has_started || buffered > self.buffered {
            self.grew_at = Some(self.grew_before_pause_at.take().unwrap_or(now));
        }
        self.buffered = buffered;
        has_started
    }

    /// When the latest bytes of the message were read; `None` between messages.
    pub(super) fn grew_at(&self) -> Option<Instant> {
        self.grew_at
    }

    /// Records that reading paused, and that the latest bytes arrived at `grew_at`.
    pub(super) fn resume_after_pause(&mut self, grew_at: Instant) {
        self.grew_at = Some(grew_at);
        self.grew_before_pause_at = Some(grew_at);
    }

    /// Restarts the time limits after the session has paused reading, during which the message could not progress.
    pub(super) fn restart_timeouts(&mut self, now: Instant) {
        self.started_at = self.started_at.map(|_| now);
        self.grew_at = self.grew_at.map(|_| now);
    }

    /// When the time limit of the message passes; `None` between messages. A message has up to [`LONG_MESSAGE_TIMEOUT`]
    /// as long as further bytes arrive within [`MESSAGE_TIMEOUT`].
    pub(super) fn overdue_at(&self) -> Option<Instant> {
        let started_at = self.started_at?;
        let grew_at = self.grew_at.unwrap_or(started_at);
        Some((grew_at + MESSAGE_TIMEOUT).min(started_at + LONG_MESSAGE_TIMEOUT))
    }
}
