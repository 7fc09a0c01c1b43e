//! What can't be served any more, and the final answer for it.

use super::*;

impl Router {
    /// Too little is left for good odds and the wait for a replica is over: it goes now to a member with
    /// room to spare, or is let go.
    pub(super) fn pressed(&self, r: &Held) -> bool {
        let lead = (self.means[r.class] * LEAD.0).min((r.aim_at - r.arrived) as f64 * LEAD.1);
        let late = self.now >= r.fall_at.max(r.aim_at.saturating_sub(lead as Us));
        (late || r.spent) && self.set.classes[r.class].late_weight == 0.0
    }

    /// Whether an answer can still be worth something to the client. What reached nobody, the primary away or
    /// cold, is let go by half its time, for its client to come back. Harm: an election may end just after.
    pub(super) fn winnable(&self, r: &Held) -> bool {
        let soonest = self.now + MARGIN + (self.means[r.class] * 0.3) as Us;
        let late_pays = self.set.classes[r.class].late_weight > 0.0;
        let in_time = soonest < r.deadline && (late_pays || soonest < r.aim_at + MARGIN);
        let half = self.now + 2 * MARGIN >= r.arrived.midpoint(r.deadline);
        let away = self.primary(r.group).is_none_or(|p| self.members[&p].cold_since.is_some());
        let stuck = half && !r.reached && away;
        in_time && !stuck && self.may_repeat(r)
    }

    /// The final answer of a request that can't succeed, at once: refused where a retry does no harm.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let harmless = matches!(
            self.set.classes[r.class].idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
        );
        if harmless || (r.ran_from.is_none() && r.open.is_empty()) {
            let wide = COME_BACK as f64 * (1.0 + f64::from(self.set.fleet_size.max(1)).log10());
            let wait = COME_BACK + (wide * self.rng.get_mut().f64()) as Us;
            let advice = Micros(wait.min(self.set.limits.max_retry_after.0));
            out.push(Action::Reject { id, retry_after: self.set.limits.retry_after.then_some(advice) });
        } else {
            out.push(Action::Fail { id });
        }
        self.forget(id, out);
    }

    /// Clients that leave before their deadline show how long they wait. Harm: a few hasty ones hurry all.
    pub(super) fn on_lapsed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get(&id).filter(|r| self.now + MARGIN < r.deadline) {
            let waited = (self.now - r.arrived) as f64;
            self.patience[r.class] += SMOOTH_MEMBER * (waited * 0.8 - self.patience[r.class]).min(0.0);
        }
        self.forget(id, out);
    }

    /// The time in which an answer earns its full worth: the aim, or what clients are seen to wait.
    pub(super) fn aim(&self, class: usize) -> f64 {
        (self.set.classes[class].latency_objective.0 as f64).min(self.patience[class]).max(1.0)
    }

    /// Drops a request that is over, calling off what is still out for it.
    pub(super) fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.groups.entry(r.group).and_modify(|g| _ = g.held.remove(&id));
        self.groups.retain(|_, g| g.is_used());
        for a in r.open.iter().filter(|a| !a.cancelled && self.set.limits.cancel) {
            out.push(Action::Cancel { id, attempt: a.number });
        }
    }
}
