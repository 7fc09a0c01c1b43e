//! Members that operators take out of service: the orders of operators, and how a listed member is presented
//! to the policy because of them.
//!
//! Pure records. The newest order on a member counts, so that two processes that exchange their orders agree.
//! A list must never lift an order.

use crate::api::{GroupId, MemberState, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Bound on the members that are remembered; far more than any list holds.
const KNOWN_MAX: usize = 4_096;
/// Bound on the orders that are kept. With the longest ids that a call may name, they fit into the file that
/// versions share.
const ORDERS_MAX: usize = 1_024;
/// A member stays known for this long after a list last named it, because it vanishes while it restarts.
/// Microseconds.
const KNOWN_FOR: u64 = 600_000_000;

/// The last order of operators on a member. Orders compare by age first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MaintenanceOrder {
    /// When it was given, in Unix microseconds.
    pub at: Time,
    /// The member is out of service; otherwise it may serve again.
    pub out_of_service: bool,
}

/// Why an order is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejected {
    /// No recent list has named this member.
    UnknownMember,
    /// Too many orders are kept.
    TooManyOrders,
}

impl fmt::Display for OrderRejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            OrderRejected::UnknownMember => "no recent list has named the member",
            OrderRejected::TooManyOrders => "too many members are out",
        })
    }
}

impl std::error::Error for OrderRejected {}

/// How a listed member is presented to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveState {
    /// As the list has it, but for its start.
    AsListed {
        /// When it started, or was put back in service if that was later.
        started: Option<Time>,
    },
    /// As drained and gone.
    OutOfService,
}

/// What a list says of a member.
#[derive(Clone, Copy, Debug)]
pub struct ListedMember<'a> {
    /// Its id.
    pub id: &'a str,
    /// The group it belongs to.
    pub group: GroupId,
    /// Its state.
    pub state: MemberState,
    /// When it started, if the list tells.
    pub started: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct KnownMember {
    /// When a list last named it.
    named_at: Time,
    /// The list in use names it.
    is_listed: bool,
    group: GroupId,
}

impl KnownMember {
    fn is_current(&self, now: Time) -> bool {
        self.named_at.0 + KNOWN_FOR > now.0
    }
}

/// The orders of operators, and the members that lists have named.
#[derive(Debug, Default)]
pub struct Maintenance {
    orders: BTreeMap<String, MaintenanceOrder>,
    known: BTreeMap<String, KnownMember>,
    /// Members that are out by permission of the whole fleet.
    out_by_fleet: BTreeSet<String>,
}

impl Maintenance {
    /// A list names a member. Returns how it is presented.
    pub fn record_listed(&mut self, now: Time, member: ListedMember<'_>) -> EffectiveState {
        let is_listed = member.state != MemberState::Gone;
        let known = KnownMember { named_at: now, is_listed, group: member.group };
        if let Some(before) = self.known.get_mut(member.id) {
            *before = known;
        } else {
            self.make_room_for_known();
            self.known.insert(member.id.to_string(), known);
        }
        self.effective_state(member.id, member.started)
    }

