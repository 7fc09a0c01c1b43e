//! The request rate of a tenant: a leaky bucket per tenant, without I/O.
//!
//! The limiter rejects no requests. The policy decides the weight of a request that exceeds the rate.

use crate::api::Time;

/// Microseconds in a second.
const SECOND_US: f64 = 1e6;

/// The leaky bucket of one tenant.
#[derive(Clone, Copy, Debug)]
pub struct TenantRateLimiter {
    /// Requests in the bucket at the last update.
    level: f64,
    updated_at: Time,
}

impl TenantRateLimiter {
    /// An empty bucket.
    pub fn new(now: Time) -> TenantRateLimiter {
        TenantRateLimiter { level: 0.0, updated_at: now }
    }

    /// Records a request that arrived at `now`, and returns whether it exceeds `rate`, in requests per second. A burst
    /// may have one request more than arrive in a second at that rate, and at least two. A request over the rate is not
    /// added to the bucket, so it does not count against later ones.
    pub fn exceeds(&mut self, now: Time, rate: f64) -> bool {
        let leaked = now.saturating_since(self.updated_at).as_f64() / SECOND_US * rate;
        let level = (self.level - leaked).max(0.0);
        let exceeds = level > rate.max(1.0);
        self.level = if exceeds { level } else { level + 1.0 };
        self.updated_at = now;
        exceeds
    }
}
