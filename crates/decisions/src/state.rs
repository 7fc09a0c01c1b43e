//! What a router keeps in mind: plain records, no decisions. The decisions on them are in `policy/`.

use crate::api::*;
use crate::client_retry::ClientRetryEstimator;
use crate::disruption::Availability;
pub(crate) use crate::outlier_recovery::EjectedMember;
use crate::poll_schedule::PollSchedule;
use crate::service_objective::ServiceObjective;
use crate::tenant_rate_limit::TenantRateLimiter;
use crate::zone_health::{InFlightAttempt, ZoneHealth};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

type Us = u64;

pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) member: MemberId,
    pub(crate) sent: Us,
    pub(crate) cancelled: bool,
}

#[derive(Default)]
pub(crate) struct Held {
    pub(crate) class: usize,
    pub(crate) group: GroupId,
    pub(crate) session: Option<SessionKey>,
    pub(crate) arrived: Us,
    pub(crate) aim_at: Us,
    pub(crate) deadline: Us,
    pub(crate) floor: Us,
    pub(crate) fall_at: Us,
    pub(crate) worth: f64,
    /// Its client began so long ago that an answer is worth little.
    pub(crate) spent: bool,
    pub(crate) ran_from: Option<Us>,
    pub(crate) reached: bool,
    pub(crate) attempts: u32,
    pub(crate) open: Vec<Attempt>,
    pub(crate) missed: BTreeMap<MemberId, Us>,
}

/// An attempt at a member: when it was sent, the request's class and session.
pub(crate) type Sent = (Us, usize, Option<SessionKey>);

#[derive(Default)]
pub(crate) struct Member {
    pub(crate) zone: Option<ZoneId>,
    pub(crate) group: Option<GroupId>,
    pub(crate) state: MemberState,
    pub(crate) started: Us,
    pub(crate) cold_since: Option<Us>,
    pub(crate) permit_at: Us,
    /// How much faster than others a cold member is given work, by what it says of its use.
    pub(crate) pace: f64,
    pub(crate) absent_since: Option<Us>,
    pub(crate) position: Us,
    pub(crate) reported: Us,
    pub(crate) shared: Us,
    pub(crate) primary_at: Us,
    pub(crate) replica_at: Us,
    pub(crate) proven: bool,
    pub(crate) behind: Us,
    pub(crate) behind_at: Us,
    pub(crate) ratio: f64,
    pub(crate) strain: f64,
    /// How much of its processors it says are in use, smoothed; none where it doesn't say.
    pub(crate) used: Option<f64>,
    pub(crate) limit: f64,
    pub(crate) cut_at: Us,
    pub(crate) judged: Us,
    pub(crate) rest_until: Us,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
    pub(crate) open: BTreeMap<(RequestId, u32), Sent>,
    /// The latest send that was answered.
    pub(crate) passed: Us,
    pub(crate) linked_at: Option<Us>,
    pub(crate) heard: Us,
    pub(crate) ejected: Option<EjectedMember>,
    pub(crate) probing: bool,
    pub(crate) probed: Us,
}

impl Member {
    /// Notes what it says of its use, and gives it back.
    pub(crate) fn note_use(&mut self, util: Option<f64>) -> Option<f64> {
        let smooth = |util: f64| self.used.map_or(util, |used| used + 0.2 * (util - used));
        self.used = util.map(smooth).or(self.used);
        util
    }

    /// A probe is new work, too: none while one is out, or the member drains or is gone.
    pub(crate) fn may_be_probed(&self) -> bool {
        self.state == MemberState::InService && !self.probing
    }

    /// The attempts in flight here, each with its usual time by its class's mean.
    pub(crate) fn in_flight(&self, id: MemberId, means: &[f64]) -> impl Iterator<Item = InFlightAttempt> {
        let usual = |class: usize| means[class] * self.ratio.clamp(1.0, 4.0);
        let out = move |o: &Sent| {
            Some(InFlightAttempt { zone: self.zone?, member: id, sent: o.0, usual: usual(o.1) })
        };
        self.open.values().filter_map(out)
    }
}

#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<MemberId>,
    pub(crate) held: BTreeSet<RequestId>,
    pub(crate) sessions: Sessions,
    pub(crate) primary: Option<MemberId>,
    pub(crate) seek_at: Us,
    pub(crate) first_held: usize,
}

impl Group {
    /// Whether it has members, holds requests, or remembers sessions: a group that was only named has not.
    pub(crate) fn is_used(&self) -> bool {
        !(self.members.is_empty() && self.held.is_empty() && self.sessions.by_key.is_empty())
    }
}

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

/// One instance of the decisions: everything a driver knows.
pub struct Router {
    pub(crate) set: Settings,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) now: Us,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) requests: BTreeMap<RequestId, Held>,
    pub(crate) means: Vec<f64>,
    pub(crate) patience: Vec<f64>,
    pub(crate) client_retries: ClientRetryEstimator,
    pub(crate) objective: ServiceObjective,
    pub(crate) rate_limits: Vec<TenantRateLimiter>,
    pub(crate) copies: f64,
    pub(crate) lost: f64,
    pub(crate) link_cost: f64,
    pub(crate) pace: f64,
    pub(crate) zone_health: ZoneHealth,
    pub(crate) squeezed_until: Us,
    pub(crate) probe_credit: f64,
    pub(crate) tell_credit: f64,
    pub(crate) timer: u64,
    pub(crate) timer_at: Us,
    pub(crate) walk_at: Us,
    pub(crate) polls: PollSchedule,
    /// As how many routers like this one all that share nothing count: for limits, and for what cold members bear.
    pub(crate) sharers: (f64, f64),
}

