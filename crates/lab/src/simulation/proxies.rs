//! Simulated proxies: the real lease holder and the real search for a leader, with a demand that the simulation sets.
//! A unit's use ends by time alone or by the holder's own clock, never by a message.

use super::clock::Clock;
use super::config::{BUDGET_NAME, instance_identity};
use super::events::{Endpoint, ProxyEvent, ScheduledEvent};
use super::{MILLISECOND_US, Simulation, SimulationConfig};
use linenhill_cluster::protocol::{Body, Envelope, LeaseRequest};
use linenhill_cluster::transport::InstanceIdentity;
use linenhill_decisions::quota::leader_search::LeaderSearch;
use linenhill_decisions::quota::lease_holder::{AcquireDecision, LeaseHolder};
use linenhill_settings::operator::Operator;
use std::ops::Range;

/// When a proxy first asks for a lease after its start.
const FIRST_REQUEST_US: Range<u64> = 0..100 * MILLISECOND_US;
/// The longest time for which a timer is set, twelve days: a holder that waits for nothing yields the largest moment.
const TIMER_MAX_US: u64 = 1 << 40;

/// One proxy under its name, over all its incarnations.
pub(super) struct SimulatedProxy {
    identity: InstanceIdentity,
    holder: LeaseHolder,
    leader_search: LeaderSearch,
    clock: Clock,
    /// Counts starts: what was scheduled before one is dropped. The identity's incarnation is drawn instead.
    pub(super) incarnation: u64,
    is_alive: bool,
    /// Whether the process does not run for now. What arrives meanwhile is deferred.
    pub(super) is_suspended: bool,
    pub(super) deferred: Vec<ScheduledEvent>,
    /// The real time of its next timer event. One that is scheduled for earlier is void.
    timer_at_us: u64,
    /// It sends no request before this, by its clock.
    backoff_until: u64,
    /// Units that it could use.
    demand: u64,
    /// Units that this incarnation uses.
    in_use: u64,
}

impl SimulatedProxy {
    /// A proxy without demand that is not started yet.
    pub(super) fn new(
        config: &SimulationConfig, operator: &Operator, index: usize, rng: &mut fastrand::Rng,
    ) -> SimulatedProxy {
        SimulatedProxy {
            identity: instance_identity(operator, &format!("p{index}"), 0),
            holder: LeaseHolder::new(config.terms.lease_us),
            leader_search: LeaderSearch::new(config.keepers, config.terms.lease_us),
            clock: Clock::draw(rng, config.drift_ppm()),
            incarnation: 0,
            is_alive: false,
            is_suspended: false,
            deferred: Vec::new(),
            timer_at_us: 0,
            backoff_until: 0,
            demand: 0,
            in_use: 0,
        }
    }

    /// When the next request is due, by its clock.
    fn next_request_at(&self) -> u64 {
        self.holder.next_request_at().max(self.backoff_until)
    }

    /// Ends the use of units beyond the demand or beyond what the lease allows, and returns how many.
    fn release_excess(&mut self, now: u64) -> u64 {
        let beyond_demand = self.in_use.saturating_sub(self.demand);
        let excess = beyond_demand.max(self.holder.excess(now, BUDGET_NAME));
        (0..excess).for_each(|_| self.holder.release(BUDGET_NAME));
        self.in_use -= excess;
        excess
    }

    /// Begins to use units up to the demand, as far as the holder allows, and returns how many.
    fn acquire_demand(&mut self, now: u64) -> u64 {
        let wanted = self.demand.saturating_sub(self.in_use);
        // Each unit is asked for, also after a refusal: the holder counts them as the demand.
        let acquired = (0..wanted)
            .filter(|_| self.holder.acquire(now, BUDGET_NAME) == AcquireDecision::Acquired)
            .count() as u64;
        self.in_use += acquired;
        acquired
    }
}

impl Simulation {
    /// Starts a proxy as a new incarnation. A process that runs under its name dies; its units end as they would have.
    /// Where [`SimulationConfig::holds_units`] is set they have no end of their own: call [`Simulation::kill_proxy`] first.
    pub fn start_proxy(&mut self, index: usize) {
        let identity_incarnation = self.rng.u64(1..u64::MAX);
        let first_request_us = self.rng.u64(FIRST_REQUEST_US);
        let first_use_us = self.rng.u64(0..self.config.use_interval_us);
        let terms = self.config.terms;
        let proxy = &mut self.proxies[index];
        proxy.incarnation += 1;
        proxy.identity.incarnation = identity_incarnation;
        proxy.holder = LeaseHolder::new(terms.lease_us);
        proxy.holder.enforce(BUDGET_NAME, false);
        proxy.leader_search = LeaderSearch::new(self.config.keepers, terms.lease_us);
        proxy.is_alive = true;
        proxy.is_suspended = false;
        proxy.backoff_until = 0;
        proxy.in_use = 0;
        proxy.deferred.clear();
        self.set_timer(index, first_request_us);
        self.schedule_for_proxy(index, first_use_us, ProxyEvent::UseCheck);
    }

    /// Ends a proxy's process. Units that it uses end by themselves, within the time that they may outlive a lease.
    pub fn kill_proxy(&mut self, index: usize) {
        let units = self.proxies[index].in_use;
        self.proxies[index].is_alive = false;
        if self.config.holds_units {
            self.schedule_unit_ends(index, units);
        }
    }

    /// Sets how many units a proxy could use from now on.
    pub fn set_demand(&mut self, index: usize, units: u64) {
        self.proxies[index].demand = units;
    }

    /// Whether every proxy that lives holds a lease.
    pub fn is_settled(&self) -> bool {
        self.proxies.iter().all(|proxy| {
            let now = proxy.clock.reading(self.now_us);
            !proxy.is_alive || proxy.holder.has_lease(now)
        })
    }

