//! What discovery's list said of each member, and when each proxy was notified of it. It records what discovery did, and
//! must never assume what a proxy made of that.

use super::intervals::Intervals;
use std::time::Duration;
use tokio::time::Instant;

/// A proxy counts as notified of a change at the latest so long after it, while discovery can be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// A process that can't reach discovery after its start goes on with its saved list after this time.
const OUTAGE_AT_START: Duration = Duration::from_secs(12);

/// A change of a member in the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberChange {
    pub(super) version: u64,
    made_at: Instant,
    pub(super) is_in_service: bool,
}

/// A list that discovery wrote to a proxy.
struct Notification {
    version: u64,
    at: Instant,
}

/// What is recorded of one proxy.
struct ProxyRecord {
    /// Counts its starts and ends.
    incarnation: u64,
    started_at: Instant,
    /// What this incarnation was notified of. The first one is its saved list.
    notifications: Vec<Notification>,
}

pub(super) struct ListHistory {
    /// By member.
    changes: Vec<Vec<MemberChange>>,
    proxies: Vec<ProxyRecord>,
    /// When discovery could not be reached.
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

    /// Records that a list was written to this incarnation, unless that is over. Returns whether it lives.
    pub(super) fn record_list(&mut self, process: usize, incarnation: u64, version: u64) -> bool {
        let proxy = &mut self.proxies[process];
        let is_current = proxy.incarnation == incarnation;
        if is_current {
            proxy.notifications.push(Notification { version, at: Instant::now() });
        }
        is_current
    }

    /// Records the start of a proxy with a saved list of this version. What it was notified of before is void.
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

    /// Whether a proxy goes on with its saved list, since it could not reach discovery for so long after its start. That
    /// it does is the project's decision (`docs/design/list-lease.md`), against the letter of the rule.
    pub(super) fn started_into_outage(&self, process: usize, at: Instant) -> bool {
        let proxy = &self.proxies[process];
        let was_never_notified = proxy.notifications.len() <= 1;
        let outage = self.outages.covered(proxy.started_at, at);
        was_never_notified && !outage.is_zero() && at.duration_since(proxy.started_at) >= OUTAGE_AT_START
    }

    /// The changes by which a member left service, that a proxy was notified of by `now`, and of which it was not notified
    /// that they are over; with the moment of its notification.
    pub(super) fn notified_departures(
        &self, process: usize, member: usize, now: Instant,
    ) -> impl Iterator<Item = (&MemberChange, Instant)> {
        let changes = &self.changes[member];
        let departures = changes.iter().enumerate().filter(|(_, change)| !change.is_in_service);
        departures.filter_map(move |(index, change)| {
            let notified_at = self.notified_at(process, change, now)?;
            let is_back = changes[index + 1..]
                .iter()
                .any(|later| later.is_in_service && self.notified_at(process, later, now).is_some());
            (!is_back).then_some((change, notified_at))
        })
    }

    /// When a proxy counts as notified of a change, if it does by `now`.
    fn notified_at(&self, process: usize, change: &MemberChange, now: Instant) -> Option<Instant> {
        let notifications = self.proxies[process].notifications.iter();
        let by_list = notifications
            .filter(|notification| notification.version >= change.version)
            .map(|notification| notification.at)
            .min()
            .map(|at| at.max(change.made_at));
        // Time in which discovery can't be reached does not count.
        let due = self.outages.moment_after(change.made_at, NOTIFIED_WITHIN, now);
        let by_rule = Some(due).filter(|due| *due <= now);
        by_list.into_iter().chain(by_rule).min()
    }
}
