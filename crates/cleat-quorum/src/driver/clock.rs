//! The clock that leases are counted on.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment, counted from the start of the machine, suspensions included.
///
/// The ordinary monotonic clock stands still while a machine is suspended: a
/// leader that wakes up would take its lease for younger than it is, while
/// another has been elected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The present moment.
    pub fn now() -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        BootTime(Duration::new(secs, nanos))
    }

    /// The time since the start of the machine.
    pub fn since_boot(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for BootTime {
    type Output = BootTime;

    fn add(self, span: Duration) -> BootTime {
        BootTime(self.0 + span)
    }
}

impl Sub for BootTime {
    type Output = Duration;

    /// The time between two moments; nothing if `earlier` is the later one.
    fn sub(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
