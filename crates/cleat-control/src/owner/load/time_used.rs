//! The time that the process has used so far.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::runtime::Handle;

/// Totals since the process began.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::owner) struct TimeUsed {
    /// The processor time of all threads.
    pub(super) process_cpu: Duration,
    /// The sum over the runtime's threads of the time in which they were not parked.
    pub(super) unparked: Duration,
}

impl TimeUsed {
    /// Reads the totals, within the runtime that runs the owner.
    pub(in crate::owner) fn read() -> TimeUsed {
        TimeUsed {
            process_cpu: process_cpu(),
            unparked: unparked(),
        }
    }

    /// What was used after `earlier`.
    pub(super) fn since(self, earlier: TimeUsed) -> TimeUsed {
        TimeUsed {
            process_cpu: self.process_cpu.saturating_sub(earlier.process_cpu),
            unparked: self.unparked.saturating_sub(earlier.unparked),
        }
    }
}

fn process_cpu() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

/// The runtime adds to this total between polls, at the latest after 61 of them. On one thread
/// it does not count the time in which the runtime asks the system for events.
#[cfg(target_has_atomic = "64")]
fn unparked() -> Duration {
    let metrics = Handle::current().metrics();
    let threads = 0..metrics.num_workers();
    threads
        .map(|at| metrics.worker_total_busy_duration(at))
        .sum()
}

#[cfg(not(target_has_atomic = "64"))]
fn unparked() -> Duration {
    Duration::ZERO
}
