//! How long requests take once they are started.

use std::time::Duration;

/// The factor of one step of an estimate.
const STEP_FACTOR: f64 = 0.05;
const P10: f64 = 0.1;
const P90: f64 = 0.9;
/// What is left of the quick estimate after it refused a request.
const P10_REDUCTION: f64 = 0.9;

/// Running estimates of two quantiles, by multiplicative steps: each sample
/// moves an estimate up or down so that it rests where the wanted share of
/// samples lies below.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimeEstimator {
    /// Seconds; 0 while nothing was measured.
    p10: f64,
    p90: f64,
}

impl ServiceTimeEstimator {
    pub(super) fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64().max(1e-6);
        self.p10 = step(self.p10, sample, P10);
        self.p90 = step(self.p90, sample, P90);
    }

    /// What one request in ten stays below.
    pub(super) fn p10(&self) -> Duration {
        Duration::from_secs_f64(self.p10)
    }

    /// What nine requests in ten stay below.
    pub(super) fn p90(&self) -> Duration {
        Duration::from_secs_f64(self.p90)
    }

    /// Lowers the quick estimate after it was a reason to refuse: an estimate
    /// too high would let nothing start and so never be corrected.
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
