//! A random history: requests, faults of members, lists, gossip and time, until nothing is left to happen.

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
/// A moment of 2026, in microseconds of Unix time.
const START: u64 = 1_780_000_000 * SECOND;
/// Bursts of requests in a history.
const ROUNDS: u32 = 9;
/// Requests of a burst.
const ROUND_REQUESTS: u32 = 36;
/// Sessions that requests belong to.
const SESSIONS: u64 = 6;
/// One history in so many has more sessions than a router remembers.
const MANY_SESSIONS_ONE_IN: u32 = 400;

/// What is going to happen.
enum Scheduled {
    /// In this group, or in any.
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
    /// It has its final answer, or its client has left.
    is_over: bool,
}

/// One history at one site.
pub(super) struct History<'a> {
    router: Router,
    settings: Settings,
    classes: usize,
    tenants: usize,
    writer: &'a mut DigestWriter,
    rng: Rng,
    now: u64,
    sequence: u64,
    schedule: BTreeMap<(u64, u64), Scheduled>,
    members: Vec<ModelMember>,
    requests: BTreeMap<RequestId, ModelRequest>,
    next_request: u64,
    /// Members answer at once, whatever they are asked.
    answers_at_once: bool,
    /// Actions that are not carried out yet, in order.
    actions: VecDeque<Action>,
}

