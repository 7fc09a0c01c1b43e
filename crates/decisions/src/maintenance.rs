//! Members taken out by hand: operators' words on members, and how a listed member is shown to the policy because of
//! them. Pure records; the newest word on a member counts, so that two processes that exchange theirs agree.

use crate::api::{GroupId, MemberState, Time};
use std::collections::{BTreeMap, BTreeSet};

/// So many members are known; far more than any list holds.
const KNOWN_MOST: usize = 4_096;
/// So many words are kept: with the longest ids that a call may name they fit into the file that versions share.
const WORDS_MOST: usize = 1_024;
/// A member stays known for so long after a list last named it: it vanishes while it restarts. In microseconds.
const KNOWN_FOR: u64 = 600_000_000;

/// Operators' last word on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MaintenanceOrder {
    /// When it was said, in Unix microseconds.
    pub at: Time,
    /// It is out, or may serve.
    pub out: bool,
}

/// Why a word is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejected {
    /// No list of late has named this member.
    UnknownMember,
    /// Too many words are kept.
    TooManyOrders,
}

/// How a listed member is shown to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveState {
    /// As it is listed, but started then, if told.
    Listed(Option<Time>),
    /// As drained and gone.
    Out,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    seen: Time,
    listed: bool,
    group: GroupId,
}

/// The words, and who is known.
#[derive(Debug, Default)]
pub struct Maintenance {
    orders: BTreeMap<String, MaintenanceOrder>,
    known: BTreeMap<String, Known>,
    /// Who is out by leave of the whole fleet.
    fenced: BTreeSet<String>,
}

impl Maintenance {
    /// A list names a member; says how it is shown.
    pub fn listed(
        &mut self, now: Time, id: &str, group: GroupId, state: MemberState, started: Option<Time>,
    ) -> EffectiveState {
        let listed = state != MemberState::Gone;
        match self.known.get_mut(id) {
            Some(known) => *known = Known { seen: now, listed, group },
            None => {
                if self.known.len() >= KNOWN_MOST {
                    let oldest = self.known.iter().min_by_key(|(_, known)| (known.listed, known.seen));
                    let oldest = oldest.map(|(id, _)| id.clone());
                    oldest.and_then(|id| self.known.remove(&id));
                }
                self.known.insert(id.to_string(), Known { seen: now, listed, group });
            }
        }
        self.shown(id, started)
    }

    /// A whole list begins: whoever it does not name is not listed any more.
    pub fn whole_list(&mut self, now: Time) {
        for known in self.known.values_mut().filter(|known| known.listed) {
            (known.seen, known.listed) = (now, false);
        }
        let orders = &self.orders;
        let out = |id: &String| orders.get(id).is_some_and(|order| order.out);
        self.known.retain(|id, known| known.seen.0 + KNOWN_FOR > now.0 || out(id));
    }

    fn shown(&self, id: &str, started: Option<Time>) -> EffectiveState {
        match self.orders.get(id) {
            _ if self.fenced.contains(id) => EffectiveState::Out,
            Some(MaintenanceOrder { out: true, .. }) => EffectiveState::Out,
            // It was restarted while it was out, whatever the list says and however late.
            Some(back) => EffectiveState::Listed(started.max(Some(back.at))),
            None => EffectiveState::Listed(started),
        }
    }

    /// Operators say that a member is out, or back; whether that changes anything. Said again, it changes nothing.
    pub fn say(&mut self, now: Time, id: &str, out: bool) -> Result<bool, OrderRejected> {
        let before = self.orders.get(id).copied();
        let known = self.known.get(id).is_some_and(|k| k.listed || k.seen.0 + KNOWN_FOR > now.0);
        if !known && !before.is_some_and(|order| order.out) {
            return Err(OrderRejected::UnknownMember);
        }
        if before.is_some_and(|order| order.out) == out {
            return Ok(false);
        }
        // A clock that was set back must not let an older word win.
        let at = before.map_or(now, |order| now.max(Time(order.at.0 + 1)));
        if before.is_none() && !self.room() {
            return Err(OrderRejected::TooManyOrders);
        }
        self.orders.insert(id.to_string(), MaintenanceOrder { at, out });
        Ok(true)
    }

    /// Room for one more word, made if need be by dropping the oldest on somebody who is back.
    fn room(&mut self) -> bool {
        if self.orders.len() >= WORDS_MOST {
            let back = self.orders.iter().filter(|(_, order)| !order.out).min_by_key(|(_, order)| order.at);
            let back = back.map(|(id, _)| id.clone());
            back.and_then(|id| self.orders.remove(&id));
        }
        self.orders.len() < WORDS_MOST
    }

    /// Another process of this proxy has said so; whether that changes how the member is shown.
    pub fn hear(&mut self, id: &str, order: MaintenanceOrder) -> bool {
        let before = self.orders.get(id).copied();
        if before.is_some_and(|before| before >= order) || (before.is_none() && !self.room()) {
            return false;
        }
        self.orders.insert(id.to_string(), order);
        before != Some(order)
    }

    /// All words.
    pub fn orders(&self) -> impl Iterator<Item = (&str, MaintenanceOrder)> {
        self.orders.iter().map(|(id, order)| (id.as_str(), *order))
    }

    /// Whether operators have taken a member out.
    pub fn is_out(&self, id: &str) -> bool {
        self.orders.get(id).is_some_and(|order| order.out) || self.fenced.contains(id)
    }

    /// The fleet says who is out, in the place of all before: whose standing changed. Whoever comes back counts as started
    /// now, as after a word of operators.
    pub fn fence(&mut self, now: Time, members: BTreeSet<String>) -> Vec<String> {
        let back: Vec<String> = self.fenced.difference(&members).cloned().collect();
        for id in &back {
            let out = self.orders.get(id).is_some_and(|order| order.out);
            if !out && self.room() {
                self.orders.insert(id.clone(), MaintenanceOrder { at: now, out: false });
            }
        }
        let changed = members.difference(&self.fenced).cloned().chain(back).collect();
        self.fenced = members;
        changed
    }

    /// Who is known, with the group, and whether a list names it now.
    pub fn known(&self) -> impl Iterator<Item = (&str, GroupId, bool)> {
        self.known.iter().map(|(id, known)| (id.as_str(), known.group, known.listed))
    }

    /// Whether operators have taken out all that a group has: nothing can be served there before one of their calls.
    pub fn closed(&self, group: GroupId) -> bool {
        if !self.orders.values().any(|order| order.out) {
            return false;
        }
        let mut listed =
            self.known.iter().filter(|(_, known)| known.listed && known.group == group).peekable();
        listed.peek().is_some() && listed.all(|(id, _)| self.is_out(id))
    }

    /// Listed members, and those of them that are out by hand.
    pub fn count(&self) -> (usize, usize) {
        let listed = self.known.iter().filter(|(_, known)| known.listed);
        listed.fold((0, 0), |(all, out), (id, _)| (all + 1, out + usize::from(self.is_out(id))))
    }
}