    pub(super) fn run_proxy_event(&mut self, index: usize, event: ProxyEvent) {
        match event {
            ProxyEvent::Timer if self.now_us < self.proxies[index].timer_at_us => {}
            ProxyEvent::Timer => self.run_timer(index),
            ProxyEvent::UseCheck => {
                if self.proxies[index].is_alive {
                    self.adjust_use(index);
                    self.schedule_for_proxy(index, self.config.use_interval_us, ProxyEvent::UseCheck);
                }
            }
            ProxyEvent::Message(envelope) => self.receive_at_proxy(index, *envelope),
        }
    }

    /// Counts the end of a unit's use, which the proxy learns if it is still the incarnation that used it.
    pub(super) fn end_unit(&mut self, index: usize, incarnation: u64) {
        self.checker.units_ended(1);
        let proxy = &mut self.proxies[index];
        if proxy.incarnation == incarnation {
            proxy.in_use -= 1;
            proxy.holder.release(BUDGET_NAME);
        }
    }

    /// Gives up on a keeper that does not answer, sends a request that is due, and sets the next timer.
    fn run_timer(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        if !proxy.is_alive {
            return;
        }
        let now = proxy.clock.reading(self.now_us);
        // Taken before the search moves on: a lost keeper makes the next timer's request due, not this one's.
        let request_at = proxy.holder.next_request_at();
        if proxy.leader_search.answer_deadline().is_some_and(|deadline| now >= deadline) {
            proxy.backoff_until = now + proxy.leader_search.keeper_lost(self.rng.f64());
            proxy.holder.request_at_once();
        }
        if now >= request_at.max(proxy.backoff_until) {
            self.request_lease(index, now);
        }
        let proxy = &self.proxies[index];
        let request_at = proxy.next_request_at();
        let deadline = proxy.leader_search.answer_deadline();
        let next = deadline.map_or(request_at, |deadline| deadline.min(request_at));
        let delay_us = next.max(now + MILLISECOND_US) - now;
        let real_delay_us = proxy.clock.real_duration(delay_us);
        self.set_timer(index, real_delay_us);
    }

    fn request_lease(&mut self, index: usize, now: u64) {
        let proxy = &mut self.proxies[index];
        let request = LeaseRequest {
            quota: proxy.holder.next_request(now),
            version: String::new(),
            zone: String::new(),
            report: None,
        };
        proxy.leader_search.request_sent(now);
        let envelope = proxy.identity.envelope(0, Body::LeaseRequest(request));
        let keeper = Endpoint::Keeper(proxy.leader_search.current_keeper());
        self.send(Endpoint::Proxy(index), keeper, envelope);
    }

    fn receive_at_proxy(&mut self, index: usize, envelope: Envelope) {
        let proxy = &mut self.proxies[index];
        let now = proxy.clock.reading(self.now_us);
        match envelope.body {
            Some(Body::LeaseGranted(granted)) => {
                let is_current = proxy.holder.apply_grant(now, granted.grant);
                if is_current {
                    proxy.leader_search.request_granted();
                }
            }
            Some(Body::NotLeader(reply)) => {
                let leader = self.operator.keepers.iter().position(|keeper| keeper.name == reply.leader);
                proxy.backoff_until = now + proxy.leader_search.redirected(leader, self.rng.f64());
                proxy.holder.request_at_once();
            }
            Some(Body::LeaseRejected(rejected))
                if rejected.superseded && rejected.incarnation == proxy.identity.incarnation =>
            {
                proxy.identity.incarnation = self.rng.u64(1..u64::MAX);
                proxy.holder.handle_superseded(now);
            }
            _ => {}
        }
    }

    /// Brings the units in use to the demand, as far as the lease allows, and has the checker count the change.
    fn adjust_use(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        let now = proxy.clock.reading(self.now_us);
        if self.config.holds_units {
            let released = proxy.release_excess(now);
            self.checker.units_ended(released);
        }
        let acquired = proxy.acquire_demand(now);
        if proxy.in_use < proxy.demand {
            self.advance_timer(index, now);
        }
        self.checker.units_begun(acquired, self.now_us);
        if !self.config.holds_units {
            self.schedule_unit_ends(index, acquired);
        }
    }

    /// Sets the timer to the next request, if that is earlier: unmet demand may have made it due.
    fn advance_timer(&mut self, index: usize, now: u64) {
        let proxy = &self.proxies[index];
        let delay_us = proxy.next_request_at().saturating_sub(now).min(TIMER_MAX_US);
        let real_delay_us = proxy.clock.real_duration(delay_us);
        if self.now_us + real_delay_us < proxy.timer_at_us {
            self.set_timer(index, real_delay_us);
        }
    }

    fn set_timer(&mut self, index: usize, real_delay_us: u64) {
        self.proxies[index].timer_at_us = self.now_us + real_delay_us;
        self.schedule_for_proxy(index, real_delay_us, ProxyEvent::Timer);
    }

    /// Has each of these units end at a random moment, within the time that a unit may outlive its lease.
    fn schedule_unit_ends(&mut self, proxy: usize, units: u64) {
        let incarnation = self.proxies[proxy].incarnation;
        for _ in 0..units {
            let delay_us = self.rng.u64(1..=self.config.outlives_us);
            self.schedule_after(delay_us, ScheduledEvent::UnitEnds { proxy, incarnation });
        }
    }

    fn schedule_for_proxy(&mut self, proxy: usize, delay_us: u64, event: ProxyEvent) {
        let incarnation = self.proxies[proxy].incarnation;
        self.schedule_after(delay_us, ScheduledEvent::ForProxy { proxy, incarnation, event });
    }
}
