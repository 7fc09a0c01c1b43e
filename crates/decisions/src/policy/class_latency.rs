//! What is learned of each class: how long its requests take, and how long its clients wait.

use super::MEMBER_SMOOTHING;
use crate::api::{Class, ClassId, Micros};

/// Weight of one more answer in the figures of a class.
const CLASS_SMOOTHING: f64 = 0.02;
/// An answer counts at most this multiple of the mean.
const OUTLIER_MULTIPLE: f64 = 5.0;
/// The mean is assumed to be this part of the latency objective before anything was answered.
const FIRST_GUESS_DIVISOR: f64 = 5.0;
/// A client that left has waited this fraction longer than an answer would have had to take.
const PATIENCE_FRACTION: f64 = 0.8;

/// Latencies by class, in microseconds.
pub(super) struct ClassLatencies {
    /// The mean time of an answered attempt.
    means: Vec<f64>,
    /// The time within which clients are still there: the latency objective, or less where clients leave earlier.
    client_patience: Vec<f64>,
}

impl ClassLatencies {
    pub(super) fn new(classes: &[Class]) -> ClassLatencies {
        let objective = |class: &Class| class.latency_objective.as_f64();
        ClassLatencies {
            means: classes.iter().map(|class| objective(class) / FIRST_GUESS_DIVISOR).collect(),
            client_patience: classes.iter().map(objective).collect(),
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
        objective.as_f64().min(self.client_patience[class.0]).max(1.0)
    }

    /// An attempt was served after `taken`; returns the mean before it, at least 1.
    pub(super) fn record_served(&mut self, class: ClassId, taken: f64, objective: Micros) -> f64 {
        let mean = self.means[class.0].max(1.0);
        let patience = &mut self.client_patience[class.0];
        *patience += CLASS_SMOOTHING * (objective.as_f64() - *patience);
        self.means[class.0] += CLASS_SMOOTHING * (taken.min(mean * OUTLIER_MULTIPLE) - mean);
        mean
    }

    /// A client left before its deadline, after it had waited so long.
    pub(super) fn record_client_gone(&mut self, class: ClassId, waited: Micros) {
        let patience = &mut self.client_patience[class.0];
        *patience += MEMBER_SMOOTHING * (waited.as_f64() * PATIENCE_FRACTION - *patience).min(0.0);
    }
}
