//! When a grant ends, and what it still allows at a moment. Pure; times are microseconds on the holder's clock.

use super::Quota;

/// When a grant ends, in microseconds on the holder's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseExpiry {
    /// The end of the lease: quotas may be used before it.
    pub quotas: u64,
    /// The end of the membership: floors may be used before it.
    pub floors: u64,
}

impl LeaseExpiry {
    /// What a holder may use at `now`.
    pub(super) fn phase(self, now: u64) -> LeasePhase {
        if now < self.quotas {
            LeasePhase::Leased
        } else if now < self.floors {
            LeasePhase::FloorOnly
        } else {
            LeasePhase::Expired
        }
    }
}

/// What a holder may use at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeasePhase {
    /// The whole quota.
    Leased,
    /// The floor only: the lease is over, the membership is not.
    FloorOnly,
    /// Nothing.
    Expired,
}

impl Quota {
    /// Units that may be in use in a phase; for a rate, thousandths of a unit a second.
    pub(super) fn units_in(&self, phase: LeasePhase) -> u64 {
        match phase {
            LeasePhase::Leased => self.units,
            LeasePhase::FloorOnly => self.floor,
            LeasePhase::Expired => 0,
        }
    }

    /// The size of a rate's token bucket in a phase, in thousandths of a unit.
    pub(super) fn burst_in(&self, phase: LeasePhase) -> u64 {
        match phase {
            LeasePhase::Leased => self.burst,
            LeasePhase::FloorOnly => self.floor_burst,
            LeasePhase::Expired => 0,
        }
    }
}
