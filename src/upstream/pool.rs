//! The pool of connections to members that are kept open between statements.
//!
//! The most recently used connection is reused first, so that surplus connections age and are retired well before the
//! member closes them. All members share one limit of descriptors; the connections to each member are also bounded by
//! this proxy's quota of the fleet's budgets. The pool must never hand out a connection that is too old, may have
//! outstanding input of an earlier statement, or exceeds the quota.

use crate::api::{MemberId, Time};
use crate::close_reason::CloseReason;
use crate::counters::Counters;
use crate::fleet::quota::{FleetQuota, QuotaUnit};
use crate::resource_limit::{ResourceLimit, ResourcePermit};
use crate::response_memory::ResponseMemory;
use crate::upstream::connection::MemberConnection;
use crate::upstream::send_eligibility::SendEligibility;
use crate::upstream::send_guard::{SendGuard, SendIntent, SendPermit};
use crate::upstream::sync_check::SyncProgress;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the idle timeout of members after which idle connections are retired.
const RETIRE_FRACTION: f64 = 0.6;
/// Interval at which idle connections are checked for their age and usability.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A connection without a statement in progress. It is handed out once it is synchronized.
struct IdleConnection {
    connection: MemberConnection,
    idle_since: Instant,
}

impl IdleConnection {
    fn close(self, reason: CloseReason) {
        self.connection.close_reason().set(reason);
    }
}

/// The state of one member in the pool.
#[derive(Default)]
struct MemberSlot {
    address: Option<SocketAddr>,
    /// Ordered by last use, least recently used first.
    idle: Vec<IdleConnection>,
    /// The name of the member in the fleet's budgets; empty until [`Pool::set_name`].
    name: String,
}

/// The limits of a pool.
pub struct PoolLimits {
    /// The most connections, each of which takes a descriptor.
    pub max_connections: usize,
    /// The memory of replies that are being read or wait for their clients, in bytes.
    pub response_bytes: usize,
    /// The time after which members close idle connections.
    pub idle_close: Duration,
    /// The maximum time for opening a connection, including its session.
    pub connect_timeout: Duration,
}

struct Inner {
    /// Every member in this table is also in `eligibility`.
    slots: RefCell<BTreeMap<MemberId, MemberSlot>>,
    eligibility: SendEligibility,
    descriptors: ResourceLimit,
    response_memory: ResponseMemory,
    /// The idle time after which a connection is retired.
    retire_after: Duration,
    connect_timeout: Duration,
    counters: Rc<Counters>,
    quota: FleetQuota,
    guard: SendGuard,
}

/// All connections to members. Clones share them.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

impl Pool {
    /// Creates a pool without a quota and a list lease.
    pub fn new(limits: PoolLimits, counters: Rc<Counters>) -> Pool {
        Pool::with_quota(limits, counters, FleetQuota::default(), SendGuard::without_list())
    }

    /// Like [`Pool::new`], limited by this proxy's quota of the fleet's budgets, and with `guard` for all sends.
    pub fn with_quota(
        limits: PoolLimits, counters: Rc<Counters>, quota: FleetQuota, guard: SendGuard,
    ) -> Pool {
        Pool(Rc::new(Inner {
            slots: RefCell::default(),
            eligibility: SendEligibility::default(),
            descriptors: ResourceLimit::new(limits.max_connections),
            response_memory: ResponseMemory::new(limits.response_bytes, counters.clone()),
            retire_after: limits.idle_close.mul_f64(RETIRE_FRACTION),
            connect_timeout: limits.connect_timeout,
            counters,
            quota,
            guard,
        }))
    }

    /// The memory that the replies of all members share.
    pub fn response_memory(&self) -> &ResponseMemory {
        &self.0.response_memory
    }

    /// Sets the address of a member, and adds the member if it is new. Idle connections to a previous address are
    /// closed.
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

    /// Sets the start time of a member; `None` if the list gives none, which counts as long ago.
    pub fn set_incarnation(&self, member: MemberId, started: Option<Time>) {
        self.0.slots.borrow_mut().entry(member).or_default();
        self.0.eligibility.set_incarnation(member, started);
    }

    /// The guard that issues the send permits.
    pub fn guard(&self) -> &SendGuard {
        &self.0.guard
    }

