//! How long a queue's tasks take, given their estimates.
//!
//! The load that this answers: estimates that are off by a factor of two or
//! more either way, in some queues and not in others. Where they are, a task of
//! a large estimate mostly takes about as long as any other of its queue, so
//! each estimate is drawn towards the queue's mean, as far as the tasks that
//! were done show (a regression of the logarithms). Without it a job whose
//! estimate is five times too long would look as if it had 20 s to spare.

use std::time::Duration;

/// The weight of one task once many are known: some 50 tasks, which a queue has
/// within seconds, make the figures.
const WEIGHT: f64 = 0.02;
/// How strongly estimates are trusted before tasks tell otherwise, as a
/// variance of their logarithms: that of estimates a quarter off. Tasks of one
/// job share an estimate, so the first few say nothing of its worth.
const TRUST: f64 = 0.05;
/// A task that takes a thousandth or a thousand times its estimate says no more
/// than that it is far off.
const FARTHEST: f64 = 6.9;

/// What is known of the durations of one queue's tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationModel {
    tasks: u32,
    /// Means of the logarithms, of milliseconds.
    estimate: f64,
    ran: f64,
    /// Variances and covariance of the logarithms.
    estimate_variance: f64,
    ran_variance: f64,
    covariance: f64,
}

impl DurationModel {
    /// Takes a task into account that is done.
    pub fn observe(&mut self, estimate_ms: u64, ran: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let estimate = logarithm(estimate_ms);
        let ran = (ran.as_secs_f64() * 1_000.0).max(1.0).ln();
        let ran = ran.clamp(estimate - FARTHEST, estimate + FARTHEST);
        self.tasks = self.tasks.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.tasks));
        let (x, y) = (estimate - self.estimate, ran - self.ran);
        self.estimate += weight * x;
        self.ran += weight * y;
        let moved = |known: f64, seen: f64| (1.0 - weight) * (known + weight * seen);
        self.estimate_variance = moved(self.estimate_variance, x * x);
        self.ran_variance = moved(self.ran_variance, y * y);
        self.covariance = moved(self.covariance, x * y);
    }

    /// How long a task of this estimate takes on average.
    pub fn expected(&self, estimate_ms: u64) -> Duration {
        if estimate_ms == 0 || self.tasks == 0 {
            return Duration::from_millis(estimate_ms);
        }
        let slope = self.slope();
        let likely = self.ran + slope * (logarithm(estimate_ms) - self.estimate);
        let rest = (self.ran_variance - slope * self.covariance).max(0.0);
        let mean_ms = (likely + rest / 2.0).exp();
        Duration::from_secs_f64(mean_ms / 1_000.0)
    }

    /// By how much longer a task takes whose estimate is longer, both as
    /// logarithms: 1 where estimates are good, 0 where they say nothing.
    fn slope(&self) -> f64 {
        let slope = (self.covariance + TRUST) / (self.estimate_variance + TRUST);
        slope.clamp(0.0, 1.0)
    }
}

#[allow(clippy::cast_precision_loss)]
fn logarithm(ms: u64) -> f64 {
    (ms as f64).ln()
}
