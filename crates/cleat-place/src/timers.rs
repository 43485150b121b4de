//! What is due at a later time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::keys::{JobId, TaskId};

/// Something that is looked at again at its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A backoff or parking ends.
    Requeue(JobId),
    /// A call about the task should have been answered.
    Answer(TaskId),
}

/// Timers in the order of their times. They are never taken back; each is
/// checked against the state when it comes due.
#[derive(Debug, Clone, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Duration, Timer)>>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Duration, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    pub(crate) fn due(&mut self, now: Duration) -> Option<Timer> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.heap.capacity() * size_of::<Reverse<(Duration, Timer)>>()
    }
}
