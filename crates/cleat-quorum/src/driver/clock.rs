//! Clock for leases.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A point in time, measured from the boot of the machine and including time
/// suspended.
///
/// The usual monotonic clock stops while a machine is suspended. A leader that
/// resumes would consider its lease younger than it is, although another leader
/// may have been elected meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the current time.
    pub fn now() -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        BootTime(Duration::new(secs, nanos))
    }

    /// Returns the time since the machine booted.
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

    /// Time between two points; zero if `earlier` is in fact later.
    fn sub(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
