//! How long requests take once they are started.

use std::time::Duration;

/// The factor of one step of an estimate.
const STEP: f64 = 0.05;
const QUICK_QUANTILE: f64 = 0.1;
const SLOW_QUANTILE: f64 = 0.9;
/// What is left of the quick estimate after it refused a request.
const DOUBT: f64 = 0.9;

/// Running estimates of two quantiles, by multiplicative steps: each sample
/// moves an estimate up or down so that it rests where the wanted share of
/// samples lies below.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTime {
    /// Seconds; 0 while nothing was measured.
    quick: f64,
    slow: f64,
}

impl ServiceTime {
    pub(super) fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64().max(1e-6);
        self.quick = step(self.quick, sample, QUICK_QUANTILE);
        self.slow = step(self.slow, sample, SLOW_QUANTILE);
    }

    /// What one request in ten stays below.
    pub(super) fn quick(&self) -> Duration {
        Duration::from_secs_f64(self.quick)
    }

    /// What nine requests in ten stay below.
    pub(super) fn slow(&self) -> Duration {
        Duration::from_secs_f64(self.slow)
    }

    /// Lowers the quick estimate after it was a reason to refuse: an estimate
    /// too high would let nothing start and so never be corrected.
    pub(super) fn doubt(&mut self) {
        self.quick *= DOUBT;
    }
}

fn step(estimate: f64, sample: f64, quantile: f64) -> f64 {
    if estimate == 0.0 {
        return sample;
    }
    if sample > estimate {
        estimate * (1.0 + STEP * quantile)
    } else {
        estimate * (1.0 - STEP * (1.0 - quantile))
    }
}
