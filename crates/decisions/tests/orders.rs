//! Any order of events from fixed seeds: requests, ends of attempts, clients that leave, lists and time cross as they
//! like, and the rules hold at each action. The model knows the rules and what was told, not how it is decided.

mod common;

use common::*;
use fastrand::Rng;
use linenhill_decisions::api::*;
use linenhill_decisions::policy::Router;
use std::collections::BTreeMap;
use std::sync::Arc;

const MEMBERS: u32 = 5;
const STEPS: usize = 250;
const HISTORIES: u64 = 600;

struct Out {
    member: MemberId,
    sent: u64,
    over: bool,
}

struct Asked {
    class: usize,
    deadline: u64,
    attempts: Vec<Out>,
    /// When the first attempt began that may have run.
    ran_from: Option<u64>,
    /// It has its final answer, or its client has left.
    over: bool,
}

struct World {
    router: Router,
    settings: Settings,
    now: u64,
    rng: Rng,
    timers: Vec<(u64, u64)>,
    asked: BTreeMap<RequestId, Asked>,
    probes: Vec<MemberId>,
    states: Vec<MemberState>,
    next: u64,
    seen: [u32; 4],
}

fn drawn(rng: &mut Rng) -> Settings {
    let mut s = settings();
    s.classes[2].idempotency =
        Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(rng.u64(300..2_000) * MS) };
    s.classes[4].idempotency =
        Idempotency::Keyed { scope: DeduplicationScope::All, window: Micros(rng.u64(300..2_000) * MS) };
    if rng.bool() {
        s.classes[0].idempotency =
            Idempotency::Keyed { scope: DeduplicationScope::Group, window: Micros(1_500 * MS) };
    }
    s.classes.iter_mut().for_each(|c| c.late_weight = *rng.choice(&[0.0, 0.3]).expect("one"));
    (s.limits.cancel, s.limits.hedging, s.limits.health_checks) = (rng.bool(), rng.bool(), rng.bool());
    s.limits.max_attempts = rng.u32(1..6);
    s.limits.connect_timeout = Micros(rng.u64(20..400) * MS);
    s.position_check = *rng
        .choice(&[PositionCheck::None, PositionCheck::Reject, PositionCheck::Wait(Micros(80 * MS))])
        .expect("one");
    s.session_positions =
        *rng.choice(&[SessionPositions::CarriedByRequest, SessionPositions::Remembered]).expect("one");
    s.discovery = *rng.choice(&[Discovery::Pushed, Discovery::OnRequest]).expect("one");
    s.fleet_size = *rng.choice(&[1, 12, 300]).expect("one");
    s
}

