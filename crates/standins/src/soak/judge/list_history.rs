//! Records the changes of each member in discovery's list, and when each proxy was notified of them. Only discovery's
//! actions are recorded; how a proxy handled a list must not be assumed.

use super::intervals::Intervals;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a change at which a proxy counts as notified even if no list was written to it. Outages of discovery
/// are excluded.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after a start without discovery from which a proxy uses its saved list.
const SAVED_LIST_DELAY: Duration = Duration::from_secs(12);

/// A change of a member's state in the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberChange {
    pub(super) version: u64,
    made_at: Instant,
    pub(super) is_in_service: bool,
}

/// A list version that discovery wrote to a proxy.
struct Notification {
    version: u64,
    at: Instant,
}

/// Recorded state of one proxy.
struct ProxyRecord {
    /// Counts starts and ends.
    incarnation: u64,
    started_at: Instant,
    /// Lists that this incarnation received. The first one is its saved list.
    notifications: Vec<Notification>,
}

pub(super) struct ListHistory {
    /// Changes of each member, oldest first.
    changes: Vec<Vec<MemberChange>>,
    proxies: Vec<ProxyRecord>,
    /// Intervals in which discovery could not be reached.
    pub(super) outages: Intervals,
}

impl ListHistory {
    pub(super) fn new(processes: usize, members: usize) -> ListHistory {
        let proxy = || ProxyRecord { incarnation: 0, started_at: Instant::now(), notifications: Vec::new() };
        ListHistory {
            changes: vec![Vec::new(); members],
            proxies: (0..processes).map(|_| proxy()).collect(),
            outages: Intervals::default(),
        }
    }

    pub(super) fn record_change(&mut self, member: usize, version: u64, is_in_service: bool) {
        let change = MemberChange { version, made_at: Instant::now(), is_in_service };
        self.changes[member].push(change);
    }

    pub(super) fn incarnation(&self, process: usize) -> u64 {
        self.proxies[process].incarnation
    }

    /// Records that a list was written to this incarnation, unless the incarnation has ended. Returns whether it
    /// still runs.
    pub(super) fn record_list(&mut self, process: usize, incarnation: u64, version: u64) -> bool {
        let proxy = &mut self.proxies[process];
        let is_current = proxy.incarnation == incarnation;
        if is_current {
            proxy.notifications.push(Notification { version, at: Instant::now() });
        }
        is_current
    }

    /// Records the start of a proxy with a saved list of this version. Notifications of its earlier incarnations are
    /// discarded.
    pub(super) fn record_start(&mut self, process: usize, version: u64) {
        self.record_end(process);
        let now = Instant::now();
        let proxy = &mut self.proxies[process];
        proxy.started_at = now;
        proxy.notifications = vec![Notification { version, at: now }];
    }

    pub(super) fn record_end(&mut self, process: usize) {
        self.proxies[process].incarnation += 1;
    }

    /// Whether a proxy may use its saved list: it received no other list in at least [`SAVED_LIST_DELAY`] since its
    /// start, and discovery had an outage in that time. The project permits this (`docs/design/list-lease.md`),
    /// against the letter of the platform's rule.
    pub(super) fn started_into_outage(&self, process: usize, at: Instant) -> bool {
        let proxy = &self.proxies[process];
        let was_never_notified = proxy.notifications.len() <= 1;
        let outage = self.outages.covered(proxy.started_at, at);
        was_never_notified && !outage.is_zero() && at.duration_since(proxy.started_at) >= SAVED_LIST_DELAY
    }

    /// Returns the changes by which a member left service, with the time at which the proxy was notified of each.
    /// Includes only changes that the proxy was notified of by `now`, and excludes those followed by a return to
    /// service that it was also notified of.
    pub(super) fn notified_departures(
        &self, process: usize, member: usize, now: Instant,
    ) -> impl Iterator<Item = (&MemberChange, Instant)> {
        let changes = &self.changes[member];
        let departures = changes.iter().enumerate().filter(|(_, change)| !change.is_in_service);
        departures.filter_map(move |(index, change)| {
            let notified_at = self.notified_at(process, change, now)?;
            let has_returned = changes[index + 1..]
                .iter()
                .any(|later| later.is_in_service && self.notified_at(process, later, now).is_some());
            (!has_returned).then_some((change, notified_at))
        })
    }

    /// Returns when a proxy counts as notified of a change, if it does by `now`.
    fn notified_at(&self, process: usize, change: &MemberChange, now: Instant) -> Option<Instant> {
        let notifications = self.proxies[process].notifications.iter();
        let by_list = notifications
            .filter(|notification| notification.version >= change.version)
            .map(|notification| notification.at)
            .min()
            .map(|at| at.max(change.made_at));
        // Outages of discovery do not count.
        let due = self.outages.time_after_excluding(change.made_at, NOTIFICATION_TIMEOUT, now);
        let by_timeout = Some(due).filter(|due| *due <= now);
        by_list.into_iter().chain(by_timeout).min()
    }
}