    /// Requests a permit to write a statement; `None` if the guard refuses it. Must be requested right before the
    /// write. Waits while the process catches up after a hold-up.
    pub async fn send_permit(&self, intent: SendIntent) -> Option<SendPermit> {
        self.0.guard.issue_permit(&self.0.eligibility, intent).await
    }

    /// Sets the name of a member in the fleet's budgets, and starts enforcing this proxy's quota for it. Has no effect
    /// if the member already has a name.
    pub fn set_name(&self, member: MemberId, name: &str) {
        self.0.eligibility.add(member);
        let mut slots = self.0.slots.borrow_mut();
        let slot = slots.entry(member).or_default();
        if slot.name.is_empty() {
            slot.name = name.to_string();
            self.0.quota.member_added(name);
        }
    }

    fn with_budget_name<T>(
        &self, member: MemberId, apply: impl FnOnce(&FleetQuota, &str) -> Option<T>,
    ) -> Option<T> {
        apply(&self.0.quota, &self.0.slots.borrow().get(&member)?.name)
    }

    /// Acquires quota for a new connection to a member; `None` if the quota is exhausted or the member is unknown.
    pub fn acquire_connection_quota(&self, member: MemberId) -> Option<QuotaUnit> {
        self.with_budget_name(member, |quota, name| quota.acquire_connection(name))
    }

    /// Acquires quota for an attempt at a member; `None` if the quota is exhausted or the member is unknown.
    pub fn acquire_attempt_quota(&self, member: MemberId) -> Option<QuotaUnit> {
        self.with_budget_name(member, |quota, name| quota.acquire_attempt(name))
    }

    /// This proxy's quota of the fleet's budgets.
    pub fn quota(&self) -> &FleetQuota {
        &self.0.quota
    }

    /// Closes idle connections that exceed the quota after each change of the quota. Runs until the process ends.
    pub async fn run_quota_enforcement(self) {
        loop {
            self.0.quota.changed().await;
            self.close_idle_over_quota();
        }
    }

    /// Closes idle connections that exceed the quota, least recently used first.
    fn close_idle_over_quota(&self) {
        let mut excess = Vec::new();
        for slot in self.0.slots.borrow_mut().values_mut() {
            let over_quota =
                usize::try_from(self.0.quota.excess_connections(&slot.name)).unwrap_or(usize::MAX);
            let closing = over_quota.min(slot.idle.len());
            excess.extend(slot.idle.drain(..closing));
        }
        close_all(excess);
    }

    /// Removes the members for which `keep` is false, closes their idle connections, and stops enforcing their quotas.
    pub fn retain(&self, keep: impl Fn(MemberId) -> bool) {
        let mut removed_idle = Vec::new();
        let mut removed_names = Vec::new();
        self.0.slots.borrow_mut().retain(|member, slot| {
            let is_kept = keep(*member);
            if !is_kept {
                self.0.eligibility.remove(*member);
                removed_idle.append(&mut slot.idle);
                removed_names.push(std::mem::take(&mut slot.name));
            }
            is_kept
        });
        close_all(removed_idle);
        removed_names.iter().for_each(|name| self.0.quota.member_removed(name));
    }

    /// Sets which members accept new statements. This also applies to pending statements that are not yet written.
    pub fn set_accepting(&self, accepts_new: impl Fn(MemberId) -> bool) {
        self.0.eligibility.set_accepting(accepts_new);
    }

    /// Whether new statements may be sent to a member.
    pub fn is_accepting(&self, member: MemberId) -> bool {
        self.0.eligibility.is_accepting(member)
    }

