//! What a tenant may ask for in a second: a pure leaky bucket for each, told when each of its requests came.

/// The requests of one tenant lately.
#[derive(Clone, Copy, Debug)]
pub struct TenantRateLimiter {
    level: f64,
    at: u64,
}

impl TenantRateLimiter {
    /// Nothing was asked for yet.
    pub fn new(now: u64) -> TenantRateLimiter {
        TenantRateLimiter { level: 0.0, at: now }
    }

    /// Takes a request in, at `now` microseconds, where `rate` a second are allowed here and a second's worth may come
    /// at once; whether it is over that. What is over doesn't count against those that follow.
    pub fn over(&mut self, now: u64, rate: f64) -> bool {
        let level = (self.level - now.saturating_sub(self.at) as f64 / 1e6 * rate).max(0.0);
        let over = level > rate.max(1.0);
        *self = TenantRateLimiter { level: if over { level } else { level + 1.0 }, at: now };
        over
    }
}
