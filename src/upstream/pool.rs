//! Connections to members that are kept open between statements.
//!
//! The connection used last is used next, so that the others grow old and are retired well before the member closes
//! them. One limit of descriptors holds for all members together, and for each member this proxy's quota of the
//! fleet's budgets. The pool must never hand out a connection that is too old, not silent, or beyond the quota.

use crate::api::{MemberId, Time};
use crate::close_reason::CloseReason;
use crate::counters::Counters;
use crate::fleet::quota::{FleetQuota, QuotaUnit};
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use crate::upstream::connection::MemberConnection;
use crate::upstream::send_eligibility::SendEligibility;
use crate::upstream::send_guard::{SendGuard, SendIntent, SendPermit};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections are retired at this part of the time after which members close them.
const RETIRE_PART: f64 = 0.6;
/// A connection is not used again for this long after a reply: excess bytes of a member would be taken for the next
/// one.
const SETTLE_TIME: Duration = Duration::from_millis(2);
/// Interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A connection without a statement, and since when.
struct IdleConnection {
    connection: MemberConnection,
    idle_since: Instant,
}

impl IdleConnection {
    fn close(self, reason: CloseReason) {
        self.connection.close_reason().set(reason);
    }
}

/// What the pool holds of one member.
#[derive(Default)]
struct MemberSlot {
    address: Option<SocketAddr>,
    /// In the order of their last use, the oldest first.
    idle: Vec<IdleConnection>,
    /// The name by which the fleet's budgets know the member; empty until [`Pool::set_name`].
    name: String,
}

struct Inner {
    /// Each member of this table is in `eligibility` as well.
    slots: RefCell<BTreeMap<MemberId, MemberSlot>>,
    eligibility: SendEligibility,
    descriptors: ResourceLimit,
    /// The age at which an idle connection is retired.
    retire_after: Duration,
    connect_timeout: Duration,
    counters: Rc<Counters>,
    quota: FleetQuota,
    guard: SendGuard,
}

/// All connections to members; copies share them.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

impl Pool {
    /// A pool of at most `max_connections`, where members close idle connections after `idle_close`. No quota binds.
    pub fn new(
        max_connections: usize, idle_close: Duration, connect_timeout: Duration, counters: Rc<Counters>,
    ) -> Pool {
        let guard = SendGuard::without_list();
        Pool::with_quota(max_connections, idle_close, connect_timeout, counters, FleetQuota::default(), guard)
    }

    /// Like [`Pool::new`], within this proxy's quota of the fleet's budgets, where `guard` allows what is written.
    pub fn with_quota(
        max_connections: usize, idle_close: Duration, connect_timeout: Duration, counters: Rc<Counters>,
        quota: FleetQuota, guard: SendGuard,
    ) -> Pool {
        Pool(Rc::new(Inner {
            slots: RefCell::default(),
            eligibility: SendEligibility::default(),
            descriptors: ResourceLimit::new(max_connections),
            retire_after: idle_close.mul_f64(RETIRE_PART),
            connect_timeout,
            counters,
            quota,
            guard,
        }))
    }

    /// Sets a member's address. Idle connections to another address are closed.
    pub fn set_address(&self, member: MemberId, address: SocketAddr) {
        self.0.eligibility.add(member);
        let outdated = {
            let mut slots = self.0.slots.borrow_mut();
            let slot = slots.entry(member).or_default();
            let is_unchanged = slot.address.replace(address) == Some(address);
            if is_unchanged { Vec::new() } else { std::mem::take(&mut slot.idle) }
        };
        close_all(outdated);
    }

    /// Sets when a member last started; `None` if long ago.
    pub fn set_incarnation(&self, member: MemberId, started: Option<Time>) {
        self.0.slots.borrow_mut().entry(member).or_default();
        self.0.eligibility.set_incarnation(member, started);
    }

    /// What allows statements to be written.
    pub fn guard(&self) -> &SendGuard {
        &self.0.guard
    }

