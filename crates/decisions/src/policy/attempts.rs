//! Sends and their ends: what they teach, whether to repeat, and what is called off.

use super::*;

/// After `taken` a member rests so long that it is busy for its limit's part of the time, if under one.
fn rest(m: &mut Member, now: Us, taken: f64) {
    m.rest_until = m.rest_until.max(now + (taken * (1.0 / m.limit - 1.0).max(0.0)) as Us);
}

impl Router {
    pub(super) fn send(&mut self, id: RequestId, member: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(class) = self.requests.get(&id).map(|r| r.class) else { return };
        if self.members.get(&member).is_some_and(|m| m.cold_since.is_some()) {
            self.next_permit(member, self.means[class]);
        }
        let (Some(r), Some(m)) = (self.requests.get_mut(&id), self.members.get_mut(&member)) else { return };
        m.ejected.iter_mut().for_each(|ejected| ejected.trial_sent(now));
        m.open.insert((id, r.attempts), (now, r.class, r.session));
        r.open.push(Attempt { number: r.attempts, member, sent: now, cancelled: false });
        r.attempts += 1;
        let g = self.groups.entry(r.group).or_default();
        g.held.remove(&id);
        g.first_held *= usize::from(!g.held.is_empty());
        out.push(Action::Send { id, member, timeout: None });
    }

