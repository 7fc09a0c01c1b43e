//! The model of random histories: it delivers events to a router and checks each action against the rules in `rules`.
//! It must stay independent of how the router decides.

mod rules;

use crate::common::*;
use fastrand::Rng;
use linenhill_decisions::api::*;
use linenhill_decisions::policy::Router;
use std::collections::BTreeMap;
use std::sync::Arc;

const MEMBERS: u32 = 5;
/// A final answer may come this long after its deadline, in microseconds.
const ANSWER_GRACE: u64 = 20 * MS;

/// An attempt that the router has sent.
#[derive(Clone, Copy)]
pub struct ModelAttempt {
    member: MemberId,
    /// Microseconds.
    sent_at: u64,
    is_over: bool,
}

/// A request, as the events and actions so far describe it.
pub struct ModelRequest {
    class: ClassId,
    /// Microseconds.
    deadline: u64,
    attempts: Vec<ModelAttempt>,
    /// When the earliest attempt that has ended and may have run was sent, in microseconds.
    first_possible_execution: Option<u64>,
    /// Whether the request has its final answer, or its client has disconnected.
    pub is_over: bool,
}

impl ModelRequest {
    fn in_flight(&self) -> impl Iterator<Item = (usize, &ModelAttempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.is_over)
    }
}

/// The number of actions of each type in the histories.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActionCounts {
    sends: u32,
    retries: u32,
    final_answers: u32,
    cancels: u32,
}

impl ActionCounts {
    pub fn add(&mut self, other: ActionCounts) {
        self.sends += other.sends;
        self.retries += other.retries;
        self.final_answers += other.final_answers;
        self.cancels += other.cancels;
    }

    pub fn smallest(&self) -> u32 {
        self.sends.min(self.retries).min(self.final_answers).min(self.cancels)
    }
}

/// One history: a router, the state that follows from the events delivered to it, and its actions.
pub struct HistoryModel {
    router: Router,
    settings: Settings,
    /// The virtual time, in microseconds.
    now: u64,
    pub rng: Rng,
    /// When each timer is due, and its token.
    timers: Vec<(u64, u64)>,
    pub requests: BTreeMap<RequestId, ModelRequest>,
    /// The members with an unanswered health check.
    health_checks: Vec<MemberId>,
    /// The last announced state of each member, indexed by its id.
    states: Vec<MemberState>,
    request_count: u64,
    pub counts: ActionCounts,
}

fn keyed(scope: DeduplicationScope, window_ms: u64) -> Idempotency {
    Idempotency::Keyed { scope, window: Micros(window_ms * MS) }
}

/// Returns a random element of `choices`.
fn choose<T: Copy>(rng: &mut Rng, choices: &[T]) -> T {
    *rng.choice(choices).expect("choices are not empty")
}

fn random_settings(rng: &mut Rng) -> Settings {
    let mut settings = default_settings();
    settings.classes[BOUNDED.0].idempotency = keyed(DeduplicationScope::Group, rng.u64(300..2_000));
    settings.classes[ANY.0].idempotency = keyed(DeduplicationScope::All, rng.u64(300..2_000));
    if rng.bool() {
        settings.classes[WRITE.0].idempotency = keyed(DeduplicationScope::Group, 1_500);
    }
    for class in &mut settings.classes {
        class.late_weight = choose(rng, &[0.0, 0.3]);
    }
    settings.limits.cancel = rng.bool();
    settings.limits.hedging = rng.bool();
    settings.limits.health_checks = rng.bool();
    settings.limits.max_attempts = rng.u32(1..6);
    settings.limits.connect_timeout = Micros(rng.u64(20..400) * MS);
    let position_checks = [PositionCheck::None, PositionCheck::Reject, PositionCheck::Wait(Micros(80 * MS))];
    settings.position_check = choose(rng, &position_checks);
    settings.session_positions =
        choose(rng, &[SessionPositions::CarriedByRequest, SessionPositions::Remembered]);
    settings.discovery = choose(rng, &[Discovery::Pushed, Discovery::OnRequest]);
    settings.fleet_size = choose(rng, &[1, 12, 300]);
    settings
}

