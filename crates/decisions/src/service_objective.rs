//! How much a request counts for the site's service objective, which weighs the class that is served worst by
//! itself. Pure: told which requests arrive and which are served.
//!
//! Under overload, the class with the least weight for its work would be rejected as a whole. Where the
//! objective weighs the worst-served class, its requests gain rank the worse it is served, until other
//! classes are served as badly.

use crate::api::{ClassId, ObjectiveWeights, Time};

/// Requested and served weights decay with this time constant. Microseconds. The objective looks at whole
/// days, but members change within seconds.
const DECAY: f64 = 30_000_000.0;
/// Classes whose served shares differ by less than this share the place of the worst.
const NEAR_WORST: f64 = 0.05;
/// A class is judged once this many requests' weight arrived.
const JUDGED_FROM: f64 = 20.0;

/// What recently arrived and was served of one class, in units of weight.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTotals {
    /// Weight of one request.
    weight: f64,
    requested: f64,
    served: f64,
}

impl ClassTotals {
    /// Whether enough has arrived to judge how the class is served.
    fn is_judged(&self) -> bool {
        self.requested >= JUDGED_FROM * self.weight && self.weight > 0.0
    }

    fn served_share(&self) -> f64 {
        (self.served / self.requested).min(1.0)
    }
}

/// How the classes of one router are served.
#[derive(Clone, Debug)]
pub struct ServiceObjective {
    weights: ObjectiveWeights,
    classes: Vec<ClassTotals>,
    /// When the totals last decayed.
    decayed_at: Time,
}

impl ServiceObjective {
    /// Nothing has arrived yet; `class_weights` are those of one request of each class.
    pub fn new(weights: ObjectiveWeights, class_weights: impl Iterator<Item = f64>) -> ServiceObjective {
        let classes = class_weights.map(|weight| ClassTotals { weight, ..ClassTotals::default() }).collect();
        ServiceObjective { weights, classes, decayed_at: Time::default() }
    }

    /// Counts a request of a class that arrived at `now`, and returns its priority weight; 0 for
    /// an unknown class.
    pub fn request_arrived(&mut self, now: Time, class: ClassId) -> f64 {
        self.decay(now);
        let Some(totals) = self.classes.get_mut(class.0) else { return 0.0 };
        totals.requested += totals.weight;
        totals.weight * self.priority_factor(class)
    }

    /// Counts a request of a class that was served with this share (0 to 1) of its weight.
    pub fn request_served(&mut self, class: ClassId, share: f64) {
        if let Some(totals) = self.classes.get_mut(class.0) {
            totals.served += totals.weight * share;
        }
    }

    fn decay(&mut self, now: Time) {
        let kept = (-now.saturating_since(self.decayed_at).as_f64() / DECAY).exp();
        self.decayed_at = now;
        for totals in &mut self.classes {
            totals.requested *= kept;
            totals.served *= kept;
        }
    }

    /// How many times its own weight a request of a class counts.
    fn priority_factor(&self, class: ClassId) -> f64 {
        let weighs_worst = self.weights.total > 0.0;
        let totals = self.classes.get(class.0).filter(|totals| weighs_worst && totals.is_judged());
        let Some(totals) = totals else { return 1.0 };
        let judged = || self.classes.iter().filter(|totals| totals.is_judged());
        let worst_share = judged().map(ClassTotals::served_share).fold(f64::INFINITY, f64::min);
        let nearness = |totals: &ClassTotals| (-(totals.served_share() - worst_share) / NEAR_WORST).exp();
        let all_nearness: f64 = judged().map(nearness).sum();
        let all_requested: f64 = self.classes.iter().map(|totals| totals.requested).sum();
        let worst_weight = self.weights.worst_class / self.weights.total;
        1.0 + worst_weight * all_requested / totals.requested * nearness(totals) / all_nearness
    }
}
