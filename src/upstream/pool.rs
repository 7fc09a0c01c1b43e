//! Connections kept warm: the one used last is used next, so that the others grow old and are retired well
//! before the member closes them. One budget of descriptors holds for all members together.

use crate::api::MemberId;
use crate::budget::{Budget, Place};
use crate::close_reason::CloseReason;
use crate::counters::Counters;
use crate::fleet::{Shares, Unit};
use crate::upstream::connection::MemberConnection;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections are retired at this part of the time after which members close them.
const RETIRE_PART: f64 = 0.6;
/// A connection rests this long after an answer: what a member sends too much would be taken for the next one.
const REST: Duration = Duration::from_millis(2);
/// How often idle connections are looked after.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Slot {
    addr: Option<SocketAddr>,
    idle: Vec<(MemberConnection, Instant)>,
    /// Nothing new may reach the member: it drains or is gone.
    closed: bool,
    name: String,
}

struct Inner {
    slots: RefCell<BTreeMap<MemberId, Slot>>,
    budget: Budget,
    retire: Duration,
    connect: Duration,
    counters: Rc<Counters>,
    shares: Shares,
}

/// All connections to members.
#[derive(Clone)]
pub struct Pool(Rc<Inner>);

impl Pool {
    /// Holds at most `most` connections; members close idle ones after `idle_close`.
    pub fn new(most: usize, idle_close: Duration, connect: Duration, counters: Rc<Counters>) -> Pool {
        Pool::with_quota(most, idle_close, connect, counters, Shares::default())
    }

    /// The same, within this proxy's shares of the fleet's budgets.
    pub fn with_quota(
        most: usize, idle_close: Duration, connect: Duration, counters: Rc<Counters>, shares: Shares,
    ) -> Pool {
        let retire = idle_close.mul_f64(RETIRE_PART);
        let (slots, budget) = (RefCell::default(), Budget::new(most));
        Pool(Rc::new(Inner { slots, budget, retire, connect, counters, shares }))
    }

    /// Says where a member listens; connections to where it listened before are given back.
    pub fn set_address(&self, member: MemberId, addr: SocketAddr) {
        let moved = {
            let mut slots = self.0.slots.borrow_mut();
            let slot = slots.entry(member).or_default();
            if slot.addr.replace(addr) == Some(addr) { Vec::new() } else { std::mem::take(&mut slot.idle) }
        };
        end(moved, CloseReason::GivenBack);
    }

    /// Says a member's name, by which the fleet knows it.
    pub fn set_name(&self, member: MemberId, name: &str) {
        let mut slots = self.0.slots.borrow_mut();
        let slot = slots.entry(member).or_default();
        if slot.name.is_empty() {
            slot.name = name.to_string();
            self.0.shares.members(std::iter::once(name));
        }
    }

    fn named<T>(&self, member: MemberId, take: impl FnOnce(&Shares, &str) -> Option<T>) -> Option<T> {
        take(&self.0.shares, &self.0.slots.borrow().get(&member)?.name)
    }

    /// Room for a connection to a member, and for an attempt there, in this proxy's shares; taken at once.
    pub fn connection_permit(&self, member: MemberId) -> Option<Unit> {
        self.named(member, |shares, name| shares.connection(name))
    }

    /// Room for an attempt at a member.
    pub fn attempt_permit(&self, member: MemberId) -> Option<Unit> {
        self.named(member, |shares, name| shares.attempt(name))
    }

    /// The shares.
    pub fn shares(&self) -> &Shares {
        &self.0.shares
    }

    /// Ends idle connections beyond what the shares allow, as they shrink or run out.
    pub async fn run_quota_enforcement(self) {
        loop {
            self.0.shares.changed().await;
            let mut over = Vec::new();
            for slot in self.0.slots.borrow_mut().values_mut() {
                let many = usize::try_from(self.0.shares.excess(&slot.name)).unwrap_or(usize::MAX);
                let many = many.min(slot.idle.len());
                over.extend(slot.idle.drain(..many));
            }
            end(over, CloseReason::GivenBack);
        }
    }

    /// Drops the members that are not to be kept, with their idle connections.
    pub fn retain(&self, keep: impl Fn(MemberId) -> bool) {
        let (mut dropped, mut gone) = (Vec::new(), Vec::new());
        self.0.slots.borrow_mut().retain(|member, slot| {
            let kept = keep(*member);
            if !kept {
                dropped.append(&mut slot.idle);
                gone.push(std::mem::take(&mut slot.name));
            }
            kept
        });
        end(dropped, CloseReason::GivenBack);
        gone.iter().for_each(|name| self.0.shares.gone(name));
    }