impl Router {
    /// What this router may do of what all may do together, where it is agreed on: from 0 to 1. What cold members bear
    /// goes by it alone; limits, which must not stop a router that nothing was granted yet, then go by the settings.
    pub fn set_fleet_quota_part(&mut self, part: f64) {
        let settings = f64::from(self.set.fleet_size.max(1));
        let held = part > 0.0;
        self.sharers =
            (if held { 1.0 / part } else { settings }, if held { 1.0 / part } else { f64::INFINITY });
    }

    /// Whether anything is kept of a member: once not, its driver may forget it, too.
    pub fn has_record_of(&self, member: MemberId) -> bool {
        self.members.contains_key(&member)
    }

    /// Whether anything new may reach a member: it neither drains nor is gone.
    pub fn accepts_new_requests(&self, member: MemberId) -> bool {
        self.members.get(&member).is_some_and(|m| m.state == MemberState::InService)
    }

    /// A request is served now: what its class was served; gives the time back.
    pub(crate) fn credit(&mut self, id: &RequestId) -> Us {
        if let Some(r) = self.requests.get(id) {
            let late = self.now > r.aim_at;
            self.objective
                .request_served(r.class, if late { self.set.classes[r.class].late_weight } else { 1.0 });
        }
        self.now
    }

    /// How a member is seen: why it is out, if it is, and whether it is its group's primary.
    pub fn observed_health(&self, member: MemberId) -> ObservedHealth {
        let Some(m) = self.members.get(&member) else { return ObservedHealth::default() };
        let cold = m.cold_since.is_some_and(|since| self.now < since + self.set.rules.slow_start.0);
        let cause = match () {
            () if m.state != MemberState::InService => Availability::Delisted,
            () if m.ejected.is_some() => Availability::Unresponsive,
            () if cold => Availability::WarmingUp,
            () => Availability::InService,
        };
        ObservedHealth { availability: cause, is_primary: m.primary_at > m.replica_at }
    }

    /// Whether a member gets no ordinary work now: it drains, is gone, or is ill.
    pub fn is_avoided(&self, member: MemberId) -> bool {
        self.members.get(&member).is_none_or(|m| m.state != MemberState::InService || m.ejected.is_some())
    }

    /// How many members, groups, requests and sessions are kept.
    pub fn record_count(&self) -> usize {
        let sessions: usize = self.groups.values().map(|g| g.sessions.by_key.len()).sum();
        self.members.len() + self.groups.len() + self.requests.len() + sessions
    }

    /// An empty record.
    pub(crate) fn blank(set: Settings, rng: fastrand::Rng, now: Us) -> Router {
        let objective =
            ServiceObjective::new(set.objective_weights, set.classes.iter().map(|c| c.priority_weight));
        let client_retries = ClientRetryEstimator::new(set.classes.iter().map(|c| c.client_timeout.0));
        let first = (set.discovery == Discovery::OnRequest).then_some(now);
        let sharers = f64::from(set.fleet_size.max(1));
        Router {
            sharers: (sharers, sharers),
            polls: PollSchedule::new(set.fleet_index, set.fleet_size, set.rules.poll_within.0, first)
                .with_drain_grace(set.rules.drain_grace.0),
            rate_limits: vec![TenantRateLimiter::new(now); set.tenants.len()],
            set,
            rng: RefCell::new(rng),
            now,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            means: Vec::new(),
            patience: Vec::new(),
            client_retries,
            objective,
            copies: 0.0,
            lost: 0.0,
            link_cost: 0.0,
            pace: 1.0,
            zone_health: ZoneHealth::default(),
            squeezed_until: 0,
            probe_credit: 0.0,
            tell_credit: 0.0,
            timer: 0,
            timer_at: 0,
            walk_at: 0,
        }
    }
}

/// Commits of answered writes by session, in bounded memory.
#[derive(Default)]
pub(crate) struct Sessions {
    by_key: BTreeMap<SessionKey, Us>,
    by_age: BTreeSet<(Us, SessionKey)>,
    watermark: Us,
}

impl Sessions {
    /// Notes a commit.
    pub(crate) fn note(&mut self, session: SessionKey, commit: Us) {
        let known = self.by_key.get(&session).copied().unwrap_or(0);
        if known < commit {
            self.by_age.remove(&(known, session));
            self.by_key.insert(session, commit);
            self.by_age.insert((commit, session));
        }
    }

    /// Drops the oldest past `most` sessions; the watermark keeps the newest commit dropped.
    pub(crate) fn drop_past(&mut self, most: usize) {
        while self.by_key.len() > most
            && let Some((commit, dropped)) = self.by_age.pop_first()
        {
            self.by_key.remove(&dropped);
            self.watermark = self.watermark.max(commit);
        }
    }

    /// The newest commit that the session must see; 0 when there is none.
    pub(crate) fn commit(&self, session: Option<SessionKey>) -> Us {
        session.and_then(|s| self.by_key.get(&s).copied()).unwrap_or(0).max(self.watermark)
    }
}