impl<'a> History<'a> {
    /// A history that has not begun.
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
            answers_at_once: false,
            actions: VecDeque::new(),
        }
    }

    /// Plays it to its end.
    pub(super) fn play(mut self) {
        if self.rng.u32(..4) > 0 {
            self.send_list(ListForm::Cached);
        }
        self.send_list(ListForm::Full);
        for _ in 0..ROUNDS {
            self.schedule_round();
            if self.rng.u32(..MANY_SESSIONS_ONE_IN * ROUNDS) == 0 {
                self.many_sessions_write();
            }
            let pause = self.pick(&[200 * MS, SECOND, 4 * SECOND, 12 * SECOND, 70 * SECOND]);
            self.run_for(pause);
            self.observe();
        }
        self.run_for(10 * SECOND);
        self.observe();
    }

    fn schedule_round(&mut self) {
        let spread = self.pick(&[20 * MS, 400 * MS, 3 * SECOND]);
        for _ in 0..ROUND_REQUESTS {
            let after = self.rng.u64(..spread);
            self.schedule_in(after, Scheduled::RequestArrives(None));
        }
        for _ in 0..self.rng.u32(..4) {
            let after = self.rng.u64(..spread);
            self.schedule_in(after, Scheduled::MembersChange);
        }
        if self.rng.u32(..6) == 0 {
            let after = self.rng.u64(..spread);
            self.schedule_in(after, Scheduled::RareEvent);
        }
    }

    /// One of the durations, which must not be none.
    fn pick(&mut self, durations: &[u64]) -> u64 {
        durations[self.rng.usize(..durations.len())]
    }

    fn schedule_in(&mut self, after: u64, scheduled: Scheduled) {
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
            self.happen(scheduled);
        }
        self.now = end;
    }

    fn happen(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::RequestArrives(group) => self.any_request_arrives(group),
            Scheduled::AttemptEnds { id, attempt, member, outcome } => {
                self.attempt_ends(id, attempt, member, outcome)
            }
            Scheduled::AttemptStarts(id) => self.handle(Event::AttemptStarted { id }),
            Scheduled::ClientLeaves(id) => self.client_leaves(id),
            Scheduled::HealthCheckEnds(member) => self.health_check_ends(member),
            Scheduled::Timer(token) => self.handle(Event::TimerDue { token }),
            Scheduled::MembersChange => self.change_members(),
            Scheduled::RareEvent => self.rare_event(),
            Scheduled::GroupReturns(group) => self.set_state_of_group(group, MemberState::InService),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(Time(self.now), event, &mut actions);
        for action in &actions {
            self.writer.action(self.now, action);
        }
        self.actions.extend(actions);
        while let Some(action) = self.actions.pop_front() {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, member, .. } => self.start_attempt(id, member),
            Action::Reject { id, .. } | Action::Fail { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_over = true;
                }
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt),
            Action::SetTimer { token, at } => {
                self.schedule_in(at.0.saturating_sub(self.now), Scheduled::Timer(token));
            }
            Action::CheckHealth { member } => {
                let after = self.rng.u64(1..30) * MS;
                self.schedule_in(after, Scheduled::HealthCheckEnds(member));
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
        let give_up = self.pick(&[30 * MS, 200 * MS, 900 * MS, 3 * SECOND, 5 * SECOND]);
        let left = 5 * MS + self.rng.u64(..give_up);
        let is_write = self.settings.classes[class].read_level == ReadLevel::Write;
        let request =
            ModelRequest { is_write, deadline: self.now + left, attempts: Vec::new(), is_over: false };
        self.requests.insert(id, request);
        if self.rng.u32(..12) == 0 {
            let after = self.rng.u64(..left);
            self.schedule_in(after, Scheduled::ClientLeaves(id));
        }
        let tenant = (self.tenants > 0).then(|| TenantId(self.rng.usize(..self.tenants)));
        let last_write_age = self.rng.bool().then(|| Micros(self.rng.u64(..900) * MS));
        let time_left = Micros(left);
        let class = ClassId(class);
        self.handle(Event::RequestArrived(Request {
            id,
            class,
            time_left,
            tenant,
            last_write_age,
            group,
            session,
        }));
    }

    fn start_attempt(&mut self, id: RequestId, member: MemberId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(ModelAttempt { sent: self.now, has_ended: false });
        let remaining = request.deadline.saturating_sub(self.now);
        let end = self.members[member.0 as usize].answer(request.is_write, &mut self.rng);
        let (outcome, latency) = match end.latency {
            Some(_) if self.answers_at_once => (end.outcome, 0),
            Some(latency) if latency <= remaining => (end.outcome, latency),
            _ => (Outcome::TimedOut, remaining),
        };
        if outcome == Outcome::Ok && self.rng.u32(..5) == 0 {
            self.schedule_in(latency / 2, Scheduled::AttemptStarts(id));
        }
        self.schedule_in(latency, Scheduled::AttemptEnds { id, attempt, member, outcome });
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let scheduled = self.schedule.iter().find_map(|(key, scheduled)| match scheduled {
            Scheduled::AttemptEnds { id: of, attempt: number, member, .. }
                if *of == id && *number == attempt =>
            {
                Some((*key, *member))
            }
            _ => None,
        });
        let Some((key, member)) = scheduled else { return };
        // Some answers cross the cancellation.
        if self.rng.u32(..5) > 0 {
            self.schedule.remove(&key);
            let after = self.rng.u64(..3) * MS;
            let outcome = Outcome::Cancelled;
            self.schedule_in(after, Scheduled::AttemptEnds { id, attempt, member, outcome });
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
        let answering = &self.members[member.0 as usize];
        let is_answer =
            matches!(outcome, Outcome::Ok | Outcome::NotApplicable | Outcome::Failed | Outcome::QueueFull);
        let speaks = is_answer && (self.answers_at_once || self.rng.u32(..5) > 0);
        let position = speaks.then(|| answering.position(self.now));
        let role = speaks.then(|| answering.role());
        let report = if speaks && self.rng.bool() {
            answering.report(self.now, &mut self.rng)
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
        let answering = &self.members[member.0 as usize];
        let outcome = match answering.condition {
            Condition::Silent => Outcome::TimedOut,
            Condition::RefusesConnections | Condition::Unreachable => Outcome::ConnectError,
            Condition::Erratic => {
                let outcomes = [Outcome::Reset, Outcome::MalformedReply, Outcome::NotSent, Outcome::Failed];
                *self.rng.choice(&outcomes).unwrap_or(&Outcome::Reset)
            }
            _ => Outcome::Ok,
        };
        let report = answering.report(self.now, &mut self.rng);
        self.handle(Event::HealthCheckEnded { member, outcome, report });
    }

    fn send_list(&mut self, form: ListForm) {
        let is_partial = form == ListForm::Partial;
        let chosen: Vec<ModelMember> =
            self.members.iter().filter(|_| !is_partial || self.rng.u32(..4) > 0).cloned().collect();
        let entries = chosen.iter().map(|member| member.list_entry(&mut self.rng)).collect();
        let entries = Arc::new(entries);
        let update = match form {
            ListForm::Cached => ListUpdate::Cached(entries),
            ListForm::Full | ListForm::Partial => ListUpdate::Full(entries),
            ListForm::Changes => ListUpdate::Changes(entries),
            ListForm::Failed => {
                let quiet = self.rng.bool().then(|| Micros(self.rng.u64(..7 * SECOND)));
                ListUpdate::Failed { silent_for: quiet }
            }
        };
        self.handle(Event::ListUpdated(update));
    }

    /// Asks the router what drivers ask of it.
    fn observe(&mut self) {
        for member in &self.members {
            let health = self.router.observed_health(member.id);
            let observed = [
                u64::from(member.id.0),
                health.availability as u64,
                u64::from(health.is_primary),
                u64::from(self.router.has_record_of(member.id)),
                u64::from(self.router.accepts_new_requests(member.id)),
                u64::from(self.router.is_avoided(member.id)),
            ];
            self.writer.observation(Time(self.now), &observed);
        }
        self.writer.observation(Time(self.now), &[self.router.record_count() as u64]);
    }
}

/// How a list is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListForm {
    Cached,
    Full,
    /// A complete list that some members are missing from.
    Partial,
    Changes,
    Failed,
}
