//! One budget at one proxy: the granted quota, the units in use and the need to report. No I/O; times are microseconds
//! on the holder's clock.

use super::expiry::LeaseExpiry;
use super::lease_holder::AcquireDecision;
use super::token_bucket::{TOKENS_PER_UNIT, TokenBucket};
use super::{MICROS_PER_SECOND, Quota, QuotaNeed};

/// The highest demand of this many request intervals is reported, so that a quota does not shrink between two peaks.
const REMEMBERED_PEAKS: usize = 3;
/// Rejected acquisitions since the last request count as demand up to `in_use` plus this.
const MAX_REJECTED_DEMAND: u64 = 8;

/// The state of one budget at one proxy.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalBudget {
    /// The quota of the last applied grant.
    pub(super) quota: Quota,
    /// Held units in use; 0 for a rate.
    pub(super) in_use: u64,
    /// Peak of the units in use or demanded since the last request; for a rate, thousandths of a unit spent or
    /// demanded.
    peak: u64,
    /// Peaks of the last request intervals, newest first; for a rate, per second.
    recent_peaks: [u64; REMEMBERED_PEAKS],
    /// Rejected acquisitions since the last request, up to their bound.
    rejected: u64,
    /// The token bucket of a rate.
    tokens: TokenBucket,
    /// Since the last request, an acquisition was rejected, or demand was raised while no more than the floor was
    /// granted.
    pub(super) has_unmet_demand: bool,
    /// The holder has stopped enforcing the budget, which is dropped once none of its units is in use.
    pub(super) drop_when_unused: bool,
}

impl LocalBudget {
    /// A budget that appears in a grant for the first time.
    pub(super) fn newly_granted(now: u64) -> LocalBudget {
        LocalBudget { tokens: TokenBucket::empty(now), ..LocalBudget::default() }
    }

    /// Units that may be in use at `now`; for a rate, thousandths of a unit per second.
    pub(super) fn limit(&self, now: u64, expiry: LeaseExpiry) -> u64 {
        self.quota.units_in(expiry.phase(now))
    }

    /// Applies a newly granted quota. Returns whether it has fewer units than the previous one.
    pub(super) fn replace_quota(&mut self, quota: Quota, now: u64) -> bool {
        if quota.is_rate != self.quota.is_rate {
            self.tokens = TokenBucket::empty(now);
        }
        let has_shrunk = quota.units < self.quota.units;
        self.quota = quota;
        has_shrunk
    }

    /// Drops the quota. Returns whether it had units.
    pub(super) fn clear_quota(&mut self) -> bool {
        let had_units = self.quota.units > 0;
        self.quota = Quota { is_rate: self.quota.is_rate, ..Quota::default() };
        had_units
    }

    /// Refills the token bucket of a rate up to `now`; does nothing for held units.
    pub(super) fn refill(&mut self, now: u64, expiry: LeaseExpiry, drift_ppm: u64) {
        if self.quota.is_rate {
            self.tokens.refill(now, &self.quota, expiry, drift_ppm);
        }
    }

    /// Acquires a held unit if fewer than `limit` are in use.
    pub(super) fn acquire(&mut self, limit: u64) -> AcquireDecision {
        if self.in_use < limit {
            self.in_use += 1;
            self.peak = self.peak.max(self.in_use);
            return AcquireDecision::Acquired;
        }
        // A rejected acquisition counts as demand. Retries of one caller must not raise the demand without bound, so
        // the demand is limited to twice the units in use plus [`MAX_REJECTED_DEMAND`].
        self.rejected = (self.rejected + 1).min(self.in_use + MAX_REJECTED_DEMAND);
        self.peak = self.peak.max(self.in_use + self.rejected);
        self.has_unmet_demand = true;
        AcquireDecision::Exhausted
    }

    /// Spends one unit of a rate if the bucket contains one. Counts as demand in either case.
    pub(super) fn spend(&mut self) -> AcquireDecision {
        self.peak = self.peak.saturating_add(TOKENS_PER_UNIT);
        if self.tokens.take_unit() {
            return AcquireDecision::Acquired;
        }
        self.has_unmet_demand = true;
        AcquireDecision::Exhausted
    }

    /// Raises the reported demand to at least `units`.
    pub(super) fn raise_demand(&mut self, units: u64) {
        self.peak = self.peak.max(units);
        self.has_unmet_demand |= self.quota.units <= self.quota.floor;
    }

    /// Returns the need to report with a request sent `since_last_us` microseconds after the previous one, and starts a
    /// new interval for the peak, the rejected acquisitions and the unmet demand.
    pub(super) fn next_need(&mut self, since_last_us: u64) -> QuotaNeed {
        self.recent_peaks.rotate_right(1);
        self.recent_peaks[0] =
            if self.quota.is_rate { self.peak_per_second(since_last_us) } else { self.peak };
        self.peak = self.in_use;
        self.has_unmet_demand = false;
        self.rejected = 0;
        let demand = self.recent_peaks.iter().copied().max().unwrap_or(0);
        QuotaNeed { in_use: self.in_use, demand }
    }

    fn peak_per_second(&self, since_last_us: u64) -> u64 {
        let per_second = u128::from(self.peak) * MICROS_PER_SECOND / u128::from(since_last_us);
        u64::try_from(per_second).unwrap_or(u64::MAX)
    }
}
