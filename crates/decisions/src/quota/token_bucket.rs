//! The token bucket of a rate, whose size and refill rate change as grants arrive and expire. No I/O; times are
//! microseconds on the holder's clock.
//!
//! Tokens are thousandths of a unit, rates are thousandths of a unit per second. A bucket never gains more than its
//! quota allowed during the elapsed time, since the buckets of all proxies together must not exceed the burst.

use super::expiry::LeaseExpiry;
use super::{MICROS_PER_SECOND, Quota};
use crate::membership::PARTS_PER_MILLION;

/// Tokens in one unit.
pub(super) const TOKENS_PER_UNIT: u64 = 1_000;

/// The tokens of one rate.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenBucket {
    tokens: u64,
    /// When the bucket was last refilled.
    refilled_at: u64,
    /// Accrued fraction of a token, in millionths.
    remainder: u64,
}

impl TokenBucket {
    /// An empty bucket that accrues tokens from `now` on.
    pub(super) fn empty(now: u64) -> TokenBucket {
        TokenBucket { tokens: 0, refilled_at: now, remainder: 0 }
    }

    /// Takes one unit if the bucket contains one; returns whether it did.
    pub(super) fn take_unit(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(TOKENS_PER_UNIT) else { return false };
        self.tokens = left;
        true
    }

    /// Adds the tokens that accrued up to `now`, at the rate of the quota until the lease expires and of the floor
    /// after that. Tokens beyond the bucket size at `now` are lost.
    pub(super) fn refill(&mut self, now: u64, quota: &Quota, expiry: LeaseExpiry, drift_ppm: u64) {
        let from = self.refilled_at;
        self.refilled_at = from.max(now);
        let leased = elapsed_within(now, from, expiry.quotas);
        let on_floor = elapsed_within(now, from.max(expiry.quotas), expiry.floors);
        let accrued = leased * u128::from(quota.units) + on_floor * u128::from(quota.floor);
        // On a fast clock the elapsed time exceeds the true one, by at most the bound on drift.
        let slowed = accrued * PARTS_PER_MILLION / (PARTS_PER_MILLION + u128::from(drift_ppm));
        let total = slowed + u128::from(self.remainder);
        let gained = u64::try_from(total / MICROS_PER_SECOND).unwrap_or(u64::MAX);
        let size = quota.burst_in(expiry.phase(now));
        self.tokens = self.tokens.saturating_add(gained).min(size);
        let is_full = self.tokens == size;
        self.remainder = if is_full { 0 } else { (total % MICROS_PER_SECOND) as u64 };
    }
}

/// Microseconds between `from` and the earlier of `to` and `now`.
fn elapsed_within(now: u64, from: u64, to: u64) -> u128 {
    u128::from(to.min(now).saturating_sub(from))
}
