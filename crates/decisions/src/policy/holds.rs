//! Requests that wait: for a position, for room, for a primary; and the fallback on the primary.

use super::*;

impl Router {
    pub(super) fn on_request(&mut self, q: Request, out: &mut Vec<Action>) {
        let (id, class, left, group, session) = (q.id, q.class.0, q.time_left.0, q.group, q.session);
        if class >= self.set.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let now = self.now;
        let save = |had: f64, spend: (f64, f64), price: f64| (had + spend.0 / price.max(1e-6)).min(spend.1);
        let spend = (PROBE_SPEND.0, self.shared(PROBE_SPEND.2).clamp(1.0, PROBE_SPEND.1));
        self.probe_credit = save(self.probe_credit, spend, self.set.costs.health_check);
        self.tell_credit = save(self.tell_credit, TELL_SPEND, self.set.costs.gossip);
        self.copies = (self.copies + COPIES.0).min(COPIES.1);
        let mut worth = self.objective.request_arrived(now, class);
        if let Some(t) = q.tenant
            && let rate = self.shared(self.set.tenants[t.0].allowance_per_s)
            && let Some(limiter) = self.rate_limits.get_mut(t.0)
        {
            worth *= if limiter.exceeds(now, rate) { self.set.over_quota_weight } else { 1.0 };
        }
        let part = WAIT_PART.0 + (WAIT_PART.1 - WAIT_PART.0) * self.rng.get_mut().f64();
        // Whoever began long ago waits for the rest of its patience: little or no worth is left either.
        let (full, work) = (self.aim(class) as Us, self.means[class]);
        let rest = self.client_retries.objective_left(class, left, full, work);
        let aim = left.min(rest.unwrap_or(full));
        worth *= if rest.is_none() { self.set.classes[class].late_weight } else { 1.0 };
        let r = Held {
            class,
            group,
            session: session.filter(|_| self.set.session_positions == SessionPositions::Remembered),
            arrived: now,
            aim_at: now + aim,
            deadline: now + left,
            floor: self.floor(&q),
            fall_at: now + WAIT.min((aim as f64 * part) as Us),
            worth,
            spent: rest.is_none(),
            ..Held::default()
        };
        self.requests.insert(id, r);
        self.place(id, out);
    }

    /// Sends a held request on if it can go now; else it stays held, or is given up if it can't succeed.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if !self.winnable(r) {
            return self.give_up(id, out);
        }
        if let Some(member) = self.choose(r) {
            return self.send(id, member, out);
        }
        if self.pressed(r) {
            return self.give_up(id, out);
        }
        self.groups.entry(r.group).or_default().held.insert(id);
    }

    fn choose(&self, r: &Held) -> Option<MemberId> {
        let room = |m: MemberId| self.members.get(&m).is_some_and(|m| self.room(r, m));
        match self.set.classes[r.class].read_level {
            ReadLevel::Write => {
                // A primary that was silent or away gets one write at a time to show whether it is back.
                let g = self.groups.get(&r.group)?;
                let named = g.primary.filter(|p| may_try(&self.members[p]) && room(*p));
                named.or_else(|| self.guess(r, g))
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

    pub(super) fn first_on_primary(&self, class: usize) -> bool {
        matches!(self.set.classes[class].read_level, ReadLevel::Write | ReadLevel::Fresh)
    }

    /// Gives held requests another chance, the most worth first.
    pub(super) fn pump(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        g.first_held = 0;
        let mut order: Vec<(i64, Us, RequestId)> = Vec::with_capacity(g.held.len());
        for id in &g.held {
            let Some(r) = self.requests.get(id) else { continue };
            let (work, late) = (self.means[r.class].max(1.0), self.set.classes[r.class].late_weight);
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
        if self.set.position_check == PositionCheck::None {
            self.probe_for_held(group, out);
        }
    }

    /// Reads wait here for positions: ask a few who are behind, unless half are known fresh (no room).
    fn probe_for_held(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group) else { return };
        let waiting = g.held.iter().filter_map(|id| self.requests.get(id));
        let Some(target) = waiting.map(|r| self.target(r)).filter(|t| *t > 0).min() else { return };
        let gap = |m: &Member| SEEK_EVERY.0.max(target.saturating_sub(m.position) / 8).min(WAIT);
        let due = |m: &Member| m.position < target && m.ejected.is_none() && self.now >= m.probed + gap(m);
        let stale = |id: &&MemberId| self.members.get(id).is_some_and(due);
        let ids: Vec<MemberId> = g.members.iter().filter(stale).copied().collect();
        if ids.len() * 2 > g.members.len() {
            self.probe_some(ids, out);
        }
    }
}
