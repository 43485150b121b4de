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
    /// Until when earlier refusals come back.
    returns_until: Duration,
    on: bool,
}

impl Spread {
    pub(crate) fn new(seed: u64, on: bool) -> Spread {
        Spread {
            rng: StdRng::seed_from_u64(seed),
            returns_until: Duration::ZERO,
            on,
        }
    }

    /// When one more caller should come back: not before `earliest`, with
    /// `interval` for each caller that is due already.
    pub(crate) fn next(
        &mut self,
        earliest: Duration,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        let earliest = earliest.min(RETRY_AFTER_MAX / 2);
        if !self.on {
            return earliest;
        }
        self.returns_until = self.returns_until.max(now + earliest) + interval;
        let due = self.returns_until.saturating_sub(now + earliest);
        let window = due.max(WINDOW_MIN).min(RETRY_AFTER_MAX - earliest);
        earliest + window.mul_f64(self.rng.random::<f64>())
    }

    /// A spread time for a caller whose return no backlog decides.
    pub(crate) fn jitter(&mut self) -> Duration {
        self.next(Duration::ZERO, Duration::ZERO, Duration::ZERO)
    }
}
