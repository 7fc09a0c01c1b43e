//! Who is primary, by the newest evidence, and the search while nobody is.

use super::*;

impl Router {
    /// Newest evidence wins: the member with the latest claim that nothing newer of its own denies.
    pub(super) fn find_primary(&mut self, group: GroupId) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        let claim = |id: &MemberId| {
            let m = self.members.get(id)?;
            (m.primary_at > m.replica_at).then_some((m.primary_at, *id))
        };
        g.primary = g.members.iter().filter_map(claim).max().map(|(_, id)| id);
    }

    /// The primary that may be given work now.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let id = self.groups.get(&group)?.primary?;
        let m = self.members.get(&id)?;
        well(m).then_some(id)
    }

    /// The primary that a read may rely on. A list or report can be wrong or old; where members don't check,
    /// only the last answer's own word keeps a stale read from a member that is primary no longer.
    pub(super) fn trusted(&self, group: GroupId) -> Option<MemberId> {
        self.primary(group)
            .filter(|id| self.set.position_check != PositionCheck::None || self.members[id].proven)
    }

    /// Where a write may look for the primary while none is known, or the one known is ill for long: others
    /// turn it away at once, untouched: that tells as much as a probe. Harm: a connection, and an attempt.
    pub(super) fn guess(&self, r: &Held, g: &Group) -> Option<MemberId> {
        let gap = self.seek_gap() + REPORT_AGE;
        let open = |m: &Member| well(m) && m.open.is_empty() && self.now >= m.replica_at + gap;
        let fits = |id: &&MemberId| !r.missed.contains_key(*id) && self.members.get(*id).is_some_and(open);
        let long = |m: &Member| m.ejected.as_ref().is_none_or(|i| i.since + ALIVE < self.now);
        let lost = g.primary.map(|p| &self.members[&p]).is_none_or(|m| !may_try(m) && long(m));
        let search = lost && r.attempts < GUESSES;
        let fits: Vec<&MemberId> = g.members.iter().filter(fits).collect();
        self.rng.borrow_mut().choice(fits).filter(|_| search).copied()
    }

    /// Each router of a fleet looks for itself: the more there are, the longer the gaps.
    fn seek_gap(&self) -> Us {
        SEEK_EVERY.0.max(u64::from(self.set.fleet_size) * SEEK_EVERY.1)
    }

    /// Looks for the primary while there is none and work that only it can do waits.
    pub(super) fn seek(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let (now, known, gap) = (self.now, self.primary(group).is_some(), self.seek_gap());
        let Some(g) = self.groups.get_mut(&group) else { return };
        if !known && now >= g.seek_at && g.first_held > 0 {
            g.seek_at = now + gap;
            let ids = g.members.iter().copied().collect();
            self.probe_some(ids, out);
        }
    }
}
