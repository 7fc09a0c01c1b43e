//! Statistics by class: how long its requests take, and how long its clients wait.

use super::MEMBER_SMOOTHING;
use crate::api::{Class, ClassId, Micros};

/// Weight of one more answer in the statistics of a class.
const CLASS_SMOOTHING: f64 = 0.02;
/// Maximum that one answer counts, in means of its class.
const OUTLIER_MEANS_MAX: f64 = 5.0;
/// The initial mean is the latency objective divided by this.
const INITIAL_MEAN_DIVISOR: f64 = 5.0;
/// An answer would have had to arrive within this fraction of the time that a client waited before it left.
const CLIENT_WAIT_FRACTION: f64 = 0.8;

/// Latency statistics by class, in microseconds.
pub(super) struct ClassLatencies {
    /// Mean latency of an answered attempt.
    means: Vec<f64>,
    /// The latency objective, or less where clients leave earlier.
    effective_objectives: Vec<f64>,
}

impl ClassLatencies {
    pub(super) fn new(classes: &[Class]) -> ClassLatencies {
        let objective = |class: &Class| class.latency_objective.as_f64();
        ClassLatencies {
            means: classes.iter().map(|class| objective(class) / INITIAL_MEAN_DIVISOR).collect(),
            effective_objectives: classes.iter().map(objective).collect(),
        }
    }

    /// Mean latency of an answered attempt of this class.
    pub(super) fn mean(&self, class: ClassId) -> f64 {
        self.means[class.0]
    }

    /// Mean latency over all classes.
    pub(super) fn overall_mean(&self) -> f64 {
        self.means.iter().sum::<f64>() / self.means.len().max(1) as f64
    }

    /// The time in which an answer earns its full weight: the latency objective, or less where clients leave earlier;
    /// at least 1.
    pub(super) fn effective_objective(&self, class: ClassId, objective: Micros) -> f64 {
        objective.as_f64().min(self.effective_objectives[class.0]).max(1.0)
    }

    /// Records an attempt that was served after `taken`. Returns the mean before it, at least 1.
    pub(super) fn record_served(&mut self, class: ClassId, taken: f64, objective: Micros) -> f64 {
        let mean = self.means[class.0].max(1.0);
        let effective_objective = &mut self.effective_objectives[class.0];
        *effective_objective += CLASS_SMOOTHING * (objective.as_f64() - *effective_objective);
        self.means[class.0] += CLASS_SMOOTHING * (taken.min(mean * OUTLIER_MEANS_MAX) - mean);
        mean
    }

    /// Records a client that left before its deadline, after it had waited for this long.
    pub(super) fn record_client_gone(&mut self, class: ClassId, waited: Micros) {
        let effective_objective = &mut self.effective_objectives[class.0];
        *effective_objective +=
            MEMBER_SMOOTHING * (waited.as_f64() * CLIENT_WAIT_FRACTION - *effective_objective).min(0.0);
    }
}
