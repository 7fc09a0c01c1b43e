//! Simulates a random history at one site: requests, member faults, list updates, gossip and timers, in virtual time.

mod member_changes;
mod rare;

use super::encoding::{DigestWriter, request_id};
use super::members::{Condition, GROUPS, ModelMember, initial_members};
use super::site::Site;
use fastrand::Rng;
use linenhill_decisions::api::{
    Action, AttemptEnd, ClassId, Event, GroupId, ListUpdate, LoadReport, LogPosition, MemberId, MemberState,
    Micros, Outcome, ReadLevel, Request, RequestId, SessionKey, Settings, TenantId, Time,
};
use linenhill_decisions::policy::Router;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
/// Start time of every history, in microseconds of Unix time (2026).
const START: u64 = 1_780_000_000 * SECOND;
/// Bursts of requests per history.
const BURSTS: u32 = 9;
/// Requests per burst.
const BURST_REQUESTS: u32 = 36;
/// Number of sessions that requests are drawn from.
const SESSIONS: u64 = 6;
/// On average one history in this many writes from more sessions than a router remembers.
const SESSION_OVERFLOW_ONE_IN: u32 = 400;

/// An event that is due at a later time of the history.
enum ScheduledEvent {
    /// A request for this group, or for a random one if `None`.
    RequestArrives(Option<GroupId>),
    AttemptEnds {
        id: RequestId,
        attempt: u32,
        member: MemberId,
        outcome: Outcome,
    },
    AttemptStarts(RequestId),
    ClientLeaves(RequestId),
    HealthCheckEnds(MemberId),
    Timer(u64),
    MembersChange,
    RareEvent,
    GroupReturns(GroupId),
}

struct ModelAttempt {
    sent: u64,
    has_ended: bool,
}

struct ModelRequest {
    is_write: bool,
    deadline: u64,
    attempts: Vec<ModelAttempt>,
    /// Whether the request has its final answer or its client has left.
    is_over: bool,
}

/// State of one history at one site. Times and durations are in microseconds.
pub(super) struct History<'a> {
    router: Router,
    settings: Settings,
    classes: usize,
    tenants: usize,
    writer: &'a mut DigestWriter,
    rng: Rng,
    now: u64,
    sequence: u64,
    schedule: BTreeMap<(u64, u64), ScheduledEvent>,
    members: Vec<ModelMember>,
    requests: BTreeMap<RequestId, ModelRequest>,
    next_request: u64,
    /// Whether all members answer without latency.
    answers_immediately: bool,
    /// Actions of the router that are not performed yet, in order.
    actions: VecDeque<Action>,
}

impl<'a> History<'a> {
    /// Creates a history with initial members and no scheduled events.
    pub(super) fn new(site: &Site, seed: u64, writer: &'a mut DigestWriter) -> History<'a> {
        let mut rng = Rng::with_seed(seed);
        let settings = site.settings(&mut rng);
        History {
            router: Router::new(settings.clone(), seed, Time(START)),
            settings,
            classes: site.classes,
            tenants: site.tenants,
            writer,
            members: initial_members(&mut rng),
            rng,
            now: START,
            sequence: 0,
            schedule: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            answers_immediately: false,
            actions: VecDeque::new(),
        }
    }

    /// Runs the history to its end.
    pub(super) fn run(mut self) {
        if self.rng.u32(..4) > 0 {
            self.send_list(ListForm::Cached);
        }
        self.send_list(ListForm::Full);
        for _ in 0..BURSTS {
            self.schedule_burst();
            if self.rng.u32(..SESSION_OVERFLOW_ONE_IN * BURSTS) == 0 {
                self.write_from_many_sessions();
            }
            let pause = self.pick(&[200 * MS, SECOND, 4 * SECOND, 12 * SECOND, 70 * SECOND]);
            self.run_for(pause);
            self.observe();
        }
        self.run_for(10 * SECOND);
        self.observe();
    }

    fn schedule_burst(&mut self) {
        let spread = self.pick(&[20 * MS, 400 * MS, 3 * SECOND]);
        for _ in 0..BURST_REQUESTS {
            let after = self.rng.u64(..spread);
            self.schedule_in(after, ScheduledEvent::RequestArrives(None));
        }
        for _ in 0..self.rng.u32(..4) {
            let after = self.rng.u64(..spread);
            self.schedule_in(after, ScheduledEvent::MembersChange);
        }
        if self.rng.u32(..6) == 0 {
            let after = self.rng.u64(..spread);
            self.schedule_in(after, ScheduledEvent::RareEvent);
        }
    }

    /// Draws one of the durations, of which there must be at least one.
    fn pick(&mut self, durations: &[u64]) -> u64 {
        durations[self.rng.usize(..durations.len())]
    }

    fn schedule_in(&mut self, after: u64, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.schedule.insert((self.now + after, self.sequence), scheduled);
    }

    fn run_for(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(entry) = self.schedule.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = self.now.max(at);
            self.run_event(scheduled);
        }
        self.now = end;
    }

