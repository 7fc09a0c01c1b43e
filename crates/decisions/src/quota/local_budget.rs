//! One budget at one proxy: what it was granted, what is in use, and what it reports as its need. Pure; times are
//! microseconds on the holder's clock.

use super::expiry::LeaseExpiry;
use super::lease_holder::AcquireDecision;
use super::token_bucket::{TOKENS_PER_UNIT, TokenBucket};
use super::{MICROS_PER_SECOND, Quota, QuotaNeed};

/// The demand of this many requests is remembered: the highest of them is reported, so that a quota does not shrink
/// between two peaks.
const REMEMBERED_PEAKS: usize = 3;
/// Rejected acquisitions raise the demand by at most the units in use and this many more.
const MAX_REJECTED_DEMAND: u64 = 8;

/// The state of one budget at one proxy.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalBudget {
    /// What the last applied grant gives.
    pub(super) quota: Quota,
    /// Units in use now.
    pub(super) in_use: u64,
    /// The most that was in use or wanted since the last request.
    peak: u64,
    /// The same at the previous requests, newest first. For a rate per second.
    recent_peaks: [u64; REMEMBERED_PEAKS],
    /// Rejected acquisitions since the last request.
    rejected: u64,
    /// The tokens, for a rate.
    tokens: TokenBucket,
    /// Something was wanted since the last request that the quota had no room for.
    pub(super) is_short: bool,
    /// The budget no longer limits anything here and is dropped once nothing of it is in use.
    pub(super) is_ending: bool,
}

impl LocalBudget {
    /// A budget that a grant names for the first time.
    pub(super) fn granted_first(now: u64) -> LocalBudget {
        LocalBudget { tokens: TokenBucket::empty(now), ..LocalBudget::default() }
    }

    /// Units that may be in use at `now`; for a rate, thousandths of a unit a second.
    pub(super) fn limit(&self, now: u64, expiry: LeaseExpiry) -> u64 {
        self.quota.units_in(expiry.phase(now))
    }

    /// Takes over a newly granted quota. Returns whether it is smaller than the one before.
    pub(super) fn replace_quota(&mut self, quota: Quota, now: u64) -> bool {
        if quota.is_rate != self.quota.is_rate {
            self.tokens = TokenBucket::empty(now);
        }
        let has_shrunk = quota.units < self.quota.units;
        self.quota = quota;
        has_shrunk
    }

    /// Drops the quota. Returns whether there was one.
    pub(super) fn clear_quota(&mut self) -> bool {
        let had_units = self.quota.units > 0;
        self.quota = Quota { is_rate: self.quota.is_rate, ..Quota::default() };
        had_units
    }

    /// Brings the tokens of a rate up to date; does nothing for units that are held.
    pub(super) fn refill(&mut self, now: u64, expiry: LeaseExpiry, drift_ppm: u64) {
        if self.quota.is_rate {
            self.tokens.refill(now, &self.quota, expiry, drift_ppm);
        }
    }

    /// Takes a held unit, if fewer than `limit` are in use.
    pub(super) fn acquire(&mut self, limit: u64) -> AcquireDecision {
        if self.in_use < limit {
            self.in_use += 1;
            self.peak = self.peak.max(self.in_use);
            return AcquireDecision::Acquired;
        }
        // A rejected acquisition is demand. Retries of the same caller must not raise it without bound, so it grows to
        // about twice what is in use.
        self.rejected = (self.rejected + 1).min(self.in_use + MAX_REJECTED_DEMAND);
        self.peak = self.peak.max(self.in_use + self.rejected);
        self.is_short = true;
        AcquireDecision::Exhausted
    }

    /// Spends one unit of a rate.
    pub(super) fn spend(&mut self) -> AcquireDecision {
        self.peak = self.peak.saturating_add(TOKENS_PER_UNIT);
        if self.tokens.take_unit() {
            return AcquireDecision::Acquired;
        }
        self.is_short = true;
        AcquireDecision::Exhausted
    }

    /// Raises the reported demand to `units`.
    pub(super) fn raise_demand(&mut self, units: u64) {
        self.peak = self.peak.max(units);
        self.is_short |= self.quota.units <= self.quota.floor;
    }

    /// The need to report with a request that is sent `since_last_us` after the one before. Starts a new peak.
    pub(super) fn next_need(&mut self, since_last_us: u64) -> QuotaNeed {
        self.recent_peaks.rotate_right(1);
        self.recent_peaks[0] =
            if self.quota.is_rate { self.peak_per_second(since_last_us) } else { self.peak };
        self.peak = self.in_use;
        self.is_short = false;
        self.rejected = 0;
        let demand = self.recent_peaks.iter().copied().max().unwrap_or(0);
        QuotaNeed { in_use: self.in_use, demand }
    }

    fn peak_per_second(&self, since_last_us: u64) -> u64 {
        let per_second = u128::from(self.peak) * MICROS_PER_SECOND / u128::from(since_last_us);
        u64::try_from(per_second).unwrap_or(u64::MAX)
    }
}
