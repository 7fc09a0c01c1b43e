//! The decision module. Its interface is `api.rs`; the plain records that it keeps are in `state.rs`.
//!
//! One mechanism decides the ordinary path: a read with a target log position runs on a replica that has
//! applied it, waiting for that up to a timeout, and otherwise on the primary; writes and fresh reads run on
//! the primary. Everything else here guards that path. Pure: equal events give equal actions.
//! Order: session targets; member knowledge; primary finder; draw; holds and fallback; attempts; refusals.

use crate::api::*;
pub use crate::state::Router;
use crate::state::{Attempt, Group, Held, Ill, Member};
use std::collections::BTreeSet;

type Us = u64;
const MS: Us = 1_000;

/// The design's wait: no read is held for its position longer than this before the primary is asked.
const WAIT: Us = 1_000 * MS;
/// Part of a read's time to its aim after which the wait ends; drawn, so waits begun together end apart.
const WAIT_PART: (f64, f64) = (0.25, 0.55);
const TICK: Us = 10 * MS;
/// Members without work out are looked after at this gap.
const WALK: Us = 100 * MS;
/// Answers are owed before the deadline: a held request is given up this long before it.
const MARGIN: Us = 15 * MS;
/// Reports may be this old when they arrive; nothing is concluded from less.
const REPORT_AGE: Us = 400 * MS;
/// A turned-away read doesn't go back to the same replica sooner.
const MISS_REST: Us = 60 * MS;
/// What background probes and words to peers may cost of the result, and the most saved up; shortest gaps.
const PROBE_SPEND: (f64, f64) = (0.004, 20.0);
const TELL_SPEND: (f64, f64) = (0.015, 1_000.0);
const PROBE_EVERY: Us = 200 * MS;
const TELL_STEP: Us = 100 * MS;
/// Gap between probes that look for a primary or a fresh replica.
const SEEK_EVERY: Us = 100 * MS;
/// Silence: no answer for the first + second / in flight of its usual latencies, the third at least.
const SILENT: (f64, f64, f64) = (2.0, 5.0, 120_000.0);
/// An ill member gets a trial this long after, doubling.
const TRIAL: (Us, Us) = (250 * MS, 2_000 * MS);
/// Smoothing of a member's latency, a class's mean, the share unanswered; FADE: older is replaced.
const SMOOTH_MEMBER: f64 = 0.12;
const SMOOTH_CLASS: f64 = 0.02;
const SMOOTH_LOST: f64 = 0.05;
const FADE: f64 = 6_000_000.0;
/// Sharpness of the draw: 1 follows latency x (in flight + 1) softly, more sends fewer to the worse.
const SHARPNESS: f64 = 2.5;
/// How strongly reads of any age gather on the replica furthest behind.
const GATHER: i32 = 24;
/// In-flight limit of a member, over all routers: start, least, step up; at one router: highest start, most.
const LIMIT: (f64, f64, f64) = (16.0, 2.0, 2.0);
const LIMIT_ONE: (f64, f64) = (6.0, 64.0);
/// Latency as a share of the aim: from the first a member is strained, above the second its limit shrinks.
const STRAIN: (f64, f64) = (0.4, 0.65);
/// Cores' worth of bearable work that all routers together may give a cold member.
const COLD_CORES: f64 = 3.0;
/// What was learned of a member outlives its absence this long.
const KEEP_ABSENT: Us = 60_000 * MS;
/// Second copies: budget per request, the most saved up, and after how many expected latencies one is sent.
const COPIES: (f64, f64) = (0.05, 10.0);
const COPY_AFTER: f64 = 3.0;
/// Else an attempt is called off and sent anew: after so many when LOST_MUCH stay unanswered, when none do.
const MOVE_AFTER: (f64, f64) = (4.0, 10.0);
const LOST_MUCH: f64 = 0.15;
/// Heard of within this time, a member isn't dead for want of a connection, unless so many in a row.
const ALIVE: Us = 1_000 * MS;
const REFUSALS: u32 = 5;
/// What a new connection costs, in mean latencies: smoothing, and what a failed one counts.
const LINK_COST: (f64, f64) = (0.1, 5.0);
/// What has less left than so many mean latencies, or this part of its aim if that is less, mostly comes too
/// late: it goes only to a member that has less than SPARE of its limit in flight, or is let go. The second
/// bound keeps a slow time from ruling out fresh requests, and with them the news that it is over.
const LEAD: (f64, f64) = (2.0, 0.7);
const SPARE: f64 = 0.5;
/// Held requests and remembered sessions per group: bounds on memory and on work per event.
const HELD_MOST: usize = 400;
const TRIES: usize = 24;
const SESSIONS_MOST: usize = 50_000;
/// Discovery is asked again after an error: first and longest gap.
const REASK: (Us, Us) = (250 * MS, 2_000 * MS);
/// Advice to refused clients: from this to twice this.
const COME_BACK: Us = 150 * MS;

/// Listed as serving, and neither silent nor unreachable.
fn well(m: &Member) -> bool {
    m.state == MemberState::InService && m.ill.is_none()
}

/// Well, or ill and due for one trial.
fn may_try(m: &Member) -> bool {
    m.state == MemberState::InService && m.ill.as_ref().is_none_or(|i| i.ready)
}