    /// Drops the member that was named longest ago, if there is no room for one more; unlisted ones go first.
    fn make_room_for_known(&mut self) {
        if self.known.len() < KNOWN_MAX {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, known)| (known.is_listed, known.named_at));
        let oldest = oldest.map(|(id, _)| id.clone());
        oldest.and_then(|id| self.known.remove(&id));
    }

    /// A full list begins: a member that it does not name is not listed any more.
    pub fn begin_full_list(&mut self, now: Time) {
        for known in self.known.values_mut().filter(|known| known.is_listed) {
            known.named_at = now;
            known.is_listed = false;
        }
        let orders = &self.orders;
        let is_out = |id: &String| orders.get(id).is_some_and(|order| order.out_of_service);
        self.known.retain(|id, known| known.is_current(now) || is_out(id));
    }

    fn effective_state(&self, id: &str, started: Option<Time>) -> EffectiveState {
        if self.is_out(id) {
            return EffectiveState::OutOfService;
        }
        // It was restarted while it was out, whatever the list says and however late.
        let returned = self.orders.get(id).map(|order| order.at);
        EffectiveState::AsListed { started: started.max(returned) }
    }

    /// Operators take a member out of service, or put it back. Returns whether that changes anything; an
    /// order that is repeated does not.
    pub fn order(&mut self, now: Time, id: &str, out_of_service: bool) -> Result<bool, OrderRejected> {
        let before = self.orders.get(id).copied();
        let was_out = before.is_some_and(|order| order.out_of_service);
        let is_known = self.known.get(id).is_some_and(|known| known.is_listed || known.is_current(now));
        if !is_known && !was_out {
            return Err(OrderRejected::UnknownMember);
        }
        if was_out == out_of_service {
            return Ok(false);
        }
        if before.is_none() && !self.make_room_for_order() {
            return Err(OrderRejected::TooManyOrders);
        }
        // A clock that was set back must not let an older order win.
        let at = before.map_or(now, |order| now.max(Time(order.at.0 + 1)));
        self.orders.insert(id.to_string(), MaintenanceOrder { at, out_of_service });
        Ok(true)
    }

    /// Whether there is room for one more order, made if need be by dropping the oldest that put a member
    /// back.
    fn make_room_for_order(&mut self) -> bool {
        if self.orders.len() >= ORDERS_MAX {
            let returned = self.orders.iter().filter(|(_, order)| !order.out_of_service);
            let oldest = returned.min_by_key(|(_, order)| order.at).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.orders.remove(&id));
        }
        self.orders.len() < ORDERS_MAX
    }

    /// Merges an order that was given to another process of this proxy. Returns whether it is new here.
    pub fn merge(&mut self, id: &str, order: MaintenanceOrder) -> bool {
        let before = self.orders.get(id).copied();
        if before.is_some_and(|before| before >= order) {
            return false;
        }
        if before.is_none() && !self.make_room_for_order() {
            return false;
        }
        self.orders.insert(id.to_string(), order);
        true
    }

    /// All orders, each with its member's id.
    pub fn orders(&self) -> impl Iterator<Item = (&str, MaintenanceOrder)> {
        self.orders.iter().map(|(id, order)| (id.as_str(), *order))
    }

    /// Whether a member is out of service, by an order of operators or by the fleet.
    pub fn is_out(&self, id: &str) -> bool {
        self.orders.get(id).is_some_and(|order| order.out_of_service) || self.out_by_fleet.contains(id)
    }

    /// The fleet tells which members are out, in place of all that it told before. Returns the members for
    /// which that changes. A member that comes back counts as started now, as after an order of operators.
    pub fn set_out_by_fleet(&mut self, now: Time, members: BTreeSet<String>) -> Vec<String> {
        let returned: Vec<String> = self.out_by_fleet.difference(&members).cloned().collect();
        for id in &returned {
            let ordered_out = self.orders.get(id).is_some_and(|order| order.out_of_service);
            if !ordered_out && self.make_room_for_order() {
                self.orders.insert(id.clone(), MaintenanceOrder { at: now, out_of_service: false });
            }
        }
        let changed = members.difference(&self.out_by_fleet).cloned().chain(returned).collect();
        self.out_by_fleet = members;
        changed
    }

    /// The members that recent lists have named, each with its group and whether the list in use names it.
    pub fn known(&self) -> impl Iterator<Item = (&str, GroupId, bool)> {
        self.known.iter().map(|(id, known)| (id.as_str(), known.group, known.is_listed))
    }

    /// Whether all listed members of a group are out of service, so that no request can be served there
    /// before operators put one back.
    pub fn is_group_out(&self, group: GroupId) -> bool {
        if !self.orders.values().any(|order| order.out_of_service) {
            return false;
        }
        let in_group = |(_, known): &(&String, &KnownMember)| known.is_listed && known.group == group;
        let mut listed = self.known.iter().filter(in_group).peekable();
        listed.peek().is_some() && listed.all(|(id, _)| self.is_out(id))
    }
}
