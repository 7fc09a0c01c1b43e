//! What is learned of each class: how long its requests take, and how long its clients wait.

use super::MEMBER_SMOOTHING;
use crate::api::{Class, ClassId, Micros};

/// Weight of one more answer in the figures of a class.
const CLASS_SMOOTHING: f64 = 0.02;
/// An answer counts at most this multiple of the mean.
const OUTLIER_MEANS_MAX: f64 = 5.0;
/// The mean is assumed to be this part of the latency objective before anything was answered.
const INITIAL_MEAN_DIVISOR: f64 = 5.0;
/// A client that left has waited this fraction longer than an answer would have had to take.
const CLIENT_WAIT_FRACTION: f64 = 0.8;

/// Latencies by class, in microseconds.
pub(super) struct ClassLatencies {
    /// The mean time of an answered attempt.
    means: Vec<f64>,
    /// The time within which clients are still there: the latency objective, or less where clients leave earlier.
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

    /// The mean time of an answered attempt of this class.
    pub(super) fn mean(&self, class: ClassId) -> f64 {
        self.means[class.0]
    }

    /// The mean over all classes.
    pub(super) fn overall_mean(&self) -> f64 {
        self.means.iter().sum::<f64>() / self.means.len().max(1) as f64
    }

    /// The time in which an answer earns its full weight: the latency objective, or what clients are seen to wait.
    pub(super) fn effective_objective(&self, class: ClassId, objective: Micros) -> f64 {
        objective.as_f64().min(self.effective_objectives[class.0]).max(1.0)
    }

    /// An attempt was served after `taken`; returns the mean before it, at least 1.
    pub(super) fn record_served(&mut self, class: ClassId, taken: f64, objective: Micros) -> f64 {
        let mean = self.means[class.0].max(1.0);
        let effective_objective = &mut self.effective_objectives[class.0];
        *effective_objective += CLASS_SMOOTHING * (objective.as_f64() - *effective_objective);
        self.means[class.0] += CLASS_SMOOTHING * (taken.min(mean * OUTLIER_MEANS_MAX) - mean);
        mean
    }

    /// A client left before its deadline, after it had waited so long.
    pub(super) fn record_client_gone(&mut self, class: ClassId, waited: Micros) {
        let effective_objective = &mut self.effective_objectives[class.0];
        *effective_objective +=
            MEMBER_SMOOTHING * (waited.as_f64() * CLIENT_WAIT_FRACTION - *effective_objective).min(0.0);
    }
}
