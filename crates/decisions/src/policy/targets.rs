//! The position that a read must see: of its session, or by its class's bound.

use super::*;

impl Router {
    /// The position a session read needs, fixed at its arrival; 0 when any will do.
    pub(super) fn floor(&self, q: &Request) -> Us {
        match (self.set.classes[q.class.0].read_level, self.set.session_positions) {
            (ReadLevel::Fresh, _) => self.now,
            (ReadLevel::Session, SessionPositions::CarriedByRequest) => {
                q.last_write_age.filter(|a| a.0 > 0).map_or(0, |a| (self.now + MS).saturating_sub(a.0))
            }
            (ReadLevel::Session, SessionPositions::Remembered) => {
                self.groups.get(&q.group).map_or(0, |g| g.sessions.commit(q.session))
            }
            _ => 0,
        }
    }

    /// The position needed now: a bounded read's target moves with the clock.
    pub(super) fn target(&self, r: &Held) -> Us {
        match self.set.classes[r.class].read_level {
            ReadLevel::Bounded(bound) => self.now.saturating_sub(bound.0),
            _ => r.floor,
        }
    }
}
