//! The least delay of answers in the recent past.

use std::time::Duration;

/// How long a delay counts at least, and half of how long at most. Shorter, and an overload that
/// lasts would pass for the distance of the workers; longer, and a network that has become slower
/// would pass for an overload.
const INTERVAL: Duration = Duration::from_secs(10);

/// The least delay of answers of the last one to two intervals.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeastDelay {
    /// When the current interval began.
    since: Duration,
    current: Duration,
    /// The least delay of the interval before; `None` if it had no answer.
    previous: Option<Duration>,
}

impl LeastDelay {
    /// Begins with the first answer.
    pub(super) fn new(now: Duration, delay: Duration) -> LeastDelay {
        LeastDelay {
            since: now,
            current: delay,
            previous: None,
        }
    }

    /// Adds the delay of an answer.
    pub(super) fn add(&mut self, now: Duration, delay: Duration) {
        if now < self.since + INTERVAL {
            self.current = self.current.min(delay);
            return;
        }
        let follows = now < self.since + INTERVAL * 2;
        *self = LeastDelay {
            previous: follows.then_some(self.current),
            ..LeastDelay::new(now, delay)
        };
    }

    pub(super) fn get(self) -> Duration {
        let previous = self.previous.unwrap_or(self.current);
        self.current.min(previous)
    }
}
