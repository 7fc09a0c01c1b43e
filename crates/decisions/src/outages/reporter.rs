//! What a proxy has to tell of itself and of members, and what it was told in turn. Pure.
//!
//! Only what changed is told; it counts as told once an answer to that request came, since requests are lost.

use super::{Cause, Fence, Report, Sight};
use std::collections::BTreeMap;

/// The members that are spoken of at most.
const SIGHTS_MOST: usize = 4_096;
/// And in one request, which keepers refuse when it is too long; the others go with the next ones.
const SIGHTS_EACH: usize = 512;

/// One incarnation of a proxy.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    own: i32,
    sights: BTreeMap<String, Sight>,
    told: BTreeMap<String, Sight>,
    /// The last request with what it told.
    pending: Option<(u64, BTreeMap<String, Sight>)>,
    fence: Fence,
    /// The edition that is carried out here.
    carried: u64,
}

impl Reporter {
    /// How this proxy is now; whether that is news.
    pub fn own(&mut self, cause: Cause) -> bool {
        let news = self.own != cause as i32;
        self.own = cause as i32;
        news
    }

    /// How members are seen now, all of them; whether that is news.
    pub fn see(&mut self, sights: BTreeMap<String, Sight>) -> bool {
        self.sights = sights.into_iter().take(SIGHTS_MOST).collect();
        // Whoever is not seen any more is not forgotten: the keepers would take it for well.
        for (member, sight) in &self.told {
            if !self.sights.contains_key(member) && self.sights.len() < SIGHTS_MOST {
                let gone = Sight { cause: Cause::Gone as i32, ..sight.clone() };
                self.sights.insert(member.clone(), gone);
            }
        }
        self.sights != self.told
    }

    /// The report that goes with a request of that number.
    pub fn report(&mut self, seq: u64) -> Report {
        let news = |(member, sight): &(&String, &Sight)| self.told.get(*member) != Some(sight);
        let sights: BTreeMap<String, Sight> =
            self.sights.iter().filter(news).take(SIGHTS_EACH).map(|(m, s)| (m.clone(), s.clone())).collect();
        self.pending = Some((seq, sights.clone()));
        Report { own: self.own, sights, fenced: self.carried }
    }

    /// That request was granted; with it may have come a newer fence, which is returned to be carried out.
    pub fn granted(&mut self, seq: u64, fence: Option<Fence>) -> Option<Fence> {
        if let Some((_, sights)) = self.pending.take_if(|(asked, _)| *asked == seq) {
            self.told.extend(sights);
            self.told.retain(|_, sight| sight.cause != Cause::Gone as i32);
        }
        let newer = fence.filter(|f| f.edition > self.fence.edition)?;
        self.fence = newer.clone();
        Some(newer)
    }

    /// Nothing new goes to whoever is fenced by that edition.
    pub fn carried(&mut self, edition: u64) {
        self.carried = self.carried.max(edition);
    }

    /// Whether the newest fence that was told is carried out.
    pub fn is_carried(&self) -> bool {
        self.carried >= self.fence.edition
    }

    /// Another incarnation begins: all is told anew.
    pub fn begin_anew(&mut self) {
        (self.told, self.pending) = (BTreeMap::new(), None);
    }
}
