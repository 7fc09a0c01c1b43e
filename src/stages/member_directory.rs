//! Joins the endpoint list with the maintenance orders: produces the list entries for the router, and configures the
//! pool with the address, the start time and the name of each member.
//!
//! [`Maintenance`] determines which members are out of service, and the router determines how long a member is tracked.
//! Names are mapped to numeric ids here, and the id of a member must never be reused for another member.

use super::MemberCounts;
use crate::api::{GroupId, ListEntry, MemberId, MemberState};
use crate::clock::Clock;
use crate::discovery::list::{Endpoint, EndpointList, IdentifierTable};
use crate::maintenance::{EffectiveState, ListedMember, Maintenance};
use crate::policy::Router;
use crate::upstream::pool::Pool;
use linenhill_decisions::disruption::{Availability, HealthObservation};
use log::info;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of member changes logged individually per list; if there are more, their total is logged as well.
const LOGGED_CHANGES: usize = 16;

/// A member's latest list entry, and its id for the router.
#[derive(Clone)]
struct DirectoryEntry {
    endpoint: Endpoint,
    member: MemberId,
}

/// The listed members by name.
pub(super) struct MemberDirectory {
    identifiers: IdentifierTable,
    maintenance: Rc<RefCell<Maintenance>>,
    pool: Pool,
    clock: Clock,
    listed: BTreeMap<String, DirectoryEntry>,
}

impl MemberDirectory {
    /// Creates an empty directory.
    pub(super) fn new(
        identifiers: IdentifierTable, maintenance: Rc<RefCell<Maintenance>>, pool: Pool, clock: Clock,
    ) -> MemberDirectory {
        MemberDirectory { identifiers, maintenance, pool, clock, listed: BTreeMap::new() }
    }

    /// Whether all listed members of a group are out of service by orders of operators or the fleet. Always `false`
    /// while no order of operators takes a member out of service.
    pub(super) fn is_group_out(&self, group: GroupId) -> bool {
        self.maintenance.borrow().is_group_out(group)
    }

    /// Records a list, configures the pool with its members, and returns the entries for the router. A full list
    /// replaces the listed members.
    pub(super) fn record_list(&mut self, list: EndpointList) -> Arc<Vec<ListEntry>> {
        if list.is_full {
            self.listed.clear();
            self.maintenance.borrow_mut().begin_full_list(self.clock.now());
        }
        self.log_changes(&list);
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for endpoint in list.endpoints {
            self.record_endpoint(endpoint, &mut entries);
        }
        Arc::new(entries)
    }

    /// Records a listed member again, and returns its entries for the router under its current orders; `None` if the
    /// member is not listed.
    pub(super) fn current_entries(&mut self, name: &str) -> Option<Vec<ListEntry>> {
        let endpoint = self.listed.get(name)?.endpoint.clone();
        let mut entries = Vec::new();
        self.record_endpoint(endpoint, &mut entries);
        Some(entries)
    }

    /// Replaces the set of members that the fleet has taken out of service. Returns the names of the members added to
    /// or removed from it.
    pub(super) fn set_quarantine(&self, names: Vec<String>) -> Vec<String> {
        let now = self.clock.now();
        self.maintenance.borrow_mut().set_out_by_fleet(now, names.into_iter().collect())
    }

    /// Removes the members that the router no longer tracks, and updates which members accept new statements.
    pub(super) fn sync_with_router(&mut self, router: &Router) {
        self.identifiers.retain(|member| router.has_record_of(member));
        self.pool.retain(|member| router.has_record_of(member));
        self.pool.set_accepting(|member| router.accepts_new_requests(member));
    }

    /// The number of listed members, and how many of them get no ordinary requests now.
    pub(super) fn counts(&self, router: &Router) -> MemberCounts {
        let maintenance = self.maintenance.borrow();
        let is_avoided = |(name, entry): &(&String, &DirectoryEntry)| {
            maintenance.is_out(name) || router.is_avoided(entry.member)
        };
        let avoided = self.listed.iter().filter(is_avoided).count();
        MemberCounts { listed: self.listed.len(), avoided }
    }

    /// The health observation of each member in the current list or a recent one, by member name.
    pub(super) fn health_observations(&self, router: &Router) -> BTreeMap<String, HealthObservation> {
        let maintenance = self.maintenance.borrow();
        let observation = |(name, group, _): (&str, GroupId, bool)| {
            let listed = self.listed.get(name).map(|entry| router.observed_health(entry.member));
            let listed = listed.unwrap_or_default();
            let is_out = maintenance.is_out(name);
            let availability = if is_out { Availability::OperatorBan } else { listed.availability };
            let is_primary = listed.is_primary;
            let group = u64::from(group.0);
            let observation = HealthObservation { group, availability: availability as i32, is_primary };
            (name.to_string(), observation)
        };
        maintenance.known().map(observation).collect()
    }

    /// Records one member, configures the pool with it, and appends its entries for the router under its current
    /// orders: one entry, or two for a member that is out of service, which drains and is then gone.
    fn record_endpoint(&mut self, endpoint: Endpoint, entries: &mut Vec<ListEntry>) {
        let name = endpoint.id.clone();
        let (entry, address) = self.identifiers.entry(endpoint.clone());
        if entry.state == MemberState::Gone {
            self.listed.remove(&name);
        } else {
            self.listed.insert(name.clone(), DirectoryEntry { endpoint, member: entry.member });
        }
        self.pool.set_address(entry.member, address);
        self.pool.set_incarnation(entry.member, entry.started);
        self.pool.set_name(entry.member, &name);
        let listed =
            ListedMember { id: &name, group: entry.group, state: entry.state, started: entry.started };
        match self.maintenance.borrow_mut().record_listed(self.clock.now(), listed) {
            EffectiveState::AsListed { started } => entries.push(ListEntry { started, ..entry }),
            EffectiveState::OutOfService => {
                entries.push(ListEntry { state: MemberState::Draining, ..entry.clone() });
                entries.push(ListEntry { state: MemberState::Gone, ..entry });
            }
        }
    }

    /// Logs members whose state or start time changes with a list, up to [`LOGGED_CHANGES`] of them individually.
    fn log_changes(&self, list: &EndpointList) {
        let is_change = |endpoint: &&Endpoint| {
            self.listed.get(&endpoint.id).is_none_or(|DirectoryEntry { endpoint: known, .. }| {
                known.state != endpoint.state || known.started_ms != endpoint.started_ms
            })
        };
        let changed: Vec<&Endpoint> = list.endpoints.iter().filter(is_change).collect();
        for endpoint in changed.iter().take(LOGGED_CHANGES) {
            let known = self.listed.get(&endpoint.id).map(|entry| entry.endpoint.state);
            info!(
                "member_changed id={} group={} from={} to={:?} started_ms={} list_version={}",
                endpoint.id,
                endpoint.group,
                known.map_or("NotListed".to_string(), |state| format!("{state:?}")),
                endpoint.state,
                endpoint.started_ms.unwrap_or(0),
                list.version,
            );
        }
        if changed.len() > LOGGED_CHANGES {
            info!("members_changed count={} list_version={}", changed.len(), list.version);
        }
    }
}
