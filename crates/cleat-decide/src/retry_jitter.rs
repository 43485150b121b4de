//! Random spreading of the retry-after times of refused requests.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The shortest window, several seconds long because the entry rounds
/// retry-after times to whole seconds.
const WINDOW_MIN: Duration = Duration::from_secs(3);
/// The longest retry-after time.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Draws retry-after times from a window that grows with the number of callers
/// that have yet to return.
#[derive(Debug)]
pub(crate) struct RetryJitter {
    rng: StdRng,
    enabled: bool,
}

/// The expected returns of callers that were refused for the same reason.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PendingReturns {
    /// The end of the window of the latest refusal.
    ///
    /// Invariant: at most [`RETRY_AFTER_MAX`] after the time of that refusal, so
    /// that a burst of refusals does not delay callers long after it is over.
    until: Duration,
}

impl RetryJitter {
    pub(crate) fn new(seed: u64, enabled: bool) -> RetryJitter {
        RetryJitter {
            rng: StdRng::seed_from_u64(seed),
            enabled,
        }
    }

    /// The retry-after time of one more caller: at least `earliest` (limited to
    /// half of [`RETRY_AFTER_MAX`]), in a window that grows by `interval` for
    /// each caller that has yet to return.
    pub(crate) fn next(
        &mut self,
        returns: &mut PendingReturns,
        earliest: Duration,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        let earliest = earliest.min(RETRY_AFTER_MAX / 2);
        if !self.enabled {
            return earliest;
        }
        let until = returns.until.max(now + earliest) + interval;
        returns.until = until.min(now + RETRY_AFTER_MAX);
        let pending = returns.until.saturating_sub(now + earliest);
        let window = pending.max(WINDOW_MIN).min(RETRY_AFTER_MAX - earliest);
        earliest + window.mul_f64(self.rng.random::<f64>())
    }

    /// A random retry-after time in the shortest window, for a caller whose
    /// return does not depend on a backlog.
    pub(crate) fn jitter(&mut self) -> Duration {
        let zero = Duration::ZERO;
        self.next(&mut PendingReturns::default(), zero, zero, zero)
    }
}
