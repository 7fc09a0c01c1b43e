//! What a send permit must know of the members: which of them accept new statements, and which start of each the list
//! names.
//!
//! The connection pool keeps this table up to date, and [`super::send_guard::SendGuard`] reads it at the moment of a write. It
//! holds no connection, and it must never answer from a copy: a drain binds statements that were decided on before.

use crate::api::{MemberId, Time};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The list's state of one member.
#[derive(Default)]
struct Entry {
    /// Nothing new may be sent to the member: it drains or is gone.
    rejects_new: bool,
    /// When the member last started; `None` if long ago.
    incarnation: Option<Time>,
}

/// The members that the pool knows; copies share the table. A member that is not in it accepts nothing.
#[derive(Clone, Default)]
pub struct SendEligibility(Rc<RefCell<BTreeMap<MemberId, Entry>>>);

impl SendEligibility {
    /// Whether new statements may be sent to a member.
    pub fn is_accepting(&self, member: MemberId) -> bool {
        self.0.borrow().get(&member).is_some_and(|entry| !entry.rejects_new)
    }

    /// When a member last started, by the list; `None` if long ago or not known.
    pub fn incarnation(&self, member: MemberId) -> Option<Time> {
        self.0.borrow().get(&member)?.incarnation
    }

    /// Adds a member, which accepts new statements, unless it is known.
    pub(super) fn add(&self, member: MemberId) {
        self.0.borrow_mut().entry(member).or_default();
    }

    /// Sets when a member last started.
    pub(super) fn set_incarnation(&self, member: MemberId, started: Option<Time>) {
        self.0.borrow_mut().entry(member).or_default().incarnation = started;
    }

    /// Sets which of the known members accept new statements.
    pub(super) fn set_accepting(&self, accepts_new: impl Fn(MemberId) -> bool) {
        for (member, entry) in self.0.borrow_mut().iter_mut() {
            entry.rejects_new = !accepts_new(*member);
        }
    }

    /// Removes a member, which accepts nothing from now on.
    pub(super) fn remove(&self, member: MemberId) {
        self.0.borrow_mut().remove(&member);
    }
}
