//! What the duration of a run says about the speed of its worker.
//!
//! All durations are natural logarithms relative to the duration that the queue
//! and the estimate predict; 0 is as predicted. Two hypotheses are compared by
//! their log-likelihood ratio: the worker runs at its normal speed, or at
//! [`SLOW_SPEED`]. Durations are taken as log-logistic, whose heavy tails bound
//! what a single run can say: a queue with bad estimates has a large spread,
//! and each of its runs says little.

use std::f64::consts::PI;

/// The speed of the alternative hypothesis. A run counts against its worker if
/// it indicates a speed below the geometric mean of 1 and this: 0.63.
const SLOW_SPEED: f64 = 0.4;
/// The most that one run counts for or against its worker. Three independent
/// observations are needed to reach [`super::SLOW_SCORE`].
pub(super) const MAX_RUN_SCORE: f64 = 4.0;
/// The minimum variance of a prediction. Ends become known up to 150 ms after
/// they happen, which is a fifth of a short task.
const MIN_VARIANCE: f64 = 0.02;
/// The number of runs of the same step on other workers from which these show
/// how long the step's tasks take, whatever the estimate says.
const MIN_PEERS: usize = 2;

/// The spread of a queue's durations.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spread {
    /// The variance of all tasks around the prediction from their estimates.
    pub(super) total: f64,
    /// The variance of the tasks of one step around the mean of that step.
    pub(super) within_step: f64,
}

/// The distribution of a run's duration at normal speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prediction {
    pub(super) mean: f64,
    pub(super) variance: f64,
    /// Whether the prediction rests on other runs of the step rather than on
    /// the estimate.
    pub(super) from_peers: bool,
}

impl Prediction {
    /// Predicts the duration of a run of a step from the durations of the
    /// step's runs on other workers. The step's mean deviates from the
    /// prediction by its estimate, as far as the spread between steps allows.
    pub(super) fn new(spread: Spread, peers: impl Iterator<Item = f64>) -> Prediction {
        let (count, sum) = peers.fold((0, 0.0), |(count, sum), peer| (count + 1, sum + peer));
        let between_steps = (spread.total - spread.within_step).max(0.0);
        if count == 0 {
            return Prediction {
                mean: 0.0,
                variance: spread.total.max(MIN_VARIANCE),
                from_peers: false,
            };
        }
        let n = f64::from(count);
        let trust = n * between_steps / (n * between_steps + spread.within_step.max(MIN_VARIANCE));
        Prediction {
            mean: trust * sum / n,
            variance: ((1.0 - trust) * between_steps + spread.within_step).max(MIN_VARIANCE),
            from_peers: usize::try_from(count).unwrap_or(usize::MAX) >= MIN_PEERS,
        }
    }

    /// The log-likelihood ratio of a slow worker to a normal one, given that a
    /// run ended after `duration`.
    pub(super) fn score_ended(&self, duration: f64) -> f64 {
        let (normal, slow) = self.standardized(duration);
        // The logarithm of the density is -x - 2 ln(1 + e^-x).
        let score = normal - slow + 2.0 * (softplus(-normal) - softplus(-slow));
        score.clamp(-MAX_RUN_SCORE, MAX_RUN_SCORE)
    }

    /// The log-likelihood ratio of a slow worker to a normal one, given that a
    /// run has not ended after `elapsed`; never negative.
    pub(super) fn score_running(&self, elapsed: f64) -> f64 {
        let (normal, slow) = self.standardized(elapsed);
        // The probability of running longer is 1 / (1 + e^x).
        (softplus(normal) - softplus(slow)).clamp(0.0, MAX_RUN_SCORE)
    }

    /// A duration in units of the scale of the logistic distribution, for a
    /// normal and for a slow worker.
    fn standardized(&self, duration: f64) -> (f64, f64) {
        let scale = self.variance.sqrt() * 3.0_f64.sqrt() / PI;
        let normal = (duration - self.mean) / scale;
        (normal, normal + SLOW_SPEED.ln() / scale)
    }
}

/// ln(1 + e^x), without overflow.
fn softplus(x: f64) -> f64 {
    x.max(0.0) + (-x.abs()).exp().ln_1p()
}
