//! Detection of stalls of the owner's event loop.

use std::time::Duration;

/// The time between two ticks from which on the event loop counts as stalled: half of the
/// time within which a worker has to answer a renewal. After a shorter delay there was
/// time left to hear it.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Notices by the time between its ticks that an event loop was stalled.
#[derive(Debug)]
pub(super) struct StallDetector {
    ticked_at: Duration,
}

impl StallDetector {
    /// A detector for an event loop that begins now.
    pub(super) fn new(now: Duration) -> StallDetector {
        StallDetector { ticked_at: now }
    }

    /// Records a tick. Returns how long the event loop has not heard all workers, if it
    /// was stalled before the tick or has not handled all answers that are there.
    pub(super) fn tick(&mut self, now: Duration, all_handled: bool) -> Option<Duration> {
        let last = std::mem::replace(&mut self.ticked_at, now);
        let gap = now.saturating_sub(last);
        (gap >= MIN_STALL || !all_handled).then_some(gap)
    }
}

#[cfg(test)]
mod tests;