    /// A permit to write a statement now, or `None` if the guard allows none. To be asked for right before the write;
    /// waits while the process catches up after a hold-up.
    pub async fn send_permit(&self, intent: SendIntent) -> Option<SendPermit> {
        self.0.guard.permit(&self.0.eligibility, intent).await
    }

    /// Sets the name by which the fleet's budgets know a member. Only the first one counts.
    pub fn set_name(&self, member: MemberId, name: &str) {
        self.0.eligibility.add(member);
        let mut slots = self.0.slots.borrow_mut();
        let slot = slots.entry(member).or_default();
        if slot.name.is_empty() {
            slot.name = name.to_string();
            self.0.quota.member_added(name);
        }
    }

    fn with_name<T>(
        &self, member: MemberId, apply: impl FnOnce(&FleetQuota, &str) -> Option<T>,
    ) -> Option<T> {
        apply(&self.0.quota, &self.0.slots.borrow().get(&member)?.name)
    }

    /// A permit for a new connection to a member; none if this proxy's quota is used up or the member is not known.
    pub fn connection_permit(&self, member: MemberId) -> Option<QuotaUnit> {
        self.with_name(member, |quota, name| quota.acquire_connection(name))
    }

    /// A permit for an attempt at a member; none if this proxy's quota is used up or the member is not known.
    pub fn attempt_permit(&self, member: MemberId) -> Option<QuotaUnit> {
        self.with_name(member, |quota, name| quota.acquire_attempt(name))
    }

    /// What this proxy may use of the fleet's budgets.
    pub fn quota(&self) -> &FleetQuota {
        &self.0.quota
    }

    /// Closes idle connections beyond the quota whenever it shrinks or lapses, for as long as the program runs.
    pub async fn run_quota_enforcement(self) {
        loop {
            self.0.quota.changed().await;
            self.close_excess();
        }
    }

    /// Closes idle connections beyond the quota, those used longest ago first.
    fn close_excess(&self) {
        let mut excess = Vec::new();
        for slot in self.0.slots.borrow_mut().values_mut() {
            let over_quota =
                usize::try_from(self.0.quota.excess_connections(&slot.name)).unwrap_or(usize::MAX);
            let closing = over_quota.min(slot.idle.len());
            excess.extend(slot.idle.drain(..closing));
        }
        close_all(excess);
    }

