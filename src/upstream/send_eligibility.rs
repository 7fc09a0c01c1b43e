//! The table of members: whether each one accepts new statements, and its start time.
//!
//! The connection pool updates the table, and [`super::send_guard::SendGuard`] reads it right before each write. The
//! table must be read in place, never from a copy: a drain also applies to statements that were decided on before it.

use crate::api::{MemberId, Time};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The state of one member according to the endpoint list.
#[derive(Default)]
struct Entry {
    /// Whether no new statements may be sent to the member, because it is draining or gone.
    rejects_new: bool,
    /// Start time of the member; `None` if the list gives none, which counts as long ago.
    incarnation: Option<Time>,
}

/// The members of the pool. Clones share the table. A member that is not in it accepts no statements.
#[derive(Clone, Default)]
pub struct SendEligibility(Rc<RefCell<BTreeMap<MemberId, Entry>>>);

impl SendEligibility {
    /// Whether new statements may be sent to a member.
    pub fn is_accepting(&self, member: MemberId) -> bool {
        self.0.borrow().get(&member).is_some_and(|entry| !entry.rejects_new)
    }

    /// The start time of a member according to the endpoint list; `None` if the list gives none or the member is
    /// unknown.
    pub fn incarnation(&self, member: MemberId) -> Option<Time> {
        self.0.borrow().get(&member)?.incarnation
    }

    /// Adds a member that accepts new statements. Has no effect on a member already in the table.
    pub(super) fn add(&self, member: MemberId) {
        self.0.borrow_mut().entry(member).or_default();
    }

    /// Sets the start time of a member.
    pub(super) fn set_incarnation(&self, member: MemberId, started: Option<Time>) {
        self.0.borrow_mut().entry(member).or_default().incarnation = started;
    }

    /// Sets which members of the table accept new statements.
    pub(super) fn set_accepting(&self, accepts_new: impl Fn(MemberId) -> bool) {
        for (member, entry) in self.0.borrow_mut().iter_mut() {
            entry.rejects_new = !accepts_new(*member);
        }
    }

    /// Removes a member, which accepts no statements until it is added again.
    pub(super) fn remove(&self, member: MemberId) {
        self.0.borrow_mut().remove(&member);
    }
}
