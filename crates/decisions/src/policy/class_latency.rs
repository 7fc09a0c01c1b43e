//! Statistics by class of request: latency, and how long clients wait.

use super::MEMBER_SMOOTHING;
use crate::api::{Class, ClassId, Micros};

/// Weight of a new answer in the smoothed statistics of a class.
const CLASS_SMOOTHING: f64 = 0.02;
/// Upper bound of the latency with which one answer enters the mean of its class, in multiples of that mean.
const OUTLIER_MEANS_MAX: f64 = 5.0;
/// The initial mean is the latency objective divided by this.
const INITIAL_MEAN_DIVISOR: f64 = 5.0;
/// If a client leaves early, the effective objective of its class moves towards this fraction of the time for which
/// the client waited.
const CLIENT_WAIT_FRACTION: f64 = 0.8;

/// Latency statistics by class, in microseconds.
pub(super) struct ClassLatencies {
    /// Smoothed latency of a served attempt.
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

    /// Smoothed latency of a served attempt of this class, in microseconds.
    pub(super) fn mean(&self, class: ClassId) -> f64 {
        self.means[class.0]
    }

    /// Unweighted mean of the classes' mean latencies, in microseconds.
    pub(super) fn overall_mean(&self) -> f64 {
        self.means.iter().sum::<f64>() / self.means.len().max(1) as f64
    }

    /// The time in which an answer earns its full weight, in microseconds: the latency objective, or less where
    /// clients leave earlier; at least 1.
    pub(super) fn effective_objective(&self, class: ClassId, objective: Micros) -> f64 {
        objective.as_f64().min(self.effective_objectives[class.0]).max(1.0)
    }

    /// Records an attempt that was served after `taken` microseconds, and moves the effective objective back towards
    /// `objective`. Returns the class's mean before the update, at least 1.
    pub(super) fn record_served(&mut self, class: ClassId, taken: f64, objective: Micros) -> f64 {
        let mean = self.means[class.0].max(1.0);
        let effective_objective = &mut self.effective_objectives[class.0];
        *effective_objective += CLASS_SMOOTHING * (objective.as_f64() - *effective_objective);
        self.means[class.0] += CLASS_SMOOTHING * (taken.min(mean * OUTLIER_MEANS_MAX) - mean);
        mean
    }

    /// Records a client that left before its deadline, after it had waited for this long. Can only lower the
    /// effective objective.
    pub(super) fn record_client_gone(&mut self, class: ClassId, waited: Micros) {
        let effective_objective = &mut self.effective_objectives[class.0];
        *effective_objective +=
            MEMBER_SMOOTHING * (waited.as_f64() * CLIENT_WAIT_FRACTION - *effective_objective).min(0.0);
    }
}