    /// Says which members take anything new. What was decided before and is not on its way yet stays here.
    pub fn set_accepting(&self, takes_new: impl Fn(MemberId) -> bool) {
        self.0.slots.borrow_mut().iter_mut().for_each(|(member, slot)| slot.closed = !takes_new(*member));
    }

    /// Whether anything new may reach a member.
    pub fn is_accepting(&self, member: MemberId) -> bool {
        self.0.slots.borrow().get(&member).is_some_and(|slot| !slot.closed)
    }

    /// Where a member listens.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.0.slots.borrow().get(&member)?.addr
    }

    /// How long a new connection may take.
    pub fn connect_timeout(&self) -> Duration {
        self.0.connect
    }

    /// The idle connection that was used last, if one is still good and has rested.
    pub fn checkout(&self, member: MemberId) -> Option<MemberConnection> {
        loop {
            let (link, since) = {
                let mut slots = self.0.slots.borrow_mut();
                let idle = &mut slots.get_mut(&member)?.idle;
                let rested = idle.iter().rposition(|(_, since)| since.elapsed() >= REST)?;
                idle.remove(rested)
            };
            if self.is_over_quota(member) {
                // The share has shrunk or run out, perhaps while this process was stopped: it is not used again.
                link.close_reason().set(CloseReason::GivenBack);
            } else if since.elapsed() >= self.0.retire {
                link.close_reason().set(CloseReason::Retired);
            } else if let Some(reason) = link.unusable_now() {
                link.close_reason().set(reason);
            } else {
                link.close_reason().set(CloseReason::Cancelled);
                return Some(link);
            }
        }
    }

    /// Whether more connections to a member are open than this proxy's shares allow.
    fn is_over_quota(&self, member: MemberId) -> bool {
        self.named(member, |shares, name| Some(shares.excess(name) > 0)).unwrap_or(false)
    }

    /// Keeps a connection for the next use, unless it is one more than the shares allow: used on and on, it would
    /// outlive its lease for ever.
    pub fn put_back(&self, member: MemberId, link: MemberConnection) {
        if self.is_over_quota(member) {
            return link.close_reason().set(CloseReason::GivenBack);
        }
        let mut slots = self.0.slots.borrow_mut();
        match slots.get_mut(&member).filter(|s| s.addr == Some(link.addr())) {
            Some(slot) => {
                link.close_reason().set(CloseReason::GivenBack);
                slot.idle.push((link, Instant::now()));
            }
            None => link.close_reason().set(CloseReason::GivenBack),
        }
    }

    /// Room for one more connection, made if need be by ending the one that was idle longest.
    pub fn reserve_descriptor(&self) -> Option<Place> {
        if let Some(place) = self.0.budget.enter() {
            self.0.counters.links.add();
            return Some(place);
        }
        let oldest = {
            let mut slots = self.0.slots.borrow_mut();
            let idle = slots.values_mut().filter(|s| !s.idle.is_empty());
            idle.min_by_key(|s| s.idle[0].1).map(|s| s.idle.remove(0))
        };
        end(oldest, CloseReason::GivenBack);
        let place = self.0.budget.enter()?;
        self.0.counters.links.add();
        Some(place)
    }

    /// Ends the idle connections to a member.
    pub fn close_idle(&self, member: MemberId) {
        let idle = self.0.slots.borrow_mut().get_mut(&member).map(|s| std::mem::take(&mut s.idle));
        end(idle.into_iter().flatten(), CloseReason::GivenBack);
    }

    /// Ends what is too old or unfit.
    pub fn sweep(&self) {
        let mut ended = Vec::new();
        for slot in self.0.slots.borrow_mut().values_mut() {
            for (link, since) in std::mem::take(&mut slot.idle) {
                let old = (since.elapsed() >= self.0.retire).then_some(CloseReason::Retired);
                match old.or_else(|| link.unusable()) {
                    Some(reason) => {
                        link.close_reason().set(reason);
                        ended.push(link);
                    }
                    None => slot.idle.push((link, since)),
                }
            }
        }
    }

    /// Sweeps for as long as the program runs.
    pub async fn run_sweeper(self) {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            self.sweep();
        }
    }
}

fn end(links: impl IntoIterator<Item = (MemberConnection, Instant)>, reason: CloseReason) {
    links.into_iter().for_each(|(link, _)| link.close_reason().set(reason));
}