    pub(super) fn on_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let AttemptEnd { id, attempt, member, outcome, is_request_over: closed, .. } = end;
        let (told, now) = ((end.position.map(|p| p.0), end.role), self.now);
        let Some(m) = self.members.get_mut(&member) else { return };
        let Some((sent, class, session)) = m.open.remove(&(id, attempt)) else { return };
        let Some(group) = m.group else { return };
        let write = self.set.classes[class].read_level == ReadLevel::Write;
        use Outcome::{Cancelled, Failed, MalformedReply, NotApplicable, QueueFull};
        let answered = matches!(outcome, Outcome::Ok | Failed | QueueFull | NotApplicable | MalformedReply);
        if answered {
            self.hear(member, outcome == Outcome::Ok);
            if let Some(m) = self.members.get_mut(&member) {
                if m.linked_at.is_none() && !write {
                    let extra = end.latency.0 as f64 / self.means[class].max(1.0) - 1.0;
                    self.link_cost += LINK_COST.0 * (extra.clamp(0.0, LINK_COST.1) - self.link_cost);
                }
                if let (Some(used), true) = (m.note_use(end.report.utilisation), m.cold_since.is_some()) {
                    m.pace = (PACE.0 / used.max(0.1)).clamp(1.0 / PACE.1, PACE.1);
                    self.pace = (self.pace * m.pace.powf(PACE.2)).clamp(1.0 / PACE.3, PACE.3);
                }
                (m.refused, m.linked_at, m.passed) = (0, Some(now), m.passed.max(sent));
                if now < self.squeezed_until && m.open.is_empty() {
                    m.linked_at = None;
                    out.push(Action::CloseIdleConnections { member });
                }
            }
        }
        // A write's position is its commit, rounded up; the member surely has what lies a unit before it.
        let position = told.0.map(|p| if write { p.saturating_sub(MS) } else { p });
        let seen = now.saturating_sub(2 * MS);
        let role = if write && outcome == Outcome::NotApplicable { Some(Role::Replica) } else { told.1 };
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
            Outcome::Ok => self.on_served(id, member, class, end.latency.0),
            Outcome::NotApplicable if !write => {
                let target = self.requests.get(&id).map_or(0, |r| self.target(r));
                self.members.entry(member).and_modify(|m| (m.behind, m.behind_at) = (target, now));
            }
            // Quick errors are a way of saying "full", too, but not one after the other.
            Outcome::QueueFull | Outcome::Failed if outcome != Failed || !write => {
                self.cut(member);
                let m = self.members.entry(member).or_default();
                (m.rest_until, m.failed) = (now + 2 * TICK, m.failed + u32::from(outcome == Failed));
                if m.failed > 1 {
                    self.fall_ill(member, false, false);
                }
            }
            Outcome::ConnectError => self.on_refused(member, end.latency.0, out),
            Outcome::TimedOut | Outcome::Cancelled => {
                let (took, aim) = (end.latency.0 as f64, self.aim(class));
                let m = self.members.entry(member).or_default();
                m.strain += SMOOTH_MEMBER * ((took / aim).min(2.0) - m.strain).max(0.0);
                rest(m, now, took.min(aim));
                if outcome == Outcome::TimedOut {
                    self.cut(member);
                }
            }
            _ => {}
        }
        let may_have_run = unanswered || matches!(outcome, Failed | Cancelled | MalformedReply);
        let Some(r) = self.requests.get_mut(&id) else { return self.pump(group, out) };
        r.open.retain(|a| a.number != attempt);
        if outcome != Outcome::Ok {
            r.missed.insert(member, now);
        }
        r.ran_from = may_have_run.then(|| r.ran_from.map_or(sent, |t| t.min(sent))).or(r.ran_from);
        r.reached |= !matches!(outcome, Outcome::ConnectError | Outcome::NotSent);
        if closed {
            self.forget(id, out);
        } else if r.open.is_empty() {
            self.place(id, out);
        }
        self.pump(group, out);
    }

    /// No connection. A member never or long not heard of is unreachable. One that just answered is out of
    /// connections: it rests, and idle ones are given back. Harm: one that has just died is tried again.
    fn on_refused(&mut self, member: MemberId, took: Us, out: &mut Vec<Action>) {
        let (now, chance) = (self.now, 0.5 + self.rng.get_mut().f64());
        let Some(m) = self.members.get_mut(&member) else { return };
        (m.linked_at, m.refused) = (None, m.refused + 1);
        self.link_cost += LINK_COST.0 * (LINK_COST.1 - self.link_cost);
        if m.refused > REFUSALS || now > m.heard.max(m.reported) + ALIVE {
            return self.fall_ill(member, true, took < self.set.limits.connect_timeout.0 / 2);
        }
        m.rest_until = now + ((TICK << m.refused) as f64 * chance) as Us;
        // Turned down at once, not timed out on a slow handshake, and not once alone: that is one that broke.
        if m.refused > 1 && took < self.set.limits.connect_timeout.0 / 2 {
            self.squeezed_until = now + ALIVE;
        }
        if self.probe_credit >= 1.0 && now > m.probed + PROBE_EVERY {
            self.probe_credit -= 1.0;
            self.probe(member, out);
        }
    }

    /// One router's share of what all together may do to a member, where each sees only its own part.
    pub(super) fn shared(&self, all: f64) -> f64 {
        all / self.sharers.0
    }

    fn on_served(&mut self, id: RequestId, member: MemberId, class: usize, latency: Us) {
        let (now, taken, aim) = (self.credit(&id), latency.max(1) as f64, self.aim(class));
        let (mean, step) = (self.means[class].max(1.0), self.shared(LIMIT.2).min(0.5));
        self.patience[class] +=
            SMOOTH_CLASS * (self.set.classes[class].latency_objective.0 as f64 - self.patience[class]);
        self.means[class] += SMOOTH_CLASS * (taken.min(mean * 5.0) - mean);
        let Some(m) = self.members.get_mut(&member) else { return };
        let weight = SMOOTH_MEMBER.max(1.0 - (-((now - m.judged) as f64) / FADE).exp());
        (m.judged, m.failed, m.ratio) = (now, 0, m.ratio + weight * ((taken / mean).min(10.0) - m.ratio));
        m.strain += weight * ((taken / aim).min(2.0) - m.strain);
        // Many routers with one in flight each are a queue: strained, not idle by its own word, it rests.
        let busy = m.used.is_none_or(|used| used > PACE.0);
        let strained = STRAIN.0 * (1.0 + STRAIN.2 * (weight / (2.0 - weight)).sqrt());
        if busy && m.strain > strained {
            rest(m, now, taken);
        } else if m.open.len() as f64 + 1.0 >= m.limit / 2.0 {
            m.limit = (m.limit + step / m.limit.max(1.0)).min(LIMIT_ONE.1);
        }
        if busy && m.strain > strained * STRAIN.1 {
            self.cut(member);
        }
    }

    fn cut(&mut self, member: MemberId) {
        let (now, least) = (self.now, self.shared(LIMIT.1).min(1.0));
        if let Some(m) = self.members.get_mut(&member).filter(|m| now >= m.cut_at + 200 * MS) {
            m.limit = (m.limit.min(m.open.len() as f64 + 1.0) * 0.85).max(least);
            m.cut_at = now;
        }
    }

    /// Whether another send can't make the effect happen twice, also once its connection is up.
    pub(super) fn may_repeat(&self, r: &Held) -> bool {
        let (out, spare) = (r.open.iter().map(|a| a.sent), MARGIN + self.set.limits.connect_timeout.0);
        match (self.set.classes[r.class].idempotency, r.ran_from.into_iter().chain(out).min()) {
            _ if r.attempts >= self.set.limits.max_attempts => false,
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { window, .. }, Some(from)) => self.now + spare < from + window.0,
            (Idempotency::NotIdempotent, Some(_)) => false,
        }
    }

    /// What is far later than usual gets a second copy where allowed and paid for; else it is called off and
    /// sent anew, sooner the more stay unanswered: lost answers, hangs. Harm: long work is begun twice.
    pub(super) fn rescue(&mut self, out: &mut Vec<Action>) {
        let (now, limits) = (self.now, &self.set.limits);
        let patient =
            (MOVE_AFTER.1 - (MOVE_AFTER.1 - MOVE_AFTER.0) * self.lost / MOVE_AFTER.2).max(MOVE_AFTER.0);
        let late = |(id, r): (&RequestId, &Held)| {
            let a = r.open.first().filter(|a| r.open.len() == 1 && !a.cancelled)?;
            let (class, mean) = (&self.set.classes[r.class], self.means[r.class].max(1.0));
            let (m, primary) = (self.members.get(&a.member)?, self.first_on_primary(r.class));
            let safe = class.idempotency != Idempotency::NotIdempotent && self.may_repeat(r);
            let by = if class.late_weight > 0.0 { r.deadline } else { r.aim_at };
            let useful = now + (mean * 0.7) as Us <= by;
            // A primary that answers what came far later is not slow: this answer is lost.
            let again = !primary || m.passed > a.sent + (now - a.sent) * 3 / 4;
            let again = again && r.attempts + 1 < limits.max_attempts;
            let lone = !primary && m.ejected.as_ref().is_some_and(|i| a.sent < i.since);
            let usual = mean * if primary { 2.0 } else { 1.0 };
            let waited = if lone { f64::INFINITY } else { (now - a.sent) as f64 / usual };
            (safe && (useful || lone) && again && waited > COPIES.2.min(patient)).then_some((*id, waited))
        };
        let ids: Vec<(RequestId, f64)> = self.requests.iter().filter_map(late).collect();
        for (id, waited) in ids {
            let Some(r) = self.requests.get(&id) else { continue };
            let copy = self.set.limits.hedging && self.copies >= 1.0;
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
}