    fn run_event(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::RequestArrives(group) => self.any_request_arrives(group),
            ScheduledEvent::AttemptEnds { id, attempt, member, outcome } => {
                self.attempt_ends(id, attempt, member, outcome)
            }
            ScheduledEvent::AttemptStarts(id) => self.handle(Event::AttemptStarted { id }),
            ScheduledEvent::ClientLeaves(id) => self.client_leaves(id),
            ScheduledEvent::HealthCheckEnds(member) => self.health_check_ends(member),
            ScheduledEvent::Timer(token) => self.handle(Event::TimerDue { token }),
            ScheduledEvent::MembersChange => self.change_members(),
            ScheduledEvent::RareEvent => self.run_rare_event(),
            ScheduledEvent::GroupReturns(group) => self.set_state_of_group(group, MemberState::InService),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(Time(self.now), event, &mut actions);
        for action in &actions {
            self.writer.add_action(self.now, action);
        }
        self.actions.extend(actions);
        while let Some(action) = self.actions.pop_front() {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { id, member, .. } => self.start_attempt(id, member),
            Action::Reject { id, .. } | Action::Fail { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_over = true;
                }
            }
            Action::Cancel { id, attempt } | Action::CancelIfUnwritten { id, attempt } => {
                self.cancel_attempt(id, attempt);
            }
            Action::SetTimer { token, at } => {
                self.schedule_in(at.0.saturating_sub(self.now), ScheduledEvent::Timer(token));
            }
            Action::CheckHealth { member } => {
                let after = self.rng.u64(1..30) * MS;
                self.schedule_in(after, ScheduledEvent::HealthCheckEnds(member));
            }
            Action::Subscribe => {
                if self.rng.u32(..3) > 0 {
                    self.send_list(ListForm::Changes);
                } else {
                    self.send_list(ListForm::Failed);
                }
            }
            Action::GossipPosition { .. } | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn any_request_arrives(&mut self, group: Option<GroupId>) {
        let class = self.rng.usize(..self.classes);
        let group = group.unwrap_or_else(|| GroupId(self.rng.u32(..GROUPS)));
        let session = (self.rng.u32(..3) > 0).then(|| SessionKey(self.rng.u64(..SESSIONS)));
        self.request_arrives(class, group, session);
    }

    fn request_arrives(&mut self, class: usize, group: GroupId, session: Option<SessionKey>) {
        self.next_request += 1;
        let id = request_id(self.next_request);
        let max_time_left = self.pick(&[30 * MS, 200 * MS, 900 * MS, 3 * SECOND, 5 * SECOND]);
        let time_left = 5 * MS + self.rng.u64(..max_time_left);
        let is_write = self.settings.classes[class].read_level == ReadLevel::Write;
        let request =
            ModelRequest { is_write, deadline: self.now + time_left, attempts: Vec::new(), is_over: false };
        self.requests.insert(id, request);
        if self.rng.u32(..12) == 0 {
            let after = self.rng.u64(..time_left);
            self.schedule_in(after, ScheduledEvent::ClientLeaves(id));
        }
        let tenant = (self.tenants > 0).then(|| TenantId(self.rng.usize(..self.tenants)));
        let last_write_age = self.rng.bool().then(|| Micros(self.rng.u64(..900) * MS));
        let time_left = Micros(time_left);
        let class = ClassId(class);
        self.handle(Event::RequestArrived(Request {
            id,
            class,
            time_left,
            tenant,
            last_write_age,
            group,
            session,
            is_statement_long: false,
        }));
    }

    fn start_attempt(&mut self, id: RequestId, member: MemberId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(ModelAttempt { sent: self.now, has_ended: false });
        let remaining = request.deadline.saturating_sub(self.now);
        let end = self.members[member.0 as usize].answer(request.is_write, &mut self.rng);
        let (outcome, latency) = match end.latency {
            Some(_) if self.answers_immediately => (end.outcome, 0),
            Some(latency) if latency <= remaining => (end.outcome, latency),
            _ => (Outcome::TimedOut, remaining),
        };
        if outcome == Outcome::Ok && self.rng.u32(..5) == 0 {
            self.schedule_in(latency / 2, ScheduledEvent::AttemptStarts(id));
        }
        self.schedule_in(latency, ScheduledEvent::AttemptEnds { id, attempt, member, outcome });
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let scheduled = self.schedule.iter().find_map(|(key, scheduled)| match scheduled {
            ScheduledEvent::AttemptEnds { id: scheduled_id, attempt: number, member, .. }
                if *scheduled_id == id && *number == attempt =>
            {
                Some((*key, *member))
            }
            _ => None,
        });
        let Some((key, member)) = scheduled else { return };
        // In one of five cases the answer arrives despite the cancellation.
        if self.rng.u32(..5) > 0 {
            self.schedule.remove(&key);
            let after = self.rng.u64(..3) * MS;
            let outcome = Outcome::Cancelled;
            self.schedule_in(after, ScheduledEvent::AttemptEnds { id, attempt, member, outcome });
        }
    }

    fn attempt_ends(&mut self, id: RequestId, attempt: u32, member: MemberId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let ended = &mut request.attempts[attempt as usize];
        if std::mem::replace(&mut ended.has_ended, true) {
            return;
        }
        let latency = Micros(self.now - ended.sent);
        request.is_over |= outcome == Outcome::Ok;
        let is_request_over = request.is_over;
        let answering_member = &self.members[member.0 as usize];
        let is_reply =
            matches!(outcome, Outcome::Ok | Outcome::NotApplicable | Outcome::Failed | Outcome::QueueFull);
        let has_status = is_reply && (self.answers_immediately || self.rng.u32(..5) > 0);
        let position = has_status.then(|| answering_member.position(self.now));
        let role = has_status.then(|| answering_member.role());
        let report = if has_status && self.rng.bool() {
            answering_member.report(self.now, &mut self.rng)
        } else {
            LoadReport::default()
        };
        let end =
            AttemptEnd { id, attempt, member, outcome, latency, is_request_over, position, role, report };
        self.handle(Event::AttemptEnded(end));
    }

    fn client_leaves(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut request.is_over, true) {
            self.handle(Event::ClientGone { id });
        }
    }

