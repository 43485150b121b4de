//! Seeded spreading of the times at which callers come back.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The shortest window, several whole seconds since the entry rounds to them.
const WINDOW_MIN: Duration = Duration::from_secs(3);
/// The longest time that a caller is told to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Hands out times to come back, spread over a window that grows with the
/// number of callers still due.
#[derive(Debug)]
pub(crate) struct Spread {
    rng: StdRng,
    on: bool,
}

/// The returns that are still due of those who share a cause.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Returns {
    /// Invariant: when set, at most [`RETRY_AFTER_MAX`] ahead, so that a storm
    /// of refusals does not outlast itself.
    until: Duration,
}

impl Spread {
    pub(crate) fn new(seed: u64, on: bool) -> Spread {
        Spread {
            rng: StdRng::seed_from_u64(seed),
            on,
        }
    }

    /// When one more caller should come back: not before `earliest`, with
    /// `interval` for each caller that is due already.
    pub(crate) fn next(
        &mut self,
        returns: &mut Returns,
        earliest: Duration,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        let earliest = earliest.min(RETRY_AFTER_MAX / 2);
        if !self.on {
            return earliest;
        }
        let until = returns.until.max(now + earliest) + interval;
        returns.until = until.min(now + RETRY_AFTER_MAX);
        let due = returns.until.saturating_sub(now + earliest);
        let window = due.max(WINDOW_MIN).min(RETRY_AFTER_MAX - earliest);
        earliest + window.mul_f64(self.rng.random::<f64>())
    }

    /// A spread time for a caller whose return no backlog decides.
    pub(crate) fn jitter(&mut self) -> Duration {
        let zero = Duration::ZERO;
        self.next(&mut Returns::default(), zero, zero, zero)
    }
}
