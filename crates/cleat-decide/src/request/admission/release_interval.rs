//! The rate at which slots become free while requests wait.

use std::time::Duration;

/// The weight of the newest interval in the moving average: 1 / 8.
const AVERAGE_DIVISOR: u32 = 8;

/// The average time between two freed slots while the queue is not empty.
///
/// Does not depend on the number of slots: whatever the targets, shares and
/// service times are, the queue shrinks by one request per interval.
#[derive(Debug, Clone, Default)]
pub(super) struct ReleaseInterval {
    average: Option<Duration>,
    /// The start of the current interval: the last freed slot, or the time at
    /// which the queue stopped being empty. `None` while the queue is empty.
    interval_start: Option<Duration>,
}

impl ReleaseInterval {
    /// Records that the queue is no longer empty.
    pub(super) fn start(&mut self, now: Duration) {
        self.interval_start = Some(now);
    }

    /// Records that the queue is empty again.
    pub(super) fn stop(&mut self) {
        self.interval_start = None;
    }

    /// Records that a slot became free.
    pub(super) fn record_release(&mut self, queue_empty: bool, now: Duration) {
        if queue_empty {
            return;
        }
        if let Some(since) = self.interval_start {
            self.add(now.saturating_sub(since));
        }
        self.interval_start = Some(now);
    }

    /// The expected time between two freed slots. A current interval longer than
    /// the average counts as if it ended now, so that the loss of targets has an
    /// effect before the next slot is freed.
    pub(super) fn expected(&self, now: Duration) -> Duration {
        let current = self.interval_start.map(|since| now.saturating_sub(since));
        let Some(average) = self.average else {
            return Duration::ZERO;
        };
        match current {
            Some(current) if current > average => blend(average, current),
            _ => average,
        }
    }

    fn add(&mut self, sample: Duration) {
        let average = match self.average {
            Some(average) => blend(average, sample),
            None => sample,
        };
        self.average = Some(average);
    }
}

fn blend(average: Duration, sample: Duration) -> Duration {
    (average * (AVERAGE_DIVISOR - 1) + sample) / AVERAGE_DIVISOR
}
