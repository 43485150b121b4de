//! When an owner's event loop passes a tick to the scheduler, and whether it heard its
//! workers until then.

use std::time::Duration;

/// The time between two ticks from which on the event loop counts as stalled: half of the
/// time within which a worker has to answer a renewal. After a shorter delay there was
/// time left to hear it.
const MIN_STALL: Duration = Duration::from_millis(250);

/// A tick that is passed to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DueTick {
    /// How long the event loop has not heard all workers; `None` if it has.
    pub(super) stall: Option<Duration>,
}

/// The ticks of one event loop.
#[derive(Debug)]
pub(super) struct TickSchedule {
    last_tick: Duration,
    is_due: bool,
}

impl TickSchedule {
    /// The ticks of an event loop that begins now.
    pub(super) fn new(now: Duration) -> TickSchedule {
        TickSchedule {
            last_tick: now,
            is_due: false,
        }
    }

    /// Records that a tick is due.
    pub(super) fn record_due(&mut self) {
        self.is_due = true;
    }

    /// The tick to pass to the scheduler now, if there is one. `all_collected` tells
    /// whether the answers that are there are handled with it. Leases may expire with a
    /// tick, which the others may prevent, so without them it counts as one after a stall.
    pub(super) fn take_due(&mut self, now: Duration, all_collected: bool) -> Option<DueTick> {
        if !std::mem::take(&mut self.is_due) {
            return None;
        }
        let last_tick = std::mem::replace(&mut self.last_tick, now);
        let since_last = now.saturating_sub(last_tick);
        let is_stall = since_last >= MIN_STALL || !all_collected;
        Some(DueTick {
            stall: is_stall.then_some(since_last),
        })
    }
}

#[cfg(test)]
mod tests;
