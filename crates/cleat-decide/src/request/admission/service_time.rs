//! Estimates of how long requests take once they are started.

use std::time::Duration;

/// The relative size of one step of an estimate.
const STEP_FACTOR: f64 = 0.05;
const P10: f64 = 0.1;
const P90: f64 = 0.9;
/// The factor by which the p10 estimate is reduced when a request is refused
/// because of it.
const P10_REDUCTION: f64 = 0.9;

/// Running estimates of two quantiles by multiplicative steps: each sample moves
/// an estimate up or down so that it settles where the wanted fraction of
/// samples lies below it.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimeEstimator {
    /// Seconds; 0 while there are no samples.
    p10: f64,
    p90: f64,
}

impl ServiceTimeEstimator {
    pub(super) fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64().max(1e-6);
        self.p10 = step(self.p10, sample, P10);
        self.p90 = step(self.p90, sample, P90);
    }

    /// The 10th percentile: one request in ten is faster.
    pub(super) fn p10(&self) -> Duration {
        Duration::from_secs_f64(self.p10)
    }

    /// The 90th percentile: nine requests in ten are faster.
    pub(super) fn p90(&self) -> Duration {
        Duration::from_secs_f64(self.p90)
    }

    /// Reduces the p10 estimate after a request was refused because of it. If it
    /// were too high, no request would start and it would never be corrected.
    pub(super) fn reduce_p10(&mut self) {
        self.p10 *= P10_REDUCTION;
    }
}

fn step(estimate: f64, sample: f64, quantile: f64) -> f64 {
    if estimate == 0.0 {
        return sample;
    }
    if sample > estimate {
        estimate * (1.0 + STEP_FACTOR * quantile)
    } else {
        estimate * (1.0 - STEP_FACTOR * (1.0 - quantile))
    }
}
