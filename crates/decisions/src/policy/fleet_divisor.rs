//! By how much this router divides what all routers together may do to a member, since each sees only its own part.

/// The divisors of one router.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetDivisor {
    /// For concurrency limits and whatever else must not stop a router that nothing was granted yet.
    limits: f64,
    /// For what a member in slow start bears.
    slow_start: f64,
}

impl FleetDivisor {
    /// Every router of the fleet counts alike.
    pub(super) fn from_fleet_size(fleet_size: u32) -> FleetDivisor {
        let routers = f64::from(fleet_size.max(1));
        FleetDivisor { limits: routers, slow_start: routers }
    }

    /// The fleet has agreed on this router's part, from 0 to 1. Without a part, limits go by the fleet's size and members
    /// in slow start get nothing.
    pub(super) fn from_quota_share(share: f64, fleet_size: u32) -> FleetDivisor {
        if share > 0.0 {
            return FleetDivisor { limits: 1.0 / share, slow_start: 1.0 / share };
        }
        FleetDivisor { slow_start: f64::INFINITY, ..FleetDivisor::from_fleet_size(fleet_size) }
    }

    /// This router's part of what all together may do.
    pub(super) fn share_of(self, total: f64) -> f64 {
        total / self.limits
    }

    /// This router's part of what all together may send to a member in slow start.
    pub(super) fn slow_start_share_of(self, total: f64) -> f64 {
        total / self.slow_start
    }
}
