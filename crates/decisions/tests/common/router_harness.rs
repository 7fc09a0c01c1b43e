//! Drives one router: delivers events and due timers, and records the actions.

use super::settings::*;
use linenhill_decisions::api::*;
use linenhill_decisions::policy::Router;
use std::sync::Arc;

/// The number of routers in a large fleet.
pub const FLEET_SIZE: u32 = 100;

/// The routers of a large fleet, each with these settings, its own index and its own seed.
pub fn fleet_of_routers(settings: Settings) -> impl Iterator<Item = RouterHarness> {
    (0..FLEET_SIZE).map(move |index| {
        let settings = Settings { fleet_size: FLEET_SIZE, fleet_index: Some(index), ..settings.clone() };
        RouterHarness::seeded(settings, u64::from(index))
    })
}

/// A listed member of [`GROUP`]: in service, without a start time or a primary hint.
pub fn list_entry(member: u32) -> ListEntry {
    ListEntry {
        member: MemberId(member),
        zone: ZoneId(0),
        kind: KindId(0),
        group: GROUP,
        state: MemberState::InService,
        weight: 1.0,
        started: None,
        primary_hint: false,
    }
}

/// How an attempt ends, with the position and role that its member reports.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub latency_ms: u64,
    /// The applied log position, in microseconds.
    pub position: Option<u64>,
    pub role: Option<Role>,
}

impl AttemptResult {
    /// Served by a member in this role that has applied the log up to `position`.
    pub fn answered(latency_ms: u64, position: u64, role: Role) -> AttemptResult {
        AttemptResult { outcome: Outcome::Ok, latency_ms, position: Some(position), role: Some(role) }
    }

    /// Served by a member that reports its position, in microseconds, and no role.
    pub fn without_role(latency_ms: u64, position: u64) -> AttemptResult {
        AttemptResult { outcome: Outcome::Ok, latency_ms, position: Some(position), role: None }
    }

    /// Ended at a member that reports its role but no position.
    pub fn without_position(outcome: Outcome, latency_ms: u64, role: Role) -> AttemptResult {
        AttemptResult { outcome, latency_ms, position: None, role: Some(role) }
    }

    /// Ended without a reported position or role.
    pub fn without_report(outcome: Outcome, latency_ms: u64) -> AttemptResult {
        AttemptResult { outcome, latency_ms, position: None, role: None }
    }
}

/// How an up-to-date replica ends an attempt.
pub struct MemberAnswer {
    pub outcome: Outcome,
    pub latency_ms: u64,
    /// The reported utilisation of the member's processors; 1 if all are busy.
    pub utilisation: f64,
}

/// One router, and its clock in virtual time.
pub struct RouterHarness {
    pub router: Router,
    /// The virtual time, in microseconds.
    pub now: u64,
    /// The actions of the router so far, without [`Action::SetTimer`].
    pub actions: Vec<Action>,
    /// When each timer is due, and its token.
    timers: Vec<(u64, u64)>,
    /// The number of requests so far, from which request ids are derived.
    request_count: u8,
    /// Whether the requests from now on have long statements.
    pub statements_are_long: bool,
}

impl RouterHarness {
    /// A router with member 1 as its confirmed primary and members 2 and 3 as replicas, all at the current position.
    pub fn new(settings: Settings) -> RouterHarness {
        let mut harness = RouterHarness::empty(settings);
        harness.update_list((1..=3).map(list_entry).collect());
        for member in 1..=3 {
            let role = if member == 1 { Role::Primary } else { Role::Replica };
            harness.report_health(member, harness.now, role);
        }
        let write = harness.send_request(WRITE, 2_000, None);
        harness.end_attempt(write, 0, 1, AttemptResult::answered(20, harness.now, Role::Primary));
        harness.actions.clear();
        harness
    }

    /// A router without members.
    pub fn empty(settings: Settings) -> RouterHarness {
        RouterHarness::seeded(settings, 42)
    }

    /// A router without members, with this seed.
    pub fn seeded(settings: Settings, seed: u64) -> RouterHarness {
        let now = 1_000_000 * MS;
        let router = Router::new(settings, seed, Time(now));
        RouterHarness {
            router,
            now,
            actions: vec![],
            timers: vec![],
            request_count: 0,
            statements_are_long: false,
        }
    }

