//! Predicts how long a queue's tasks take from their estimates.
//!
//! Estimates may be off by a factor of two or more either way, in some queues
//! and not in others. In a queue with bad estimates, a task with a large
//! estimate mostly takes about as long as any other task. So each estimate is
//! corrected towards the queue's mean by a linear regression of the logarithm
//! of the duration on the logarithm of the estimate, over the tasks that were
//! done. Without it, a job whose estimate is five times too long would appear
//! to have 20 s of slack.

use std::time::Duration;

use crate::state::LearnedDurations;

/// The weight of a new task in the running means, once 50 tasks were observed.
/// The means then cover about the last 50 tasks, which a queue has within
/// seconds.
const MIN_WEIGHT: f64 = 0.02;
/// The prior on the quality of estimates, added to the variance and the
/// covariance of the logarithms: that of estimates that are off by a quarter.
/// It prevents the first tasks from determining the slope, since tasks of one
/// job share an estimate.
const PRIOR_VARIANCE: f64 = 0.05;
/// The largest difference between the logarithms of duration and estimate that
/// is counted: a factor of a thousand. A task beyond it only shows that its
/// estimate is far off.
const MAX_LOG_RATIO: f64 = 6.9;

/// The longest duration, in milliseconds, that is plausible in the statistics
/// of an earlier owner: a month.
const MAX_PLAUSIBLE_MS: u64 = 30 * 24 * 3_600 * 1_000;
/// The factor by which the squared covariance may exceed the product of the
/// variances, since they are rounded to single precision.
const ROUNDING_TOLERANCE: f64 = 1.001;
/// The change of the logarithm of an expected duration from which the model is
/// committed again. An owner without statistics is off by a factor of two or
/// more; a tenth is within the random variation of the mean of 50 tasks.
const NOTABLE_LOG_CHANGE: f64 = 0.1;

/// The regression of one queue's durations on its estimates.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationModel {
    tasks: u32,
    /// Running means of the logarithms of estimate and duration, in
    /// milliseconds.
    mean_log_estimate: f64,
    mean_log_duration: f64,
    /// Running variances and covariance of these logarithms.
    estimate_variance: f64,
    duration_variance: f64,
    covariance: f64,
}

