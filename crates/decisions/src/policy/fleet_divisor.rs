//! Divides fleet-wide limits at a member among routers, since each router sees only its own attempts.

/// Divisors that give one router's share of fleet-wide limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetDivisor {
    /// Divisor of all other limits, such as concurrency limits and quotas of tenants; finite even without a granted
    /// share, so that the router can still serve.
    limits: f64,
    /// Divisor of the load on members in slow start; infinite without a granted share.
    slow_start: f64,
}

impl FleetDivisor {
    /// Equal shares for all routers of the fleet.
    pub(super) fn from_fleet_size(fleet_size: u32) -> FleetDivisor {
        let routers = f64::from(fleet_size.max(1));
        FleetDivisor { limits: routers, slow_start: routers }
    }

    /// Divisors by the share, from 0 to 1, that the fleet has granted to this router. If the share is 0, limits are
    /// divided by the fleet's size and members in slow start get nothing.
    pub(super) fn from_quota_share(share: f64, fleet_size: u32) -> FleetDivisor {
        if share > 0.0 {
            return FleetDivisor { limits: 1.0 / share, slow_start: 1.0 / share };
        }
        FleetDivisor { slow_start: f64::INFINITY, ..FleetDivisor::from_fleet_size(fleet_size) }
    }

    /// This router's share of a fleet-wide limit.
    pub(super) fn share_of(self, total: f64) -> f64 {
        total / self.limits
    }

    /// This router's share of what the whole fleet may send to a member in slow start.
    pub(super) fn slow_start_share_of(self, total: f64) -> f64 {
        total / self.slow_start
    }
}
