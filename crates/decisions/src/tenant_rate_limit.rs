//! How many requests a second a tenant may send: a pure leaky bucket for each tenant, told when its requests
//! arrive.
//!
//! The limiter rejects nothing. Whether a request over the rate counts for less is the policy's decision.

use crate::api::Time;

/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// The recent requests of one tenant.
#[derive(Clone, Copy, Debug)]
pub struct TenantRateLimiter {
    /// Requests in the bucket when it was last updated.
    level: f64,
    updated_at: Time,
}

impl TenantRateLimiter {
    /// An empty bucket.
    pub fn new(now: Time) -> TenantRateLimiter {
        TenantRateLimiter { level: 0.0, updated_at: now }
    }

    /// Counts a request that arrived at `now`, and tells whether it exceeds the rate. `rate`
    /// requests a second may come, and one second's worth of them (at least one) at once. A request over the
    /// rate does not count against those that follow it.
    pub fn exceeds(&mut self, now: Time, rate: f64) -> bool {
        let leaked = now.saturating_since(self.updated_at).as_f64() / SECOND * rate;
        let level = (self.level - leaked).max(0.0);
        let exceeds = level > rate.max(1.0);
        self.level = if exceeds { level } else { level + 1.0 };
        self.updated_at = now;
        exceeds
    }
}