    /// Forgets the members for which `keep` is false, and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(MemberId) -> bool) {
        let mut orphaned = Vec::new();
        let mut removed_names = Vec::new();
        self.0.slots.borrow_mut().retain(|member, slot| {
            let is_kept = keep(*member);
            if !is_kept {
                self.0.eligibility.remove(*member);
                orphaned.append(&mut slot.idle);
                removed_names.push(std::mem::take(&mut slot.name));
            }
            is_kept
        });
        close_all(orphaned);
        removed_names.iter().for_each(|name| self.0.quota.member_removed(name));
    }

    /// Sets which members accept new statements. Statements that were decided on before and are not written yet are
    /// bound by it too.
    pub fn set_accepting(&self, accepts_new: impl Fn(MemberId) -> bool) {
        self.0.eligibility.set_accepting(accepts_new);
    }

    /// Whether new statements may be sent to a member.
    pub fn is_accepting(&self, member: MemberId) -> bool {
        self.0.eligibility.is_accepting(member)
    }

    /// A member's address.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.0.slots.borrow().get(&member)?.address
    }

    /// The longest time that a new connection may take to come up.
    pub fn connect_timeout(&self) -> Duration {
        self.0.connect_timeout
    }

    /// Takes the idle connection that was used last and has settled. Those that turn out unusable on the way are
    /// closed.
    pub fn checkout(&self, member: MemberId) -> Option<MemberConnection> {
        loop {
            let IdleConnection { connection, idle_since } = self.take_last_settled(member)?;
            let close_reason = if self.is_over_quota(member) {
                // The quota shrank or its lease expired, perhaps while this process was stopped.
                Some(CloseReason::Released)
            } else if idle_since.elapsed() >= self.0.retire_after {
                Some(CloseReason::Retired)
            } else {
                connection.unusable_reason_now()
            };
            connection.close_reason().set(close_reason.unwrap_or(CloseReason::Cancelled));
            if close_reason.is_none() {
                return Some(connection);
            }
        }
    }

    fn take_last_settled(&self, member: MemberId) -> Option<IdleConnection> {
        let mut slots = self.0.slots.borrow_mut();
        let idle = &mut slots.get_mut(&member)?.idle;
        let settled = idle.iter().rposition(|candidate| candidate.idle_since.elapsed() >= SETTLE_TIME)?;
        Some(idle.remove(settled))
    }

    /// Whether more connections to a member are open than this proxy's quota allows.
    fn is_over_quota(&self, member: MemberId) -> bool {
        self.with_name(member, |quota, name| Some(quota.excess_connections(name) > 0)).unwrap_or(false)
    }

    /// Keeps a connection for its next use, or closes it: where the member has moved or is forgotten, and where it is
    /// beyond the quota, since a connection in constant use would otherwise outlive its lease.
    pub fn put_back(&self, member: MemberId, connection: MemberConnection) {
        connection.close_reason().set(CloseReason::Released);
        if self.is_over_quota(member) {
            return;
        }
        let mut slots = self.0.slots.borrow_mut();
        let slot = slots.get_mut(&member).filter(|slot| slot.address == Some(connection.address()));
        if let Some(slot) = slot {
            slot.idle.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Reserves the descriptor of one more connection. If none is left, the connection that was idle longest is
    /// closed.
    pub fn reserve_descriptor(&self) -> Option<ResourcePermit> {
        let descriptor = self.0.descriptors.acquire().or_else(|| {
            self.close_longest_idle();
            self.0.descriptors.acquire()
        })?;
        self.0.counters.links.add();
        Some(descriptor)
    }

    fn close_longest_idle(&self) {
        let longest_idle = {
            let mut slots = self.0.slots.borrow_mut();
            let with_idle = slots.values_mut().filter(|slot| !slot.idle.is_empty());
            with_idle.min_by_key(|slot| slot.idle[0].idle_since).map(|slot| slot.idle.remove(0))
        };
        close_all(longest_idle);
    }

    /// Closes the idle connections to a member.
    pub fn close_idle(&self, member: MemberId) {
        let idle = self.0.slots.borrow_mut().get_mut(&member).map(|slot| std::mem::take(&mut slot.idle));
        close_all(idle.into_iter().flatten());
    }

    /// Closes idle connections that are too old or unusable.
    fn sweep(&self) {
        let mut closing = Vec::new();
        for slot in self.0.slots.borrow_mut().values_mut() {
            for idle in std::mem::take(&mut slot.idle) {
                match self.sweep_reason(&idle) {
                    Some(reason) => closing.push((idle, reason)),
                    None => slot.idle.push(idle),
                }
            }
        }
        closing.into_iter().for_each(|(idle, reason)| idle.close(reason));
    }

    fn sweep_reason(&self, idle: &IdleConnection) -> Option<CloseReason> {
        let is_old = idle.idle_since.elapsed() >= self.0.retire_after;
        if is_old { Some(CloseReason::Retired) } else { idle.connection.unusable_reason() }
    }

    /// Closes idle connections that are too old or unusable, at an interval, for as long as the program runs.
    pub async fn run_sweeper(self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.sweep();
        }
    }
}

/// Closes idle connections for which the proxy has no further use. Not to be called while the slots are borrowed.
fn close_all(idle: impl IntoIterator<Item = IdleConnection>) {
    idle.into_iter().for_each(|idle| idle.close(CloseReason::Released));
}
