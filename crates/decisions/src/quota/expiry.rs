//! The expiry of a grant, and the units it allows at a given time. No I/O; times are microseconds on the holder's
//! clock.

use super::Quota;

/// When a grant expires, in microseconds on the holder's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseExpiry {
    /// The end of the lease: quotas may be used before it.
    pub quotas: u64,
    /// The end of the membership: floors may be used before it.
    pub floors: u64,
}

impl LeaseExpiry {
    /// The phase of the grant at `now`.
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

/// Which part of a grant may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeasePhase {
    /// The full quota.
    Leased,
    /// The floor only: the lease has expired, the membership has not.
    FloorOnly,
    /// Nothing: the membership has expired.
    Expired,
}

impl Quota {
    /// Units that may be in use in a phase; for a rate, thousandths of a unit per second.
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