    /// Delivers an event at the current time and records the actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = vec![];
        self.router.handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { token, at } => self.timers.push((at.0, token)),
                other => self.actions.push(other),
            }
        }
    }

    /// Delivers a full list.
    pub fn update_list(&mut self, entries: Vec<ListEntry>) {
        self.handle(Event::ListUpdated(ListUpdate::Full(Arc::new(entries))));
    }

    /// Answers a health check of the member with this position, in microseconds, and this role.
    pub fn report_health(&mut self, member: u32, position: u64, role: Role) {
        let position = Some(LogPosition(position));
        let report = LoadReport { position, role: Some(role), ..LoadReport::default() };
        self.handle(Event::HealthCheckEnded { member: MemberId(member), outcome: Outcome::Ok, report });
    }

    /// Fails a health check of the member with this outcome.
    pub fn fail_health_check(&mut self, member: u32, outcome: Outcome) {
        let report = LoadReport::default();
        self.handle(Event::HealthCheckEnded { member: MemberId(member), outcome, report });
    }

    /// Delivers a request with `time_left_ms` milliseconds until its deadline. Returns its id.
    pub fn send_request(&mut self, class: ClassId, time_left_ms: u64, session: Option<u64>) -> RequestId {
        self.request_count += 1;
        let id = RequestId([self.request_count; 36]);
        self.handle(Event::RequestArrived(Request {
            id,
            class,
            time_left: Micros(time_left_ms * MS),
            tenant: None,
            last_write_age: None,
            group: GROUP,
            session: session.map(SessionKey),
            is_statement_long: self.statements_are_long,
        }));
        id
    }

    /// Ends an attempt at this member. Only `Outcome::Ok` ends the request as well.
    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, member: u32, result: AttemptResult) {
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            member: MemberId(member),
            outcome: result.outcome,
            latency: Micros(result.latency_ms * MS),
            is_request_over: result.outcome == Outcome::Ok,
            position: result.position.map(LogPosition),
            role: result.role,
            report: LoadReport::default(),
        }));
    }

    /// Ends the latest attempt of a request if `answers` holds for its member. Returns that member.
    pub fn end_latest_attempt(
        &mut self, id: RequestId, answer: MemberAnswer, answers: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        let attempted = self.attempted_members(id);
        let member = attempted.last().copied().filter(|member| answers(*member))?;
        let report = LoadReport { utilisation: Some(answer.utilisation), ..LoadReport::default() };
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: attempted.len() as u32 - 1,
            member: MemberId(member),
            outcome: answer.outcome,
            latency: Micros(answer.latency_ms * MS),
            is_request_over: answer.outcome == Outcome::Ok,
            position: Some(LogPosition(self.now)),
            role: Some(Role::Replica),
            report,
        }));
        Some(member)
    }

    /// Ends the latest attempt of a request as served by an up-to-date replica. Panics if there is no attempt.
    pub fn answer_latest_attempt(&mut self, id: RequestId, latency_ms: u64) {
        let attempted = self.attempted_members(id);
        let member = *attempted.last().expect("the request was sent");
        let result = AttemptResult::answered(latency_ms, self.now, Role::Replica);
        self.end_attempt(id, attempted.len() as u32 - 1, member, result);
    }

    /// Sends `reads` reads one after the other, and asserts that each is attempted at this member alone.
    pub fn assert_reads_go_to(&mut self, class: ClassId, reads: usize, member: u32) {
        for _ in 0..reads {
            let read = self.send_request(class, 1_000, None);
            assert_eq!(self.attempted_members(read), [member]);
            self.answer_latest_attempt(read, 5);
        }
    }

    /// Sends a write of the session, which member 1 serves after `ms` milliseconds. Returns its commit position, in
    /// microseconds.
    pub fn complete_write(&mut self, session: u64, ms: u64) -> u64 {
        let id = self.send_request(WRITE, 2_000, Some(session));
        assert_eq!(self.attempted_members(id), [1]);
        self.advance(ms);
        self.end_attempt(id, 0, 1, AttemptResult::answered(ms, self.now, Role::Primary));
        self.now
    }

    /// Advances the clock by `ms` milliseconds and delivers the timers that become due.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some(index) = self.next_timer_due_by(end) {
            let (at, token) = self.timers.remove(index);
            self.now = at.max(self.now);
            self.handle(Event::TimerDue { token });
        }
        self.now = end;
    }

    /// The index of the first timer that is due at `end` or before.
    fn next_timer_due_by(&self, end: u64) -> Option<usize> {
        (0..self.timers.len())
            .filter(|index| self.timers[*index].0 <= end)
            .min_by_key(|index| self.timers[*index])
    }

    /// The member of each attempt of a request, in order.
    pub fn attempted_members(&self, id: RequestId) -> Vec<u32> {
        let member_of = |action: &Action| match action {
            Action::Send { id: sent, member, .. } if *sent == id => Some(member.0),
            _ => None,
        };
        self.actions.iter().filter_map(member_of).collect()
    }

    /// The time by which each attempt of a request must be written, in order.
    pub fn write_limits(&self, id: RequestId) -> Vec<Option<Time>> {
        let limit_of = |action: &Action| match action {
            Action::Send { id: sent, written_by, .. } if *sent == id => Some(*written_by),
            _ => None,
        };
        self.actions.iter().filter_map(limit_of).collect()
    }

    /// The number of final answers, rejected or failed, that the router itself gave to a request.
    pub fn final_answers(&self, id: RequestId) -> usize {
        let is_final = |action: &&Action| match action {
            Action::Reject { id: answered, .. } | Action::Fail { id: answered } => *answered == id,
            _ => false,
        };
        self.actions.iter().filter(is_final).count()
    }

    /// The members that were sent a health check, in order.
    pub fn checked_members(&self) -> impl Iterator<Item = u32> {
        let member_of = |action: &Action| match action {
            Action::CheckHealth { member } => Some(member.0),
            _ => None,
        };
        self.actions.iter().filter_map(member_of)
    }

    /// The number of health checks sent.
    pub fn health_checks(&self) -> usize {
        self.checked_members().count()
    }
}