impl Router {
    /// A router that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Router {
        let first_guess = |c: &Class| c.aim.0 as f64 / 5.0;
        Router {
            means: settings.classes.iter().map(first_guess).collect(),
            patience: settings.classes.iter().map(|c| c.aim.0 as f64).collect(),
            ask_at: (settings.discovery == Discovery::OnRequest).then_some(now.0),
            probe_credit: PROBE_SPEND.1,
            ask_gap: REASK.0,
            ..Router::blank(settings, fastrand::Rng::with_seed(seed), now.0)
        }
    }

    /// Takes one event and pushes the actions it calls for, to be carried out in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now.0);
        match event {
            Event::List(update) => self.on_list(update),
            Event::Request(request) => self.on_request(request, out),
            Event::AttemptEnded(ended) => self.on_ended(ended, out),
            Event::Lapsed { id } => self.on_lapsed(id, out),
            Event::Timer { token } if token == self.timer => {
                self.timer_at = 0;
                self.on_tick(out);
            }
            Event::AttemptStarted { .. } | Event::Timer { .. } => {}
            Event::Told { member, position, primary } => self.on_told(member, position.0, primary, out),
            Event::Probed { member, outcome, report } => self.on_probed(member, outcome, report, out),
        }
        // Wake soon only while a request is here: most of the time a router of hundreds has none.
        let due = self.now + if self.requests.is_empty() { WALK } else { TICK.max(self.set.tick.0) };
        if self.timer_at == 0 || due < self.timer_at {
            (self.timer, self.timer_at) = (self.timer + 1, due);
            out.push(Action::Timer { token: self.timer, at: Time(self.timer_at) });
        }
    }

    // ---- Session targets ----

    /// The position a session read needs, fixed at its arrival; 0 when any will do.
    fn floor(&self, q: &Request) -> Us {
        match (self.set.classes[q.class.0].read, self.set.tokens) {
            (ReadLevel::Fresh, _) => self.now,
            (ReadLevel::Session, Tokens::Carried) => {
                q.token_age.filter(|a| a.0 > 0).map_or(0, |a| (self.now + MS).saturating_sub(a.0))
            }
            (ReadLevel::Session, Tokens::Remembered) => {
                self.groups.get(&q.group).map_or(0, |g| g.sessions.commit(q.session))
            }
            _ => 0,
        }
    }

    /// The position needed now: a bounded read's target moves with the clock.
    fn target(&self, r: &Held) -> Us {
        match self.set.classes[r.class].read {
            ReadLevel::Bounded(bound) => self.now.saturating_sub(bound.0),
            _ => r.floor,
        }
    }

    // ---- Member knowledge ----

    fn on_list(&mut self, update: ListUpdate) {
        let (entries, whole) = match update {
            ListUpdate::Changes(e) => (e, false),
            ListUpdate::Full(e) | ListUpdate::Cached(e) => (e, true),
            ListUpdate::Failed => {
                if self.set.discovery == Discovery::OnRequest {
                    self.ask_at = Some(self.now + self.ask_gap);
                    self.ask_gap = (self.ask_gap * 2).min(REASK.1).min(self.set.rules.ask_within.0 / 2);
                }
                return;
            }
        };
        self.ask_gap = REASK.0;
        entries.iter().for_each(|e| self.on_entry(e));
        if whole {
            let named: BTreeSet<MemberId> = entries.iter().map(|e| e.member).collect();
            let ids: Vec<MemberId> = self.members.keys().copied().collect();
            ids.iter().filter(|id| !named.contains(id)).for_each(|id| self.on_removed(*id));
        }
        let (now, groups) = (self.now, &mut self.groups);
        self.members.retain(|id, m| {
            let seen = m.absent_since.map(|t| t.max(m.heard).max(m.reported));
            let keep = seen.is_none_or(|t| now < t + KEEP_ABSENT) || !m.open.is_empty() || m.probing;
            m.group.filter(|_| !keep).and_then(|g| groups.get_mut(&g)).map(|g| g.members.remove(id));
            keep
        });
        self.groups.keys().copied().collect::<Vec<_>>().into_iter().for_each(|g| self.find_primary(g));
    }

    /// A list can be empty, old or wrong while all its members serve: what was learned outlives absence, and
    /// where only a drain binds, a member stays in use. Harm: one truly gone costs a failed connection.
    fn on_removed(&mut self, id: MemberId) {
        let Some(m) = self.members.get_mut(&id) else { return };
        m.absent_since.get_or_insert(self.now);
        if m.state != MemberState::InService || !self.set.rules.removal_stays_open {
            m.state = MemberState::Gone;
            m.group.and_then(|g| self.groups.get_mut(&g)).map(|g| g.members.remove(&id));
        }
    }

    fn on_entry(&mut self, e: &ListEntry) {
        if e.state == MemberState::Gone {
            return self.on_removed(e.member);
        }
        let (now, started) = (self.now, e.started.map_or(0, |t| t.0));
        self.groups.entry(e.group).or_default().members.insert(e.member);
        let (cold, limit) = (self.set.rules.cold.0, self.shared(LIMIT.0).min(LIMIT_ONE.0));
        let m = self.members.entry(e.member).or_insert_with(|| {
            let cold_since = (started > 0 && now < started + cold).then_some(started);
            Member { started, cold_since, ratio: 1.0, limit, ..Member::default() }
        });
        if started > m.started {
            // A restart: cold, and the old role is void; what it had applied it still has.
            (m.started, m.cold_since, m.permit_at) = (started, Some(started), 0);
            (m.primary_at, m.limit) = (0, limit);
        }
        (m.zone, m.group, m.state, m.absent_since) = (Some(e.zone), Some(e.group), e.state, None);
        // The registry's word on roles is late: it counts only while nothing better was ever heard.
        if self.set.list_names_primary && m.replica_at == 0 && m.primary_at <= 1 {
            m.primary_at = u64::from(e.primary_hint);
        }
    }

    /// How much of its warm capacity a member has at least, by the rules' slowest ramp.
    fn warmth(&self, m: &Member) -> f64 {
        let Some(since) = m.cold_since else { return 1.0 };
        let part = (self.now.saturating_sub(since)) as f64 / self.set.rules.cold.0.max(1) as f64;
        (self.set.rules.cold_from + (1.0 - self.set.rules.cold_from) * part).min(1.0)
    }

    /// When this router may next send to a cold member. The mean gap keeps all routers at part of what a few
    /// cores bear by the rules' slowest ramp; chance keeps apart those that learn of the start together; an
    /// unused permit lapses, or all would save up one request each and spend them at once.
    fn next_permit(&mut self, id: MemberId, work: f64) {
        let Some(m) = self.members.get(&id) else { return };
        let share = self.shared(self.set.rules.fall_multiple * COLD_CORES);
        let gap = work.max(1.0) / (self.warmth(m) * share).max(1e-9);
        let at = self.now + (2.0 * gap * self.rng.get_mut().f64()) as Us;
        self.members.entry(id).and_modify(|m| m.permit_at = at);
    }

    fn hear(&mut self, id: MemberId, answered: bool) {
        let (now, started_cold) = (self.now, self.set.rules.cold.0);
        let Some(m) = self.members.get_mut(&id) else { return };
        m.heard = if answered { now } else { m.heard };
        if let Some(ill) = &mut m.ill {
            if !answered && !ill.dead {
                ill.ready = true; // Probes say only that the process runs: one request may try.
                return;
            }
            // Back from the dead before the list told: it may be cold. Where nobody listens a connection
            // fails at once; none that did means a cut, and a restart behind one the list will tell.
            let gone = ill.dead && ill.down && now - ill.since > 1_000 * MS;
            if gone && m.cold_since.is_none_or(|c| c + started_cold < now) {
                (m.cold_since, m.permit_at) = (Some(now), 0);
            }
            m.ill = None;
            m.ratio = m.ratio.min(2.0);
        }
    }

    /// Trials are probes, spread by chance: hundreds of routers trying with requests would lose one each.
    fn fall_ill(&mut self, id: MemberId, dead: bool, down: bool) {
        let (now, chance) = (self.now, 0.5 + self.rng.get_mut().f64());
        let Some(m) = self.members.get_mut(&id) else { return };
        let new = Ill { since: now, dead, down, ready: false, trial_at: now, backoff: TRIAL.0 / 2 };
        let ill = m.ill.get_or_insert(new);
        (ill.dead, ill.down, ill.ready) = (ill.dead || dead, ill.down || down, false);
        ill.backoff = (ill.backoff * 2).min(TRIAL.1);
        // Silence may be a lost answer: a probe at once.
        ill.trial_at = now + if ill.dead { (ill.backoff as f64 * chance) as Us } else { 0 };
    }

    /// Well, and heard of so lately that a lost connection is no sign of its end, nor two new ones in a row.
    fn just_heard(&self, id: MemberId) -> bool {
        let word =
            |m: &Member| m.ill.is_none() && m.refused < 2 && self.now <= m.heard.max(m.reported) + ALIVE;
        self.members.get(&id).is_some_and(word)
    }

    fn learn(&mut self, id: MemberId, position: Option<Us>, role: Option<Role>, as_of: (Us, Us)) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(p) = position.filter(|p| *p < now + ALIVE) {
            m.position = m.position.max(p);
            m.reported = now;
        }
        match role {
            Some(Role::Primary) => m.primary_at = m.primary_at.max(as_of.0),
            Some(Role::Replica) => m.replica_at = m.replica_at.max(as_of.1),
            None => {}
        }
        let Some(group) = m.group else { return };
        // The log has moved on since: the primary that seemed to hang is alive.
        let alive = position.unwrap_or(0).saturating_sub(REPORT_AGE);
        let primary = self.groups.get(&group).and_then(|g| g.primary);
        if let Some(p) = primary.and_then(|p| self.members.get_mut(&p))
            && p.ill.as_ref().is_some_and(|i| !i.dead && i.since < alive)
        {
            (p.ill, p.heard) = (None, now);
        }
        self.find_primary(group);
    }

    fn on_probed(&mut self, id: MemberId, outcome: Outcome, report: LoadReport, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probing = false;
        let Some(group) = m.group else { return };
        let quick = now - m.probed < self.set.limits.connect_timeout.0 / 2;
        let down = quick && outcome == Outcome::ConnectError;
        match outcome {
            Outcome::Ok => {
                self.hear(id, false);
                // Reports are rounded: a millisecond less is surely applied. A primary's own position is
                // the moment of its report; a replica's says nothing of its age, so it counts as old.
                let position = report.position.map(|p| p.0.saturating_sub(MS));
                let as_of = position.unwrap_or(now.saturating_sub(REPORT_AGE)).min(now);
                self.learn(id, position, report.role, (as_of, now.saturating_sub(REPORT_AGE)));
                self.tell(id, out);
            }
            Outcome::QueueFull | Outcome::Ignored | Outcome::Cancelled | Outcome::Garbled => {}
            // A connection that broke, kept or new, says less than the member's own word of just now.
            Outcome::Reset if self.just_heard(id) => {}
            Outcome::ConnectError if self.just_heard(id) => {
                self.members.entry(id).and_modify(|m| m.refused += 1);
            }
            _ => self.fall_ill(id, true, down),
        }
        self.pump(group, out);
    }

    /// Tells all peers a position just learned that moved on since any of them told it: each of many routers
    /// alone hears too little to know who is fresh. Positions are floors: late or lost words do no harm.
    fn tell(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let receivers = f64::from(self.set.fleet_size.saturating_sub(1));
        let Some(m) = self.members.get_mut(&id) else { return };
        let news = self.set.limits.peers && m.position > m.shared + TELL_STEP;
        if news && receivers > 0.0 && self.tell_credit >= receivers {
            self.tell_credit -= receivers;
            m.shared = m.position;
            let primary = m.primary_at > m.replica_at;
            out.push(Action::Tell { member: id, position: Time(m.position), primary });
        }
    }

    /// What a peer tells counts like an old report; only of known members, and no nonsense.
    fn on_told(&mut self, id: MemberId, position: Us, primary: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let news = |m: &&mut Member| position > m.position && position <= now;
        let Some(m) = self.members.get_mut(&id).filter(news) else { return };
        (m.shared, m.position, m.reported) = (m.shared.max(position), position, now);
        let group = m.group.filter(|g| self.groups.get(g).is_some_and(|g| !g.held.is_empty()));
        if primary {
            self.learn(id, None, Some(Role::Primary), (position, 0));
        }
        group.into_iter().for_each(|g| self.pump(g, out));
    }

    fn probe(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(m) = self.members.get_mut(&id).filter(|m| self.set.limits.probe && !m.probing) {
            (m.probing, m.probed) = (true, now);
            out.push(Action::Probe { member: id });
        }
    }

    /// A few by chance: hundreds of routers must not each ask every member.
    fn probe_some(&mut self, mut ids: Vec<MemberId>, out: &mut Vec<Action>) {
        self.rng.get_mut().shuffle(&mut ids);
        ids.into_iter().take(self.shared(LIMIT.0).max(2.0) as usize).for_each(|id| self.probe(id, out));
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if self.ask_at.is_some_and(|at| at <= now) {
            out.push(Action::Subscribe);
            self.ask_at = None;
        }
        let walk = now >= self.walk_at;
        self.walk_at = if walk { now + WALK } else { self.walk_at };
        let members = self.members.iter().filter(|(_, m)| walk || !m.open.is_empty());
        for id in members.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.check_member(id, out);
        }
        let groups = self.groups.iter().filter(|(_, g)| !g.held.is_empty());
        for g in groups.map(|(g, _)| *g).collect::<Vec<_>>() {
            self.seek(g, out);
            self.pump(g, out);
        }
        self.rescue(out);
    }

    fn check_member(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let warm = self.warmth(&self.members[&id]);
        let Some(m) = self.members.get_mut(&id).filter(|m| m.state != MemberState::Gone) else { return };
        m.cold_since = m.cold_since.filter(|_| warm < 1.0);
        if m.cold_since.is_some() && now >= m.permit_at + self.set.rules.fall.0 {
            let work = self.means.iter().sum::<f64>() / self.means.len().max(1) as f64;
            self.next_permit(id, work);
        }
        let m = &self.members[&id];
        let oldest = m.open.values().copied().min_by_key(|o| o.0);
        if let Some((sent, class, _)) = oldest {
            // Work taken and no answer at all: a hang, a dead link, a lost room. Shows before time-outs do.
            let usual = self.means[class] * m.ratio.clamp(1.0, 4.0);
            let quiet = (now - sent.max(m.heard)) as f64;
            let bound = usual * (SILENT.0 + SILENT.1 / m.open.len() as f64);
            if quiet > bound.max(SILENT.2) && m.ill.is_none() {
                self.fall_ill(id, false, false);
            }
        }
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(ill) = m.ill.as_mut().filter(|i| now >= i.trial_at && !i.ready) {
            (ill.trial_at, ill.ready) = (now + ill.backoff, !self.set.limits.probe);
            return self.probe(id, out);
        }
        if well(m) && now >= m.reported.max(m.probed) + PROBE_EVERY && self.probe_credit >= 1.0 {
            self.probe_credit -= 1.0;
            self.probe(id, out);
        }
    }

    // ---- Primary finder ----

    /// Newest evidence wins: the member with the latest claim that nothing newer of its own denies.
    fn find_primary(&mut self, group: GroupId) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        let claim = |id: &MemberId| {
            let m = self.members.get(id)?;
            (m.primary_at > m.replica_at).then_some((m.primary_at, *id))
        };
        g.primary = g.members.iter().filter_map(claim).max().map(|(_, id)| id);
    }

    /// The primary that may be given work now.
    fn primary(&self, group: GroupId) -> Option<MemberId> {
        let id = self.groups.get(&group)?.primary?;
        let m = self.members.get(&id)?;
        well(m).then_some(id)
    }

    /// The primary that a read may rely on. A list or report can be wrong or old; where members don't check,
    /// only the last answer's own word keeps a stale read from a member that is primary no longer.
    fn trusted(&self, group: GroupId) -> Option<MemberId> {
        self.primary(group).filter(|id| self.set.check != ReplicaCheck::None || self.members[id].proven)
    }

    /// Looks for the primary while there is none and work that only it can do waits.
    fn seek(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let (now, known) = (self.now, self.primary(group).is_some());
        let Some(g) = self.groups.get_mut(&group) else { return };
        if !known && now >= g.seek_at && g.first_held > 0 {
            g.seek_at = now + SEEK_EVERY;
            let ids = g.members.iter().copied().collect();
            self.probe_some(ids, out);
        }
    }

    // ---- The draw ----

    /// Room for one more here, by the member's limit and rest and, while cold, by this router's permit.
    fn room(&self, r: &Held, m: &Member) -> bool {
        let (warm, part) = (self.warmth(m), if self.pressed(r) { SPARE } else { 1.0 });
        if (m.open.len() as f64) >= (m.limit * warm * part).max(1.0) || self.now < m.rest_until {
            return false;
        }
        warm >= 1.0 || (self.now >= m.permit_at && m.permit_at > 0)
    }

    /// Known not to reach the position within `wait`: by its last report, even had it applied in real time
    /// since, or by a read it has just turned away.
    fn lags(&self, m: &Member, target: Us, wait: Us) -> bool {
        let age = self.now - m.reported;
        (age < WAIT && m.position + age + REPORT_AGE + wait < target)
            || (self.now < m.behind_at + 2 * MISS_REST && m.behind <= target)
    }

    /// Where nobody checks after us only what is known to be applied counts; elsewhere the replica judges.
    fn fresh_enough(&self, m: &Member, target: Us) -> bool {
        let known = target == 0 || m.position >= target;
        known || (self.set.check != ReplicaCheck::None && !self.lags(m, target, 0))
    }

    fn replicas<'a>(&'a self, g: &'a Group) -> impl Iterator<Item = (&'a MemberId, &'a Member)> {
        let others = g.members.iter().filter(|id| Some(**id) != g.primary);
        others.filter_map(|id| Some((id, self.members.get(id)?)))
    }

    fn draw(&self, r: &Held, healthy: bool) -> Option<MemberId> {
        let target = self.target(r);
        let g = self.groups.get(&r.group)?;
        let any = self.set.classes[r.class].read == ReadLevel::Any;
        let usable = self.replicas(g).map(|(_, m)| m).filter(|m| well(m));
        let furthest = usable.map(|m| self.now.saturating_sub(m.position)).max().unwrap_or(0).max(1) as f64;
        let gather = any && furthest > WAIT as f64 && self.now < r.fall_at;
        let far_ahead = |m: &Member| (self.now.saturating_sub(m.position) as f64) < furthest / 2.0;
        let (mut total, mut drawn, mut rng) = (0.0, None, self.rng.borrow_mut());
        for (id, m) in self.replicas(g) {
            let rested = r.missed.get(id).is_none_or(|at| self.now >= at + MISS_REST);
            let fit = if healthy { may_try(m) } else { m.state == MemberState::InService };
            let out = r.open.iter().any(|a| a.member == *id) || (gather && far_ahead(m));
            if !rested || !fit || out || !self.room(r, m) || !self.fresh_enough(m, target) {
                continue;
            }
            let far = f64::from(u8::from(m.zone != Some(self.set.zone))) * 10.0 * self.set.prices.cross_zone;
            let load = m.ratio.max(0.2) * (m.open.len() as f64 + 1.0) / self.warmth(m);
            let linked = m.linked_at.is_some_and(|t| self.now < t + self.set.limits.idle_close.0);
            let cost = load * (1.0 + far) * if linked { 1.0 } else { 1.0 + self.link_cost };
            // Long reads can stall a replica's log: spread out, they keep all behind. Reads of any age gather
            // on the one furthest behind, alike at all routers. Harm: it is slow to be promoted.
            let lag = self.now.saturating_sub(m.position) as f64 / furthest;
            let spare = if target == 0 { 1.0 + lag } else { 1.0 };
            let weight = if any { lag.powi(GATHER) / cost } else { cost.powf(-SHARPNESS) * spare };
            let weight = weight * if m.ill.is_some() { 0.3 } else { 1.0 };
            total += weight;
            if drawn.is_none() || rng.f64() * total < weight {
                drawn = Some(*id);
            }
        }
        drawn
    }

    // ---- Holds and fallback ----

    fn on_request(&mut self, q: Request, out: &mut Vec<Action>) {
        let (id, class, left, group, session) = (q.id, q.class.0, q.left.0, q.group, q.session);
        if class >= self.set.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let now = self.now;
        let save = |had: f64, spend: (f64, f64), price: f64| (had + spend.0 / price.max(1e-6)).min(spend.1);
        self.probe_credit = save(self.probe_credit, PROBE_SPEND, self.set.prices.probe);
        self.tell_credit = save(self.tell_credit, TELL_SPEND, self.set.prices.peer);
        self.copies = (self.copies + COPIES.0).min(COPIES.1);
        let mut worth = self.set.classes[class].worth;
        if let Some(t) = q.tenant
            && let rate = self.shared(self.set.tenants[t.0].allowance_per_s)
            && let Some(bucket) = self.buckets.get_mut(t.0)
        {
            let level = (bucket.0 - (now - bucket.1) as f64 / 1e6 * rate).max(0.0);
            let over = level > rate.max(1.0);
            worth *= if over { self.set.over_share_worth } else { 1.0 };
            *bucket = (if over { level } else { level + 1.0 }, now);
        }
        let part = WAIT_PART.0 + (WAIT_PART.1 - WAIT_PART.0) * self.rng.get_mut().f64();
        let aim = left.min(self.aim(class) as Us);
        let r = Held {
            class,
            group,
            session: session.filter(|_| self.set.tokens == Tokens::Remembered),
            arrived: now,
            aim_at: now + aim,
            deadline: now + left,
            floor: self.floor(&q),
            fall_at: now + WAIT.min((aim as f64 * part) as Us),
            worth,
            ..Held::default()
        };
        self.requests.insert(id, r);
        self.place(id, out);
    }

    /// Sends a held request on if it can go now; else it stays held, or is given up if it can't succeed.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let group = r.group;
        if !self.winnable(r) {
            return self.give_up(id, out);
        }
        if let Some(member) = self.choose(r) {
            return self.send(id, member, out);
        }
        if self.pressed(r) {
            return self.give_up(id, out);
        }
        self.groups.entry(group).or_default().held.insert(id);
    }

    fn choose(&self, r: &Held) -> Option<MemberId> {
        let room = |m: MemberId| self.members.get(&m).is_some_and(|m| self.room(r, m));
        match self.set.classes[r.class].read {
            ReadLevel::Write => {
                // A primary that was silent or away gets one write at a time to show whether it is back.
                let named = self.groups.get(&r.group).and_then(|g| g.primary);
                named.filter(|p| may_try(&self.members[p]) && room(*p))
            }
            ReadLevel::Fresh => {
                if let Some(p) = self.trusted(r.group) {
                    return room(p).then_some(p);
                }
                // No primary: a replica that has applied all up to the read's arrival sees as much.
                self.draw(r, true)
            }
            _ => {
                if let Some(m) = self.draw(r, true) {
                    return Some(m);
                }
                // Only what writes and fresh reads leave there, or expired waits end in one wave.
                let g = self.groups.get(&r.group)?;
                if (self.now >= r.fall_at || self.hopeless(r))
                    && g.first_held == 0
                    && let Some(p) = self.trusted(r.group).filter(|p| room(*p))
                {
                    return Some(p);
                }
                // Health ruling out everyone is more likely a wrong view than a dead fleet.
                let well = |id: &MemberId| self.members.get(id).is_some_and(well);
                let lost = self.now >= r.fall_at && !g.members.iter().any(well);
                if lost { self.draw(r, false) } else { None }
            }
        }
    }

    /// No replica will reach the target within the wait: paying the wait would buy nothing.
    fn hopeless(&self, r: &Held) -> bool {
        let target = self.target(r);
        let Some(g) = self.groups.get(&r.group) else { return false };
        let wait = r.fall_at.saturating_sub(self.now);
        self.replicas(g).all(|(_, m)| !well(m) || self.lags(m, target, wait))
    }

    fn first_on_primary(&self, class: usize) -> bool {
        matches!(self.set.classes[class].read, ReadLevel::Write | ReadLevel::Fresh)
    }

    /// Gives held requests another chance, the most worth first.
    fn pump(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        g.first_held = 0;
        let mut order: Vec<(i64, Us, RequestId)> = Vec::with_capacity(g.held.len());
        for id in &g.held {
            let Some(r) = self.requests.get(id) else { continue };
            let (work, late) = (self.means[r.class].max(1.0), self.set.classes[r.class].late_worth);
            // An answer's odds of coming in time, by what is left: whoever has waited too long goes last.
            let odds = 1.0 - (-(r.aim_at.saturating_sub(self.now) as f64) / work).exp();
            let worth = r.worth * (late + (1.0 - late) * odds);
            order.push((-(worth / work * 1e9) as i64, r.aim_at, *id));
        }
        order.sort_unstable();
        let first_held = order.iter().filter(|r| self.first_on_primary(self.requests[&r.2].class)).count();
        // Work per event stays bounded: after so many without a place, the rest only learn if they can win.
        let mut failed = 0;
        self.groups.entry(group).or_default().first_held = first_held;
        for (n, (_, _, id)) in order.into_iter().enumerate() {
            if n >= HELD_MOST {
                self.give_up(id, out);
            } else if failed < TRIES
                || self.requests.get(&id).is_some_and(|r| !self.winnable(r) || self.pressed(r))
            {
                self.place(id, out);
                failed += usize::from(self.groups.get(&group).is_some_and(|g| g.held.contains(&id)));
            }
        }
        if self.set.check == ReplicaCheck::None {
            self.probe_for_held(group, out);
        }
    }

    /// Reads wait here for positions: ask a few who are behind, unless half are known fresh (no room).
    fn probe_for_held(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group) else { return };
        let waiting = g.held.iter().filter_map(|id| self.requests.get(id));
        let Some(target) = waiting.map(|r| self.target(r)).filter(|t| *t > 0).min() else { return };
        let gap = |m: &Member| SEEK_EVERY.max(target.saturating_sub(m.position) / 8).min(WAIT);
        let due = |m: &Member| m.position < target && m.ill.is_none() && self.now >= m.probed + gap(m);
        let stale = |id: &&MemberId| self.members.get(id).is_some_and(due);
        let ids: Vec<MemberId> = g.members.iter().filter(stale).copied().collect();
        if ids.len() * 2 > g.members.len() {
            self.probe_some(ids, out);
        }
    }

    // ---- Attempts ----

    fn send(&mut self, id: RequestId, member: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(class) = self.requests.get(&id).map(|r| r.class) else { return };
        if self.members.get(&member).is_some_and(|m| m.cold_since.is_some()) {
            self.next_permit(member, self.means[class]);
        }
        let (Some(r), Some(m)) = (self.requests.get_mut(&id), self.members.get_mut(&member)) else { return };
        if let Some(ill) = &mut m.ill {
            (ill.ready, ill.trial_at) = (false, now + ill.backoff);
            ill.backoff = (ill.backoff * 2).min(TRIAL.1);
        }
        m.open.insert((id, r.attempts), (now, r.class, r.session));
        r.open.push(Attempt { number: r.attempts, member, sent: now, cancelled: false });
        r.attempts += 1;
        let g = self.groups.entry(r.group).or_default();
        g.held.remove(&id);
        g.first_held *= usize::from(!g.held.is_empty());
        out.push(Action::Send { id, member, timeout: None });
    }

    fn on_ended(&mut self, end: Ended, out: &mut Vec<Action>) {
        let Ended { id, attempt, member, outcome, closed, .. } = end;
        let (told, now) = ((end.position.map(|p| p.0), end.role), self.now);
        let Some(m) = self.members.get_mut(&member) else { return };
        let Some((sent, class, session)) = m.open.remove(&(id, attempt)) else { return };
        let Some(group) = m.group else { return };
        let write = self.set.classes[class].read == ReadLevel::Write;
        use Outcome::{Cancelled, Failed, Garbled, Miss, QueueFull};
        let answered = matches!(outcome, Outcome::Ok | Failed | QueueFull | Miss | Garbled);
        if answered {
            self.hear(member, true);
            if let Some(m) = self.members.get_mut(&member) {
                if m.linked_at.is_none() && !write {
                    let extra = end.latency.0 as f64 / self.means[class].max(1.0) - 1.0;
                    self.link_cost += LINK_COST.0 * (extra.clamp(0.0, LINK_COST.1) - self.link_cost);
                }
                (m.refused, m.linked_at, m.passed) = (0, Some(now), m.passed.max(sent));
                if now < self.squeezed_until && m.open.is_empty() {
                    m.linked_at = None;
                    out.push(Action::Close { member });
                }
            }
        }
        // A write's position is its commit, rounded up; the member surely has what lies a unit before it.
        let position = told.0.map(|p| if write { p.saturating_sub(MS) } else { p });
        let seen = now.saturating_sub(2 * MS);
        let role = if write && outcome == Outcome::Miss { Some(Role::Replica) } else { told.1 };
        self.learn(member, position, role, (seen, now));
        if let (Some(m), Some(role)) = (self.members.get_mut(&member), role) {
            m.proven = role == Role::Primary;
        }
        self.learn(member, end.report.position.map(|p| p.0.saturating_sub(MS)), None, (0, 0));
        self.tell(member, out);
        // Also when the client is long gone: its next read must see the write. What is dropped stays a floor.
        if let (Outcome::Ok, true, Some(session), Some(commit)) = (outcome, write, session, told.0) {
            let sessions = &mut self.groups.entry(group).or_default().sessions;
            sessions.note(session, commit);
            sessions.drop_past(SESSIONS_MOST);
        }
        let passed = self.members.get(&member).is_some_and(|m| m.passed > sent + end.latency.0 * 3 / 4);
        let given_up = outcome == Cancelled && !closed && passed;
        let unanswered = given_up || matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        if answered || unanswered {
            self.lost += SMOOTH_LOST * (f64::from(u8::from(unanswered)) - self.lost);
        }
        match outcome {
            Outcome::Ok => self.on_served(member, class, end.latency.0),
            Outcome::Miss if !write => {
                let target = self.requests.get(&id).map_or(0, |r| self.target(r));
                self.members.entry(member).and_modify(|m| (m.behind, m.behind_at) = (target, now));
            }
            Outcome::Failed if write => {}
            // Quick errors are a way of saying "full", too.
            Outcome::QueueFull | Outcome::Failed => {
                self.members.entry(member).and_modify(|m| m.rest_until = now + 2 * TICK);
                self.cut(member);
            }
            Outcome::ConnectError => self.on_refused(member, end.latency.0, out),
            Outcome::TimedOut | Outcome::Cancelled => {
                let strain = (end.latency.0 as f64 / self.aim(class)).min(2.0);
                let more = |m: &mut Member| m.strain += SMOOTH_MEMBER * (strain - m.strain).max(0.0);
                self.members.entry(member).and_modify(more);
                if outcome == Outcome::TimedOut {
                    self.cut(member);
                }
            }
            _ => {}
        }
        let may_have_run = unanswered || matches!(outcome, Failed | Cancelled | Garbled);
        let Some(r) = self.requests.get_mut(&id) else { return self.pump(group, out) };
        r.open.retain(|a| a.number != attempt);
        if outcome != Outcome::Ok {
            r.missed.insert(member, now);
        }
        r.ran_from = may_have_run.then(|| r.ran_from.map_or(sent, |t| t.min(sent))).or(r.ran_from);
        r.reached |= !matches!(outcome, Outcome::ConnectError | Outcome::Ignored);
        if closed {
            self.forget(id, out);
        } else if r.open.is_empty() {
            if self.may_repeat(id) { self.place(id, out) } else { self.give_up(id, out) }
        }
        self.pump(group, out);
    }

    /// No connection. A member never or long not heard of is unreachable, whatever a list says. One that just
    /// answered is out of connections: it rests, longer each time, and idle connections are given back, since
    /// what one router keeps another lacks. Harm: one that has just died is tried a few times more.
    fn on_refused(&mut self, member: MemberId, took: Us, out: &mut Vec<Action>) {
        let (now, chance) = (self.now, 0.5 + self.rng.get_mut().f64());
        let Some(m) = self.members.get_mut(&member) else { return };
        m.linked_at = None;
        m.refused += 1;
        self.link_cost += LINK_COST.0 * (LINK_COST.1 - self.link_cost);
        if m.refused > REFUSALS || now > m.heard.max(m.reported) + ALIVE {
            return self.fall_ill(member, true, took < self.set.limits.connect_timeout.0 / 2);
        }
        m.rest_until = now + ((TICK << m.refused) as f64 * chance) as Us;
        // Turned down at once, not timed out on a slow handshake: then open connections are worth keeping.
        // Once alone is a connection that broke, not a member without any left.
        if m.refused > 1 && took < self.set.limits.connect_timeout.0 / 2 {
            self.squeezed_until = now + ALIVE;
        }
        if self.probe_credit >= 1.0 && now > m.probed + PROBE_EVERY {
            self.probe_credit -= 1.0;
            self.probe(member, out);
        }
    }

    /// One router's share of what all together may do to a member, where each sees only its own part.
    fn shared(&self, all: f64) -> f64 {
        all / f64::from(self.set.fleet_size.max(1))
    }

    fn on_served(&mut self, member: MemberId, class: usize, latency: Us) {
        let (now, taken, aim) = (self.now, latency.max(1) as f64, self.aim(class));
        let (mean, step) = (self.means[class].max(1.0), self.shared(LIMIT.2).min(0.5));
        self.patience[class] += SMOOTH_CLASS * (self.set.classes[class].aim.0 as f64 - self.patience[class]);
        self.means[class] += SMOOTH_CLASS * (taken.min(mean * 5.0) - mean);
        let Some(m) = self.members.get_mut(&member) else { return };
        let weight = SMOOTH_MEMBER.max(1.0 - (-((now - m.judged) as f64) / FADE).exp());
        m.judged = now;
        m.ratio += weight * ((taken / mean).min(10.0) - m.ratio);
        m.strain += weight * ((taken / aim).min(2.0) - m.strain);
        // Many routers with one in flight each are a queue too: under strain a member rests between requests.
        // Harm: tight aims with varied work look like strain.
        if m.strain > STRAIN.0 {
            m.rest_until = m.rest_until.max(now + (taken * (1.0 / m.limit - 1.0).max(0.0)) as Us);
        } else if m.open.len() as f64 + 1.0 >= m.limit / 2.0 {
            m.limit = (m.limit + step / m.limit.max(1.0)).min(LIMIT_ONE.1);
        }
        if m.strain > STRAIN.1 {
            self.cut(member);
        }
    }

    fn cut(&mut self, member: MemberId) {
        let (now, least) = (self.now, self.shared(LIMIT.1).min(0.3));
        if let Some(m) = self.members.get_mut(&member).filter(|m| now >= m.cut_at + 200 * MS) {
            m.limit = (m.limit.min(m.open.len() as f64 + 1.0) * 0.85).max(least);
            m.cut_at = now;
        }
    }

    /// Whether another send can't make the effect happen twice.
    fn may_repeat(&self, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        match (self.set.classes[r.class].effect, r.ran_from) {
            _ if r.attempts >= self.set.limits.max_attempts => false,
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed { window, .. }, Some(from)) => self.now + MARGIN < from + window.0,
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    /// What is far later than usual gets a second copy where allowed and paid for; else it is called off and
    /// sent anew, sooner the more stay unanswered: lost answers, hangs. Harm: long work is begun twice.
    fn rescue(&mut self, out: &mut Vec<Action>) {
        let (now, limits) = (self.now, &self.set.limits);
        let patient =
            (MOVE_AFTER.1 - (MOVE_AFTER.1 - MOVE_AFTER.0) * self.lost / LOST_MUCH).max(MOVE_AFTER.0);
        let late = |(id, r): (&RequestId, &Held)| {
            let a = r.open.first().filter(|a| r.open.len() == 1 && !a.cancelled)?;
            let (class, mean) = (&self.set.classes[r.class], self.means[r.class].max(1.0));
            let (m, primary) = (self.members.get(&a.member)?, self.first_on_primary(r.class));
            let safe = class.effect != Effect::Unsafe && self.may_repeat(*id);
            let by = if class.late_worth > 0.0 { r.deadline } else { r.aim_at };
            let useful = now + (mean * 0.7) as Us <= by;
            // A primary that answers what came far later is not slow: this answer is lost.
            let again = !primary || m.passed > a.sent + (now - a.sent) * 3 / 4;
            let again = again && r.attempts + 1 < limits.max_attempts;
            let lone = !primary && m.ill.as_ref().is_some_and(|i| a.sent < i.since);
            let usual = mean * if primary { 2.0 } else { 1.0 };
            let waited = if lone { f64::INFINITY } else { (now - a.sent) as f64 / usual };
            (safe && (useful || lone) && again && waited > COPY_AFTER.min(patient)).then_some((*id, waited))
        };
        let ids: Vec<(RequestId, f64)> = self.requests.iter().filter_map(late).collect();
        for (id, waited) in ids {
            let Some(r) = self.requests.get(&id) else { continue };
            let copy = self.set.limits.second_copies && self.copies >= 1.0;
            if let Some(member) = copy.then(|| self.draw(r, true)).flatten() {
                self.copies -= 1.0;
                self.send(id, member, out);
            } else if self.set.limits.cancel && waited > patient {
                let number = r.open[0].number;
                self.requests.entry(id).and_modify(|r| r.open[0].cancelled = true);
                out.push(Action::Cancel { id, attempt: number });
            }
        }
    }

    // ---- Refusals ----

    /// Too little is left for good odds and the wait for a replica is over: it goes now to a member with
    /// room to spare, or is let go.
    fn pressed(&self, r: &Held) -> bool {
        let lead = (self.means[r.class] * LEAD.0).min((r.aim_at - r.arrived) as f64 * LEAD.1);
        let late = self.now >= r.fall_at.max(r.aim_at.saturating_sub(lead as Us));
        late && self.set.classes[r.class].late_worth == 0.0
    }

    /// Whether an answer can still be worth something to the client. What reached nobody, the primary away or
    /// cold, is let go by half its time, for its client to come back. Harm: an election may end just after.
    fn winnable(&self, r: &Held) -> bool {
        let soonest = self.now + MARGIN + (self.means[r.class] * 0.3) as Us;
        let late_pays = self.set.classes[r.class].late_worth > 0.0;
        let in_time = soonest < r.deadline && (late_pays || soonest < r.aim_at + MARGIN);
        let half = self.now + 2 * MARGIN >= r.arrived.midpoint(r.deadline);
        let away = self.primary(r.group).is_none_or(|p| self.members[&p].cold_since.is_some());
        let stuck = half && !r.reached && away;
        in_time && !stuck && r.attempts < self.set.limits.max_attempts
    }

    /// The final answer of a request that can't succeed, at once: refused where a retry does no harm.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let harmless = r.ran_from.is_none() && r.open.is_empty();
        let refuse = match self.set.classes[r.class].effect {
            Effect::Safe => true,
            Effect::Keyed { scope, .. } => harmless || scope == RepeatScope::All,
            Effect::Unsafe => harmless,
        };
        if refuse {
            let wait = COME_BACK + (COME_BACK as f64 * self.rng.get_mut().f64()) as Us;
            let advice = Span(wait.min(self.set.limits.max_retry_after.0));
            out.push(Action::Refuse { id, retry_after: self.set.limits.retry_after.then_some(advice) });
        } else {
            out.push(Action::Fail { id });
        }
        self.forget(id, out);
    }

    /// Clients that leave before their deadline show how long they wait. Harm: a few hasty ones hurry all.
    fn on_lapsed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get(&id).filter(|r| self.now + MARGIN < r.deadline) {
            let waited = (self.now - r.arrived) as f64;
            self.patience[r.class] += SMOOTH_MEMBER * (waited * 0.8 - self.patience[r.class]).min(0.0);
        }
        self.forget(id, out);
    }

    /// The time in which an answer earns its full worth: the aim, or what clients are seen to wait.
    fn aim(&self, class: usize) -> f64 {
        (self.set.classes[class].aim.0 as f64).min(self.patience[class]).max(1.0)
    }

    /// Drops a request that is over, calling off what is still out for it.
    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.groups.entry(r.group).and_modify(|g| _ = g.held.remove(&id));
        self.groups.retain(|_, g| g.is_used());
        for a in r.open.iter().filter(|a| !a.cancelled && self.set.limits.cancel) {
            out.push(Action::Cancel { id, attempt: a.number });
        }
    }
}
