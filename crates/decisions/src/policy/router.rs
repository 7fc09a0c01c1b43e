//! The router: its state, the dispatch of events to the modules of the policy, and the queries of its driver.
//!
//! The decisions are made in the other modules, each on its own part of this state.

use super::class_latency::ClassLatencies;
use super::connection_failure::ConnectionCost;
use super::cost_budget::CostBudgets;
use super::fleet_divisor::FleetDivisor;
use super::group::Group;
use super::hedging::HedgeBudget;
use super::member::Member;
use super::request::QueuedRequest;
use super::slow_start::FleetRateMultiplier;
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

/// Availability and role of a member as this router observes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedHealth {
    /// Whether the member is in service, and the reason if not.
    pub availability: Availability,
    /// Whether the newest evidence shows the member as its group's primary.
    pub is_primary: bool,
}

impl Default for ObservedHealth {
    /// The state of an unknown member.
    fn default() -> ObservedHealth {
        ObservedHealth { availability: Availability::Delisted, is_primary: false }
    }
}

/// The router's wake-up timer; it is replaced only by one that is due earlier.
#[derive(Default)]
struct WakeTimer {
    /// Token of the latest timer; older timers are ignored when they fire.
    token: u64,
    /// When the timer is due; `None` while no timer is set.
    due: Option<Time>,
}

/// The decisions of one proxy instance.
pub struct Router {
    pub(super) settings: Settings,
    /// In a `RefCell` because replicas are drawn through `&self`. Code that holds a borrow must not call anything
    /// that draws.
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
    pub(super) fleet_rate_multiplier: FleetRateMultiplier,
    pub(super) zone_health: ZoneHealth,
    pub(super) budgets: CostBudgets,
    pub(super) polls: PollSchedule,
    pub(super) fleet_divisor: FleetDivisor,
    pub(super) next_member_check: Time,
    wake_timer: WakeTimer,
}

impl Router {
    /// Creates a router without members. Equal seeds give equal random draws.
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
            fleet_rate_multiplier: FleetRateMultiplier::neutral(),
            zone_health: ZoneHealth::default(),
            budgets: CostBudgets::default(),
            polls,
            fleet_divisor: FleetDivisor::from_fleet_size(settings.fleet_size),
            next_member_check: Time::default(),
            wake_timer: WakeTimer::default(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `out`, to be carried out in order. A `now` before that
    /// of an earlier call counts as the latest time seen.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::ListUpdated(update) => self.on_list(update),
            Event::RequestArrived(request) => self.on_request(request, out),
            Event::AttemptEnded(end) => self.on_attempt_ended(end, out),
            Event::LongAnswerEnded(end) => self.on_long_answer_ended(end, out),
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

    /// Sets the wake-up timer unless one that is due earlier is set. The interval is short only while requests are
    /// open: in a fleet of hundreds, a router has no open request most of the time.
    fn set_wake_timer(&mut self, out: &mut Vec<Action>) {
        let busy_gap = TICK.max(self.settings.tick);
        let gap = if self.requests.is_empty() { MEMBER_CHECK_INTERVAL } else { busy_gap };
        let due = self.now + gap;
        if self.wake_timer.due.is_none_or(|earlier| due < earlier) {
            self.wake_timer = WakeTimer { token: self.wake_timer.token + 1, due: Some(due) };
            out.push(Action::SetTimer { token: self.wake_timer.token, at: due });
        }
    }

    /// Runs the periodic work: polls, member checks, searches for primaries, dispatch of queued requests, and
    /// hedging.
    fn on_tick(&mut self, out: &mut Vec<Action>) {
        if self.polls.take_due(self.now.0) {
            out.push(Action::Subscribe);
        }
        self.reset_fleet_rate_multiplier_if_all_warm();
        self.check_members(out);
        self.eject_unresponsive_zones(out);
        let queued = self.groups.iter().filter(|(_, group)| !group.queued.is_empty());
        for group in queued.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.search_for_primary(group, out);
            self.dispatch_queued(group, out);
        }
        self.hedge_or_cancel_late_attempts(out);
    }

    /// The settings of a class, which must be one of `Settings::classes`.
    pub(super) fn class(&self, class: ClassId) -> &Class {
        &self.settings.classes[class.0]
    }

    /// Sets this router's share of the fleet-wide limits, as granted by the fleet's quota: from 0 to 1, where 0 means
    /// that no share is granted.
    pub fn set_fleet_quota_share(&mut self, share: f64) {
        self.fleet_divisor = FleetDivisor::from_quota_share(share, self.settings.fleet_size);
    }

    /// Whether the router holds state for a member. If not, the driver can drop its own state for the member.
    pub fn has_record_of(&self, member: MemberId) -> bool {
        self.members.contains_key(&member)
    }

    /// Whether new requests may be sent to a member: it is neither draining nor gone, but may be ejected. A removed
    /// member counts as gone unless the rules let it stay usable.
    pub fn accepts_new_requests(&self, member: MemberId) -> bool {
        self.members.get(&member).is_some_and(|member| member.listed_state == MemberState::InService)
    }

    /// The availability and role of a member.
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

    /// Whether a member gets no ordinary requests now: it is draining, gone, ejected or unknown.
    pub fn is_avoided(&self, member: MemberId) -> bool {
        self.members.get(&member).is_none_or(|member| !member.is_healthy())
    }

    /// Total number of members, groups, requests and sessions for which state is held.
    pub fn record_count(&self) -> usize {
        let sessions: usize = self.groups.values().map(|group| group.session_commits.session_count()).sum();
        self.members.len() + self.groups.len() + self.requests.len() + sessions
    }
}
