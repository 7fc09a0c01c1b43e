//! The live proxies at one log entry, according to the membership. No I/O; times are microseconds of log time.

use crate::membership::{LeaseTerms, Membership};

/// A view of the membership at one log entry.
pub struct LivenessView<'a> {
    membership: &'a Membership,
    /// Time for which a proxy is live after its last request: a lease with the drift margin.
    lease: u64,
    /// Longest time for which a grant may be used, with the drift margin.
    membership_span: u64,
    live_count: usize,
}

impl<'a> LivenessView<'a> {
    /// A view of `membership` under `terms`. A proxy is live if it sent a request within a lease.
    pub fn new(membership: &'a Membership, terms: &LeaseTerms) -> LivenessView<'a> {
        let lease = terms.with_drift_margin(terms.lease_us);
        let membership_span = terms.with_drift_margin(terms.membership_us);
        let live = membership.sessions.keys().filter(|name| membership.is_live_within(name, lease));
        LivenessView { membership, lease, membership_span, live_count: live.count() }
    }

    /// Log time.
    pub(super) fn now(&self) -> u64 {
        self.membership.now
    }

    /// Whether the proxy of that name is live.
    pub(super) fn is_live(&self, name: &str) -> bool {
        self.membership.is_live_within(name, self.lease)
    }

    /// Whether the number of `reporters` is more than half of the live proxies.
    pub(super) fn is_majority(&self, reporters: usize) -> bool {
        2 * reporters > self.live_count
    }

    /// Whether the number of `reporters` is at least half of the live proxies.
    pub(super) fn is_at_least_half(&self, reporters: usize) -> bool {
        2 * reporters >= self.live_count
    }

    /// The incarnations that hold a session, live or not.
    pub(super) fn incarnations(&self) -> Vec<u64> {
        self.membership.incarnations().collect()
    }

    /// Whether all grants from before `time` must have expired at every proxy.
    pub(super) fn have_grants_before_expired(&self, time: u64) -> bool {
        self.now() >= time.saturating_add(self.membership_span)
    }
}