    /// The address of a member; `None` if the member is unknown or has no address yet.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.0.slots.borrow().get(&member)?.address
    }

    /// The maximum time for opening a connection, including its session.
    pub fn connect_timeout(&self) -> Duration {
        self.0.connect_timeout
    }

    /// Takes the most recently used idle connection that is synchronized. Connections that are over the quota, too old or
    /// unusable are closed and skipped; those whose synchronization is being checked are skipped.
    pub fn checkout(&self, member: MemberId) -> Option<MemberConnection> {
        loop {
            let IdleConnection { connection, idle_since } = self.take_last_synchronized(member)?;
            let close_reason = if self.is_over_quota(member) {
                // The quota shrank or its lease expired, possibly during a hold-up of this process.
                Some(CloseReason::Released)
            } else if idle_since.elapsed() >= self.0.retire_after {
                Some(CloseReason::Retired)
            } else {
                connection.unusable_reason_with_peek()
            };
            connection.close_reason().set(close_reason.unwrap_or(CloseReason::Cancelled));
            if close_reason.is_none() {
                return Some(connection);
            }
        }
    }

    fn take_last_synchronized(&self, member: MemberId) -> Option<IdleConnection> {
        let mut closing = Vec::new();
        let taken = {
            let mut slots = self.0.slots.borrow_mut();
            let idle = &mut slots.get_mut(&member)?.idle;
            remove_last_synchronized(idle, &mut closing)
        };
        closing.into_iter().for_each(|(idle, reason): (IdleConnection, CloseReason)| idle.close(reason));
        taken
    }

    /// Whether the open connections to a member exceed this proxy's quota.
    fn is_over_quota(&self, member: MemberId) -> bool {
        self.with_budget_name(member, |quota, name| Some(quota.excess_connections(name) > 0)).unwrap_or(false)
    }

    /// Returns a connection to the pool, and begins to check that it is synchronized. Closes it instead if the address of
    /// the member has changed, the member was removed or accepts no statements, or the quota is exceeded; otherwise a
    /// connection in constant use could outlive the lease of its quota.
    pub fn put_back(&self, member: MemberId, mut connection: MemberConnection) {
        connection.close_reason().set(CloseReason::Released);
        if self.is_over_quota(member) || !self.is_accepting(member) || !connection.begin_sync_check() {
            return;
        }
        let mut slots = self.0.slots.borrow_mut();
        let slot = slots.get_mut(&member).filter(|slot| slot.address == Some(connection.address()));
        if let Some(slot) = slot {
            slot.idle.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Reserves the descriptor of one more connection, and counts the connection. If no descriptor is left, closes the
    /// connection that has been idle longest to free one; `None` if there is no idle connection.
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

    /// Closes all idle connections to a member.
    pub fn close_idle(&self, member: MemberId) {
        let idle = self.0.slots.borrow_mut().get_mut(&member).map(|slot| std::mem::take(&mut slot.idle));
        close_all(idle.into_iter().flatten());
    }

    /// Closes idle connections that are too old or unusable.
    fn sweep(&self) {
        let mut closing = Vec::new();
        for slot in self.0.slots.borrow_mut().values_mut() {
            for mut idle in std::mem::take(&mut slot.idle) {
                match self.sweep_reason(&mut idle) {
                    Some(reason) => closing.push((idle, reason)),
                    None => slot.idle.push(idle),
                }
            }
        }
        closing.into_iter().for_each(|(idle, reason)| idle.close(reason));
    }

    fn sweep_reason(&self, idle: &mut IdleConnection) -> Option<CloseReason> {
        let idle_time = idle.idle_since.elapsed();
        if idle_time >= self.0.retire_after {
            return Some(CloseReason::Retired);
        }
        match idle.connection.sync_progress() {
            SyncProgress::Synchronized => idle.connection.unusable_reason(),
            // The member takes longer than it may for a new connection.
            SyncProgress::Pending => (idle_time >= self.0.connect_timeout).then_some(CloseReason::TimedOut),
            SyncProgress::Failed(reason) => Some(reason),
        }
    }

    /// Closes idle connections that are too old or unusable, at an interval. Runs until the process ends.
    pub async fn run_sweeper(self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.sweep();
        }
    }
}

/// Removes the last connection that is synchronized. Those on the way that can't be used any more are moved to
/// `closing`, with the reason.
fn remove_last_synchronized(
    idle: &mut Vec<IdleConnection>, closing: &mut Vec<(IdleConnection, CloseReason)>,
) -> Option<IdleConnection> {
    for index in (0..idle.len()).rev() {
        match idle[index].connection.sync_progress() {
            SyncProgress::Synchronized => return Some(idle.remove(index)),
            SyncProgress::Pending => {}
            SyncProgress::Failed(reason) => closing.push((idle.remove(index), reason)),
        }
    }
    None
}

/// Closes idle connections that the proxy no longer needs. Must not be called while the slots are borrowed.
fn close_all(idle: impl IntoIterator<Item = IdleConnection>) {
    idle.into_iter().for_each(|idle| idle.close(CloseReason::Released));
}