/// Another execution at `now` does no harm, where the first attempt that may have run began at `from`.
fn assert_may_repeat(idempotency: Idempotency, from: Option<u64>, now: u64) {
    match (idempotency, from) {
        (Idempotency::Idempotent, _) | (_, None) => {}
        (Idempotency::Keyed { window, .. }, Some(from)) => assert!(now < from + window.0, "past its window"),
        (Idempotency::NotIdempotent, Some(_)) => panic!("an unsafe write that may have run is sent again"),
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = Rng::with_seed(seed);
        let (settings, now) = (drawn(&mut rng), 1_000_000 * MS);
        let router = Router::new(settings.clone(), seed, Time(now));
        let states = vec![MemberState::InService; MEMBERS as usize];
        let (timers, asked, probes) = (vec![], BTreeMap::new(), vec![]);
        let mut w =
            World { router, settings, now, rng, timers, asked, probes, states, next: 0, seen: [0; 4] };
        w.list(true);
        w
    }

    fn event(&mut self, event: Event) {
        let mut actions = vec![];
        self.router.handle(Time(self.now), event, &mut actions);
        actions.into_iter().for_each(|action| self.check(action));
    }

    fn effect(&self, class: usize) -> Idempotency {
        self.settings.classes[class].idempotency
    }

    /// The rules, at each action.
    fn check(&mut self, action: Action) {
        match action {
            Action::SetTimer { token, at } => self.timers.push((at.0, token)),
            Action::CheckHealth { member } => {
                assert_eq!(
                    self.states[member.0 as usize],
                    MemberState::InService,
                    "a probe to one that leaves"
                );
                self.probes.push(member);
            }
            Action::Send { id, member, .. } => {
                self.seen[0] += 1;
                let (now, limits) = (self.now, self.settings.limits.clone());
                let effect = self.effect(self.asked[&id].class);
                let r = self.asked.get_mut(&id).expect("a request");
                assert!(!r.over && now < r.deadline, "sent for nobody");
                assert_eq!(self.states[member.0 as usize], MemberState::InService, "sent to one that leaves");
                assert!(r.attempts.len() < limits.max_attempts as usize, "one attempt too many");
                let out: Vec<&Out> = r.attempts.iter().filter(|a| !a.over).collect();
                assert!(out.is_empty() || limits.hedging && out.len() == 1, "{} are out", out.len());
                let from = r.ran_from.into_iter().chain(out.iter().map(|a| a.sent)).min();
                assert_may_repeat(effect, from, now);
                self.seen[1] += u32::from(!r.attempts.is_empty());
                r.attempts.push(Out { member, sent: now, over: false });
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let refused = matches!(action, Action::Reject { .. });
                let effect = self.effect(self.asked[&id].class);
                let r = self.asked.get_mut(&id).expect("a request");
                assert!(!std::mem::replace(&mut r.over, true), "a second final answer, or one for nobody");
                let harmless = matches!(
                    effect,
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
                );
                let may_run = r.ran_from.is_some() || r.attempts.iter().any(|a| !a.over);
                assert!(!refused || harmless || !may_run, "to try again may do harm");
                self.seen[2] += 1;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.limits.cancel, "called off where that is not allowed");
                assert!(self.asked[&id].attempts.len() > attempt as usize);
                self.seen[3] += 1;
            }
            Action::Subscribe => assert_eq!(self.settings.discovery, Discovery::OnRequest),
            Action::GossipPosition { .. } | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn ask(&mut self) {
        self.next += 1;
        let mut id = [0; 36];
        id[..8].copy_from_slice(&self.next.to_be_bytes());
        let (id, class, left) = (RequestId(id), self.rng.usize(..5), self.rng.u64(5..1_500) * MS);
        let asked = Asked { class, deadline: self.now + left, attempts: vec![], ran_from: None, over: false };
        self.asked.insert(id, asked);
        let session = self.rng.bool().then(|| SessionKey(self.rng.u64(..4)));
        let token_age = self.rng.bool().then(|| Micros(self.rng.u64(..300) * MS));
        let (class, left) = (ClassId(class), Micros(left));
        self.event(Event::RequestArrived(Request {
            id,
            class,
            time_left: left,
            tenant: None,
            last_write_age: token_age,
            group: GROUP,
            session,
        }));
    }

    /// One attempt that is out ends, in any way that its settings allow.
    fn end(&mut self, only: Option<Outcome>, of: Option<(RequestId, usize)>) {
        let out = |(id, r): (&RequestId, &Asked)| {
            let (id, out) = (*id, r.attempts.iter().enumerate().filter(|(_, a)| !a.over));
            out.map(|(n, _)| (id, n)).collect::<Vec<_>>()
        };
        let all: Vec<(RequestId, usize)> = self.asked.iter().flat_map(out).collect();
        let Some((id, n)) = of.or_else(|| self.rng.choice(&all).copied()) else { return };
        use Outcome::*;
        let any = [
            Ok,
            Ok,
            Ok,
            Ok,
            Failed,
            QueueFull,
            TimedOut,
            ConnectError,
            Reset,
            Cancelled,
            NotSent,
            NotApplicable,
            MalformedReply,
        ];
        let outcome = only.unwrap_or_else(|| *self.rng.choice(&any).expect("one"));
        let may_have_run = matches!(outcome, Failed | TimedOut | Reset | Cancelled | MalformedReply);
        let (role, position) =
            (*self.rng.choice(&[None, Some(Role::Primary), Some(Role::Replica)]).expect("one"), {
                let ago = self.rng.u64(..2_000) * MS;
                self.rng.bool().then(|| LogPosition(self.now - ago))
            });
        let r = self.asked.get_mut(&id).expect("a request");
        let Out { member, sent, .. } = r.attempts[n];
        r.attempts[n].over = true;
        if may_have_run {
            r.ran_from = Some(r.ran_from.map_or(sent, |t| t.min(sent)));
        }
        // The driver answers what was served, and tells that it is over.
        r.over |= outcome == Ok;
        let (is_request_over, latency, report) = (r.over, Micros(self.now - sent), LoadReport::default());
        let attempt = n as u32;
        let end =
            AttemptEnd { id, attempt, member, outcome, latency, is_request_over, position, role, report };
        self.event(Event::AttemptEnded(end));
    }

    fn leave(&mut self) {
        let open: Vec<RequestId> = self.asked.iter().filter(|(_, r)| !r.over).map(|(id, _)| *id).collect();
        let Some(id) = self.rng.choice(&open).copied() else { return };
        self.asked.get_mut(&id).expect("a request").over = true;
        self.event(Event::ClientGone { id });
    }

    fn list(&mut self, full: bool) {
        let states = &self.states;
        let named = |n: &u32| !full || states[*n as usize] != MemberState::Gone;
        let one = self.rng.u32(..MEMBERS);
        let entries: Vec<ListEntry> = (0..MEMBERS)
            .filter(|n| full || *n == one)
            .filter(named)
            .map(|n| ListEntry { state: states[n as usize], started: None, ..entry(n) })
            .collect();
        let update =
            if full { ListUpdate::Full(Arc::new(entries)) } else { ListUpdate::Changes(Arc::new(entries)) };
        self.event(Event::ListUpdated(update));
    }

    fn news(&mut self) {
        if self.rng.u32(..4) == 0 {
            let silent_for = self.rng.bool().then(|| Micros(self.rng.u64(..7_000) * MS));
            return self.event(Event::ListUpdated(ListUpdate::Failed { silent_for }));
        }
        let (one, roll) = (self.rng.usize(..MEMBERS as usize), self.rng.u32(..4));
        // Told at once: what the model holds is what was said.
        self.states[one] = match roll {
            0 => MemberState::Draining,
            1 => MemberState::Gone,
            _ => MemberState::InService,
        };
        self.list(true);
        let again = self.rng.bool();
        self.list(again);
    }

    fn probed(&mut self) {
        let Some(member) = self.probes.pop() else { return };
        let outcome = *self
            .rng
            .choice(&[Outcome::Ok, Outcome::Ok, Outcome::ConnectError, Outcome::TimedOut])
            .expect("one");
        let role = if member.0 == 1 { Role::Primary } else { Role::Replica };
        let report =
            LoadReport { position: Some(LogPosition(self.now)), role: Some(role), ..LoadReport::default() };
        self.event(Event::HealthCheckEnded { member, outcome, report });
    }

    /// Time passes; what is out at its request's deadline ends there.
    fn wait(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        loop {
            let timer = self.timers.iter().copied().min();
            let late = |(id, r): (&RequestId, &Asked)| {
                let n = r.attempts.iter().position(|a| !a.over)?;
                Some((r.deadline, *id, n))
            };
            let late = self.asked.iter().filter_map(late).min_by_key(|l| l.0);
            match (timer, late) {
                (timer, Some((at, id, n))) if at <= end && timer.is_none_or(|t| at <= t.0) => {
                    self.now = self.now.max(at);
                    self.end(Some(Outcome::TimedOut), Some((id, n)));
                }
                (Some((at, token)), _) if at <= end => {
                    self.timers.retain(|t| *t != (at, token));
                    self.now = self.now.max(at);
                    self.event(Event::TimerDue { token });
                }
                _ => break,
            }
            let overdue = self.asked.values().find(|r| !r.over && self.now > r.deadline + 20 * MS);
            assert!(overdue.is_none(), "no final answer by its deadline");
        }
        self.now = end;
    }
}

// Guards against every rule on attempts and answers that an order of events could get round: a second answer or none, a
// repeat that the effect, the window or the limits forbid, two attempts out, one sent for a client that has left or to a
// member that was announced as leaving, a call-off or a probe that is not allowed.
#[test]
fn in_any_order_of_events_the_rules_on_attempts_and_answers_hold() {
    let mut seen = [0; 4];
    for seed in 0..HISTORIES {
        let played = std::panic::catch_unwind(|| {
            let mut w = World::new(seed);
            for _ in 0..STEPS {
                match w.rng.u32(..16) {
                    0..5 => w.ask(),
                    5..10 => w.end(None, None),
                    10 => w.leave(),
                    11 => w.news(),
                    12 => w.probed(),
                    _ => {
                        let ms = *w.rng.choice(&[0, 1, 3, 10, 30, 120]).expect("one");
                        w.wait(ms);
                    }
                }
            }
            w.wait(3_000);
            assert!(w.asked.values().all(|r| r.over), "a request without an end");
            w.seen
        });
        let Ok(counts) = played else { panic!("history {seed}") };
        seen.iter_mut().zip(counts).for_each(|(sum, n)| *sum += n);
    }
    // Sends, repeats, final answers and call-offs were all played.
    assert!(seen.iter().all(|n| *n > 1_000), "{seen:?}");
}
