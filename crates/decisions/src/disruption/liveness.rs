//! Which proxies are live at an entry of the log, as the membership shows it. Pure; times are microseconds of log time.

use crate::membership::{LeaseTerms, Membership};

/// The membership as one entry of the log sees it.
pub struct LivenessView<'a> {
    membership: &'a Membership,
    /// A proxy is live for this long after its last request.
    lease: u64,
    /// A proxy may serve under a grant for this long.
    membership_span: u64,
    live_count: usize,
}

impl<'a> LivenessView<'a> {
    /// The view of `membership` under `terms`. Proxies are live that sent a request within a lease.
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

    /// Whether `reporters` are more than half of the live proxies.
    pub(super) fn is_majority(&self, reporters: usize) -> bool {
        2 * reporters > self.live_count
    }

    /// Whether `reporters` are at least half of the live proxies.
    pub(super) fn is_half(&self, reporters: usize) -> bool {
        2 * reporters >= self.live_count
    }

    /// The incarnations that hold a session, live or not.
    pub(super) fn incarnations(&self) -> Vec<u64> {
        self.membership.incarnations().collect()
    }

    /// Whether a grant from before `time` must be over for every proxy.
    pub(super) fn has_outlived_grants_of(&self, time: u64) -> bool {
        self.now() >= time.saturating_add(self.membership_span)
    }
}
