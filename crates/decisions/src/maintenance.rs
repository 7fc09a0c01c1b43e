//! Members taken out of service by operators' maintenance orders or by the fleet, and the state in which a listed
//! member is passed to the policy as a result.
//!
//! No I/O. The newest order for a member applies, so that two processes that exchange their orders reach the same
//! state. An endpoint list must never override an order.

use crate::api::{GroupId, MemberState, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Bound on the members that are tracked; well above the size of any list.
const KNOWN_MAX: usize = 4_096;
/// Bound on the orders. This many orders, with the longest ids that an operator's call may contain, fit into the file
/// that processes of different versions share.
const ORDERS_MAX: usize = 1_024;
/// Orders for a member are accepted for this long after a list last named it, because lists omit a member while it
/// restarts. Microseconds.
const KNOWN_FOR_US: u64 = 600_000_000;

/// The last order for a member: given by operators, or recorded when the fleet put the member back in service. Orders
/// compare by their time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MaintenanceOrder {
    /// When the order was given, in microseconds since the Unix epoch; moved forward if necessary to be later than the
    /// order it replaced.
    pub at: Time,
    /// The member is out of service; if false, it was put back in service.
    pub out_of_service: bool,
}

/// Why an order was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejected {
    /// No recent list has named the member, and it is not out of service by an order.
    UnknownMember,
    /// The table is full, and all its orders are for members that are out of service.
    TooManyOrders,
}

impl fmt::Display for OrderRejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OrderRejected::UnknownMember => {
                let seconds = KNOWN_FOR_US / 1_000_000;
                write!(
                    f,
                    "no endpoint list of the last {seconds} s has named the member of the maintenance order"
                )
            }
            OrderRejected::TooManyOrders => {
                write!(f, "all {ORDERS_MAX} maintenance orders in the table are for members out of service")
            }
        }
    }
}

impl std::error::Error for OrderRejected {}

/// The state in which a listed member is passed to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveState {
    /// The state in the list, with an adjusted start time.
    AsListed {
        /// When the member started, or was put back in service if that was later; `None` if neither time is known.
        started: Option<Time>,
    },
    /// The policy must drain and remove the member.
    OutOfService,
}

/// The entry of a member in a list.
#[derive(Clone, Copy, Debug)]
pub struct ListedMember<'a> {
    /// Id of the member.
    pub id: &'a str,
    /// Group of the member.
    pub group: GroupId,
    /// State of the member.
    pub state: MemberState,
    /// When the member started, if the list contains it.
    pub started: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct KnownMember {
    /// When a list last named the member, or when the list that named it was replaced.
    named_at: Time,
    /// The list in use names the member, in a state other than gone.
    is_listed: bool,
    group: GroupId,
}

impl KnownMember {
    fn is_current(&self, now: Time) -> bool {
        self.named_at.0 + KNOWN_FOR_US > now.0
    }
}

/// The orders of operators, and the members named by recent lists.
#[derive(Debug, Default)]
pub struct Maintenance {
    orders: BTreeMap<String, MaintenanceOrder>,
    known: BTreeMap<String, KnownMember>,
    /// Members that the fleet has taken out of service, under a disruption permit.
    out_by_fleet: BTreeSet<String>,
}

impl Maintenance {
    /// Records a member named by a list. Returns the state to pass to the policy.
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

    /// If [`KNOWN_MAX`] members are tracked, drops the one that was named longest ago, unlisted members first.
    fn make_room_for_known(&mut self) {
        if self.known.len() < KNOWN_MAX {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, known)| (known.is_listed, known.named_at));
        let oldest = oldest.map(|(id, _)| id.clone());
        oldest.and_then(|id| self.known.remove(&id));
    }

    /// Begins a full list: all members count as unlisted until [`Self::record_listed`] is called for them. Members that
    /// no recent list has named are dropped unless they are out of service by an order.
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
        // A member counts as started when it was put back in service: it may have been restarted before that, and the
        // list may show the restart late or never.
        let returned = self.orders.get(id).map(|order| order.at);
        EffectiveState::AsListed { started: started.max(returned) }
    }

    /// Records an order of operators to take a member out of service or put it back in service. Returns false, without
    /// a change, if the member's last order has the same effect; a member without an order counts as in service.
    ///
    /// # Errors
    ///
    /// [`OrderRejected`] if the order cannot be recorded; nothing is changed.
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
        // Even if the clock was set back, the new order must be newer than the one it replaces.
        let at = before.map_or(now, |order| now.max(Time(order.at.0 + 1)));
        self.orders.insert(id.to_string(), MaintenanceOrder { at, out_of_service });
        Ok(true)
    }

    /// Makes room for one more order, if necessary by dropping the oldest one that put a member back in service.
    /// Returns whether there is room.
    fn make_room_for_order(&mut self) -> bool {
        if self.orders.len() >= ORDERS_MAX {
            let returned = self.orders.iter().filter(|(_, order)| !order.out_of_service);
            let oldest = returned.min_by_key(|(_, order)| order.at).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.orders.remove(&id));
        }
        self.orders.len() < ORDERS_MAX
    }

    /// Merges an order that another process of this proxy received. Returns whether the order was recorded: it must be
    /// newer than the member's last order, and the table must have room.
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

    /// All orders, each with the id of its member.
    pub fn orders(&self) -> impl Iterator<Item = (&str, MaintenanceOrder)> {
        self.orders.iter().map(|(id, order)| (id.as_str(), *order))
    }

    /// Whether a member is out of service by an order of operators or by the fleet.
    pub fn is_out(&self, id: &str) -> bool {
        self.orders.get(id).is_some_and(|order| order.out_of_service) || self.out_by_fleet.contains(id)
    }

    /// Replaces the set of members that the fleet has taken out of service. Returns the members that were added or
    /// removed. A removed member counts as started at `now`, unless it is out of service by an order or no order can be
    /// recorded.
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

    /// The members named by recent lists, each with its group and whether the list in use names it.
    pub fn known(&self) -> impl Iterator<Item = (&str, GroupId, bool)> {
        self.known.iter().map(|(id, known)| (id.as_str(), known.group, known.is_listed))
    }

    /// Whether all listed members of a group are out of service, so that the group can serve no request until one is
    /// put back in service. False if no member of the group is listed, or no member of any group is out of service by
    /// an order.
    pub fn is_group_out(&self, group: GroupId) -> bool {
        if !self.orders.values().any(|order| order.out_of_service) {
            return false;
        }
        let in_group = |(_, known): &(&String, &KnownMember)| known.is_listed && known.group == group;
        let mut listed = self.known.iter().filter(in_group).peekable();
        listed.peek().is_some() && listed.all(|(id, _)| self.is_out(id))
    }
}
