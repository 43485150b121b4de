//! How fast slots become free while requests wait.

use std::time::Duration;

/// The weight of the newest interval in the average: 1 / 8.
const AVERAGE_PART: u32 = 8;

/// The average time between two free slots while the queue is not empty.
///
/// It needs no number of slots: whatever the targets, shares and speeds are,
/// the queue shortens by one each interval.
#[derive(Debug, Clone, Default)]
pub(super) struct Pace {
    average: Option<Duration>,
    /// The last event since which requests have been waiting.
    waiting_since: Option<Duration>,
}

impl Pace {
    /// The queue is no longer empty.
    pub(super) fn busy(&mut self, now: Duration) {
        self.waiting_since = Some(now);
    }

    /// The queue is empty again.
    pub(super) fn idle(&mut self) {
        self.waiting_since = None;
    }

    /// A slot became free.
    pub(super) fn released(&mut self, queue_empty: bool, now: Duration) {
        if queue_empty {
            return;
        }
        if let Some(since) = self.waiting_since {
            self.add(now.saturating_sub(since));
        }
        self.waiting_since = Some(now);
    }

    /// The expected time between two free slots. A pause longer than the
    /// average counts as if it ended now, so that lost targets show before the
    /// next slot is free.
    pub(super) fn interval(&self, now: Duration) -> Duration {
        let pause = self.waiting_since.map(|since| now.saturating_sub(since));
        let Some(average) = self.average else {
            return Duration::ZERO;
        };
        match pause {
            Some(pause) if pause > average => blend(average, pause),
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
    (average * (AVERAGE_PART - 1) + sample) / AVERAGE_PART
}
