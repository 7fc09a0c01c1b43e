//! Which replica gets a read: a random draw among the fresh, weighted against latency and load.

use super::*;

impl Router {
    /// Room for one more here, by the member's limit and rest and, while cold, by this router's permit.
    pub(super) fn room(&self, r: &Held, m: &Member) -> bool {
        let (warm, part) = (self.warmth(m), if self.pressed(r) { SPARE } else { 1.0 });
        if (m.open.len() as f64) >= (m.limit * warm * part).max(1.0) || self.now < m.rest_until {
            return false;
        }
        warm >= 1.0 || (self.now >= m.permit_at && m.permit_at > 0)
    }

    /// Known not to reach the position within `wait`: by its last report, even had it applied in real time
    /// since, or by a read it has just turned away.
    pub(super) fn lags(&self, m: &Member, target: Us, wait: Us) -> bool {
        let age = self.now - m.reported;
        (age < WAIT && m.position + age + REPORT_AGE + wait < target)
            || (self.now < m.behind_at + 2 * MISS_REST && m.behind <= target)
    }

    /// Where nobody checks after us only what is known to be applied counts; elsewhere the replica judges.
    fn fresh_enough(&self, m: &Member, target: Us) -> bool {
        let known = target == 0 || m.position >= target;
        known || (self.set.position_check != PositionCheck::None && !self.lags(m, target, 0))
    }

    pub(super) fn replicas<'a>(&'a self, g: &'a Group) -> impl Iterator<Item = (&'a MemberId, &'a Member)> {
        let others = g.members.iter().filter(|id| Some(**id) != g.primary);
        others.filter_map(|id| Some((id, self.members.get(id)?)))
    }

    pub(super) fn draw(&self, r: &Held, healthy: bool) -> Option<MemberId> {
        let target = self.target(r);
        let g = self.groups.get(&r.group)?;
        let any = self.set.classes[r.class].read_level == ReadLevel::Any;
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
            let far = f64::from(u8::from(m.zone != Some(self.set.zone))) * 10.0 * self.set.costs.cross_zone;
            let load = m.ratio.max(0.2) * (m.open.len() as f64 + 1.0) / self.warmth(m).powf(1.0 / SHARPNESS);
            let linked = m.linked_at.is_some_and(|t| self.now < t + self.set.limits.idle_close.0);
            let cost = load * (1.0 + far) * if linked { 1.0 } else { 1.0 + self.link_cost };
            // Long reads can stall a log: spread out, they keep all behind. Reads of any age gather
            // on the one furthest behind, alike at all routers. Harm: it is slow to be promoted.
            let lag = self.now.saturating_sub(m.position) as f64 / furthest;
            let spare = if target == 0 { 1.0 + lag } else { 1.0 };
            let weight = if any { lag.powi(GATHER) / cost } else { cost.powf(-SHARPNESS) * spare };
            let weight = weight * if m.ejected.is_some() { 0.3 } else { 1.0 };
            total += weight;
            if drawn.is_none() || rng.f64() * total < weight {
                drawn = Some(*id);
            }
        }
        drawn
    }
}
