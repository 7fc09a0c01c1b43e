//! The router: its state, the dispatch of events, and what drivers may ask of it.
//!
//! It decides nothing by itself; the modules beside it do, each on its own part of the state.

use super::class_latency::ClassLatencies;
use super::connection_failure::ConnectionCost;
use super::cost_budget::CostBudgets;
use super::fleet_divisor::FleetDivisor;
use super::group::Group;
use super::hedging::HedgeBudget;
use super::member::Member;
use super::request::QueuedRequest;
use super::slow_start::FleetPace;
use super::{MEMBER_CHECK_INTERVAL, TICK};
use crate::api::{
    Action, Class, ClassId, Discovery, Event, GroupId, MemberId, MemberState, RequestId, Settings, Time,
};
use crate::client_retry::ClientRetryEstimator;
use crate::disruption::Availability;
use crate::poll_schedule::PollSchedule;
use crate::service_objective::ServiceObjective;
use crate::tenant_rate_limit::TenantRateLimiter;
use crate::zone_health::ZoneHealth;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// How a router sees a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedHealth {
    /// Whether it can be used, and why not.
    pub availability: Availability,
    /// It is its group's primary, as far as is known.
    pub is_primary: bool,
}

impl Default for ObservedHealth {
    /// A member of which nothing is known.
    fn default() -> ObservedHealth {
        ObservedHealth { availability: Availability::Delisted, is_primary: false }
    }
}

/// The timer that wakes the router; an earlier one replaces a later one.
#[derive(Default)]
struct WakeTimer {
    /// The token of the latest timer; older ones are void.
    token: u64,
    /// When it comes due; `None` while none is set.
    due: Option<Time>,
}

/// One instance of the decisions.
pub struct Router {
    pub(super) settings: Settings,
    /// Behind a cell since a weighted draw reads all other state. It is never borrowed across a call.
    pub(super) rng: RefCell<fastrand::Rng>,
    pub(super) now: Time,
    pub(super) members: BTreeMap<MemberId, Member>,
    pub(super) groups: BTreeMap<GroupId, Group>,
    pub(super) requests: BTreeMap<RequestId, QueuedRequest>,
    pub(super) latencies: ClassLatencies,
    pub(super) client_retries: ClientRetryEstimator,
    pub(super) service_objective: ServiceObjective,
    pub(super) tenant_limits: Vec<TenantRateLimiter>,
    pub(super) hedging: HedgeBudget,
    pub(super) connection_cost: ConnectionCost,
    pub(super) fleet_pace: FleetPace,
    pub(super) zone_health: ZoneHealth,
    pub(super) budgets: CostBudgets,
    pub(super) polls: PollSchedule,
    pub(super) fleet_divisor: FleetDivisor,
    pub(super) next_member_check: Time,
    wake_timer: WakeTimer,
}

