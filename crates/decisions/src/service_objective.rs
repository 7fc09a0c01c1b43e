//! The weight of a request in the site's service objective, which has an extra weight for the worst-served class. No
//! I/O; it is driven by the requests that arrive and those that are served.
//!
//! Under overload, all requests of the class with the least weight relative to its work would be rejected. If the
//! objective has an extra weight for the worst-served class, the priority of this class's requests rises until other
//! classes are served as badly.

use crate::api::{ClassId, ObjectiveWeights, Time};

/// Time constant with which requested and served weights decay. Microseconds. The objective covers whole days, but the
/// state of members changes within seconds.
const DECAY_TIME: f64 = 30_000_000.0;
/// A class whose served share exceeds that of the worst-served class by this gets 1/e of that class's part of the extra
/// weight.
const NEARNESS_SCALE: f64 = 0.05;
/// Minimum number of recent requests of a class, after decay, for which its served share is used.
const REQUESTS_MIN: f64 = 20.0;

/// The recently requested and served weight of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTotals {
    /// Weight of one request.
    weight: f64,
    requested: f64,
    served: f64,
}

impl ClassTotals {
    /// Whether enough requests have arrived for a meaningful served share.
    fn has_enough_requests(&self) -> bool {
        self.requested >= REQUESTS_MIN * self.weight && self.weight > 0.0
    }

    fn served_share(&self) -> f64 {
        (self.served / self.requested).min(1.0)
    }
}

/// The service of each class by one router.
#[derive(Clone, Debug)]
pub struct ServiceObjective {
    weights: ObjectiveWeights,
    classes: Vec<ClassTotals>,
    /// When the totals last decayed.
    decayed_at: Time,
}

impl ServiceObjective {
    /// An objective without requests. `class_weights` yields the weight of one request of each class.
    pub fn new(weights: ObjectiveWeights, class_weights: impl Iterator<Item = f64>) -> ServiceObjective {
        let classes = class_weights.map(|weight| ClassTotals { weight, ..ClassTotals::default() }).collect();
        ServiceObjective { weights, classes, decayed_at: Time::default() }
    }

    /// Records a request of a class that arrived at `now`, and returns its priority weight; 0 for an unknown class.
    pub fn request_arrived(&mut self, now: Time, class: ClassId) -> f64 {
        self.decay(now);
        let Some(totals) = self.classes.get_mut(class.0) else { return 0.0 };
        totals.requested += totals.weight;
        totals.weight * self.priority_factor(class)
    }

    /// Records that a request of a class was served with this share (0 to 1) of its weight.
    pub fn request_served(&mut self, class: ClassId, share: f64) {
        if let Some(totals) = self.classes.get_mut(class.0) {
            totals.served += totals.weight * share;
        }
    }

    fn decay(&mut self, now: Time) {
        let kept = (-now.saturating_since(self.decayed_at).as_f64() / DECAY_TIME).exp();
        self.decayed_at = now;
        for totals in &mut self.classes {
            totals.requested *= kept;
            totals.served *= kept;
        }
    }

    /// The factor by which the weight of a request of this class is multiplied; 1 without weights or with too few
    /// requests.
    fn priority_factor(&self, class: ClassId) -> f64 {
        let has_weights = self.weights.total > 0.0;
        let totals = self.classes.get(class.0).filter(|totals| has_weights && totals.has_enough_requests());
        let Some(totals) = totals else { return 1.0 };
        let rated_classes = || self.classes.iter().filter(|totals| totals.has_enough_requests());
        let worst_share = rated_classes().map(ClassTotals::served_share).fold(f64::INFINITY, f64::min);
        let nearness = |totals: &ClassTotals| (-(totals.served_share() - worst_share) / NEARNESS_SCALE).exp();
        let all_nearness: f64 = rated_classes().map(nearness).sum();
        let all_requested: f64 = self.classes.iter().map(|totals| totals.requested).sum();
        let worst_weight = self.weights.worst_class / self.weights.total;
        1.0 + worst_weight * all_requested / totals.requested * nearness(totals) / all_nearness
    }
}