impl HistoryModel {
    pub fn new(seed: u64) -> HistoryModel {
        let mut rng = Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let now = 1_000_000 * MS;
        let mut model = HistoryModel {
            router: Router::new(settings.clone(), seed, Time(now)),
            settings,
            now,
            rng,
            timers: vec![],
            requests: BTreeMap::new(),
            health_checks: vec![],
            states: vec![MemberState::InService; MEMBERS as usize],
            request_count: 0,
            counts: ActionCounts::default(),
        };
        model.deliver_list(true);
        model
    }

    /// Delivers a request with random properties.
    pub fn send_request(&mut self) {
        self.request_count += 1;
        let mut id = [0; 36];
        id[..8].copy_from_slice(&self.request_count.to_be_bytes());
        let id = RequestId(id);
        let class = ClassId(self.rng.usize(..5));
        let time_left = self.rng.u64(5..1_500) * MS;
        let session = self.rng.bool().then(|| SessionKey(self.rng.u64(..4)));
        let last_write_age = self.rng.bool().then(|| Micros(self.rng.u64(..300) * MS));
        let request = ModelRequest {
            class,
            deadline: self.now + time_left,
            attempts: vec![],
            first_possible_execution: None,
            is_over: false,
        };
        self.requests.insert(id, request);
        self.handle(Event::RequestArrived(Request {
            id,
            class,
            time_left: Micros(time_left),
            tenant: None,
            last_write_age,
            group: GROUP,
            session,
            is_statement_long: false,
        }));
    }

