//! The log position that a read must see, by its session or by its class's bound on the age of data.

use super::POSITION_ROUNDING;
use super::request::QueuedRequest;
use super::router::Router;
use crate::api::{LogPosition, ReadLevel, Request, SessionPositions};

/// The target position of reads that accept data of any age.
pub(super) const ANY_POSITION: LogPosition = LogPosition(0);

impl Router {
    /// The position that a session or fresh read requires, fixed at its arrival; [`ANY_POSITION`] if it requires
    /// none.
    pub(super) fn required_position(&self, request: &Request) -> LogPosition {
        match self.class(request.class).read_level {
            ReadLevel::Fresh => self.now.as_log_position(),
            ReadLevel::Session => self.session_position(request),
            ReadLevel::Write | ReadLevel::Bounded(_) | ReadLevel::Any => ANY_POSITION,
        }
    }

    fn session_position(&self, request: &Request) -> LogPosition {
        match self.settings.session_positions {
            SessionPositions::CarriedByRequest => {
                let age = request.last_write_age.filter(|age| age.0 > 0);
                let committed = |age| (self.now + POSITION_ROUNDING).saturating_sub(age).as_log_position();
                age.map_or(ANY_POSITION, committed)
            }
            SessionPositions::Remembered => {
                let group = self.groups.get(&request.group);
                group.map_or(ANY_POSITION, |group| group.session_commits.commit_of(request.session))
            }
        }
    }

    /// The position that a member must have applied to serve the request now: the target of a bounded read advances
    /// with the clock.
    pub(super) fn target_position(&self, request: &QueuedRequest) -> LogPosition {
        match self.class(request.class).read_level {
            ReadLevel::Bounded(age_max) => self.now.saturating_sub(age_max).as_log_position(),
            _ => request.required_position,
        }
    }
}