impl DurationModel {
    /// Records the duration of a completed task. Tasks without an estimate are
    /// ignored.
    pub fn observe(&mut self, estimate_ms: u64, ran: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let estimate = logarithm(estimate_ms);
        let ran = (ran.as_secs_f64() * 1_000.0).max(1.0).ln();
        let ran = ran.clamp(estimate - MAX_LOG_RATIO, estimate + MAX_LOG_RATIO);
        self.tasks = self.tasks.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.tasks));
        let (x, y) = (
            estimate - self.mean_log_estimate,
            ran - self.mean_log_duration,
        );
        self.mean_log_estimate += weight * x;
        self.mean_log_duration += weight * y;
        let update = |known: f64, seen: f64| (1.0 - weight) * (known + weight * seen);
        self.estimate_variance = update(self.estimate_variance, x * x);
        self.duration_variance = update(self.duration_variance, y * y);
        self.covariance = update(self.covariance, x * y);
    }

    /// The expected duration of a task with this estimate.
    pub fn expected(&self, estimate_ms: u64) -> Duration {
        if estimate_ms == 0 || self.tasks == 0 {
            return Duration::from_millis(estimate_ms);
        }
        Duration::from_secs_f64(self.expected_ms(estimate_ms) / 1_000.0)
    }

    /// The mean duration of a task with this estimate, both in milliseconds.
    fn expected_ms(&self, estimate_ms: u64) -> f64 {
        let (expected_log, residual_variance) = self.expected_log(estimate_ms);
        (expected_log + residual_variance / 2.0).exp()
    }

    /// The mean of the logarithm of the duration of a task with this estimate,
    /// in milliseconds, if at least `min_tasks` tasks were observed.
    pub(crate) fn log_prediction(&self, estimate_ms: u64, min_tasks: u32) -> Option<f64> {
        let known = estimate_ms > 0 && self.tasks >= min_tasks;
        known.then(|| self.expected_log(estimate_ms).0)
    }

    /// The mean of the logarithm of the duration in milliseconds, and the residual
    /// variance of that logarithm.
    fn expected_log(&self, estimate_ms: u64) -> (f64, f64) {
        let slope = self.slope();
        let expected_log =
            self.mean_log_duration + slope * (logarithm(estimate_ms) - self.mean_log_estimate);
        let residual_variance = (self.duration_variance - slope * self.covariance).max(0.0);
        (expected_log, residual_variance)
    }

    /// The model as it is committed for the next owner.
    #[allow(clippy::cast_possible_truncation)]
    pub(super) fn learned(&self) -> LearnedDurations {
        LearnedDurations {
            tasks: self.tasks,
            mean_log_estimate: self.mean_log_estimate as f32,
            mean_log_duration: self.mean_log_duration as f32,
            estimate_variance: self.estimate_variance as f32,
            duration_variance: self.duration_variance as f32,
            covariance: self.covariance as f32,
        }
    }

    /// The model of an earlier owner; `None` if its values are not finite or
    /// can't result from observations.
    pub(super) fn from_learned(learned: &LearnedDurations) -> Option<DurationModel> {
        let model = DurationModel {
            tasks: learned.tasks,
            mean_log_estimate: learned.mean_log_estimate.into(),
            mean_log_duration: learned.mean_log_duration.into(),
            estimate_variance: learned.estimate_variance.into(),
            duration_variance: learned.duration_variance.into(),
            covariance: learned.covariance.into(),
        };
        // NaN is in no range, and infinite values are beyond all limits.
        let max_log = logarithm(MAX_PLAUSIBLE_MS);
        let max_variance = MAX_LOG_RATIO * MAX_LOG_RATIO;
        let variances = model.estimate_variance * model.duration_variance;
        let plausible = (0.0..=max_log).contains(&model.mean_log_estimate)
            && (-MAX_LOG_RATIO..=max_log).contains(&model.mean_log_duration)
            && (0.0..=max_variance).contains(&model.estimate_variance)
            && (0.0..=max_variance).contains(&model.duration_variance)
            && model.covariance.powi(2) <= variances * ROUNDING_TOLERANCE + f64::EPSILON
            && model.expected_ms(MAX_PLAUSIBLE_MS) <= 1_000.0 * logarithm(MAX_PLAUSIBLE_MS).exp();
        plausible.then_some(model)
    }

    /// Whether a successor's expectations would differ by more than
    /// [`NOTABLE_LOG_CHANGE`] with this model instead of the committed one.
    pub(super) fn differs_notably(&self, committed: &LearnedDurations) -> bool {
        let Some(known) = DurationModel::from_learned(committed) else {
            return true;
        };
        if self.tasks == 0 || known.tasks == 0 {
            return (self.tasks == 0) != (known.tasks == 0);
        }
        // Compares at the mean estimate, and at an e-th and e times of it.
        let estimates = [-1.0, 0.0, 1.0].map(|offset: f64| (self.mean_log_estimate + offset).exp());
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let mut estimates = estimates.into_iter().map(|ms| (ms as u64).max(1));
        estimates.any(|estimate| {
            let change = self.expected_ms(estimate).ln() - known.expected_ms(estimate).ln();
            change.abs() > NOTABLE_LOG_CHANGE
        })
    }

    /// The slope of the regression: 1 if estimates are good, 0 if they are
    /// unrelated to the duration.
    fn slope(&self) -> f64 {
        let slope = (self.covariance + PRIOR_VARIANCE) / (self.estimate_variance + PRIOR_VARIANCE);
        slope.clamp(0.0, 1.0)
    }
}

#[allow(clippy::cast_precision_loss)]
fn logarithm(ms: u64) -> f64 {
    (ms as f64).ln()
}
