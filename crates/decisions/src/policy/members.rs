//! What is known of each member: listed, heard, ill, cold; and the probes that find it out.

use super::*;

impl Router {
    pub(super) fn on_list(&mut self, update: ListUpdate) {
        let chance = self.rng.get_mut().f64();
        let (entries, whole) = match update {
            ListUpdate::Changes(e) => (e, false),
            ListUpdate::Full(e) => (e, true),
            ListUpdate::Cached(e) => {
                self.polls.list_loaded(self.now, chance, e.len());
                (e, true)
            }
            ListUpdate::Failed { .. } if self.set.discovery == Discovery::Pushed => return,
            ListUpdate::Failed { silent_for: quiet } => {
                return self.polls.failed(self.now, chance, quiet.map(|q| q.0));
            }
        };
        self.polls.succeeded();
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
        if m.state != MemberState::InService || !self.set.rules.removed_members_stay_usable {
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
        let (cold, limit) = (self.set.rules.slow_start.0, self.shared(LIMIT.0).min(LIMIT_ONE.0));
        let m = self.members.entry(e.member).or_insert_with(|| {
            let cold_since = (started > 0 && now < started + cold).then_some(started);
            Member { started, cold_since, ratio: 1.0, pace: 1.0, limit, ..Member::default() }
        });
        if started > m.started {
            // A restart: cold, and the old role is void; what it had applied it still has.
            (m.started, m.cold_since, m.permit_at, m.pace) = (started, Some(started), 0, 1.0);
            (m.primary_at, m.limit, m.ejected) = (0, limit, None);
        }
        (m.zone, m.group, m.state, m.absent_since) = (Some(e.zone), Some(e.group), e.state, None);
        // The registry's word on roles is late: it counts only while nothing better was ever heard.
        if self.set.list_names_primary && m.replica_at == 0 && m.primary_at <= 1 {
            m.primary_at = u64::from(e.primary_hint);
        }
    }

    /// How much of its warm capacity a member has at least, by the rules' slowest ramp.
    pub(super) fn warmth(&self, m: &Member) -> f64 {
        let Some(since) = m.cold_since else { return 1.0 };
        let part = (self.now.saturating_sub(since)) as f64 / self.set.rules.slow_start.0.max(1) as f64;
        (self.set.rules.slow_start_floor + (1.0 - self.set.rules.slow_start_floor) * part).min(1.0)
    }

    /// When this router may next send to a cold member: the mean gap keeps all routers at part of what a few
    /// cores bear by the rules' slowest ramp, times its pace; one just started has no pace of others yet.
    /// Chance keeps routers apart; an unused permit counts for a while, or all would save up one each.
    pub(super) fn next_permit(&mut self, id: MemberId, work: f64) {
        let Some(m) = self.members.get(&id) else { return };
        let share = self.set.rules.overload_multiple * COLD_CORES / self.sharers.1;
        let since = self.now.saturating_sub(m.cold_since.unwrap_or(self.now)) as f64;
        let pace =
            m.pace * self.pace.min(1.0 + PACE.3 * since / self.set.rules.overload_duration.0.max(1) as f64);
        let gap = work.max(1.0) / (self.warmth(m) * share * pace).max(1e-9);
        let unused =
            m.permit_at.clamp(self.now.saturating_sub(self.set.rules.overload_duration.0 / 2), self.now);
        let from = if m.permit_at > 0 { unused } else { self.now };
        let at = from + (2.0 * gap * self.rng.get_mut().f64()) as Us;
        self.members.entry(id).and_modify(|m| m.permit_at = at);
    }

    pub(super) fn hear(&mut self, id: MemberId, answered: bool) {
        let (now, started_cold) = (self.now, self.set.rules.slow_start.0);
        let Some(m) = self.members.get_mut(&id) else { return };
        m.heard = if answered { now } else { m.heard };
        m.zone.into_iter().for_each(|z| self.zone_health.record_answer(z, now));
        if let Some(ejected) = &mut m.ejected {
            if !answered && !ejected.unreachable {
                return ejected.trial_ready = true; // Probes show only that the process runs: try a request.
            }
            // Back from the dead before the list told: it may be cold, but not after a cut of it alone.
            let gone = ejected.unreachable && ejected.restarted && now - ejected.since > 1_000 * MS;
            if gone && m.cold_since.is_none_or(|c| c + started_cold < now) {
                (m.cold_since, m.permit_at, m.pace) = (Some(now), 0, 1.0);
            }
            m.ejected = None;
            m.ratio = m.ratio.min(2.0);
        }
    }

    pub(super) fn fall_ill(&mut self, id: MemberId, dead: bool, down: bool) {
        let (now, chance, fleet) = (self.now, 0.5 + self.rng.get_mut().f64(), self.set.fleet_size);
        let Some(m) = self.members.get_mut(&id) else { return };
        m.ejected.get_or_insert_with(|| EjectedMember::new(now, fleet)).failed(now, dead, down, chance);
    }

    /// Well, and heard of so lately that a lost connection is no sign of its end, nor two new ones in a row.
    fn just_heard(&self, id: MemberId) -> bool {
        let word =
            |m: &Member| m.ejected.is_none() && m.refused < 2 && self.now <= m.heard.max(m.reported) + ALIVE;
        self.members.get(&id).is_some_and(word)
    }

    pub(super) fn learn(&mut self, id: MemberId, position: Option<Us>, role: Option<Role>, as_of: (Us, Us)) {
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
            && p.ejected.as_ref().is_some_and(|i| !i.unreachable && i.since < alive)
        {
            (p.ejected, p.heard) = (None, now);
        }
        self.find_primary(group);
    }

    pub(super) fn on_probed(
        &mut self, id: MemberId, outcome: Outcome, report: LoadReport, out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probing = false;
        let Some(group) = m.group else { return };
        let down = outcome == Outcome::ConnectError && now - m.probed < self.set.limits.connect_timeout.0 / 2;
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
            Outcome::QueueFull | Outcome::NotSent | Outcome::Cancelled | Outcome::MalformedReply => {}
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
    pub(super) fn tell(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let receivers = f64::from(self.set.fleet_size.saturating_sub(1));
        let Some(m) = self.members.get_mut(&id) else { return };
        let news = self.set.limits.gossip && m.position > m.shared + TELL_STEP;
        if news && receivers > 0.0 && self.tell_credit >= receivers {
            self.tell_credit -= receivers;
            m.shared = m.position;
            let primary = m.primary_at > m.replica_at;
            out.push(Action::GossipPosition {
                member: id,
                position: LogPosition(m.position),
                is_primary: primary,
            });
        }
    }

    /// What a peer tells counts like an old report; only of known members, and no nonsense.
    pub(super) fn on_told(&mut self, id: MemberId, position: Us, primary: bool, out: &mut Vec<Action>) {
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

    pub(super) fn probe(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(m) =
            self.members.get_mut(&id).filter(|m| self.set.limits.health_checks && m.may_be_probed())
        {
            (m.probing, m.probed) = (true, now);
            out.push(Action::CheckHealth { member: id });
        }
    }

    /// A few by chance: hundreds of routers must not each ask every member.
    pub(super) fn probe_some(&mut self, mut ids: Vec<MemberId>, out: &mut Vec<Action>) {
        self.rng.get_mut().shuffle(&mut ids);
        ids.into_iter().take(self.shared(LIMIT.0).max(1.0) as usize).for_each(|id| self.probe(id, out));
    }

    pub(super) fn on_tick(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if self.polls.take_due(now) {
            out.push(Action::Subscribe);
        }
        self.pace = if self.members.values().any(|m| self.warmth(m) < 1.0) { self.pace } else { 1.0 };
        let walk = now >= self.walk_at;
        self.walk_at = if walk { now + WALK } else { self.walk_at };
        let members = self.members.iter().filter(|(_, m)| walk || !m.open.is_empty());
        for id in members.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.check_member(id, out);
        }
        // A lost zone isn't learned at a request a member: a probe each tells. Kept connections would break.
        let in_flight = self.members.iter().flat_map(|(id, m)| m.in_flight(*id, &self.means));
        for zone in self.zone_health.silent_zones(now, in_flight) {
            let lost = |m: &&Member| m.zone == Some(zone) && m.ejected.as_ref().is_none_or(|i| !i.restarted);
            let lost = self.members.iter().filter(|(_, m)| lost(m)).map(|(id, _)| *id);
            for member in lost.collect::<Vec<_>>() {
                self.fall_ill(member, false, true);
                out.push(Action::CloseIdleConnections { member });
            }
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
        if m.cold_since.is_some() && now >= m.permit_at + self.set.rules.overload_duration.0 {
            let work = self.means.iter().sum::<f64>() / self.means.len().max(1) as f64;
            self.next_permit(id, work);
        }
        let m = &self.members[&id];
        if let Some((sent, class, _)) = m.open.values().copied().min_by_key(|o| o.0) {
            // Work taken and no answer at all: a hang, a dead link, a lost room. Shows before time-outs do.
            let usual = self.means[class] * m.ratio.clamp(1.0, 4.0);
            let quiet = (now - sent.max(m.heard)) as f64;
            let bound = usual * (SILENT.0 + SILENT.1 / m.open.len() as f64);
            if quiet > bound.max(SILENT.2) && m.ejected.is_none() {
                self.fall_ill(id, false, false);
            }
        }
        let Some(m) = self.members.get_mut(&id) else { return };
        if m.ejected
            .as_mut()
            .is_some_and(|ejected| ejected.take_due_trial(now, self.set.limits.health_checks))
        {
            return self.probe(id, out);
        }
        if well(m) && now >= m.reported.max(m.probed) + PROBE_EVERY && self.probe_credit >= 1.0 {
            self.probe_credit -= 1.0;
            self.probe(id, out);
        }
    }
}