    /// Ends a random attempt in flight with a random outcome.
    pub fn end_any_attempt(&mut self) {
        let in_flight: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, request)| request.in_flight().map(|(index, _)| (*id, index)))
            .collect();
        let Some((id, index)) = self.rng.choice(&in_flight).copied() else { return };
        let outcomes = [
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Failed,
            Outcome::QueueFull,
            Outcome::TimedOut,
            Outcome::ConnectError,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NotSent,
            Outcome::NotApplicable,
            Outcome::MalformedReply,
        ];
        let outcome = choose(&mut self.rng, &outcomes);
        self.end_attempt(id, index, outcome);
    }

    /// Ends one attempt, with a random role and position of its member.
    fn end_attempt(&mut self, id: RequestId, index: usize, outcome: Outcome) {
        let role = choose(&mut self.rng, &[None, Some(Role::Primary), Some(Role::Replica)]);
        let lag = self.rng.u64(..2_000) * MS;
        let position = self.rng.bool().then(|| LogPosition(self.now - lag));
        let request = self.requests.get_mut(&id).expect("a request");
        request.attempts[index].is_over = true;
        let ModelAttempt { member, sent_at, .. } = request.attempts[index];
        let may_have_run = matches!(
            outcome,
            Outcome::Failed
                | Outcome::TimedOut
                | Outcome::Reset
                | Outcome::Cancelled
                | Outcome::MalformedReply
        );
        if may_have_run {
            let first = request.first_possible_execution.map_or(sent_at, |first| first.min(sent_at));
            request.first_possible_execution = Some(first);
        }
        // The driver forwards a served answer to the client, and reports the request as over.
        request.is_over |= outcome == Outcome::Ok;
        let end = AttemptEnd {
            id,
            attempt: index as u32,
            member,
            outcome,
            latency: Micros(self.now - sent_at),
            is_request_over: request.is_over,
            position,
            role,
            report: LoadReport::default(),
        };
        self.handle(Event::AttemptEnded(end));
    }

    /// Disconnects a random client before its final answer.
    pub fn disconnect_client(&mut self) {
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| !request.is_over).map(|(id, _)| *id).collect();
        let Some(id) = self.rng.choice(&open).copied() else { return };
        self.requests.get_mut(&id).expect("a request").is_over = true;
        self.handle(Event::ClientGone { id });
    }

    /// Delivers a full list without the members that are gone, or a change of one random member.
    fn deliver_list(&mut self, is_full: bool) {
        let changed = self.rng.u32(..MEMBERS);
        let is_named = |member: &u32| {
            let is_gone = self.states[*member as usize] == MemberState::Gone;
            if is_full { !is_gone } else { *member == changed }
        };
        let entries: Vec<ListEntry> = (0..MEMBERS)
            .filter(is_named)
            .map(|member| ListEntry { state: self.states[member as usize], ..list_entry(member) })
            .collect();
        let entries = Arc::new(entries);
        let update = if is_full { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        self.handle(Event::ListUpdated(update));
    }

    /// Discovery fails, or announces a random state of a random member.
    pub fn update_members(&mut self) {
        if self.rng.u32(..4) == 0 {
            let silent_for = self.rng.bool().then(|| Micros(self.rng.u64(..7_000) * MS));
            self.handle(Event::ListUpdated(ListUpdate::Failed { silent_for }));
            return;
        }
        let member = self.rng.usize(..MEMBERS as usize);
        self.states[member] = match self.rng.u32(..4) {
            0 => MemberState::Draining,
            1 => MemberState::Gone,
            _ => MemberState::InService,
        };
        self.deliver_list(true);
        let is_full = self.rng.bool();
        self.deliver_list(is_full);
    }

    /// Ends the latest unanswered health check with a random outcome.
    pub fn end_health_check(&mut self) {
        let Some(member) = self.health_checks.pop() else { return };
        let outcomes = [Outcome::Ok, Outcome::Ok, Outcome::ConnectError, Outcome::TimedOut];
        let outcome = choose(&mut self.rng, &outcomes);
        let role = if member.0 == 1 { Role::Primary } else { Role::Replica };
        let position = Some(LogPosition(self.now));
        let report = LoadReport { position, role: Some(role), ..LoadReport::default() };
        self.handle(Event::HealthCheckEnded { member, outcome, report });
    }

    /// Advances the clock by `ms` milliseconds. Delivers due timers, and times out attempts in flight at the deadline
    /// of their request.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        loop {
            let timer = self.timers.iter().copied().min().filter(|timer| timer.0 <= end);
            let overdue = self.next_overdue_attempt().filter(|overdue| overdue.0 <= end);
            match (timer, overdue) {
                (timer, Some((at, id, index))) if timer.is_none_or(|timer| at <= timer.0) => {
                    self.now = self.now.max(at);
                    self.end_attempt(id, index, Outcome::TimedOut);
                }
                (Some((at, token)), _) => {
                    self.timers.retain(|timer| *timer != (at, token));
                    self.now = self.now.max(at);
                    self.handle(Event::TimerDue { token });
                }
                (None, _) => break,
            }
            let is_unanswered =
                |request: &&ModelRequest| !request.is_over && self.now > request.deadline + ANSWER_GRACE;
            let overdue = self.requests.values().find(is_unanswered);
            assert!(overdue.is_none(), "no final answer within the grace after the deadline");
        }
        self.now = end;
    }

    /// The deadline, request and index of the attempt in flight whose request has the earliest deadline.
    fn next_overdue_attempt(&self) -> Option<(u64, RequestId, usize)> {
        let first_in_flight = |(id, request): (&RequestId, &ModelRequest)| {
            let (index, _) = request.in_flight().next()?;
            Some((request.deadline, *id, index))
        };
        self.requests.iter().filter_map(first_in_flight).min_by_key(|(deadline, ..)| *deadline)
    }

    fn handle(&mut self, event: Event) {
        let mut actions = vec![];
        self.router.handle(Time(self.now), event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }
}