    fn health_check_ends(&mut self, member: MemberId) {
        let answering_member = &self.members[member.0 as usize];
        let outcome = match answering_member.condition {
            Condition::Unresponsive => Outcome::TimedOut,
            Condition::RefusesConnections | Condition::Unreachable => Outcome::ConnectError,
            Condition::Erratic => {
                let outcomes = [Outcome::Reset, Outcome::MalformedReply, Outcome::NotSent, Outcome::Failed];
                *self.rng.choice(&outcomes).unwrap_or(&Outcome::Reset)
            }
            _ => Outcome::Ok,
        };
        let report = answering_member.report(self.now, &mut self.rng);
        self.handle(Event::HealthCheckEnded { member, outcome, report });
    }

    fn send_list(&mut self, form: ListForm) {
        let is_partial = form == ListForm::Partial;
        let listed: Vec<ModelMember> =
            self.members.iter().filter(|_| !is_partial || self.rng.u32(..4) > 0).cloned().collect();
        let entries = listed.iter().map(|member| member.list_entry(&mut self.rng)).collect();
        let entries = Arc::new(entries);
        let update = match form {
            ListForm::Cached => ListUpdate::Cached(entries),
            ListForm::Full | ListForm::Partial => ListUpdate::Full(entries),
            ListForm::Changes => ListUpdate::Changes(entries),
            ListForm::Failed => {
                let silent_for = self.rng.bool().then(|| Micros(self.rng.u64(..7 * SECOND)));
                ListUpdate::Failed { silent_for }
            }
        };
        self.handle(Event::ListUpdated(update));
    }

    /// Records what the router reports to its callers: the health of each member and the number of records.
    fn observe(&mut self) {
        for member in &self.members {
            let health = self.router.observed_health(member.id);
            let values = [
                u64::from(member.id.0),
                health.availability as u64,
                u64::from(health.is_primary),
                u64::from(self.router.has_record_of(member.id)),
                u64::from(self.router.accepts_new_requests(member.id)),
                u64::from(self.router.is_avoided(member.id)),
            ];
            self.writer.add_observation(Time(self.now), &values);
        }
        self.writer.add_observation(Time(self.now), &[self.router.record_count() as u64]);
    }
}

/// Form in which the endpoint list is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListForm {
    Cached,
    Full,
    /// A full list without some of the members.
    Partial,
    Changes,
    Failed,
}
