//! Applies membership lists: members that are added, draining, gone or restarted.
//!
//! A list can be empty, stale or wrong while all members serve, so the state of an absent member is kept for a while.
//! A member that is listed as draining must get no new requests.

use super::concurrency_limit::initial_limit;
use super::member::{Member, SlowStart};
use super::router::Router;
use crate::api::{Discovery, GroupId, ListEntry, ListUpdate, MemberId, MemberState, Micros, Time};
use std::collections::BTreeSet;

/// How long the state of a member is kept after the member went missing from the list or last responded.
const ABSENT_MEMBER_RETENTION: Micros = Micros::from_millis(60_000);
/// Time assigned to a list's evidence of a primary: earlier than any other evidence, since the list's roles lag.
const LIST_EVIDENCE: Time = Time(1);

impl Router {
    pub(super) fn on_list(&mut self, update: ListUpdate) {
        let jitter = self.rng.get_mut().f64();
        let (entries, is_complete) = match update {
            ListUpdate::Changes(entries) => (entries, false),
            ListUpdate::Full(entries) => (entries, true),
            ListUpdate::Cached(entries) => {
                self.polls.list_loaded(self.now.0, jitter, entries.len());
                (entries, true)
            }
            ListUpdate::Failed { silent_for } => return self.on_list_failed(jitter, silent_for),
        };
        self.polls.succeeded();
        for entry in entries.iter() {
            self.on_list_entry(entry);
        }
        if is_complete {
            self.remove_unlisted(&entries);
        }
        self.drop_expired_members();
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        for group in groups {
            self.update_primary(group);
        }
    }

    fn on_list_failed(&mut self, jitter: f64, silent_for: Option<Micros>) {
        if self.settings.discovery == Discovery::OnRequest {
            self.polls.failed(self.now.0, jitter, silent_for.map(|silent_for| silent_for.0));
        }
    }

    fn remove_unlisted(&mut self, entries: &[ListEntry]) {
        let listed: BTreeSet<MemberId> = entries.iter().map(|entry| entry.member).collect();
        let unlisted = self.members.keys().filter(|id| !listed.contains(id));
        for id in unlisted.copied().collect::<Vec<_>>() {
            self.on_removed(id);
        }
    }

    /// Drops members that have been absent, without a response or report, for `ABSENT_MEMBER_RETENTION`, and have no
    /// attempt or health check in flight.
    fn drop_expired_members(&mut self) {
        let now = self.now;
        let groups = &mut self.groups;
        self.members.retain(|id, member| {
            let last_seen = member.absent_since.map(|since| since.max(member.last_response_or_report()));
            let is_recent = last_seen.is_none_or(|last_seen| now < last_seen + ABSENT_MEMBER_RETENTION);
            let is_in_use = !member.attempts_in_flight.is_empty() || member.health_check.is_in_flight;
            let is_kept = is_recent || is_in_use;
            if !is_kept && let Some(group) = member.group.and_then(|group| groups.get_mut(&group)) {
                group.members.remove(id);
            }
            is_kept
        });
    }

    /// Handles a member that is missing from a complete list, or listed as gone. With `removed_members_stay_usable`,
    /// a member that was in service stays in use, at the price of a failed connection if it is really gone.
    fn on_removed(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.absent_since.get_or_insert(self.now);
        let stays_usable = self.settings.rules.removed_members_stay_usable;
        if member.listed_state == MemberState::InService && stays_usable {
            return;
        }
        member.listed_state = MemberState::Gone;
        if let Some(group) = member.group.and_then(|group| self.groups.get_mut(&group)) {
            group.members.remove(&id);
        }
    }

    fn on_list_entry(&mut self, entry: &ListEntry) {
        if entry.state == MemberState::Gone {
            return self.on_removed(entry.member);
        }
        self.groups.entry(entry.group).or_default().members.insert(entry.member);
        let started = entry.started.unwrap_or_default();
        let initial_limit = initial_limit(self.fleet_divisor);
        let slow_start = self.settings.rules.slow_start;
        let now = self.now;
        let member = self.members.entry(entry.member).or_insert_with(|| {
            let is_warming_up = started > Time::default() && now < started + slow_start;
            Member::new(started, SlowStart::new(is_warming_up.then_some(started)), initial_limit)
        });
        if started > member.started {
            Router::on_restarted(member, started, initial_limit);
        }
        member.zone = Some(entry.zone);
        member.group = Some(entry.group);
        member.listed_state = entry.state;
        member.absent_since = None;
        // The list's role counts only while there is no other evidence of the member's role.
        let has_only_list_evidence =
            member.role.replica_at == Time::default() && member.role.primary_at <= LIST_EVIDENCE;
        if self.settings.list_names_primary && has_only_list_evidence {
            member.role.primary_at = if entry.primary_hint { LIST_EVIDENCE } else { Time::default() };
        }
    }

    /// Handles a restart: the member enters slow start with the initial limit, is readmitted, and no longer counts as
    /// primary. Its applied position stays valid.
    fn on_restarted(member: &mut Member, started: Time, initial_limit: f64) {
        member.started = started;
        Router::begin_slow_start(member, started);
        member.role.primary_at = Time::default();
        member.concurrency.limit = initial_limit;
        member.ejected = None;
    }
}
