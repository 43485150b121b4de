//! When an owner's event loop passes a tick to the scheduler, and whether it heard its
//! workers until then.

use std::time::Duration;

/// How long a tick waits while answers are there that are not handled yet. Leases may
/// expire with a tick, which these answers may prevent.
const MAX_TICK_DELAY: Duration = Duration::from_millis(150);
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
    /// Since when a tick is due that was not passed on yet.
    due_since: Option<Duration>,
}

impl TickSchedule {
    /// The ticks of an event loop that begins now.
    pub(super) fn new(now: Duration) -> TickSchedule {
        TickSchedule {
            last_tick: now,
            due_since: None,
        }
    }

    /// Records that a tick is due.
    pub(super) fn record_due(&mut self, now: Duration) {
        self.due_since.get_or_insert(now);
    }

    /// The tick to pass to the scheduler now, if there is one. `all_collected` tells
    /// whether the answers that are there are handled with it.
    pub(super) fn take_due(&mut self, now: Duration, all_collected: bool) -> Option<DueTick> {
        let due_since = self.due_since?;
        if !all_collected && now < due_since + MAX_TICK_DELAY {
            return None;
        }
        self.due_since = None;
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
