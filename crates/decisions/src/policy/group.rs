//! State of a group: its members, its primary, its queue, and the commits that its sessions must see.

use crate::api::{LogPosition, MemberId, RequestId, SessionKey, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A primary and its replicas.
#[derive(Default)]
pub(super) struct Group {
    pub(super) members: BTreeSet<MemberId>,
    /// Requests that wait for a member.
    pub(super) queued: BTreeSet<RequestId>,
    /// Number of queued requests that go to the primary first, as counted when the queue was last dispatched; zero
    /// once sends have emptied the queue.
    pub(super) queued_for_primary: usize,
    pub(super) session_commits: SessionCommits,
    pub(super) primary: Option<MemberId>,
    /// Earliest time of the next search for a primary.
    pub(super) next_primary_search: Time,
}

impl Group {
    /// Whether the group has members, queued requests or sessions. A group that has only been named by a request has
    /// none of these.
    pub(super) fn is_used(&self) -> bool {
        !(self.members.is_empty() && self.queued.is_empty() && self.session_commits.is_empty())
    }

    /// Removes a request from the queue, and resets `queued_for_primary` if the queue is then empty.
    pub(super) fn dequeue(&mut self, id: &RequestId) {
        self.queued.remove(id);
        if self.queued.is_empty() {
            self.queued_for_primary = 0;
        }
    }
}

/// Last commits of served writes by session.
#[derive(Default)]
pub(super) struct SessionCommits {
    by_session: BTreeMap<SessionKey, LogPosition>,
    by_commit: BTreeSet<(LogPosition, SessionKey)>,
    /// The newest commit that was dropped. All sessions must see at least this, since it is not recorded which
    /// session a dropped commit belongs to.
    watermark: LogPosition,
}

impl SessionCommits {
    /// Records a commit, unless a newer one is recorded for the session.
    pub(super) fn record(&mut self, session: SessionKey, commit: LogPosition) {
        let known = self.by_session.get(&session).copied().unwrap_or_default();
        if known < commit {
            self.by_commit.remove(&(known, session));
            self.by_session.insert(session, commit);
            self.by_commit.insert((commit, session));
        }
    }

    /// Drops the sessions with the oldest commits until at most `sessions_max` remain.
    pub(super) fn shrink_to(&mut self, sessions_max: usize) {
        while self.by_session.len() > sessions_max
            && let Some((commit, dropped)) = self.by_commit.pop_first()
        {
            self.by_session.remove(&dropped);
            self.watermark = self.watermark.max(commit);
        }
    }

    /// The newest commit that the session must see: the later of its last commit and the watermark; zero without
    /// either.
    pub(super) fn commit_of(&self, session: Option<SessionKey>) -> LogPosition {
        let known = session.and_then(|session| self.by_session.get(&session).copied());
        known.unwrap_or_default().max(self.watermark)
    }

    /// Number of sessions whose commit is kept.
    pub(super) fn session_count(&self) -> usize {
        self.by_session.len()
    }

    fn is_empty(&self) -> bool {
        self.by_session.is_empty()
    }
}
