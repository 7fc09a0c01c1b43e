//! Simulated proxies: the real lease holder and leader search, with a demand that the simulation sets. The use of a
//! unit ends at a scheduled time or by the holder's own clock, never because of a message.

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

/// Delay of a proxy's first lease request after its start.
const FIRST_REQUEST_US: Range<u64> = 0..100 * MILLISECOND_US;
/// Longest delay of a timer, twelve days. A holder without a pending request reports the maximum time as its next
/// request.
const TIMER_MAX_US: u64 = 1 << 40;

/// One proxy over all its incarnations.
pub(super) struct SimulatedProxy {
    identity: InstanceIdentity,
    holder: LeaseHolder,
    leader_search: LeaderSearch,
    clock: Clock,
    /// Counts starts. Events scheduled for an earlier incarnation are dropped. The identity's incarnation is a random
    /// number instead.
    pub(super) incarnation: u64,
    is_started: bool,
    /// Whether the process is suspended. Events that fall due meanwhile are deferred.
    pub(super) is_suspended: bool,
    pub(super) deferred: Vec<ScheduledEvent>,
    /// Simulation time of the next timer event. Timer events before it are ignored.
    timer_at_us: u64,
    /// No request is sent before this time on the proxy's clock.
    backoff_until: u64,
    /// Units that the proxy has demand for.
    demand: u64,
    /// Units in use by this incarnation.
    in_use: u64,
}

impl SimulatedProxy {
    /// Creates a proxy without demand, not started yet.
    pub(super) fn new(
        config: &SimulationConfig, operator: &Operator, index: usize, rng: &mut fastrand::Rng,
    ) -> SimulatedProxy {
        SimulatedProxy {
            identity: instance_identity(operator, &format!("p{index}"), 0),
            holder: LeaseHolder::new(config.terms.lease_us),
            leader_search: LeaderSearch::new(config.keepers, config.terms.lease_us),
            clock: Clock::draw(rng, config.drift_ppm()),
            incarnation: 0,
            is_started: false,
            is_suspended: false,
            deferred: Vec::new(),
            timer_at_us: 0,
            backoff_until: 0,
            demand: 0,
            in_use: 0,
        }
    }

    /// Time of the next request on the proxy's clock.
    fn next_request_at(&self) -> u64 {
        self.holder.next_request_at().max(self.backoff_until)
    }

    /// Releases units beyond the demand or beyond the lease, and returns their number.
    fn release_excess(&mut self, now: u64) -> u64 {
        let beyond_demand = self.in_use.saturating_sub(self.demand);
        let excess = beyond_demand.max(self.holder.excess(now, BUDGET_NAME));
        (0..excess).for_each(|_| self.holder.release(BUDGET_NAME));
        self.in_use -= excess;
        excess
    }

    /// Acquires units up to the demand, as far as the holder permits, and returns their number.
    fn acquire_demand(&mut self, now: u64) -> u64 {
        let wanted = self.demand.saturating_sub(self.in_use);
        // Tries each unit even after a refusal, since the holder counts these calls as demand.
        let acquired = (0..wanted)
            .filter(|_| self.holder.acquire(now, BUDGET_NAME) == AcquireDecision::Acquired)
            .count() as u64;
        self.in_use += acquired;
        acquired
    }
}

impl Simulation {
    /// Starts a proxy as a new incarnation, in place of a running process of the same name. Units of that process end
    /// as scheduled. With [`SimulationConfig::holds_units`] no end is scheduled: call [`Simulation::kill_proxy`]
    /// first.
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
        proxy.is_started = true;
        proxy.is_suspended = false;
        proxy.backoff_until = 0;
        proxy.in_use = 0;
        proxy.deferred.clear();
        self.set_timer(index, first_request_us);
        self.schedule_for_proxy(index, first_use_us, ProxyEvent::UseCheck);
    }

    /// Ends a proxy's process. Its units in use end within `outlives_us`.
    pub fn kill_proxy(&mut self, index: usize) {
        let units = self.proxies[index].in_use;
        self.proxies[index].is_started = false;
        if self.config.holds_units {
            self.schedule_unit_ends(index, units);
        }
    }

    /// Sets how many units a proxy has demand for.
    pub fn set_demand(&mut self, index: usize, units: u64) {
        self.proxies[index].demand = units;
    }

    /// Whether every started proxy holds a lease.
    pub fn all_proxies_have_leases(&self) -> bool {
        self.proxies.iter().all(|proxy| {
            let now = proxy.clock.reading(self.now_us);
            !proxy.is_started || proxy.holder.has_lease(now)
        })
    }

    pub(super) fn run_proxy_event(&mut self, index: usize, event: ProxyEvent) {
        match event {
            ProxyEvent::Timer if self.now_us < self.proxies[index].timer_at_us => {}
            ProxyEvent::Timer => self.run_timer(index),
            ProxyEvent::UseCheck => {
                if self.proxies[index].is_started {
                    self.adjust_use(index);
                    self.schedule_for_proxy(index, self.config.use_interval_us, ProxyEvent::UseCheck);
                }
            }
            ProxyEvent::Message(envelope) => self.receive_at_proxy(index, *envelope),
        }
    }

    /// Counts the end of a unit's use, and releases the unit at the holder if the proxy's incarnation is still the
    /// one that acquired it.
    pub(super) fn end_unit(&mut self, index: usize, incarnation: u64) {
        self.checker.record_released(1);
        let proxy = &mut self.proxies[index];
        if proxy.incarnation == incarnation {
            proxy.in_use -= 1;
            proxy.holder.release(BUDGET_NAME);
        }
    }

    /// Moves to another keeper if the current one did not answer in time, sends a due request, and sets the next
    /// timer.
    fn run_timer(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        if !proxy.is_started {
            return;
        }
        let now = proxy.clock.reading(self.now_us);
        // Read before `request_at_once`: after a lost keeper the request is due at the next timer, not at this one.
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
        let simulation_delay_us = proxy.clock.simulation_duration(delay_us);
        self.set_timer(index, simulation_delay_us);
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

    /// Adjusts the units in use to the demand, within the lease, and reports the change to the checker.
    fn adjust_use(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        let now = proxy.clock.reading(self.now_us);
        if self.config.holds_units {
            let released = proxy.release_excess(now);
            self.checker.record_released(released);
        }
        let acquired = proxy.acquire_demand(now);
        if proxy.in_use < proxy.demand {
            self.advance_timer(index, now);
        }
        self.checker.record_acquired(acquired, self.now_us);
        if !self.config.holds_units {
            self.schedule_unit_ends(index, acquired);
        }
    }

    /// Moves the timer forward to the next request, which unmet demand may have made due earlier.
    fn advance_timer(&mut self, index: usize, now: u64) {
        let proxy = &self.proxies[index];
        let delay_us = proxy.next_request_at().saturating_sub(now).min(TIMER_MAX_US);
        let simulation_delay_us = proxy.clock.simulation_duration(delay_us);
        if self.now_us + simulation_delay_us < proxy.timer_at_us {
            self.set_timer(index, simulation_delay_us);
        }
    }

    fn set_timer(&mut self, index: usize, simulation_delay_us: u64) {
        self.proxies[index].timer_at_us = self.now_us + simulation_delay_us;
        self.schedule_for_proxy(index, simulation_delay_us, ProxyEvent::Timer);
    }

    /// Schedules the end of each of these units at a random time within `outlives_us`.
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