impl Router {
    /// A router that knows nothing yet but its settings. Equal seeds give equal random draws.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Router {
        let class_weights = settings.classes.iter().map(|class| class.priority_weight);
        let client_timeouts = settings.classes.iter().map(|class| class.client_timeout.0);
        let first_poll = (settings.discovery == Discovery::OnRequest).then_some(now.0);
        let poll_within = settings.rules.poll_within.0;
        let polls = PollSchedule::new(settings.fleet_index, settings.fleet_size, poll_within, first_poll)
            .with_drain_grace(settings.rules.drain_grace.0);
        Router {
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            now,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            latencies: ClassLatencies::new(&settings.classes),
            client_retries: ClientRetryEstimator::new(client_timeouts),
            service_objective: ServiceObjective::new(settings.objective_weights, class_weights),
            tenant_limits: vec![TenantRateLimiter::new(now); settings.tenants.len()],
            hedging: HedgeBudget::default(),
            connection_cost: ConnectionCost::default(),
            fleet_pace: FleetPace::neutral(),
            zone_health: ZoneHealth::default(),
            budgets: CostBudgets::default(),
            polls,
            fleet_divisor: FleetDivisor::from_fleet_size(settings.fleet_size),
            next_member_check: Time::default(),
            wake_timer: WakeTimer::default(),
            settings,
        }
    }

    /// Takes one event and pushes the actions it calls for, to be carried out in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::ListUpdated(update) => self.on_list(update),
            Event::RequestArrived(request) => self.on_request(request, out),
            Event::AttemptEnded(end) => self.on_attempt_ended(end, out),
            Event::ClientGone { id } => self.on_client_gone(id, out),
            Event::TimerDue { token } => self.on_timer(token, out),
            Event::AttemptStarted { .. } => {}
            Event::PositionGossiped { member, position, is_primary } => {
                self.on_gossip(member, position, is_primary, out);
            }
            Event::HealthCheckEnded { member, outcome, report } => {
                self.on_health_check_ended(member, outcome, report, out);
            }
        }
        self.set_wake_timer(out);
    }

    fn on_timer(&mut self, token: u64, out: &mut Vec<Action>) {
        if token == self.wake_timer.token {
            self.wake_timer.due = None;
            self.on_tick(out);
        }
    }

    /// Wakes soon only while a request is here: most of the time a router of hundreds has none.
    fn set_wake_timer(&mut self, out: &mut Vec<Action>) {
        let busy_gap = TICK.max(self.settings.tick);
        let gap = if self.requests.is_empty() { MEMBER_CHECK_INTERVAL } else { busy_gap };
        let due = self.now + gap;
        if self.wake_timer.due.is_none_or(|earlier| due < earlier) {
            self.wake_timer = WakeTimer { token: self.wake_timer.token + 1, due: Some(due) };
            out.push(Action::SetTimer { token: self.wake_timer.token, at: due });
        }
    }

    /// Looks at everything that changes with time alone.
    fn on_tick(&mut self, out: &mut Vec<Action>) {
        if self.polls.take_due(self.now.0) {
            out.push(Action::Subscribe);
        }
        self.reset_fleet_pace_if_all_warm();
        self.check_members(out);
        self.eject_silent_zones(out);
        let queued = self.groups.iter().filter(|(_, group)| !group.queued.is_empty());
        for group in queued.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.search_for_primary(group, out);
            self.dispatch_queued(group, out);
        }
        self.hedge_or_move_late_attempts(out);
    }

    /// The settings of a class.
    pub(super) fn class(&self, class: ClassId) -> &Class {
        &self.settings.classes[class.0]
    }

    /// Sets what this router may do of what all may do together, where the fleet agrees on it: from 0 to 1.
    pub fn set_fleet_quota_share(&mut self, part: f64) {
        self.fleet_divisor = FleetDivisor::from_quota_part(part, self.settings.fleet_size);
    }

    /// Whether anything is kept of a member: once not, its driver may forget it, too.
    pub fn has_record_of(&self, member: MemberId) -> bool {
        self.members.contains_key(&member)
    }

    /// Whether anything new may reach a member: it neither drains nor is gone.
    pub fn accepts_new_requests(&self, member: MemberId) -> bool {
        self.members.get(&member).is_some_and(|member| member.listed_state == MemberState::InService)
    }

    /// How a member is seen: why it is out, if it is, and whether it is its group's primary.
    pub fn observed_health(&self, member: MemberId) -> ObservedHealth {
        let Some(member) = self.members.get(&member) else { return ObservedHealth::default() };
        let warming_until =
            member.slow_start.warming_since.map(|since| since + self.settings.rules.slow_start);
        let availability = if member.listed_state != MemberState::InService {
            Availability::Delisted
        } else if member.ejected.is_some() {
            Availability::Unresponsive
        } else if warming_until.is_some_and(|until| self.now < until) {
            Availability::WarmingUp
        } else {
            Availability::InService
        };
        ObservedHealth { availability, is_primary: member.role.claims_primary() }
    }

    /// Whether a member gets no ordinary requests now: it drains, is gone, or is ejected.
    pub fn is_avoided(&self, member: MemberId) -> bool {
        self.members.get(&member).is_none_or(|member| !member.is_healthy())
    }

    /// How many members, groups, requests and sessions are kept.
    pub fn record_count(&self) -> usize {
        let sessions: usize = self.groups.values().map(|group| group.session_commits.session_count()).sum();
        self.members.len() + self.groups.len() + self.requests.len() + sessions
    }
}
